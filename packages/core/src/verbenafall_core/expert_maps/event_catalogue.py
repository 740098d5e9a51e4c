"""Log events of expert maps, numbers 5000 to 5999."""

from verbenafall_core import event_log

MAP_DECISION = event_log.define(
    5001,
    "map_decision",
    "INFO",
    "The lease holder of a group weighed its maps; the line gives the inputs,"
    " the chosen map and the reason.",
)
RECORD_WRITTEN = event_log.define(
    5002,
    "group_record_written",
    "INFO",
    "The lease holder wrote the group record: a step of a map switch.",
)
RECORD_NOT_WRITTEN = event_log.define(
    5003,
    "group_record_not_written",
    "WARNING",
    "The group record could not be written; it is tried again from the newest"
    " record. Lasting only while the store is down.",
)
RECORD_INVALID = event_log.define(
    5004,
    "group_record_invalid",
    "ERROR",
    "A group record is malformed and was ignored. Check that all instances"
    " run the same release.",
)
ORDER_SENT = event_log.define(
    5005, "map_order_sent", "INFO", "An engine was given a map order."
)
ORDER_FAILED = event_log.define(
    5006,
    "map_order_failed",
    "WARNING",
    "An engine did not take a map order; it is repeated while needed.",
)
ORDER_HELD = event_log.define(
    5007,
    "map_order_held",
    "WARNING",
    "An order was held back from an engine: its epoch is old, the group"
    " record is not known, or no bundle seen here has its map.",
)
ENGINE_DIFFERS = event_log.define(
    5008,
    "engine_state_differs",
    "WARNING",
    "An engine's map state differs from what it was ordered; the order is"
    " repeated. Logged once for each difference. Expected after a rank was"
    " replaced.",
)
ENGINE_UNREACHABLE = event_log.define(
    5009,
    "engine_state_unreadable",
    "WARNING",
    "The state of an engine could not be read; logged when it begins and"
    " when the cause changes.",
)
RANKS_UNCLAIMED = event_log.define(
    5010,
    "group_ranks_unclaimed",
    "WARNING",
    "Ranks of a group are claimed by no live link or by two blocks; a map"
    " switch waits until that is resolved.",
)
STRAGGLER = event_log.define(
    5011,
    "rank_straggles",
    "WARNING",
    "A rank is slow at equal load. No map helps; check its accelerator.",
)
