"""Speaks to the endpoint beside this sidecar."""
