"""Runs attempts that gateways dispatch."""
