"""Orders to the engine of a rank."""
