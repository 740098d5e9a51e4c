"""Log events of the instance list, numbers 1120 to 1139."""

from verbenafall_core import event_log

INSTANCE_LIST_CHANGED = event_log.define(
    1120,
    "instance_list_changed",
    "INFO",
    "The list of instances is another one; states the size and the names"
    " that were added, removed, or changed.",
)
INSTANCE_LIST_UNREADABLE = event_log.define(
    1121,
    "instance_list_unreadable",
    "WARNING",
    "The instance list cannot be read; the last good one stays in use."
    " Written once per outage.",
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
    "A part of the process raised an error on a change of the instance list;"
    " the other parts were told of the change.",
)
