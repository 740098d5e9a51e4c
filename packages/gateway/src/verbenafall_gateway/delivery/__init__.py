"""Dispatches requests to sidecars and passes on what comes back."""
