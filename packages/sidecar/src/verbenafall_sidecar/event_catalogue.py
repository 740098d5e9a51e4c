"""Log events of the sidecar, numbers 3000 to 3999."""

from verbenafall_core import event_log

SIDECAR_STARTED = event_log.define(
    3001, "sidecar_started", "INFO", "The sidecar accepts links."
)
SIDECAR_STOPPING = event_log.define(
    3002,
    "sidecar_stopping",
    "INFO",
    "The sidecar takes no new work and finishes open attempts.",
)
SIDECAR_STOPPED = event_log.define(
    3003,
    "sidecar_stopped",
    "INFO",
    "The sidecar has stopped; attempts left open are counted.",
)
ATTEMPT_ADMITTED = event_log.define(
    3010,
    "attempt_admitted",
    "INFO",
    "A dispatch was queued; the fields are the inputs of the decision.",
)
ATTEMPT_REFUSED = event_log.define(
    3011,
    "attempt_refused",
    "INFO",
    "A dispatch was refused; the fields are the inputs of the decision.",
)
ATTEMPT_ENDED = event_log.define(
    3012, "attempt_ended", "INFO", "An attempt has ended with an outcome."
)
DISPATCH_MALFORMED = event_log.define(
    3013,
    "dispatch_malformed",
    "ERROR",
    "A gateway sent a dispatch that cannot be passed on. Check that all"
    " instances run the same release.",
)
ATTEMPT_CRASHED = event_log.define(
    3014,
    "attempt_crashed",
    "ERROR",
    "A programming error ended an attempt; report it with this line.",
)
DISPATCH_REPEATED = event_log.define(
    3015,
    "dispatch_repeated",
    "WARNING",
    "A copy of a dispatch whose attempt is open was ignored. Gateways send"
    " each dispatch once; report it with the lines of the attempt.",
)
ENDPOINT_UP = event_log.define(
    3020, "endpoint_up", "INFO", "The endpoint can be reached."
)
ENDPOINT_DOWN = event_log.define(
    3021,
    "endpoint_down",
    "WARNING",
    "The endpoint cannot be reached; gateways are told that it is leaving."
    " Check the endpoint of this instance.",
)
TRANSFER_LOOP_FAILED = event_log.define(
    3030,
    "transfer_loop_failed",
    "ERROR",
    "A callback of a transfer raised an error; the transfer was ended.",
)
