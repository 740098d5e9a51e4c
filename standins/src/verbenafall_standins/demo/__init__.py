"""Demonstration run: a small deployment as separate processes on loopback."""
