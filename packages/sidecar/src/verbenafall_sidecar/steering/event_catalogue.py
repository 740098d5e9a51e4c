"""Log events of steering rank groups, numbers 3100 to 3199."""

from verbenafall_core import event_log

STEERING_STARTED = event_log.define(
    3100, "steering_started", "INFO", "The sidecar runs."
)
STEERING_STOPPED = event_log.define(
    3101, "steering_stopped", "INFO", "The sidecar stopped."
)
ENGINE_LOST = event_log.define(
    3110,
    "engine_lost",
    "WARNING",
    "The engine beside this sidecar does not answer. Written once per outage.",
)
ENGINE_REGAINED = event_log.define(
    3111, "engine_regained", "INFO", "The engine beside this sidecar answers."
)
RANK_EPOCH = event_log.define(
    3112,
    "rank_epoch",
    "INFO",
    "The rank group was formed anew, or its state changed.",
)
ORDER_TAKEN = event_log.define(
    3113,
    "order_taken",
    "INFO",
    "The leader wants the rank in a state; the order is given to the engine.",
)
ORDER_REFUSED = event_log.define(
    3114,
    "order_refused",
    "WARNING",
    "An order was not carried out: a leader with a higher term is known, or"
    " the engine refused it.",
)
TERM_TAKEN = event_log.define(
    3120,
    "term_taken",
    "INFO",
    "This sidecar leads its rank group from now on; term is the fencing token.",
)
TERM_REFUSED = event_log.define(
    3121,
    "term_refused",
    "INFO",
    "Another sidecar took the lead, or the store did not take the claim.",
)
TERM_LOST = event_log.define(
    3122,
    "term_lost",
    "WARNING",
    "This sidecar no longer leads: a higher term is known.",
)
MAP_CHOSEN = event_log.define(
    3130,
    "map_chosen",
    "INFO",
    "A more even map was found; the ranks prepare it. The imbalances are the"
    " most loaded rank's work against the mean, before and after.",
)
MAP_KEPT = event_log.define(
    3131,
    "map_kept",
    "DEBUG",
    "The present map stays: a better one gains too little.",
)
MAP_SWITCHED = event_log.define(
    3132, "map_switched", "INFO", "All ranks use the new map."
)
SWITCH_PHASE = event_log.define(
    3133, "switch_phase", "INFO", "A switch of maps entered a phase."
)
SWITCH_ABANDONED = event_log.define(
    3134,
    "switch_abandoned",
    "WARNING",
    "A switch ended before any rank was armed; the present map stays.",
)
HOLD_RECOVERED = event_log.define(
    3135,
    "hold_recovered",
    "WARNING",
    "The group was held by an earlier leader or a late order; the switch is"
    " carried on or the group released.",
)
RANK_DIRECT = event_log.define(
    3136,
    "rank_direct",
    "WARNING",
    "The leader has no link with the sidecar of a rank and gives orders to the"
    " engine itself. Check the sidecar.",
)
LEADER_WAITS = event_log.define(
    3137,
    "leader_waits",
    "INFO",
    "The leader chooses no map; the reason says what it lacks. Written when"
    " the reason changes. Lasting for more than seconds, it needs a look.",
)
LEADER_FAILED = event_log.define(
    3138,
    "leader_failed",
    "ERROR",
    "A programming error while the group was led; the leader goes on. Report"
    " it with this line.",
)
SETTINGS_CHANGED = event_log.define(
    3102,
    "settings_changed",
    "INFO",
    "SIGHUP came: the settings were checked again, and are in force after a"
    " restart. The faults that were found follow.",
)
