"""Routes, services and teams of the configuration, and route lookup."""
