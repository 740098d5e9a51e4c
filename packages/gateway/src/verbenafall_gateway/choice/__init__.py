"""Chooses endpoints and admits requests."""
