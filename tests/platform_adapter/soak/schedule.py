"""Draws the faults of a run; pure functions."""

import enum
import random
import signal
from typing import Final
from typing import NamedTuple

RELOAD_SIGNAL: Final = signal.SIGHUP

# Share of a run's time in which faults start.
FAULT_SPAN: Final = 0.7


class Kind(enum.StrEnum):
    """What happens to a target.

    STOP: SIGTERM, then a restart.
    STOP_MOST: SIGTERM to all gateways but one, then restarts.
    KILL: SIGKILL, then a restart.
    FREEZE: SIGSTOP for a while, then SIGCONT.
    RELOAD: SIGHUP, several times.
    STORE_SLOW: The store's answers to a gateway are delayed.
    STORE_SILENT: A gateway's calls to the store get no answer.
    STORE_RESET: A gateway's connections to the store are reset.
    STORE_DEAF: A gateway's calls reach the store, the answers are lost.
    HISTORY_GONE: The store forgets its history.
    STORE_RESTORED: The store comes back from an older copy.
    CONFIGURE: The configuration gets a new version with one more route.
    DRAIN: An endpoint leaves and one with another id takes its place.
    CRASH: An endpoint resets its connections and comes back under its id.
    SAY_LEAVING: An endpoint says in its answers that it leaves, and only later
        in its entry; one with another id takes its place.
    PAUSE: An endpoint answers 503 with Retry-After for a while.
    PAUSE_ALL: All endpoints do.
    """

    STOP = "stop"
    STOP_MOST = "stop_most"
    KILL = "kill"
    FREEZE = "freeze"
    RELOAD = "reload"
    STORE_SLOW = "store_slow"
    STORE_SILENT = "store_silent"
    STORE_RESET = "store_reset"
    STORE_DEAF = "store_deaf"
    HISTORY_GONE = "history_gone"
    STORE_RESTORED = "store_restored"
    CONFIGURE = "configure"
    DRAIN = "drain"
    CRASH = "crash"
    SAY_LEAVING = "say_leaving"
    PAUSE = "pause"
    PAUSE_ALL = "pause_all"


GATEWAY_KINDS: Final = (
    Kind.STOP,
    Kind.STOP,
    Kind.STOP_MOST,
    Kind.KILL,
    Kind.FREEZE,
    Kind.RELOAD,
)
STORE_KINDS: Final = (
    Kind.STORE_SLOW,
    Kind.STORE_SILENT,
    Kind.STORE_RESET,
    Kind.STORE_DEAF,
    Kind.HISTORY_GONE,
    Kind.STORE_RESTORED,
    Kind.CONFIGURE,
    Kind.CONFIGURE,
)
ENDPOINT_KINDS: Final = (Kind.DRAIN, Kind.CRASH)


STATEMENT_KINDS: Final = (Kind.SAY_LEAVING, Kind.PAUSE, Kind.PAUSE_ALL)


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at: Seconds from the start of the traffic.
        target: Number of the gateway or endpoint.
        seconds: How long it lasts, if it lasts.
    """

    at: float
    kind: Kind
    target: int
    seconds: float


def draw_faults(
    generator: random.Random, gateways: int, endpoints: int, seconds: float
) -> list[Fault]:
    """Return the faults of a run in order of time.

    Faults come in series of one to four of one kind, which overlap with each
    other and with other series.
    """
    faults: list[Fault] = []
    for _ in range(generator.randint(3, 6)):
        kinds = generator.choice((GATEWAY_KINDS, STORE_KINDS, ENDPOINT_KINDS))
        kind = generator.choice(kinds)
        targets = endpoints if kind in ENDPOINT_KINDS else gateways
        at = generator.uniform(0.0, FAULT_SPAN * seconds)
        for _ in range(generator.randint(1, 4)):
            faults.append(
                Fault(
                    at,
                    kind,
                    generator.randrange(targets),
                    generator.uniform(0.2, 3.0),
                )
            )
            at += generator.uniform(0.0, 1.5)
    return sorted(faults)


def draw_statements(
    generator: random.Random, endpoints: int, seconds: float
) -> list[Fault]:
    """Return what endpoints say of themselves in a run, in order of time."""
    return sorted(
        Fault(
            generator.uniform(0.0, FAULT_SPAN * seconds),
            generator.choice(STATEMENT_KINDS),
            generator.randrange(endpoints),
            generator.uniform(1.0, 4.0),
        )
        for _ in range(generator.randint(3, 6))
    )
