"""Forwards requests to endpoints unchanged, by the configured routes."""
