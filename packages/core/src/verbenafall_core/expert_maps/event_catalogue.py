"""Log events of expert maps, numbers 5000 to 5999."""

from verbenafall_core import event_log

MAP_DECISION = event_log.define(
    5001,
    "map_decision",
    "INFO",
    "The lease holder of a group compared the allowed maps; the line gives the"
    " inputs, the selected map and the reason.",
)
RECORD_WRITTEN = event_log.define(
    5002,
    "group_record_written",
    "INFO",
    "The lease holder wrote the group record: its first version, or the next"
    " phase of a map switch.",
)
RECORD_NOT_WRITTEN = event_log.define(
    5003,
    "group_record_not_written",
    "WARNING",
    "The group record could not be written. The write is retried from the"
    " newest record; check the object store if this persists.",
)
RECORD_INVALID = event_log.define(
    5004,
    "group_record_invalid",
    "ERROR",
    "A group record is malformed and was ignored. Check that all instances"
    " run the same release.",
)
ORDER_SENT = event_log.define(
    5005, "map_order_sent", "INFO", "An engine accepted a map order."
)
ORDER_FAILED = event_log.define(
    5006,
    "map_order_failed",
    "WARNING",
    "An engine did not accept a map order. The order is repeated as long as it"
    " is needed; check the engine if this persists.",
)
ORDER_HELD = event_log.define(
    5007,
    "map_order_held",
    "WARNING",
    "An order was not sent to an engine: its epoch is old, the group record is"
    " not known, or no bundle received by this sidecar contains its map.",
)
ENGINE_DIFFERS = event_log.define(
    5008,
    "engine_state_differs",
    "WARNING",
    "An engine's map state differs from the group record or from an order that"
    " it accepted; the order is repeated. Logged once for each difference."
    " Expected after a rank was replaced.",
)
ENGINE_UNREACHABLE = event_log.define(
    5009,
    "engine_state_unreadable",
    "WARNING",
    "The state of an engine could not be read. Logged at the first failure and"
    " when the cause changes; check that the engine is running.",
)
RANKS_UNCLAIMED = event_log.define(
    5010,
    "group_ranks_unclaimed",
    "WARNING",
    "Ranks of a group are claimed by no connected sidecar or by more than one;"
    " a map switch waits until each rank is claimed once. Check the sidecars"
    " of these ranks.",
)
RECORD_RESTORED = event_log.define(
    5012,
    "group_record_restored",
    "WARNING",
    "The store was restored from a copy, and the lease holder wrote the group"
    " record again from what the sidecars and the ranks know. The line gives"
    " the record.",
)
STRAGGLER = event_log.define(
    5011,
    "rank_straggles",
    "WARNING",
    "A rank is slower than its load explains. No map can correct this; check"
    " its accelerator.",
)
