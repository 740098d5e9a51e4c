"""Log events of the gateway package, numbers 2000 to 2999."""

from verbenafall_core import event_log

GATEWAY_STARTED = event_log.define(
    2001, "gateway_started", "INFO", "The gateway accepts client requests."
)
GATEWAY_DRAINING = event_log.define(
    2002,
    "gateway_draining",
    "INFO",
    "A planned stop has started: the gateway reports that it is not ready, and"
    " open requests are completed.",
)
GATEWAY_STOPPED = event_log.define(
    2003,
    "gateway_stopped",
    "INFO",
    "The gateway has stopped. The field open counts the requests that were"
    " refused at the stop limit before their answers were complete; if it is"
    " not 0, consider a longer stop_limit.",
)
ROUTE_CHOSEN = event_log.define(
    2010,
    "route_chosen",
    "INFO",
    "An endpoint was chosen for an attempt; the fields show the reason and the"
    " inputs of the choice.",
)
ROUTE_NOT_FOUND = event_log.define(
    2011,
    "route_not_found",
    "WARNING",
    "No endpoint linked to this gateway can accept the attempt. Check that"
    " instances of the service are running and not draining.",
)
ATTEMPT_BROKEN = event_log.define(
    2012,
    "attempt_broken",
    "WARNING",
    "An attempt was refused or failed; the field action says whether the"
    " request is retried.",
)
LATE_MESSAGE = event_log.define(
    2013,
    "late_message",
    "DEBUG",
    "A message was dropped because its attempt is not open on this link.",
)
REQUEST_REFUSED = event_log.define(
    2015,
    "request_refused",
    "INFO",
    "A request was answered with status 400 or higher, by the gateway or by an"
    " endpoint of a records service.",
)
INSTANCE_LIST_EMPTY = event_log.define(
    2016,
    "instance_list_empty",
    "WARNING",
    "The instance list has become empty; the links chosen from the previous"
    " list are kept. Check the instance list service.",
)
HTTP_SERVER_ERROR = event_log.define(
    2017,
    "http_server_error",
    "WARNING",
    "The HTTP server reported an error, usually on a client connection; the"
    " field error describes it.",
)
REQUEST_ERROR = event_log.define(
    2018,
    "request_error",
    "ERROR",
    "An unexpected error was raised while a request was handled; the client"
    " received status 500 with the outcome unknown. Report the error.",
)
