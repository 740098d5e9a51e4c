"""Stand-in for a rank group of model engines, with their HTTP interface."""
