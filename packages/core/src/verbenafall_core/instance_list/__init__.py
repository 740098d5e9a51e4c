"""The platform's list of instances: port and HTTP adapter."""
