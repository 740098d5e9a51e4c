"""Holds rank groups for their leaders.

A leader that gives the hold itself and whose machine stops right after it
leaves a held group, one rank of which nobody can reach. A gateway has no rank
beside it: when it stops, the leader goes on.
"""

from collections.abc import Callable
import concurrent.futures
import datetime
import threading
from typing import Final

from verbenafall_core import addresses
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import messages
from verbenafall_core.expert_maps import rank_port
from verbenafall_core.expert_maps import rank_state
from verbenafall_gateway.forwarding import event_catalogue

# The leader gives the hold itself when it does not show after 120 ms.
ORDER_TIMEOUT: Final = datetime.timedelta(milliseconds=100)
# One hold is given at a time; an older one that waits is of no use.
MAX_UNFINISHED: Final = 2


class RankHolds:
    """Gives holds on a thread of its own; takes them on any thread."""

    def __init__(
        self, rank_at: Callable[[addresses.Address], rank_port.RankPort]
    ) -> None:
        """Create a giver of holds without work."""
        self.rank_at = rank_at
        self.lock = threading.Lock()
        self.unfinished = 0
        self.pool = concurrent.futures.ThreadPoolExecutor(1, "rank-holds")

    def on_hold(self, link: link_lib.Link, message: messages.RankHold) -> None:
        """Take a leader's wish; drop it while others wait."""
        del link
        with self.lock:
            if self.unfinished >= MAX_UNFINISHED:
                self.log_result(message, "busy")
                return
            self.unfinished += 1
        self.pool.submit(self.place_hold, message)

    def place_hold(self, message: messages.RankHold) -> None:
        """Give the order once and log the engine's answer."""
        try:
            engine = addresses.Address(message.engine_host, message.engine_port)
            answer = self.rank_at(engine).give_order(
                create_hold_order(message), ORDER_TIMEOUT
            )
            self.log_result(message, answer)
        except Exception as error:  # The thread serves later holds as well.
            self.log_result(message, repr(error))
        finally:
            with self.lock:
                self.unfinished -= 1

    def log_result(self, message: messages.RankHold, answer: str) -> None:
        """Log what became of a hold."""
        event_log.emit(
            event_catalogue.RANK_HOLD_GIVEN,
            group=message.group,
            engine=f"{message.engine_host}:{message.engine_port}",
            term=message.term,
            step=message.step,
            answer=answer,
        )

    def stop(self) -> None:
        """Take no more holds."""
        self.pool.shutdown(wait=False, cancel_futures=True)


def create_hold_order(message: messages.RankHold) -> rank_state.RankOrder:
    """Return the order that a leader asks for."""
    return rank_state.RankOrder(
        rank_state.OrderKind.HOLD,
        message.term,
        message.epoch,
        0,
        message.step,
        (),
    )


def create_rank_holds(
    rank_at: Callable[[addresses.Address], rank_port.RankPort],
) -> RankHolds:
    """Create a giver of holds without work."""
    return RankHolds(rank_at)
