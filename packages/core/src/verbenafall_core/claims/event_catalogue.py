"""Log events of claims, numbers 1300 to 1399."""

from verbenafall_core import event_log

CLAIM_UNAVAILABLE = event_log.define(
    1301,
    "claim_unavailable",
    "WARNING",
    "A claim could not be started, so the request was not run. Many of these"
    " at once point to an outage of the object store.",
)
CLAIM_NOT_RECORDED = event_log.define(
    1302,
    "claim_not_recorded",
    "WARNING",
    "The answer to a request could not be recorded in its claim; a repeat of"
    " the request gets the outcome unknown.",
)
CLAIM_NOT_VOIDED = event_log.define(
    1303,
    "claim_not_voided",
    "WARNING",
    "All tries to void the claim of an attempt that did not run were used up:"
    " the store failed, or the claim was not in it. If the claim is in the"
    " store, a repeat of the request gets the outcome unknown.",
)
CLAIM_MALFORMED = event_log.define(
    1304,
    "claim_malformed",
    "ERROR",
    "A claim in the object store cannot be decoded. Check who writes to the"
    " store, and that all instances run the same release.",
)
CLAIMS_COLLECTED = event_log.define(
    1305,
    "claims_collected",
    "INFO",
    "Claims past their retention period were removed; listed and removed"
    " count the claims of one pass.",
)
CLAIM_VOIDED_LATER = event_log.define(
    1306,
    "claim_voided_later",
    "INFO",
    "The claim of an attempt that did not run was voided by a retry.",
)
CLAIMS_UNCONFIRMED = event_log.define(
    1307,
    "claims_unconfirmed",
    "WARNING",
    "The object store was restored from an older copy and may have lost"
    " claims. Until the time given, non-idempotent requests get the outcome"
    " unknown unless their keys begin with the prefix of the era.",
)
