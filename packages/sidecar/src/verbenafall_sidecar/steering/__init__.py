"""Balances experts over a rank group; one elected sidecar leads the others."""
