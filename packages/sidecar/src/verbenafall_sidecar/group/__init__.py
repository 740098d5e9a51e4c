"""Takes part in a rank group through the store."""
