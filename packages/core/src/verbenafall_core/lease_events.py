"""Log events of leases, numbers 1140 to 1159."""

from verbenafall_core import event_log

LEASE_TAKEN = event_log.define(
    1140,
    "lease_taken",
    "INFO",
    "This process now holds a lease; version is its fencing token.",
)
LEASE_LOST = event_log.define(
    1141,
    "lease_lost",
    "WARNING",
    "This process no longer holds a lease: it could not renew it in time, or"
    " another process holds it. Expected after a pause of the process, a store"
    " outage or a restore of the store.",
)
LEASE_RELEASED = event_log.define(
    1142,
    "lease_released",
    "INFO",
    "This process released a lease because it is stopping.",
)
