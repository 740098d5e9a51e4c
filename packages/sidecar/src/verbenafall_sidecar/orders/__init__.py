"""Sends the orders of map switches to the engine of a sidecar."""
