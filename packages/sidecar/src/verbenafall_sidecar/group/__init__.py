"""Membership of a sidecar in a rank group, and load reports to gateways."""
