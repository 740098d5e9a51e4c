"""Ports and HTTP adapters for the endpoint that the sidecar serves."""
