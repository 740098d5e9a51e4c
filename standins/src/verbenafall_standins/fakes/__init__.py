"""In-memory implementations of ports, with faults that a test sets."""
