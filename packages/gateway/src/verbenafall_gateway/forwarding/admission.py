"""Admits requests to endpoints: places, queues or refuses them."""

import asyncio
import collections
from collections.abc import Callable
import itertools
import random
from typing import Final
from typing import NamedTuple

from verbenafall_core import endpoints
from verbenafall_core import event_log
from verbenafall_gateway.forwarding import crash_suspects
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import endpoint_limits
from verbenafall_gateway.forwarding import endpoint_pauses
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import pass_pace
from verbenafall_gateway.forwarding import peer_loads
from verbenafall_gateway.forwarding import placement
from verbenafall_gateway.forwarding import places
from verbenafall_gateway.forwarding import rank_slowdowns
from verbenafall_gateway.forwarding import refusals
from verbenafall_gateway.forwarding import send_permission
from verbenafall_gateway.forwarding import service_liveness
from verbenafall_gateway.forwarding import stop_decision
from verbenafall_gateway.forwarding import wait_queue

# Time for which a failed endpoint is avoided; it doubles with each further
# failure up to the maximum.
SUSPECT_FIRST_SECONDS: Final = 0.5
SUSPECT_MAX_SECONDS: Final = 4.0
# Assumed until the first answer of a service has been measured.
DEFAULT_FIRST_ANSWER: Final = stop_decision.DurationEstimate(0.15, 0.05)
# Slots assumed for an endpoint that reports none.
DEFAULT_SLOTS: Final = 8
# Lower bound of the mean duration in the estimate of the wait.
MIN_DURATION_SECONDS: Final = 0.001
# Longest time until a trial for which a request waits that cannot be refused,
# and the interval of its checks.
MAX_TRIAL_WAIT_SECONDS: Final = 0.6
TRIAL_CHECK_SECONDS: Final = 0.02
# End of a planned stop while none has begun.
NO_STOP: Final = float("inf")


class Suspicion(NamedTuple):
    """The period for which a failed endpoint is avoided.

    Attributes:
        until: End of the period.
        span: Length of the period in seconds.
    """

    until: float
    span: float


class Averages(NamedTuple):
    """Moving averages of a service's answer times.

    Attributes:
        duration: Seconds that a request occupies its place.
        first_answer: Seconds until the first byte of the answer.
    """

    duration: stop_decision.DurationEstimate
    first_answer: stop_decision.DurationEstimate


class Waiter(NamedTuple):
    """A queued request and the future that receives its result."""

    entry: wait_queue.QueueEntry
    request: places.PlacementRequest
    place: asyncio.Future[places.Placed | refusals.Refused]


