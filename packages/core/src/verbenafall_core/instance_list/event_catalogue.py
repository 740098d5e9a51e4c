"""Log events of the instance list, numbers 1120 to 1139."""

from verbenafall_core import event_log

INSTANCE_LIST_CHANGED = event_log.define(
    1120,
    "instance_list_changed",
    "INFO",
    "The instance list has changed; size is the number of instances, and"
    " changed has the names that were added, removed, or changed.",
)
INSTANCE_LIST_UNREADABLE = event_log.define(
    1121,
    "instance_list_unreadable",
    "WARNING",
    "The instance list cannot be read; the last valid one stays in use. Logged"
    " once per outage. Check the platform's instance list.",
)
INSTANCE_LIST_READABLE = event_log.define(
    1122,
    "instance_list_readable",
    "INFO",
    "The instance list can be read again.",
)
INSTANCE_SUBSCRIBER_FAILED = event_log.define(
    1123,
    "instance_subscriber_failed",
    "ERROR",
    "A subscriber to the instance list raised an error on a change; the other"
    " subscribers were notified of it. Report the error with this line.",
)
