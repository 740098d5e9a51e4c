"""Signed, versioned bundles: what operators put in force."""
