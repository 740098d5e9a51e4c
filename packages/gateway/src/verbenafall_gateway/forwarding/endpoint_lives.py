"""Finds the requests that were at an endpoint whose process has ended; no I/O.

A process that crashes closes its connections, but a machine that loses power
leaves them silent. The later start in the endpoint's next entry is then the
only evidence of the crash, and may come after the attempts have ended.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from verbenafall_core import endpoints
from verbenafall_gateway.forwarding import departures

# An endpoint reports its start within this time. A request that was sent to it
# since then may have reached the new process.
START_REPORT_SECONDS: Final = 2.0
# Time for which an attempt that ended without an answer is remembered. A
# machine without power is back earlier.
RETENTION_SECONDS: Final = 30.0
# Bounds of such attempts: their number at one endpoint, and their parts at all
# endpoints. The oldest are dropped first.
MAX_ENDED: Final = 64
MAX_ENDED_PARTS: Final = 65536
# Maximum number of starts that are remembered; those that were not listed for
# longest are dropped first.
MAX_STARTS: Final = 4096

# Returns the latest known start of an endpoint in Unix milliseconds, None if
# it is not listed or states none.
LatestStart = Callable[[endpoints.Endpoint], int | None]


class SentAttempt(NamedTuple):
    """A request that was sent to an endpoint.

    Attributes:
        endpoint: The endpoint as it was listed when the request was sent.
        parts: Ids of the parts of its prompt, and its fingerprint.
        sent_at: When it was sent, in seconds of the event loop's clock.
    """

    endpoint: endpoints.Endpoint
    parts: tuple[str, ...]
    sent_at: float


class EndedAttempt(NamedTuple):
    """An attempt that ended before the endpoint began to answer.

    Attributes:
        ended_at: When it ended.
        outlived_at: When the endpoint first answered another request after
            that, None if it has not.
    """

    attempt: SentAttempt
    ended_at: float
    outlived_at: float | None = None

    def is_outdated(self, now: float) -> bool:
        """Return whether a crash that is noticed now cannot concern it.

        What answers shortly before may be the new process.
        """
        if now - self.ended_at > RETENTION_SECONDS:
            return True
        return (
            self.outlived_at is not None
            and now - self.outlived_at > START_REPORT_SECONDS
        )


class EndpointLives:
    """The unanswered attempts at all endpoints.

    Not thread-safe: call it on the event loop only.

    Attributes:
        open: Attempts whose answer has not begun, by the key of the request.
        ended: Attempts that ended without an answer, by endpoint id.
        starts: Latest start of each endpoint, by id. An entry may be missing
            while its endpoint has no power.
    """

    def __init__(self) -> None:
        """Create a tracker without attempts."""
        self.open: dict[Hashable, SentAttempt] = {}
        self.ended: dict[str, list[EndedAttempt]] = {}
        self.starts: dict[str, int] = {}

    def take_restarted(self, listed: Iterable[endpoints.Endpoint]) -> set[str]:
        """Return the ids of the endpoints that have started again.

        Each start is reported once.

        Args:
            listed: All listed endpoints.
        """
        restarted = set()
        for endpoint in listed:
            if endpoint.started_at is None:
                continue
            before = self.starts.pop(endpoint.id, None)
            if departures.is_later_start(endpoint.started_at, before):
                restarted.add(endpoint.id)
            self.starts[endpoint.id] = max(
                endpoint.started_at, before or endpoint.started_at
            )
        while len(self.starts) > MAX_STARTS:
            del self.starts[next(iter(self.starts))]
        return restarted

    def record_sent(self, key: Hashable, attempt: SentAttempt) -> None:
        """Add the attempt of a request."""
        self.open[key] = attempt

    def record_answer(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint has sent an answer, or a part of one."""
        ended = self.ended.get(endpoint_id)
        if ended is not None:
            self.keep_ended(
                endpoint_id,
                [
                    item
                    if item.outlived_at is not None
                    else item._replace(outlived_at=now)
                    for item in ended
                ],
                now,
            )

    def record_end(self, key: Hashable, remember: bool, now: float) -> None:
        """Remove an attempt that has ended or whose answer has begun.

        Args:
            key: Its request.
            remember: Whether the endpoint may have crashed before.
            now: Current time.
        """
        attempt = self.open.pop(key, None)
        if attempt is not None and remember:
            endpoint_id = attempt.endpoint.id
            ended = self.ended.get(endpoint_id, [])
            self.keep_ended(
                endpoint_id, [*ended, EndedAttempt(attempt, now)], now
            )
            self.drop_oldest()

    def keep_ended(
        self, endpoint_id: str, ended: list[EndedAttempt], now: float
    ) -> None:
        """Replace the ended attempts at an endpoint, without outdated ones."""
        kept = [item for item in ended if not item.is_outdated(now)]
        if kept:
            self.ended[endpoint_id] = kept[-MAX_ENDED:]
        else:
            self.ended.pop(endpoint_id, None)

    def drop_oldest(self) -> None:
        """Forget the oldest ended attempts if all have too many parts."""
        by_age = sorted(
            (item.ended_at, endpoint_id, len(item.attempt.parts))
            for endpoint_id, items in self.ended.items()
            for item in items
        )
        excess = sum(parts for _, _, parts in by_age) - MAX_ENDED_PARTS
        for _, endpoint_id, parts in by_age:
            if excess <= 0:
                return
            excess -= parts
            del self.ended[endpoint_id][0]
            if not self.ended[endpoint_id]:
                del self.ended[endpoint_id]

    def take_lost(
        self,
        latest_start: LatestStart,
        known_crash: Callable[[str], float],
        now: float,
    ) -> list[SentAttempt]:
        """Remove and return the attempts at processes that have ended.

        Args:
            latest_start: Returns the latest start of an endpoint.
            known_crash: Returns when the endpoint with an id is known to have
                crashed last.
            now: Current time.
        """
        lost: list[SentAttempt] = []
        for key, attempt in list(self.open.items()):
            start = latest_start(attempt.endpoint)
            if not departures.is_later_start(
                start, attempt.endpoint.started_at
            ):
                continue
            if now - attempt.sent_at < START_REPORT_SECONDS:
                endpoint = attempt.endpoint._replace(started_at=start)
                self.open[key] = attempt._replace(endpoint=endpoint)
                continue
            del self.open[key]
            lost.append(attempt)
        for endpoint_id, ended in list(self.ended.items()):
            restarted = [
                item
                for item in ended
                if departures.is_later_start(
                    latest_start(item.attempt.endpoint),
                    item.attempt.endpoint.started_at,
                )
            ]
            # A crash that was noticed at once has been recorded with all
            # requests that were there.
            lost += [
                item.attempt
                for item in restarted
                if not item.is_outdated(now)
                and item.attempt.sent_at > known_crash(endpoint_id)
            ]
            left = [item for item in ended if item not in restarted]
            self.keep_ended(endpoint_id, left, now)
        return lost


def create_endpoint_lives() -> EndpointLives:
    """Create a tracker without attempts."""
    return EndpointLives()
