"""Forwards requests to endpoints unchanged, by routes of a configuration."""
