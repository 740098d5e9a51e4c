"""Log events of the gateway package, numbers 2000 to 2999."""

from verbenafall_core import event_log

GATEWAY_STARTED = event_log.define(
    2001, "gateway_started", "INFO", "The gateway serves clients."
)
GATEWAY_DRAINING = event_log.define(
    2002,
    "gateway_draining",
    "INFO",
    "A planned stop began; readiness is withdrawn and open requests finish.",
)
GATEWAY_STOPPED = event_log.define(
    2003,
    "gateway_stopped",
    "INFO",
    "The gateway stopped; the field open counts requests that were cut off"
    " at the stop limit and is 0 in an orderly stop.",
)
ROUTE_CHOSEN = event_log.define(
    2010,
    "route_chosen",
    "INFO",
    "An endpoint was chosen for an attempt; reason and inputs follow.",
)
ROUTE_NOT_FOUND = event_log.define(
    2011,
    "route_not_found",
    "WARNING",
    "No linked endpoint can take the attempt. Check the service's instances.",
)
ATTEMPT_BROKEN = event_log.define(
    2012,
    "attempt_broken",
    "WARNING",
    "An attempt was refused or failed; action says what follows.",
)
LATE_MESSAGE = event_log.define(
    2013,
    "late_message",
    "DEBUG",
    "A message for an attempt that is not open on this link was dropped.",
)
REQUEST_REFUSED = event_log.define(
    2015,
    "request_refused",
    "INFO",
    "A client got a final answer other than the endpoint's own.",
)
INSTANCE_LIST_EMPTY = event_log.define(
    2016,
    "instance_list_empty",
    "WARNING",
    "The instance list names no sidecar; the last list stays in use.",
)
HTTP_SERVER_ERROR = event_log.define(
    2017,
    "http_server_error",
    "WARNING",
    "The HTTP server met an error on a client connection.",
)
REQUEST_ERROR = event_log.define(
    2018,
    "request_error",
    "ERROR",
    "A request raised an unexpected error; the client was told that its"
    " outcome is unknown.",
)
