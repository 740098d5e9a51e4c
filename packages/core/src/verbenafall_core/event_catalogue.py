"""Log events of the core package, numbers 1000 to 1999."""

from verbenafall_core import event_log

LINK_OPENED = event_log.define(
    1001, "link_opened", "INFO", "A link to a peer was opened."
)
LINK_CLOSED = event_log.define(
    1002,
    "link_closed",
    "INFO",
    "A link was closed; the reason field says why. Many at once indicate a"
    " network fault or a stopped instance.",
)
LINK_BAD_MESSAGE = event_log.define(
    1003,
    "link_bad_message",
    "ERROR",
    "A peer sent bytes that are not a valid message; the link was closed."
    " Check that all instances run the same release.",
)
LINK_UNKNOWN_KIND = event_log.define(
    1004,
    "link_unknown_kind",
    "WARNING",
    "A peer sent a message of an unknown kind, which was ignored. This is"
    " expected only while instances run different releases.",
)
SERVICE_STOP_FAILED = event_log.define(
    1005,
    "service_stop_failed",
    "ERROR",
    "A service raised an error while the process was stopping; the other"
    " services were still stopped.",
)
LINK_HANDLER_FAILED = event_log.define(
    1007,
    "link_handler_failed",
    "ERROR",
    "A programming error occurred while handling a link. If a message caused"
    " it, the link was closed, so that its requests are retried or refused."
    " Report the error with this line.",
)
PERIODIC_TASK_FAILED = event_log.define(
    1006,
    "periodic_task_failed",
    "ERROR",
    "A periodic task raised an error; it runs again after its interval.",
)
