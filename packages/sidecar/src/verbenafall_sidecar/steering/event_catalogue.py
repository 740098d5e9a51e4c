"""Log events of steering sidecars, numbers 3100 to 3199."""

from verbenafall_core import event_log

STEERING_STARTED = event_log.define(
    3100, "steering_started", "INFO", "The steering sidecar started."
)
STEERING_STOPPED = event_log.define(
    3101, "steering_stopped", "INFO", "The steering sidecar stopped."
)
ENGINE_LOST = event_log.define(
    3110,
    "engine_lost",
    "WARNING",
    "This sidecar's engine does not answer. Logged once per outage. Check the"
    " engine.",
)
ENGINE_REGAINED = event_log.define(
    3111, "engine_regained", "INFO", "This sidecar's engine answers again."
)
RANK_EPOCH = event_log.define(
    3112,
    "rank_epoch",
    "INFO",
    "The rank group was seen for the first time, formed again, or opened or"
    " closed for passes.",
)
ORDER_TAKEN = event_log.define(
    3113,
    "order_taken",
    "INFO",
    "An order of the leader was sent to the engine; answer is the reply.",
)
ORDER_REFUSED = event_log.define(
    3114,
    "order_refused",
    "WARNING",
    "An order was not carried out; reason says why: a higher term is known,"
    " the engine refused it, the rank's state rules it out, or the map that its"
    " changes apply to is unknown.",
)
TERM_TAKEN = event_log.define(
    3120,
    "term_taken",
    "INFO",
    "This sidecar became the leader of its rank group; term is the fencing"
    " token.",
)
TERM_REFUSED = event_log.define(
    3121,
    "term_refused",
    "INFO",
    "This sidecar did not become the leader: another one claimed the term"
    " first, or the object store did not confirm the claim. It tries again"
    " while nobody leads.",
)
TERM_LOST = event_log.define(
    3122,
    "term_lost",
    "WARNING",
    "This sidecar stopped leading because it learned of a higher term.",
)
MAP_CHOSEN = event_log.define(
    3130,
    "map_chosen",
    "INFO",
    "A better balanced map was found and the ranks prepare it. before and"
    " after are the work of the most loaded rank divided by the mean.",
)
MAP_KEPT = event_log.define(
    3131,
    "map_kept",
    "DEBUG",
    "The current map stays in use: no other map gains enough to be worth its"
    " copies.",
)
MAP_SWITCHED = event_log.define(
    3132,
    "map_switched",
    "INFO",
    "All ranks use the new map. seconds is the duration of the switch.",
)
SWITCH_PHASE = event_log.define(
    3133, "switch_phase", "INFO", "A map switch entered another phase."
)
SWITCH_ABANDONED = event_log.define(
    3134,
    "switch_abandoned",
    "WARNING",
    "A map switch ended before any rank was armed; the current map stays in"
    " use. The leader searches for a map again.",
)
HOLD_RECOVERED = event_log.define(
    3135,
    "hold_recovered",
    "WARNING",
    "The leader found the group held by an earlier leader or a late order. It"
    " completes the switch or releases the group.",
)
RANK_DIRECT = event_log.define(
    3136,
    "rank_direct",
    "WARNING",
    "The leader has no link to the sidecar of a rank and sends orders to the"
    " engine directly. Check that the sidecar runs and can be reached.",
)
LEADER_WAITS = event_log.define(
    3137,
    "leader_waits",
    "INFO",
    "The leader cannot choose a map; the reason says what is missing. Logged"
    " when the reason changes. Investigate if it lasts for more than a few"
    " seconds.",
)
LEADER_FAILED = event_log.define(
    3138,
    "leader_failed",
    "ERROR",
    "The leader's thread caught an unexpected exception and continues to run."
    " Report the error with this line.",
)
GROUP_LEFT_HELD = event_log.define(
    3139,
    "group_left_held",
    "WARNING",
    "The leader stops as planned, but could not release its group in time. No"
    " pass starts until the next leader releases the group.",
)
GROUP_CHANGED = event_log.define(
    3140,
    "group_changed",
    "INFO",
    "The engine of a leader belongs to another rank group now, so it no longer"
    " leads the one before.",
)
AGENT_FAILED = event_log.define(
    3141,
    "agent_failed",
    "ERROR",
    "The thread that reads the engine caught an unexpected exception and"
    " continues to run. Report the error with this line.",
)
SETTINGS_CHANGED = event_log.define(
    3102,
    "settings_changed",
    "INFO",
    "The settings file was checked after SIGHUP. Changes take effect after a"
    " restart; faults lists what is wrong in the file.",
)
