"""Shared types and services of the verbenafall load balancer."""
