"""Gives requests a place at an endpoint, or lets them wait or go."""

import asyncio
from collections.abc import Callable
import enum
import itertools
import random
from typing import Final
from typing import NamedTuple

from verbenafall_core import endpoints
from verbenafall_core import event_log
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import peer_loads
from verbenafall_gateway.forwarding import placement
from verbenafall_gateway.forwarding import rank_slowdowns
from verbenafall_gateway.forwarding import service_liveness
from verbenafall_gateway.forwarding import wait_queue

# An endpoint that just failed is avoided this long, twice as long each time.
SUSPECT_FIRST_SECONDS: Final = 0.5
SUSPECT_LIMIT_SECONDS: Final = 4.0
# Weight of the newest value in running means.
NEWEST_WEIGHT: Final = 0.1
# Seconds, before anything was measured.
FIRST_DURATION: Final = 2.0
FIRST_ANSWER: Final = 0.15
# Slots of endpoints that state none.
DEFAULT_SLOTS: Final = 8
# Least time to come back after a refusal, in seconds.
LEAST_RETRY_AFTER: Final = 0.2


class PlacementRequest(NamedTuple):
    """What a request needs.

    Attributes:
        tried: Ids of endpoints that it was sent to already.
    """

    request_id: str
    service: str
    urgency: int
    arrived: float
    target_at: float
    deadline: float
    client_timeout_at: float
    tried: frozenset[str]


class Placed(NamedTuple):
    """A place that was taken; give it back by release()."""

    endpoint: endpoints.Endpoint
    acquired_at: float
    waited: float


class RefusalReason(enum.StrEnum):
    """Why a request got no place."""

    NO_ENDPOINT = "no_endpoint"
    FULL = "full"
    STALLED = "stalled"
    TOO_LATE = "too_late"


class Refused(NamedTuple):
    """No place; `retry_after` in seconds."""

    reason: RefusalReason
    retry_after: float


class Suspicion(NamedTuple):
    """An endpoint that failed."""

    until: float
    span: float


class Means(NamedTuple):
    """Running means of a service, in seconds."""

    duration: float
    first_answer: float


class Waiter(NamedTuple):
    """A request in the line with what it waits for."""

    entry: wait_queue.Waiting
    wish: PlacementRequest
    place: asyncio.Future[Placed | Refused]


