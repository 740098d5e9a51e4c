"""Sidecar process of the verbenafall load balancer."""
