"""Log events of bundles, numbers 4000 to 4999."""

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
    " and the public keys in the settings, then roll a higher version.",
)
BUNDLE_PEER_TEXT_REFUSED = event_log.define(
    4004,
    "bundle_peer_text_refused",
    "WARNING",
    "A bundle text sent by a peer failed verification; another source is"
    " asked. Check the peer's public keys when it repeats.",
)
BUNDLE_UNCONFIRMED = event_log.define(
    4005,
    "bundle_unconfirmed",
    "ERROR",
    "The process may have missed an accepted bundle and takes no new work."
    " Check its connection to the store and to its peers.",
)
BUNDLE_CONFIRMED = event_log.define(
    4006,
    "bundle_confirmed",
    "INFO",
    "The process knows the accepted bundle again and takes new work.",
)
BUNDLE_STORE_FAILED = event_log.define(
    4007,
    "bundle_store_failed",
    "WARNING",
    "The bundle head or a bundle could not be read from the store. Check the"
    " store when several processes report it.",
)
BUNDLE_STORE_RECOVERED = event_log.define(
    4008,
    "bundle_store_recovered",
    "INFO",
    "The store answers again after bundle_store_failed.",
)
