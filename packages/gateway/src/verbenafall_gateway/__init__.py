"""Gateway process of the verbenafall load balancer."""
