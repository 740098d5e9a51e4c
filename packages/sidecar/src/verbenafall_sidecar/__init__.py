"""Sidecar of the verbenafall load balancer, run beside each endpoint."""
