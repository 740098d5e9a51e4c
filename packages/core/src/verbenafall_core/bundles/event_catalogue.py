"""Log events of the bundle subsystem, numbers 4000 to 4999."""

from verbenafall_core import event_log

BUNDLE_IN_FORCE = event_log.define(
    4001, "bundle_in_force", "INFO", "A bundle version was put in force."
)
BUNDLE_PREPARED = event_log.define(
    4002,
    "bundle_prepared",
    "INFO",
    "A bundle version was fetched and verified.",
)
BUNDLE_REJECTED = event_log.define(
    4003,
    "bundle_rejected",
    "ERROR",
    "A bundle version failed verification and is not used. Check the reason"
    " and the public keys in the settings, then roll out a higher version.",
)
BUNDLE_PEER_TEXT_REFUSED = event_log.define(
    4004,
    "bundle_peer_text_refused",
    "WARNING",
    "A bundle text sent by a peer failed verification; it is requested from"
    " another source. If this repeats, check the peer's public keys.",
)
BUNDLE_UNCONFIRMED = event_log.define(
    4005,
    "bundle_unconfirmed",
    "ERROR",
    "The process may have missed an accepted bundle and accepts no new work."
    " Check its connection to the store and to its peers.",
)
BUNDLE_CONFIRMED = event_log.define(
    4006,
    "bundle_confirmed",
    "INFO",
    "The process accepts new work again after bundle_unconfirmed.",
)
BUNDLE_STORE_FAILED = event_log.define(
    4007,
    "bundle_store_failed",
    "WARNING",
    "The bundle head or a bundle could not be read from the store. If several"
    " processes report this, check the store.",
)
BUNDLE_STORE_RECOVERED = event_log.define(
    4008,
    "bundle_store_recovered",
    "INFO",
    "The bundle head could be read again after bundle_store_failed.",
)
BUNDLE_HEAD_WRITTEN_AGAIN = event_log.define(
    4009,
    "bundle_head_written_again",
    "WARNING",
    "The bundle head in the store was older than the versions that this process"
    " knows, and was written again. Expected after a restore of the store.",
)
BUNDLE_NUMBER_REUSED = event_log.define(
    4010,
    "bundle_number_reused",
    "ERROR",
    "The store has another text than this process under a version that was"
    " accepted or pending. Roll out a higher version.",
)
