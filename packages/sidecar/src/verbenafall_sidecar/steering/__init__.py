"""Steers a rank group: one sidecar leads, each orders its own engine."""
