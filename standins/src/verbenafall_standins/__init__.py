"""Stand-ins for the outside systems. Never shipped with the binaries."""
