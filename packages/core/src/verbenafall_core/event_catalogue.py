"""Log events of the core package, numbers 1000 to 1999."""

from verbenafall_core import event_log

LINK_OPENED = event_log.define(
    1001, "link_opened", "INFO", "A link to a peer is open."
)
LINK_CLOSED = event_log.define(
    1002,
    "link_closed",
    "INFO",
    "A link was closed; the reason says by whom or why. Many at once point"
    " to a network fault or a stopped instance.",
)
LINK_BAD_MESSAGE = event_log.define(
    1003,
    "link_bad_message",
    "ERROR",
    "A peer sent bytes that are no valid message; the link was closed."
    " Check that all instances run the same release.",
)
LINK_UNKNOWN_KIND = event_log.define(
    1004,
    "link_unknown_kind",
    "WARNING",
    "A peer sent a message of an unknown kind; it was ignored. Expected"
    " only while releases are mixed.",
)
SERVICE_STOP_FAILED = event_log.define(
    1005,
    "service_stop_failed",
    "ERROR",
    "A service raised an error while the process was stopping.",
)
LINK_HANDLER_FAILED = event_log.define(
    1007,
    "link_handler_failed",
    "ERROR",
    "A programming error while a link was served. If it was about a message,"
    " the link was closed, so that its requests are retried or refused; report"
    " it with this line.",
)
PERIODIC_TASK_FAILED = event_log.define(
    1006,
    "periodic_task_failed",
    "ERROR",
    "A periodic task raised an error; it runs again at its next time.",
)
