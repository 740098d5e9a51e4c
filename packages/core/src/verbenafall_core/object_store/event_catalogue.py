"""Log events of the object store, numbers 1100 to 1119."""

from verbenafall_core import event_log

STORE_BUDGET_EXHAUSTED = event_log.define(
    1100,
    "store_budget_exhausted",
    "WARNING",
    "This process has used up its own rate of store calls; further calls are"
    " refused until the rate allows them. Written once per shortage.",
)
STORE_BUDGET_RECOVERED = event_log.define(
    1101,
    "store_budget_recovered",
    "INFO",
    "Store calls are allowed again; refused is the number of calls that were"
    " not made.",
)
