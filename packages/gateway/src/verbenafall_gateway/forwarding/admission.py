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
SUSPECT_MAX_SECONDS: Final = 4.0
# Weight of the newest value in running means.
SMOOTHING_FACTOR: Final = 0.1
# Seconds, before anything was measured.
DEFAULT_DURATION_SECONDS: Final = 2.0
DEFAULT_FIRST_ANSWER_SECONDS: Final = 0.15
# Slots of endpoints that state none.
DEFAULT_SLOTS: Final = 8
# Least time to come back after a refusal, in seconds.
MIN_RETRY_AFTER_SECONDS: Final = 0.2


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

    entry: wait_queue.QueueEntry
    request: PlacementRequest
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
        self.queues: dict[str, list[Waiter]] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.means: dict[str, Means] = {}
        self.liveness_by_service: dict[
            str, service_liveness.ServiceLiveness
        ] = {}
        self.numbers = itertools.count()

    def candidates(
        self, request: PlacementRequest
    ) -> list[placement.Candidate]:
        """Return the endpoints that may take a request."""
        now = self.loop.time()
        found = []
        for endpoint in self.directory.usable(request.service):
            if endpoint.id in request.tried:
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

    def has_fast_room(self, request: PlacementRequest) -> bool:
        """Return whether an endpoint that is not slow has room now."""
        fast = [item for item in self.candidates(request) if not item.slow]
        limit = self.load_per_slot(request.service)
        return placement.choose(fast, limit, 0.0) is not None

    def try_place(self, request: PlacementRequest) -> Placed | None:
        """Take a place if there is one now."""
        choice = placement.choose(
            self.candidates(request),
            self.load_per_slot(request.service),
            self.generator.random(),
        )
        if choice is None:
            return None
        now = self.loop.time()
        chosen = choice.candidate
        endpoint = self.directory.listed[chosen.endpoint_id].value
        self.open[endpoint.id] = self.open.get(endpoint.id, 0) + 1
        liveness = self.liveness_by_service.get(request.service)
        if liveness is not None:
            liveness.record_sent(now)
        self.peers.set_own_load(self.open)
        event_log.emit(
            event_catalogue.ATTEMPT_PLACED,
            request=request.request_id,
            endpoint=endpoint.id,
            load=chosen.load,
            slots=chosen.slots,
            candidates=choice.considered,
            least_load=choice.least_load,
            suspect=chosen.suspect,
            slow=chosen.slow,
            counts_age=self.peers.age(now),
            waited=now - request.arrived,
        )
        return Placed(endpoint, now, now - request.arrived)

    async def place(self, request: PlacementRequest) -> Placed | Refused:
        """Take a place, waiting for one if that makes sense."""
        queue = self.queues.setdefault(request.service, [])
        stalled = self.check_liveness(request.service)
        if stalled is not None:
            return stalled
        if not queue:
            placed = self.try_place(request)
            if placed is not None:
                return placed
        refused = self.check_queue(request, len(queue))
        if refused is not None:
            return refused
        means = self.means_of(request.service)
        entry = wait_queue.QueueEntry(
            next(self.numbers),
            request.urgency,
            request.arrived,
            request.target_at - means.first_answer,
            self.latest_start(request),
        )
        waiter = Waiter(entry, request, self.loop.create_future())
        queue.append(waiter)
        try:
            return await waiter.place
        except asyncio.CancelledError:
            if waiter.place.done() and not waiter.place.cancelled():
                given = waiter.place.result()
                if isinstance(given, Placed):
                    self.release(given)
            raise
        finally:
            if waiter in queue:
                queue.remove(waiter)

    def liveness(self, service: str) -> service_liveness.ServiceLiveness | None:
        """Return the pulse of a service whose endpoints work together."""
        return self.liveness_by_service.get(service)

    def track_liveness(self, service: str) -> None:
        """Watch a service whose endpoints run each pass together."""
        self.liveness_by_service.setdefault(
            service, service_liveness.ServiceLiveness()
        )

    def check_liveness(self, service: str) -> Refused | None:
        """Return a refusal while a service does no work."""
        liveness = self.liveness_by_service.get(service)
        now = self.loop.time()
        if (
            liveness is None
            or not liveness.is_stalled(now)
            or liveness.may_probe(now)
        ):
            return None
        return Refused(
            RefusalReason.STALLED,
            service_liveness.retry_delay(self.generator.random()),
        )

    def refuse_expired(self) -> None:
        """Refuse waiting requests that can no longer be complete in time."""
        now = self.loop.time()
        for queue in self.queues.values():
            hopeless = [
                waiter for waiter in queue if waiter.entry.useful_until <= now
            ]
            for waiter in hopeless:
                queue.remove(waiter)
                if not waiter.place.done():
                    waiter.place.set_result(
                        Refused(RefusalReason.TOO_LATE, MIN_RETRY_AFTER_SECONDS)
                    )

    def refuse_stalled_queues(self) -> None:
        """Refuse the requests that wait for a service that does no work."""
        for service, queue in self.queues.items():
            liveness = self.liveness_by_service.get(service)
            if liveness is None or not liveness.is_stalled(self.loop.time()):
                continue
            for waiter in queue:
                if not waiter.place.done():
                    waiter.place.set_result(
                        Refused(
                            RefusalReason.STALLED,
                            service_liveness.retry_delay(
                                self.generator.random()
                            ),
                        )
                    )
            queue.clear()

    def check_queue(
        self, request: PlacementRequest, waiting: int
    ) -> Refused | None:
        """Return a refusal when waiting makes no sense."""
        usable = list(self.directory.usable(request.service))
        if not usable:
            return Refused(RefusalReason.NO_ENDPOINT, 1.0)
        state = wait_queue.QueueState(
            waiting,
            sum(endpoint.slots or DEFAULT_SLOTS for endpoint in usable),
            self.means_of(request.service).duration,
            self.peers.live_gateways(),
        )
        wait = wait_queue.expected_wait(state)
        if self.loop.time() + wait > self.latest_start(request):
            return Refused(
                RefusalReason.FULL,
                max(
                    MIN_RETRY_AFTER_SECONDS,
                    wait * self.generator.uniform(0.5, 1.0),
                ),
            )
        return None

    def latest_start(self, request: PlacementRequest) -> float:
        """Return when a request must have a place to be of use.

        Its client must still be there for the first event, and its answer
        must be complete before the deadline.
        """
        means = self.means_of(request.service)
        return min(
            request.deadline - means.duration,
            request.client_timeout_at - means.first_answer,
        )

    def release(self, placed: Placed) -> None:
        """Give a place back and serve the line."""
        endpoint = placed.endpoint
        left = self.open.get(endpoint.id, 0) - 1
        if left > 0:
            self.open[endpoint.id] = left
        else:
            self.open.pop(endpoint.id, None)
            liveness = self.liveness_by_service.get(endpoint.service)
            if liveness is not None and not self.open:
                liveness.record_idle()
        self.peers.set_own_load(self.open)
        self.serve_queue(endpoint.service)

    def serve_queue(self, service: str) -> None:
        """Give free places to waiting requests."""
        queue = self.queues.get(service)
        while queue:
            now = self.loop.time()
            entry = wait_queue.pick_next(
                [waiter.entry for waiter in queue], now
            )
            if entry is None:
                return
            waiter = next(item for item in queue if item.entry is entry)
            if waiter.place.done():
                queue.remove(waiter)
                continue
            placed = self.try_place(waiter.request)
            if placed is None:
                return
            queue.remove(waiter)
            waiter.place.set_result(placed)

    def serve_all_queues(self) -> None:
        """Serve every line, when loads or endpoints have changed."""
        for service in list(self.queues):
            self.serve_queue(service)

    def suspect(self, endpoint_id: str, reason: str) -> None:
        """Avoid an endpoint that failed for a while."""
        now = self.loop.time()
        known = self.suspicions.get(endpoint_id)
        span = SUSPECT_FIRST_SECONDS
        if known is not None and now < known.until + known.span:
            if now < known.until:
                return
            span = min(known.span * 2, SUSPECT_MAX_SECONDS)
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
            old.duration + (duration - old.duration) * SMOOTHING_FACTOR,
            old.first_answer
            + (first_answer - old.first_answer) * SMOOTHING_FACTOR,
        )

    def means_of(self, service: str) -> Means:
        """Return the running means of a service."""
        return self.means.get(
            service,
            Means(DEFAULT_DURATION_SECONDS, DEFAULT_FIRST_ANSWER_SECONDS),
        )


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
