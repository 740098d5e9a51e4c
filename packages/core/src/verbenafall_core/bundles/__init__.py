"""Signed, versioned bundles of the settings that operators roll out."""
