"""Admission, queueing and execution of dispatched attempts."""
