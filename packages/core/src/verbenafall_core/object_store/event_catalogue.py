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
STORE_LOST = event_log.define(
    1102,
    "store_lost",
    "WARNING",
    "A call that follows a collection failed after one that did not; what is"
    " known stays in use until the store is back.",
)
STORE_REGAINED = event_log.define(
    1103,
    "store_regained",
    "INFO",
    "A collection is read again after failed calls.",
)
WATCH_HISTORY_GONE = event_log.define(
    1104,
    "watch_history_gone",
    "INFO",
    "The store has dropped the changes since the last watch; the collection"
    " is read anew.",
)
OBJECT_UNREADABLE = event_log.define(
    1105,
    "object_unreadable",
    "WARNING",
    "An object of a collection could not be decoded and counts as missing."
    " Find out who writes it.",
)
FOLLOWER_FAILED = event_log.define(
    1106,
    "follower_failed",
    "ERROR",
    "A programming error while a collection was followed; it is read anew."
    " Report it with this line.",
)
