"""Log events of claims, numbers 1300 to 1399."""

from verbenafall_core import event_log

CLAIM_UNAVAILABLE = event_log.define(
    1301,
    "claim_unavailable",
    "WARNING",
    "A claim could not be made, so the request was not run. Many at once"
    " point to an outage of the object store.",
)
CLAIM_NOT_RECORDED = event_log.define(
    1302,
    "claim_not_recorded",
    "WARNING",
    "The answer to a request could not be recorded; a repeat of the request"
    " is told that the outcome is unknown.",
)
CLAIM_NOT_VOIDED = event_log.define(
    1303,
    "claim_not_voided",
    "WARNING",
    "A claim of an attempt that did not run could not be made void; a repeat"
    " of the request is told that the outcome is unknown.",
)
CLAIM_MALFORMED = event_log.define(
    1304,
    "claim_malformed",
    "ERROR",
    "A claim in the object store cannot be read. Check who writes to the"
    " store, and that all instances run the same release.",
)
CLAIMS_COLLECTED = event_log.define(
    1305, "claims_collected", "INFO", "Old claims were removed."
)
CLAIM_VOIDED_LATER = event_log.define(
    1306,
    "claim_voided_later",
    "INFO",
    "A claim whose making had an unknown result is void now.",
)
