"""The platform's object store: port, HTTP adapter and call budget."""
