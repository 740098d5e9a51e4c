"""Log events of the sidecar, numbers 3000 to 3999."""

from verbenafall_core import event_log

SIDECAR_STARTED = event_log.define(
    3001,
    "sidecar_started",
    "INFO",
    "The sidecar started and accepts links at the address in the line.",
)
SIDECAR_STOPPING = event_log.define(
    3002,
    "sidecar_stopping",
    "INFO",
    "The sidecar is stopping. It refuses new dispatches and waits for open"
    " attempts up to the stop limit.",
)
SIDECAR_STOPPED = event_log.define(
    3003,
    "sidecar_stopped",
    "INFO",
    "The sidecar stopped. left_open is the number of attempts that were still"
    " open at the stop limit.",
)
ATTEMPT_ADMITTED = event_log.define(
    3010,
    "attempt_admitted",
    "INFO",
    "A dispatch was accepted and its attempt queued. The line gives the inputs"
    " of the decision.",
)
ATTEMPT_REFUSED = event_log.define(
    3011,
    "attempt_refused",
    "INFO",
    "A dispatch was refused. The line gives the reason and the inputs of the"
    " decision.",
)
ATTEMPT_ENDED = event_log.define(
    3012,
    "attempt_ended",
    "INFO",
    "An attempt ended. The line gives its outcome, and the reason if it"
    " failed.",
)
DISPATCH_MALFORMED = event_log.define(
    3013,
    "dispatch_malformed",
    "ERROR",
    "A gateway sent an invalid dispatch, which is refused. Check that all"
    " instances run the same release.",
)
ATTEMPT_CRASHED = event_log.define(
    3014,
    "attempt_crashed",
    "ERROR",
    "An unexpected exception ended an attempt. Report the error with this"
    " line.",
)
DISPATCH_REPEATED = event_log.define(
    3015,
    "dispatch_repeated",
    "WARNING",
    "A duplicate of a dispatch was ignored, as its attempt is still open. A"
    " gateway must send a dispatch only once. Report the error with all lines"
    " of the attempt.",
)
ENDPOINT_UP = event_log.define(
    3020, "endpoint_up", "INFO", "The endpoint can be reached again."
)
ENDPOINT_CLOSED = event_log.define(
    3022,
    "endpoint_closed",
    "INFO",
    "The endpoint said in an answer that it leaves, or, with 503 and"
    " Retry-After, for how many seconds it wants no requests. It gets no calls"
    " for this time, or until its process was replaced; queued dispatches that"
    " cannot wait are refused.",
)
ENDPOINT_DOWN = event_log.define(
    3021,
    "endpoint_down",
    "WARNING",
    "The endpoint cannot be reached. New dispatches are refused and the"
    " gateways are notified. Check the endpoint of this instance.",
)
TRANSFER_LOOP_FAILED = event_log.define(
    3030,
    "transfer_loop_failed",
    "ERROR",
    "A callback of a transfer to the endpoint raised an unexpected exception;"
    " the transfer has ended. Report the error with this line.",
)
