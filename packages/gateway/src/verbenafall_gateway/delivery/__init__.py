"""Dispatches requests to sidecars and relays their answers."""
