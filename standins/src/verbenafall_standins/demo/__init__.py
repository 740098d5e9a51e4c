"""Demonstration run: a reduced deployment as separate processes on loopback."""
