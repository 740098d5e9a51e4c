"""Routes, services and teams of a configuration, and their lookup."""
