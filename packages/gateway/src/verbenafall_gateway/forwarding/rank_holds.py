"""Sends hold orders to rank groups on behalf of their leaders.

If a leader sent the hold itself and its machine failed right afterwards, the
group would stay held and the rank on that machine would be unreachable. No
rank runs on a gateway's machine, so the leader can continue if a gateway
fails.
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

# Below the 120 ms after which the leader sends the hold itself if the group is
# not held yet.
ORDER_TIMEOUT: Final = datetime.timedelta(milliseconds=100)
# One hold that is being sent and one that is queued. Holds that waited longer
# would be out of date.
MAX_UNFINISHED: Final = 2


class RankHolds:
    """Sends hold orders on a dedicated thread.

    Requests for holds are accepted on any thread.
    """

    def __init__(
        self, rank_at: Callable[[addresses.Address], rank_port.RankPort]
    ) -> None:
        """Create a sender of holds and its thread pool.

        Args:
            rank_at: Returns the port to the rank of an engine.
        """
        self.rank_at = rank_at
        self.lock = threading.Lock()
        self.unfinished = 0
        self.pool = concurrent.futures.ThreadPoolExecutor(1, "rank-holds")

    def on_hold(self, link: link_lib.Link, message: messages.RankHold) -> None:
        """Queue a leader's request for a hold, or drop it if others wait."""
        del link
        with self.lock:
            if self.unfinished >= MAX_UNFINISHED:
                self.log_result(message, "busy")
                return
            self.unfinished += 1
        self.pool.submit(self.send_hold, message)

    def send_hold(self, message: messages.RankHold) -> None:
        """Send the order once and log the engine's answer."""
        try:
            engine = addresses.Address(message.engine_host, message.engine_port)
            answer = self.rank_at(engine).send_order(
                create_hold_order(message), ORDER_TIMEOUT
            )
            self.log_result(message, answer)
        except Exception as error:  # The thread must survive for later holds.
            self.log_result(message, repr(error))
        finally:
            with self.lock:
                self.unfinished -= 1

    def log_result(self, message: messages.RankHold, answer: str) -> None:
        """Log the result of a requested hold."""
        event_log.emit(
            event_catalogue.RANK_HOLD_GIVEN,
            group=message.group,
            engine=f"{message.engine_host}:{message.engine_port}",
            term=message.term,
            step=message.step,
            answer=answer,
        )

    def stop(self) -> None:
        """Accept no more holds and drop the queued ones."""
        self.pool.shutdown(wait=False, cancel_futures=True)


def create_hold_order(message: messages.RankHold) -> rank_state.RankOrder:
    """Return the order that a leader has requested."""
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
    """Create a sender of holds.

    Args:
        rank_at: Returns the port to the rank of an engine.
    """
    return RankHolds(rank_at)
