"""Log events of forwarding, numbers 2100 to 2199."""

from verbenafall_core import event_log

FORWARDER_STARTED = event_log.define(
    2100, "forwarder_started", "INFO", "The gateway accepts client connections."
)
FORWARDER_DRAINING = event_log.define(
    2101,
    "forwarder_draining",
    "INFO",
    "A planned stop started: the gateway reports that it is not ready, finishes"
    " open requests and closes each client connection after its answer.",
)
FORWARDER_STOPPED = event_log.define(
    2102,
    "forwarder_stopped",
    "INFO",
    "The gateway stopped; open is the number of requests that were still open"
    " at the stop limit and got their final answer from the gateway.",
)
SETTINGS_RELOADED = event_log.define(
    2103,
    "settings_reloaded",
    "INFO",
    "The settings were reloaded after a signal. Restart the gateway to apply"
    " the fields listed in after_restart.",
)
SETTINGS_REJECTED = event_log.define(
    2104,
    "settings_rejected",
    "ERROR",
    "The settings read after a signal are invalid; the previous ones stay in"
    " force. Correct the listed faults and send the signal again.",
)
CONFIGURATION_IN_FORCE = event_log.define(
    2110,
    "configuration_in_force",
    "INFO",
    "A new version of the configuration came into force; source says whether"
    " it was received from the store or from another gateway.",
)
CONFIGURATION_IGNORED = event_log.define(
    2111,
    "configuration_ignored",
    "DEBUG",
    "A configuration that is not newer than the one in force was ignored.",
)
PEER_CONFIGURATION_UNREADABLE = event_log.define(
    2112,
    "peer_configuration_unreadable",
    "ERROR",
    "A configuration from another gateway could not be decoded; the gateway"
    " waits for the one from the store. Check that all gateways run the same"
    " release.",
)
OWN_RECORD_WRITTEN = event_log.define(
    2113,
    "own_record_written",
    "INFO",
    "The gateway's record is in the store, so other gateways can find it."
    " Logged at the start and after each restore of the store, with its era.",
)
OWN_RECORD_FAILED = event_log.define(
    2114,
    "own_record_failed",
    "WARNING",
    "The gateway could not write its record to the store, so other gateways may"
    " not find it. It retries; check the store if the record is not written.",
)
OWN_RECORD_NOT_DELETED = event_log.define(
    2115,
    "own_record_not_deleted",
    "WARNING",
    "The gateway could not delete its record at a planned stop. Other gateways"
    " try to link to it until the next start replaces the record.",
)
ABSENT_RECORD_REMOVED = event_log.define(
    2116,
    "absent_record_removed",
    "INFO",
    "The record of a gateway that had no link for a minute was removed from the"
    " store, unless problem says why not. If the gateway runs, it writes the"
    " record again: check the network between the two.",
)
ENDPOINT_PAUSED = event_log.define(
    2144,
    "endpoint_paused",
    "INFO",
    "An endpoint answered 503 with Retry-After; this gateway sends it nothing"
    " for so many seconds. Logged when the pause begins and when it becomes"
    " longer by a second or more.",
)
ENDPOINT_PAUSE_UNREADABLE = event_log.define(
    2145,
    "endpoint_pause_unreadable",
    "WARNING",
    "An endpoint answered 503 with a Retry-After that is not one number of"
    " seconds or date; it is ignored. Report it to the endpoint's developers.",
)
ENDPOINT_LISTED = event_log.define(
    2120,
    "endpoint_listed",
    "INFO",
    "An endpoint was added to the store, or its entry changed.",
)
ENDPOINT_UNLISTED = event_log.define(
    2121,
    "endpoint_unlisted",
    "INFO",
    "An endpoint gets no more requests; source says whether its entry was"
    " removed from the store, it said in an answer that it leaves, another"
    " gateway reported it as leaving or its address answered under another id.",
)
ENDPOINT_SUSPECTED = event_log.define(
    2122,
    "endpoint_suspected",
    "WARNING",
    "An attempt at an endpoint failed; the endpoint is avoided for the stated"
    " number of seconds.",
)
ENDPOINT_RETURNED = event_log.define(
    2123,
    "endpoint_returned",
    "INFO",
    "An endpoint that had left in an earlier era of the store accepts requests"
    " again: its engine started again, wrote its entry after the restore, or"
    " maintains the copied entry.",
)
ENDPOINTS_RESTORED = event_log.define(
    2124,
    "endpoints_restored",
    "WARNING",
    "The endpoints were read from a store that was restored from a copy: before"
    " and revision are the store's revisions, kept are endpoints without an"
    " entry that stay in use for two seconds, withheld are endpoints with an"
    " entry from before they left, which get no requests. Logged once per"
    " process and restore.",
)
ENDPOINT_LIMITED = event_log.define(
    2125,
    "endpoint_limited",
    "INFO",
    "An endpoint states in its answers how many requests a second it accepts"
    " from all gateways together, or another number than before; -1 if it no"
    " longer states any.",
)
ENDPOINT_LIMIT_UNREADABLE = event_log.define(
    2126,
    "endpoint_limit_unreadable",
    "WARNING",
    "The rate limit in an endpoint's answer is not a number, and the last known"
    " one stays in force.",
)
ATTEMPT_PLACED = event_log.define(
    2130,
    "forward_placed",
    "INFO",
    "An endpoint was chosen for a request; load is the number of open requests"
    " of all gateways there, counts_age the age of the other gateways' counts.",
)
ATTEMPT_ENDED = event_log.define(
    2131,
    "forward_attempt_ended",
    "INFO",
    "An attempt ended without a delivered answer; action is the next step."
    " repeats_left is what this gateway may still repeat at the service, and"
    " gateways among how many the extra repeats are divided (0 if unknown).",
)
ENDPOINT_CHECKED = event_log.define(
    2138,
    "endpoint_checked",
    "INFO",
    "An endpoint closed a connection before it began to answer the request"
    " there; state is crashed if nothing listens on its address any more.",
)
PART_SUSPECTED = event_log.define(
    2139,
    "part_suspected",
    "WARNING",
    "An endpoint crashed before it began to answer a request, and these parts"
    " of the prompt may have caused it, or the request itself, shown by its"
    " fingerprint. Requests with them are refused until one that tries them is"
    " answered.",
)
PART_CLEARED = event_log.define(
    2140,
    "part_cleared",
    "INFO",
    "An answer to a request with a suspect part had an event, so that the part"
    " is none any more.",
)
PART_TRIED = event_log.define(
    2141,
    "part_tried",
    "INFO",
    "A request with a suspect part is sent to find out whether it is sound.",
)
ATTEMPT_WITHDRAWN = event_log.define(
    2142,
    "forward_withdrawn",
    "INFO",
    "A request that had not begun is withdrawn from its endpoint, as a part of"
    " its prompt has become a suspect.",
)
SUSPECT_RECORD_FAILED = event_log.define(
    2143,
    "suspect_record_failed",
    "WARNING",
    "The record of suspect parts in the object store could not be read or"
    " written, which is repeated, or is not readable.",
)
RANK_HOLD_GIVEN = event_log.define(
    2135,
    "rank_hold_given",
    "INFO",
    "A rank group's leader requested a hold before a pass; answer is that of"
    " the engine, an error, or busy if the gateway dropped the request. The"
    " leader sends the hold itself if the group is not held.",
)
REQUEST_ENDED = event_log.define(
    2132,
    "forward_ended",
    "INFO",
    "A request ended; outcome and status are those that the client received.",
)
REQUEST_REJECTED = event_log.define(
    2133,
    "forward_rejected",
    "INFO",
    "A request was refused before an endpoint was chosen.",
)
REQUEST_FAILED = event_log.define(
    2134,
    "forward_failed",
    "ERROR",
    "A programming error occurred while a request was served, and its"
    " connection was closed. Report the error with this line.",
)
SWEEP_FAILED = event_log.define(
    2137,
    "sweep_failed",
    "ERROR",
    "A programming error occurred in the periodic check of time limits, which"
    " continues. Report the error with this line.",
)
REQUEST_CUT_BY_STOP = event_log.define(
    2136,
    "forward_cut_by_stop",
    "WARNING",
    "A request was still open when the planned stop ended. received and"
    " connected are seconds from the start of the stop to the request and to"
    " its connection, negative if they came before; runs is 0 for a request"
    " that was still queued.",
)