class Admission:
    """Places and wait queues of all services.

    Not thread-safe: call it on the event loop only.

    Attributes:
        finish_by: When a planned stop abandons the open requests; infinite
            while no stop is planned.
        limits_changed: Called with the id of an endpoint whose rate limit the
            other gateways should know.
        last_streams_at: When the planned stop begins to refuse streams, and
            requests that may run only once, whose deadline is later than
            `finish_by`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        directory: endpoint_directory.EndpointDirectory,
        peers: peer_loads.PeerLoads,
        slowdowns: rank_slowdowns.RankSlowdowns,
        limits: endpoint_limits.EndpointLimits,
        suspects: crash_suspects.CrashSuspects,
        data_centre: str,
        load_per_slot: Callable[[str], float],
        generator: random.Random,
    ) -> None:
        """Create an admission without open requests.

        Args:
            loop: Event loop that provides the clock.
            directory: Endpoints that may receive requests.
            peers: Load of the other gateways.
            slowdowns: Slowdown of the ranks behind the endpoints.
            limits: Rates of requests that endpoints accept.
            suspects: Parts of prompts that may crash endpoints.
            data_centre: Data centre of this gateway.
            load_per_slot: Returns, for a service, the load per slot at which
                an endpoint is full.
            generator: Source of random numbers.
        """
        self.loop = loop
        self.directory = directory
        self.peers = peers
        self.slowdowns = slowdowns
        self.limits = limits
        self.suspects = suspects
        self.pauses = endpoint_pauses.create_endpoint_pauses()
        self.limits_changed: Callable[[str], None] | None = None
        self.data_centre = data_centre
        self.load_per_slot = load_per_slot
        self.generator = generator
        self.open: dict[str, int] = {}
        self.open_by_service: collections.Counter[str] = collections.Counter()
        self.queues: dict[str, list[Waiter]] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.averages: dict[str, Averages] = {}
        self.paces: dict[str, pass_pace.PassPace] = {}
        self.liveness_by_service: dict[
            str, service_liveness.ServiceLiveness
        ] = {}
        self.numbers = itertools.count()
        self.finish_by = self.last_streams_at = NO_STOP

    def candidates(
        self, request: places.PlacementRequest
    ) -> list[placement.Candidate]:
        """Return the usable endpoints that the request has not tried."""
        now = self.loop.time()
        found = []
        for endpoint in self.directory.usable(request.service):
            if endpoint.id in request.tried:
                continue
            # The directory returns no endpoints that leave.
            permission = send_permission.permit(
                self.standing(endpoint, False, now), now
            )
            if permission.at > now:
                continue
            own = self.open.get(endpoint.id, 0)
            found.append(
                placement.Candidate(
                    endpoint.id,
                    own + self.peers.load_of(endpoint.id, now),
                    endpoint.slots or DEFAULT_SLOTS,
                    endpoint.data_centre == self.data_centre,
                    permission.avoid,
                    self.slowdowns.is_slow(endpoint.address.host, now),
                    own,
                )
            )
        return found

    def standing(
        self, endpoint: endpoints.Endpoint, leaving: bool, now: float
    ) -> send_permission.Standing:
        """Return what is known of an endpoint."""
        suspicion = self.suspicions.get(endpoint.id)
        return send_permission.Standing(
            leaving,
            self.pauses.until(endpoint, now),
            self.limits.next_send(endpoint.id, now),
            now if suspicion is None else suspicion.until,
        )

    def is_withheld(self, placed: places.Placed) -> bool:
        """Return whether an endpoint left or paused since it was chosen.

        The request itself has used the gateway's share of a stated rate.
        """
        now = self.loop.time()
        leaving = not self.directory.is_usable(placed.endpoint)
        standing = self.standing(placed.endpoint, leaving, now)
        standing = standing._replace(limited_until=now)
        return send_permission.permit(standing, now).at > now

    def has_others(self, request: places.PlacementRequest) -> bool:
        """Return whether an untried endpoint ends its pause in time."""
        return any(
            endpoint.id not in request.tried
            for endpoint in self.endpoints_in_time(request)
        )

    def endpoints_in_time(
        self, request: places.PlacementRequest
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints whose pause ends before the latest start."""
        now = self.loop.time()
        latest = max(now, self.latest_start(request))
        usable = self.directory.usable(request.service)
        return self.pauses.ending_by(usable, latest, now)

    def pause_refusal(self, service: str) -> refusals.Refused:
        """Return a refusal that spreads the returns after a pause."""
        now = self.loop.time()
        delay = self.pauses.first_end(self.directory.usable(service), now) - now
        return refusals.paused(delay, self.generator.random())

    def refusal_of_service(self, service: str) -> refusals.Refused | None:
        """Return a refusal if no endpoint of a service takes requests now."""
        if self.is_stalled(service):
            return refusals.stalled(self.generator.random())
        now = self.loop.time()
        if self.pauses.first_end(self.directory.usable(service), now) > now:
            return self.pause_refusal(service)
        return None

    def check_pauses(
        self, request: places.PlacementRequest
    ) -> refusals.Refused | None:
        """Return a refusal if all endpoints pause for too long."""
        if self.endpoints_in_time(request) or not list(
            self.directory.usable(request.service)
        ):
            return None
        return self.pause_refusal(request.service)

    def has_fast_capacity(self, request: places.PlacementRequest) -> bool:
        """Return whether an endpoint that is not slow has capacity now."""
        fast = [item for item in self.candidates(request) if not item.slow]
        limit = self.max_load_per_slot(request)
        return placement.choose(fast, limit, 0.0) is not None

    def try_place(
        self, request: places.PlacementRequest
    ) -> places.Placed | None:
        """Acquire a place, or return None if no endpoint has capacity."""
        choice = placement.choose(
            self.candidates(request),
            self.max_load_per_slot(request),
            self.generator.random(),
        )
        if choice is None:
            return None
        now = self.loop.time()
        chosen = choice.candidate
        endpoint = self.directory.listed[chosen.endpoint_id].value
        self.open[endpoint.id] = self.open.get(endpoint.id, 0) + 1
        self.open_by_service[request.service] += 1
        self.limits.record_sent(endpoint.id, now)
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
        return places.Placed(endpoint, now, now - request.arrived)

    async def place(
        self, request: places.PlacementRequest
    ) -> places.Placed | refusals.Refused:
        """Acquire a place, queueing the request if it can still be served.

        Returns:
            The place, or a refusal if the service is stalled, has no endpoint
            or cannot serve the request in time, or if the request or a part of
            its prompt may crash endpoints.
        """
        if not self.can_finish(request):
            return refusals.stopping(self.generator.random())
        while True:
            verdict = self.judge(request)
            if isinstance(verdict, crash_suspects.Sound):
                return await self.place_or_wait(request)
            place = (
                refusals.suspect_part(verdict.retry_after)
                if isinstance(verdict, crash_suspects.Blocked)
                else self.place_trial(request, verdict.part)
            )
            if isinstance(
                place, places.Placed
            ) or not self.should_wait_for_trial(request, place):
                return place
            await asyncio.sleep(TRIAL_CHECK_SECONDS)

    def should_wait_for_trial(
        self, request: places.PlacementRequest, refused: refusals.Refused
    ) -> bool:
        """Return whether a request waits until it can be tried.

        One that may have run would fail by a refusal, most often only because
        it was at an endpoint that another request crashed.
        """
        return (
            request.may_have_run
            and refused.retry_after <= MAX_TRIAL_WAIT_SECONDS
            and self.loop.time() + refused.retry_after
            < self.latest_start(request)
        )

    async def place_or_wait(
        self, request: places.PlacementRequest
    ) -> places.Placed | refusals.Refused:
        """Acquire a place at once, or wait for one if that is useful."""
        queue = self.queues.setdefault(request.service, [])
        entry = self.create_entry(request)
        stalled = self.is_stalled(request.service)
        refused = self.check_pauses(request)
        if refused is not None:
            return refused
        if stalled:
            self.pace_of(request.service).restart()
            refused = self.check_stall(request, len(queue))
        else:
            ahead = wait_queue.count_ahead(
                entry, [waiter.entry for waiter in queue], self.loop.time()
            )
            placed = None if ahead else self.try_place(request)
            if placed is not None:
                return placed
            refused = self.check_queue(request, ahead)
        if refused is not None:
            return refused
        waiter = Waiter(entry, request, self.loop.create_future())
        queue.append(waiter)
        if stalled:
            self.serve_queue(request.service)
        expiry = self.loop.call_at(entry.useful_until, self.refuse_expired)
        try:
            return await waiter.place
        except asyncio.CancelledError:
            if waiter.place.done() and not waiter.place.cancelled():
                result = waiter.place.result()
                if isinstance(result, places.Placed):
                    self.release(result)
            raise
        finally:
            expiry.cancel()
            if waiter in queue:
                queue.remove(waiter)

    def judge(self, request: places.PlacementRequest) -> crash_suspects.Verdict:
        """Return whether the parts of a request allow to send it."""
        return self.suspects.judge(
            request.service, request.parts, self.loop.time()
        )

    def place_trial(
        self, request: places.PlacementRequest, part: crash_suspects.PartKey
    ) -> places.Placed | refusals.Refused:
        """Acquire a place for a request that tries a suspect part.

        It is refused if it would have to wait: the requests that wait for the
        end of a stall are sent at the same time by all gateways.
        """
        placed = None
        if not self.queues.get(request.service) and not self.is_stalled(
            request.service
        ):
            placed = self.try_place(request)
        if placed is None:
            return refusals.suspect_part(crash_suspects.TRIAL_RETRY_AFTER)
        placed = placed._replace(trial=part)
        self.suspects.record_trial(part, placed.acquired_at)
        event_log.emit(
            event_catalogue.PART_TRIED,
            request=request.request_id,
            service=part.service,
            part=part.part,
        )
        return placed

    def end_trial(self, placed: places.Placed) -> None:
        """Let the next trial begin, if the place was that of one."""
        if placed.trial is not None:
            self.suspects.end_trial(placed.trial)

    def refuse_suspects(self) -> None:
        """Refuse the queued requests that have a suspect part."""
        for queue in self.queues.values():
            for waiter in queue:
                verdict = self.judge(waiter.request)
                if waiter.place.done() or isinstance(
                    verdict, crash_suspects.Sound
                ):
                    continue
                waiter.place.set_result(
                    refusals.suspect_part(
                        verdict.retry_after
                        if isinstance(verdict, crash_suspects.Blocked)
                        else crash_suspects.TRIAL_RETRY_AFTER
                    )
                )

    def create_entry(
        self, request: places.PlacementRequest
    ) -> wait_queue.QueueEntry:
        """Return the queue entry of a request."""
        first = self.averages_of(request.service).first_answer
        return wait_queue.QueueEntry(
            next(self.numbers),
            request.urgency,
            request.arrived,
            request.target_at - first.mean,
            self.latest_start(request),
        )

    def liveness(self, service: str) -> service_liveness.ServiceLiveness | None:
        """Return the liveness of a tracked service, None for any other."""
        return self.liveness_by_service.get(service)

    def track_liveness(self, service: str) -> None:
        """Track the liveness of a service that runs as one rank group."""
        self.liveness_by_service.setdefault(
            service, service_liveness.ServiceLiveness()
        )

    def is_stalled(self, service: str) -> bool:
        """Return whether a service makes no progress."""
        liveness = self.liveness_by_service.get(service)
        return liveness is not None and liveness.is_stalled(self.loop.time())

    def check_stall(
        self, request: places.PlacementRequest, waiting: int
    ) -> refusals.Refused | None:
        """Return a refusal if a request must not wait for a stalled service.

        Those that wait fit into this gateway's share of the places, so that
        all of them start when the stall ends. One that is due as a probe is
        never refused: nothing else would show the end of a long stall.

        Args:
            request: Request that would join the queue.
            waiting: Requests that are queued already.
        """
        usable = list(self.directory.usable(request.service))
        if not usable:
            return refusals.no_endpoint(self.generator.random())
        now = self.loop.time()
        liveness = self.liveness_by_service[request.service]
        slots = sum(endpoint.slots or DEFAULT_SLOTS for endpoint in usable)
        if liveness.is_probe_due(now) or (
            liveness.is_worth_waiting(now)
            and waiting < slots / self.peers.live_gateways()
            and now < self.latest_start(request)
        ):
            return None
        return refusals.stalled(self.generator.random())

    def begin_stop(self, finish_by: float, last_streams_at: float) -> None:
        """Refuse requests that cannot finish before a planned stop ends.

        Args:
            finish_by: When the open requests are abandoned.
            last_streams_at: When to begin to refuse streams, and requests that
                may run only once, that are not certain to finish. An abandoned
                request of another kind gets a final answer after which it may
                be sent again.
        """
        self.finish_by = finish_by
        self.last_streams_at = last_streams_at
        for service in self.queues:
            self.refuse_unfinishable(service)

    def can_finish(self, request: places.PlacementRequest) -> bool:
        """Return whether a request that starts now ends before the stop.

        A request that may have run continues in any case, as it cannot be
        refused.
        """
        now = self.loop.time()
        must_be_certain = now >= self.last_streams_at and (
            request.is_stream or not request.repeatable
        )
        return request.may_have_run or stop_decision.can_finish(
            now,
            self.finish_by,
            request.deadline,
            None
            if must_be_certain
            else self.averages_of(request.service).duration,
        )

    def refuse_unfinishable(self, service: str) -> None:
        """Refuse queued requests that cannot finish before a planned stop."""
        if self.finish_by == NO_STOP:
            return
        for waiter in self.queues[service]:
            if not waiter.place.done() and not self.can_finish(waiter.request):
                waiter.place.set_result(
                    refusals.stopping(self.generator.random())
                )

    def refuse_expired(self) -> None:
        """Refuse queued requests that can no longer be answered in time."""
        now = self.loop.time()
        for service, queue in self.queues.items():
            expired = [
                waiter for waiter in queue if waiter.entry.useful_until <= now
            ]
            for waiter in expired:
                queue.remove(waiter)
                if not waiter.place.done():
                    waiter.place.set_result(
                        refusals.stalled(self.generator.random())
                        if self.is_stalled(service)
                        else refusals.too_late()
                    )

    def refuse_stalled_queues(self) -> None:
        """Refuse the queued requests of services that stay stalled."""
        for service, queue in self.queues.items():
            if not self.is_stalled(service) or self.liveness_by_service[
                service
            ].is_worth_waiting(self.loop.time()):
                continue
            for waiter in queue:
                if not waiter.place.done():
                    waiter.place.set_result(
                        refusals.stalled(self.generator.random())
                    )
            queue.clear()

    def check_queue(
        self, request: places.PlacementRequest, ahead: int
    ) -> refusals.Refused | None:
        """Return a refusal if a request could not be served in time.

        Args:
            request: Request that would join the queue.
            ahead: Queued requests that are served before it.
        """
        usable = list(self.directory.usable(request.service))
        if not usable:
            return refusals.no_endpoint(self.generator.random())
        duration = max(
            self.averages_of(request.service).duration.mean,
            MIN_DURATION_SECONDS,
        )
        per_slot = min(1.0, self.max_load_per_slot(request)) / duration
        now = self.loop.time()
        pause = self.pauses.first_end(usable, now) - now
        state = wait_queue.QueueState(
            ahead,
            sum(
                self.limits.capacity(
                    endpoint.id, (endpoint.slots or DEFAULT_SLOTS) * per_slot
                )
                for endpoint in self.endpoints_in_time(request)
            ),
            self.peers.live_gateways(),
        )
        wait = pause + wait_queue.expected_wait(state)
        if now + wait > self.latest_start(request):
            if pause > 0:
                return self.pause_refusal(request.service)
            return refusals.full(wait, self.generator.random())
        return None

    def latest_start(self, request: places.PlacementRequest) -> float:
        """Return the latest time at which a request can usefully start.

        The first event must reach the client before the client times out, and
        the answer must be complete before the deadline.
        """
        averages = self.averages_of(request.service)
        return min(
            request.deadline - averages.duration.mean,
            request.client_timeout_at
            - stop_decision.longest_duration(averages.first_answer),
        )

    def release(self, placed: places.Placed) -> None:
        """Release a place and serve the queue of its service."""
        endpoint = placed.endpoint
        left = self.open.get(endpoint.id, 0) - 1
        if left > 0:
            self.open[endpoint.id] = left
        else:
            self.open.pop(endpoint.id, None)
        self.open_by_service[endpoint.service] -= 1
        liveness = self.liveness_by_service.get(endpoint.service)
        if liveness is not None and not self.open_by_service[endpoint.service]:
            liveness.record_idle()
        self.peers.set_own_load(self.open)
        self.serve_queue(endpoint.service)

    def serve_queue(self, service: str) -> None:
        """Place queued requests of a service while endpoints have capacity.

        While the service is stalled, only a probe is placed.
        """
        queue = self.queues.get(service)
        if queue:
            self.refuse_unfinishable(service)
        while queue:
            now = self.loop.time()
            if self.is_stalled(service) and not self.liveness_by_service[
                service
            ].may_probe(now):
                return
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
        """Serve the queues of all services after loads or endpoints change."""
        for service in list(self.queues):
            self.serve_queue(service)

    def suspect(self, endpoint_id: str, reason: str) -> None:
        """Avoid a failed endpoint, for longer if it has failed recently.

        Has no effect while the endpoint is being avoided already.
        """
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

    def record_pause(self, service: str, pause: float, target: float) -> None:
        """Record the pause between two events of a stream, in seconds."""
        pace = self.pace_of(service)
        before = pace.share
        pace.record_pause(
            pause,
            target,
            self.loop.time(),
            lambda: self.open_per_slot(service),
        )
        if pace.share > before:
            self.serve_queue(service)

    def pace_of(self, service: str) -> pass_pace.PassPace:
        """Return the pace of a service's passes."""
        return self.paces.setdefault(service, pass_pace.PassPace())

    def open_per_slot(self, service: str) -> float:
        """Return the open requests of all gateways per slot of a service."""
        now = self.loop.time()
        usable = list(self.directory.usable(service))
        slots = sum(endpoint.slots or DEFAULT_SLOTS for endpoint in usable)
        load = sum(
            self.open.get(endpoint.id, 0) + self.peers.load_of(endpoint.id, now)
            for endpoint in usable
        )
        return load / max(slots, 1)

    def max_load_per_slot(self, request: places.PlacementRequest) -> float:
        """Return the load per slot at which an endpoint is full.

        It is lower for a request that is late already.
        """
        pace = self.paces.get(request.service)
        limit = self.load_per_slot(request.service)
        if pace is None:
            return limit
        first = self.averages_of(request.service).first_answer.mean
        return limit * pace.share_for(
            self.loop.time() > request.target_at - first
        )

    def record_leaving(self, placed: places.Placed) -> None:
        """Send no more requests to an endpoint that has said it leaves.

        The requests that wait for its service are refused if no other endpoint
        is left.
        """
        self.directory.mark_stopping(placed.endpoint)
        self.refuse_unserved(placed.endpoint.service)

    def record_pause_stated(
        self, placed: places.Placed, seconds: float
    ) -> None:
        """Send no requests to an endpoint for the time that it states.

        The queued requests that cannot wait so long are refused if all
        endpoints pause.
        """
        endpoint = placed.endpoint
        if self.pauses.record(endpoint, seconds, self.loop.time()):
            event_log.emit(
                event_catalogue.ENDPOINT_PAUSED,
                endpoint=endpoint.id,
                service=endpoint.service,
                seconds=seconds,
            )
        for waiter in self.queues.get(endpoint.service, ()):
            if waiter.place.done() or waiter.request.may_have_run:
                continue
            refused = self.check_pauses(waiter.request)
            if refused is not None:
                waiter.place.set_result(refused)

    def refuse_unserved(self, service: str) -> None:
        """Refuse the queued requests of a service without an endpoint.

        Those that may have run wait, as the client could not send them again.
        """
        if list(self.directory.usable(service)):
            return
        for waiter in self.queues.get(service, ()):
            if not waiter.place.done() and not waiter.request.may_have_run:
                waiter.place.set_result(
                    refusals.no_endpoint(self.generator.random())
                )

    def record_limit(self, placed: places.Placed, rate: float | None) -> None:
        """Record the rate limit that an answer states; None if it has none."""
        endpoint_id = placed.endpoint.id
        before = self.limits.rate_of(endpoint_id)
        if not self.limits.record_answer(
            endpoint_id, rate, placed.acquired_at, self.loop.time()
        ):
            return
        after = self.limits.rate_of(endpoint_id)
        if before != after:
            event_log.emit(
                event_catalogue.ENDPOINT_LIMITED,
                endpoint=endpoint_id,
                rate=-1.0 if after is None else after,
                gateways=len(self.limits.gateways),
            )
        if self.limits_changed is not None:
            self.limits_changed(endpoint_id)

    def record_answer(
        self, service: str, duration: float, first_answer: float
    ) -> None:
        """Update the averages of a service with a delivered answer."""
        old = self.averages_of(service)
        self.averages[service] = Averages(
            stop_decision.update_estimate(old.duration, duration),
            stop_decision.update_estimate(old.first_answer, first_answer),
        )

    def averages_of(self, service: str) -> Averages:
        """Return the averages of a service, or the defaults."""
        return self.averages.get(
            service,
            Averages(stop_decision.DEFAULT_ESTIMATE, DEFAULT_FIRST_ANSWER),
        )


def create_admission(
    loop: asyncio.AbstractEventLoop,
    directory: endpoint_directory.EndpointDirectory,
    peers: peer_loads.PeerLoads,
    slowdowns: rank_slowdowns.RankSlowdowns,
    limits: endpoint_limits.EndpointLimits,
    suspects: crash_suspects.CrashSuspects,
    data_centre: str,
    load_per_slot: Callable[[str], float],
    generator: random.Random | None = None,
) -> Admission:
    """Create an admission without open requests.

    Args:
        loop: Event loop that provides the clock.
        directory: Endpoints that may receive requests.
        peers: Load of the other gateways.
        slowdowns: Slowdown of the ranks behind the endpoints.
        limits: Rates of requests that endpoints accept.
        suspects: Parts of prompts that may crash endpoints.
        data_centre: Data centre of this gateway.
        load_per_slot: Returns, for a service, the load per slot at which an
            endpoint is full.
        generator: Source of random numbers; a new one by default.
    """
    return Admission(
        loop,
        directory,
        peers,
        slowdowns,
        limits,
        suspects,
        data_centre,
        load_per_slot,
        generator or random.Random(),
    )
