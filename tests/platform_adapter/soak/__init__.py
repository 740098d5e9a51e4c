"""Randomized fault soak of real gateway processes on the platform's interfaces.

    python -m platform_adapter.soak --seed 1 --runs 50

Gateways run as separate processes; the store, the endpoints and the clients
are threads of the soak. Faults come from outside the processes: signals, and
loopback proxies between the gateways and the store.
"""