class Admission:
    """Places and lines of all services; event loop only."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        directory: endpoint_directory.EndpointDirectory,
        peers: peer_loads.PeerLoads,
        slowdowns: rank_slowdowns.RankSlowdowns,
        data_centre: str,
        load_per_slot: Callable[[str], float],
        generator: random.Random,
    ) -> None:
        """Create an admission without open requests."""
        self.loop = loop
        self.directory = directory
        self.peers = peers
        self.slowdowns = slowdowns
        self.data_centre = data_centre
        self.load_per_slot = load_per_slot
        self.generator = generator
        self.open: dict[str, int] = {}
        self.lines: dict[str, list[Waiter]] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.means: dict[str, Means] = {}
        self.pulses: dict[str, service_liveness.ServicePulse] = {}
        self.numbers = itertools.count()

    def candidates(self, wish: PlacementRequest) -> list[placement.Candidate]:
        """Return the endpoints that may take a request."""
        now = self.loop.time()
        found = []
        for endpoint in self.directory.usable(wish.service):
            if endpoint.id in wish.tried:
                continue
            suspicion = self.suspicions.get(endpoint.id)
            own = self.open.get(endpoint.id, 0)
            found.append(
                placement.Candidate(
                    endpoint.id,
                    own + self.peers.load_of(endpoint.id, now),
                    endpoint.slots or DEFAULT_SLOTS,
                    endpoint.data_centre == self.data_centre,
                    suspicion is not None and suspicion.until > now,
                    self.slowdowns.is_slow(endpoint.address.host, now),
                    own,
                )
            )
        return found

    def has_fast_room(self, wish: PlacementRequest) -> bool:
        """Return whether an endpoint that is not slow has room now."""
        fast = [item for item in self.candidates(wish) if not item.slow]
        limit = self.load_per_slot(wish.service)
        return placement.choose(fast, limit, 0.0) is not None

    def try_place(self, wish: PlacementRequest) -> Placed | None:
        """Take a place if there is one now."""
        choice = placement.choose(
            self.candidates(wish),
            self.load_per_slot(wish.service),
            self.generator.random(),
        )
        if choice is None:
            return None
        now = self.loop.time()
        chosen = choice.candidate
        endpoint = self.directory.listed[chosen.endpoint_id].value
        self.open[endpoint.id] = self.open.get(endpoint.id, 0) + 1
        liveness = self.pulses.get(wish.service)
        if liveness is not None:
            liveness.note_sent(now)
        self.peers.set_own_load(self.open)
        event_log.emit(
            event_catalogue.ATTEMPT_PLACED,
            request=wish.request_id,
            endpoint=endpoint.id,
            load=chosen.load,
            slots=chosen.slots,
            candidates=choice.considered,
            least_load=choice.least_load,
            suspect=chosen.suspect,
            slow=chosen.slow,
            counts_age=self.peers.age(now),
            waited=now - wish.arrived,
        )
        return Placed(endpoint, now, now - wish.arrived)

    async def place(self, wish: PlacementRequest) -> Placed | Refused:
        """Take a place, waiting for one if that makes sense."""
        line = self.lines.setdefault(wish.service, [])
        stalled = self.check_pulse(wish.service)
        if stalled is not None:
            return stalled
        if not line:
            placed = self.try_place(wish)
            if placed is not None:
                return placed
        refused = self.check_line(wish, len(line))
        if refused is not None:
            return refused
        means = self.means_of(wish.service)
        entry = wait_queue.Waiting(
            next(self.numbers),
            wish.urgency,
            wish.arrived,
            wish.target_at - means.first_answer,
            self.latest_start(wish),
        )
        waiter = Waiter(entry, wish, self.loop.create_future())
        line.append(waiter)
        try:
            return await waiter.place
        except asyncio.CancelledError:
            if waiter.place.done() and not waiter.place.cancelled():
                given = waiter.place.result()
                if isinstance(given, Placed):
                    self.release(given)
            raise
        finally:
            if waiter in line:
                line.remove(waiter)

    def liveness(self, service: str) -> service_liveness.ServicePulse | None:
        """Return the pulse of a service whose endpoints work together."""
        return self.pulses.get(service)

    def track_liveness(self, service: str) -> None:
        """Watch a service whose endpoints run each pass together."""
        self.pulses.setdefault(service, service_liveness.ServicePulse())

    def check_pulse(self, service: str) -> Refused | None:
        """Return a refusal while a service does no work."""
        liveness = self.pulses.get(service)
        now = self.loop.time()
        if (
            liveness is None
            or not liveness.is_stalled(now)
            or liveness.may_probe(now)
        ):
            return None
        return Refused(
            RefusalReason.STALLED,
            service_liveness.return_time(self.generator.random()),
        )

    def refuse_expired(self) -> None:
        """Refuse waiting requests that can no longer be complete in time."""
        now = self.loop.time()
        for line in self.lines.values():
            hopeless = [
                waiter for waiter in line if waiter.entry.useful_until <= now
            ]
            for waiter in hopeless:
                line.remove(waiter)
                if not waiter.place.done():
                    waiter.place.set_result(
                        Refused(RefusalReason.TOO_LATE, LEAST_RETRY_AFTER)
                    )

    def refuse_stalled_queues(self) -> None:
        """Refuse the requests that wait for a service that does no work."""
        for service, line in self.lines.items():
            liveness = self.pulses.get(service)
            if liveness is None or not liveness.is_stalled(self.loop.time()):
                continue
            for waiter in line:
                if not waiter.place.done():
                    waiter.place.set_result(
                        Refused(
                            RefusalReason.STALLED,
                            service_liveness.return_time(
                                self.generator.random()
                            ),
                        )
                    )
            line.clear()

    def check_line(
        self, wish: PlacementRequest, waiting: int
    ) -> Refused | None:
        """Return a refusal when waiting makes no sense."""
        usable = list(self.directory.usable(wish.service))
        if not usable:
            return Refused(RefusalReason.NO_ENDPOINT, 1.0)
        state = wait_queue.LineState(
            waiting,
            sum(endpoint.slots or DEFAULT_SLOTS for endpoint in usable),
            self.means_of(wish.service).duration,
            self.peers.live_gateways(),
        )
        wait = wait_queue.expected_wait(state)
        if self.loop.time() + wait > self.latest_start(wish):
            return Refused(
                RefusalReason.FULL,
                max(LEAST_RETRY_AFTER, wait * self.generator.uniform(0.5, 1.0)),
            )
        return None

    def latest_start(self, wish: PlacementRequest) -> float:
        """Return when a request must have a place to be of use.

        Its client must still be there for the first event, and its answer
        must be complete before the deadline.
        """
        means = self.means_of(wish.service)
        return min(
            wish.deadline - means.duration,
            wish.client_timeout_at - means.first_answer,
        )

    def release(self, placed: Placed) -> None:
        """Give a place back and serve the line."""
        endpoint = placed.endpoint
        left = self.open.get(endpoint.id, 0) - 1
        if left > 0:
            self.open[endpoint.id] = left
        else:
            self.open.pop(endpoint.id, None)
            liveness = self.pulses.get(endpoint.service)
            if liveness is not None and not self.open:
                liveness.note_idle()
        self.peers.set_own_load(self.open)
        self.serve_line(endpoint.service)

    def serve_line(self, service: str) -> None:
        """Give free places to waiting requests."""
        line = self.lines.get(service)
        while line:
            now = self.loop.time()
            entry = wait_queue.pick_next([waiter.entry for waiter in line], now)
            if entry is None:
                return
            waiter = next(item for item in line if item.entry is entry)
            if waiter.place.done():
                line.remove(waiter)
                continue
            placed = self.try_place(waiter.wish)
            if placed is None:
                return
            line.remove(waiter)
            waiter.place.set_result(placed)

    def serve_all_queues(self) -> None:
        """Serve every line, when loads or endpoints have changed."""
        for service in list(self.lines):
            self.serve_line(service)

    def suspect(self, endpoint_id: str, reason: str) -> None:
        """Avoid an endpoint that failed for a while."""
        now = self.loop.time()
        known = self.suspicions.get(endpoint_id)
        span = SUSPECT_FIRST_SECONDS
        if known is not None and now < known.until + known.span:
            if now < known.until:
                return
            span = min(known.span * 2, SUSPECT_LIMIT_SECONDS)
        self.suspicions[endpoint_id] = Suspicion(now + span, span)
        event_log.emit(
            event_catalogue.ENDPOINT_SUSPECTED,
            endpoint=endpoint_id,
            reason=reason,
            seconds=span,
        )

    def record_answer(
        self, service: str, duration: float, first_answer: float
    ) -> None:
        """Take the times of a delivered answer into the means."""
        old = self.means_of(service)
        self.means[service] = Means(
            old.duration + (duration - old.duration) * NEWEST_WEIGHT,
            old.first_answer
            + (first_answer - old.first_answer) * NEWEST_WEIGHT,
        )

    def means_of(self, service: str) -> Means:
        """Return the running means of a service."""
        return self.means.get(service, Means(FIRST_DURATION, FIRST_ANSWER))


def create_admission(
    loop: asyncio.AbstractEventLoop,
    directory: endpoint_directory.EndpointDirectory,
    peers: peer_loads.PeerLoads,
    slowdowns: rank_slowdowns.RankSlowdowns,
    data_centre: str,
    load_per_slot: Callable[[str], float],
    generator: random.Random | None = None,
) -> Admission:
    """Create an admission without open requests."""
    return Admission(
        loop,
        directory,
        peers,
        slowdowns,
        data_centre,
        load_per_slot,
        generator or random.Random(),
    )
