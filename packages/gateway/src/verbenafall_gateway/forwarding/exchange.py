"""Serves one request: route, team, place, attempts, final answer."""

import asyncio
import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core import event_log
from verbenafall_core import metrics as metrics_lib
from verbenafall_core.routes import model
from verbenafall_core.routes import table
from verbenafall_gateway.forwarding import admission as admission_lib
from verbenafall_gateway.forwarding import answer_relay
from verbenafall_gateway.forwarding import channel_pool
from verbenafall_gateway.forwarding import client_channel
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import dialect as dialect_lib
from verbenafall_gateway.forwarding import endpoint_channel
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import http_messages
from verbenafall_gateway.forwarding import repeat_allowance
from verbenafall_gateway.forwarding import retry_decision
from verbenafall_gateway.forwarding import service_share
from verbenafall_gateway.forwarding import times as times_lib

# Seconds; until a gateway without configuration has read it.
NO_CONFIGURATION_RETRY_AFTER: Final = 0.5
REJECTED_RETRY_AFTER: Final = 0.3
# Sends of one request of any outcome.
MAX_SENDS: Final = 6
# Streams that leave slow ranks in one sweep; the places that they take are
# seen by all gateways before the next one.
MOVES_AT_ONCE: Final = 3

# Outcome in logs and metrics when the client closed its connection.
CLIENT_LEFT: Final = "client_left"

NOT_FOUND: Final = 404
UNAUTHORIZED: Final = 401
BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504


class Rejection(NamedTuple):
    """A request that is refused before an endpoint is chosen."""

    status: int
    reason: str


class Admitted(NamedTuple):
    """A request that the configuration allows."""

    route: model.Route
    service: str
    team: model.Team | None


class Job:
    """One request while it is served."""

    def __init__(
        self,
        request: http_messages.Request,
        client: client_channel.ClientChannel,
        admitted: Admitted,
        times: times_lib.RequestTimes,
        request_id: str,
    ) -> None:
        """Create a job that was not yet sent anywhere."""
        self.request = request
        self.client = client
        self.admitted = admitted
        self.times = times
        self.id = request_id
        self.relay_state = answer_relay.RelayState()
        self.tried: set[str] = set()
        self.sends = 0
        self.runs = 0
        self.rejections = 0
        # Counted in the allowance before the attempt was given up.
        self.repeat_taken = False

    @property
    def urgency(self) -> int:
        """Return the team's priority, or else the route's."""
        team = self.admitted.team
        if team is not None and team.priority is not None:
            return team.priority
        return self.admitted.route.priority


class OpenAttempt(NamedTuple):
    """An attempt whose answer is being read."""

    place: admission_lib.Placed
    channel: endpoint_channel.EndpointChannel


class Exchange:
    """Serves requests; event loop only."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialect: dialect_lib.Dialect,
        configuration: configuration_state.ConfigurationState,
        admission: admission_lib.Admission,
        pool: channel_pool.ChannelPool,
        allowance: repeat_allowance.RepeatAllowance,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Create an exchange without requests."""
        self.metrics = metrics
        self.loop = loop
        self.dialect = dialect
        self.configuration = configuration
        self.admission = admission
        self.pool = pool
        self.allowance = allowance
        self.open_attempts: dict[Job, OpenAttempt] = {}
        self.dropped_headers = frozenset(
            {
                dialect.key,
                dialect.team,
                dialect.time_left_ms,
                dialect.expected_endpoint,
                dialect.urgency,
            }
        )

    async def serve(
        self,
        client: client_channel.ClientChannel,
        request: http_messages.Request,
    ) -> None:
        """Answer one request."""
        request_id = (
            http_messages.find_header(request.headers, self.dialect.attempt_id)
            or ""
        )
        admitted = self.admit(request)
        if isinstance(admitted, Rejection):
            self.reject(client, request, request_id, admitted)
            return
        times = times_lib.request_times(
            request.received_at,
            times_lib.parse_milliseconds(
                http_messages.find_header(
                    request.headers, self.dialect.time_left_ms
                )
            ),
            admitted.route,
        )
        job = Job(request, client, admitted, times, request_id)
        try:
            async with asyncio.timeout_at(times.deadline):
                await self.run(job)
        except TimeoutError:
            self.end_late(job)
        except asyncio.CancelledError:
            self.log_end(job, CLIENT_LEFT, 0, "")
            raise

    def admit(self, request: http_messages.Request) -> Admitted | Rejection:
        """Find the route and the team of a request."""
        configuration = self.configuration.configuration
        if configuration is None:
            return Rejection(UNAVAILABLE, "no_configuration")
        host = http_messages.find_header(request.headers, "host") or ""
        route = table.find_route(
            self.configuration.routes, host, request.target
        )
        if route is None:
            return Rejection(NOT_FOUND, "no_route")
        team = None
        if configuration.teams_by_key is not None:
            key = http_messages.find_header(request.headers, self.dialect.key)
            team = configuration.teams_by_key.get(key) if key else None
            if team is None and not route.public:
                return Rejection(UNAUTHORIZED, "unknown_key")
        service = service_share.pick_service(
            route.services, self.admission.generator.random()
        )
        return Admitted(route, service, team)

    def reject(
        self,
        client: client_channel.ClientChannel,
        request: http_messages.Request,
        request_id: str,
        rejection: Rejection,
    ) -> None:
        """Refuse a request that is not allowed, or not yet."""
        headers: tuple[http_messages.Header, ...] = ()
        if rejection.status == UNAVAILABLE:
            headers = (("retry-after", str(NO_CONFIGURATION_RETRY_AFTER)),)
        client.send_answer(http_messages.Answer(rejection.status, headers, b""))
        self.metrics.count(f"forward.rejected.{rejection.reason}")
        event_log.emit(
            event_catalogue.REQUEST_REJECTED,
            request=request_id,
            status=rejection.status,
            reason=rejection.reason,
            target=request.target,
            configuration=self.configuration.version(),
        )

    async def run(self, job: Job) -> None:
        """Send the request until it is answered."""
        self.allowance.record_request(job.admitted.service, self.loop.time())
        while True:
            place = await self.admission.place(self.wish(job))
            if isinstance(place, admission_lib.Refused):
                self.finish(
                    job,
                    retry_decision.Action.REFUSE
                    if job.runs == 0
                    else retry_decision.Action.GIVE_UP,
                    None,
                    place.reason,
                    place.retry_after,
                )
                return
            try:
                outcome = await self.attempt(job, place)
            finally:
                self.admission.release(place)
            self.note_outcome(job, place, outcome)
            if self.take_retry(job, outcome):
                self.metrics.count("forward.repeats")
                self.log_attempt(job, place, outcome, "retry")
                continue
            action = retry_decision.final_action(self.progress(job), outcome)
            if action is not retry_decision.Action.DONE:
                self.log_attempt(job, place, outcome, action)
            self.finish(job, action, outcome, "", REJECTED_RETRY_AFTER)
            return

    def wish(self, job: Job) -> admission_lib.PlacementRequest:
        """Return what the request needs now."""
        return admission_lib.PlacementRequest(
            job.id,
            job.admitted.service,
            job.urgency,
            job.times.received,
            job.times.target_at,
            job.times.deadline,
            self.client_timeout_at(job),
            frozenset(job.tried),
        )

    def client_timeout_at(self, job: Job) -> float:
        """Return when the client leaves; one with events has more time."""
        if job.relay_state.begun:
            return job.times.deadline
        return job.times.client_timeout_at

    async def attempt(
        self, job: Job, place: admission_lib.Placed
    ) -> retry_decision.Outcome:
        """Send the request to an endpoint and pass its answer on."""
        job.sends += 1
        route = job.admitted.route
        try:
            channel = await self.pool.acquire(
                place.endpoint, fresh=not route.repeatable
            )
        except channel_pool.ConnectError as error:
            return retry_decision.Unsent(str(error))
        self.open_attempts[job] = OpenAttempt(place, channel)
        try:
            job.runs += 1
            channel.send(
                self.format(job, place),
                job.id,
                expects_body=job.request.method != "HEAD",
            )
            relay = answer_relay.AnswerRelay(
                self.loop,
                self.dialect,
                job.client,
                job.relay_state,
                lambda: self.note_progress(job.admitted.service),
            )
            return await relay.run(channel, route)
        finally:
            del self.open_attempts[job]
            # Closes the connection unless the answer is complete.
            self.pool.release(place.endpoint, channel)

    def leave_slow_ranks(self) -> None:
        """Let some streams go on elsewhere that hold back a whole group.

        Answers a rank that has become many times slower: each pass lasts as
        long as its own part, so every stream of the group waits for the few
        that run there.
        """
        now = self.loop.time()
        moved = 0
        for job, attempt in list(self.open_attempts.items()):
            if not self.admission.slowdowns.should_move_streams(
                attempt.place.endpoint.address.host, now
            ):
                continue
            if not self.may_move(job, attempt, now):
                continue
            attempt.channel.fail("the endpoint holds back its group")
            moved += 1
            if moved == MOVES_AT_ONCE:
                return

    def may_move(self, job: Job, attempt: OpenAttempt, now: float) -> bool:
        """Return whether a stream may leave, with its repeat counted."""
        if (
            not attempt.channel.active
            or job.sends >= MAX_SENDS
            or not retry_decision.may_move(
                self.progress(job), job.admitted.route.resumable
            )
            or not self.admission.has_fast_capacity(self.wish(job))
        ):
            return False
        # A stream that is given up without a repeat left would be cut.
        job.repeat_taken = self.allowance.try_acquire(
            job.admitted.service, self.admission.peers.gateways(), now
        )
        return job.repeat_taken

    def note_progress(self, service: str) -> None:
        """Take that a service does work."""
        liveness = self.admission.liveness(service)
        if liveness is not None:
            liveness.record_progress(self.loop.time())

    def format(self, job: Job, place: admission_lib.Placed) -> bytes:
        """Return the request as it is sent to an endpoint."""
        request = job.request
        headers = http_messages.passed_on(request.headers, self.dropped_headers)
        left = job.times.deadline - self.loop.time()
        headers.append(
            (self.dialect.time_left_ms, str(max(int(left * 1000), 1)))
        )
        headers.append((self.dialect.expected_endpoint, place.endpoint.id))
        if job.admitted.team is not None:
            headers.append((self.dialect.team, job.admitted.team.name))
        last_id = job.relay_state.last_event_id
        if last_id is not None:
            headers = [
                header
                for header in headers
                if header[0] != self.dialect.last_event_id
            ]
            headers.append((self.dialect.last_event_id, last_id))
        return http_messages.format_request(
            request.method, request.target, headers, request.body
        )

    def note_outcome(
        self,
        job: Job,
        place: admission_lib.Placed,
        outcome: retry_decision.Outcome,
    ) -> None:
        """Take what an attempt tells of its endpoint."""
        if isinstance(outcome, retry_decision.Delivered):
            now = self.loop.time()
            first = job.relay_state.first_at or now
            self.admission.record_answer(
                job.admitted.service,
                now - place.acquired_at,
                first - place.acquired_at,
            )
            return
        job.tried.add(place.endpoint.id)
        if isinstance(outcome, retry_decision.NotRun):
            job.runs -= 1
            job.rejections += 1
            liveness = self.admission.liveness(job.admitted.service)
            if liveness is not None:
                liveness.record_rejection()
            if outcome.status == answer_relay.MISDIRECTED:
                self.admission.directory.mark_replaced(place.endpoint.id)
        if isinstance(outcome, retry_decision.Unsent):
            job.rejections += 1
        if not isinstance(outcome, retry_decision.Failed):
            self.admission.suspect(
                place.endpoint.id, type(outcome).__name__.lower()
            )

    def progress(self, job: Job) -> retry_decision.Progress:
        """Return what has happened to a request so far."""
        return retry_decision.Progress(
            repeatable=job.admitted.route.repeatable,
            max_runs=job.admitted.route.max_attempts,
            runs=job.runs,
            rejections=job.rejections,
            answer_started=job.relay_state.begun,
            alternatives=bool(self.admission.candidates(self.wish(job))),
        )

    def take_retry(self, job: Job, outcome: retry_decision.Outcome) -> bool:
        """Return whether the request is sent once more, and count that."""
        if job.sends >= MAX_SENDS or not retry_decision.should_retry(
            self.progress(job), outcome
        ):
            return False
        if isinstance(outcome, retry_decision.Unsent):
            return True
        if job.repeat_taken:
            job.repeat_taken = False
            return True
        return self.allowance.try_acquire(
            job.admitted.service,
            self.admission.peers.gateways(),
            self.loop.time(),
        )

    def finish(
        self,
        job: Job,
        action: retry_decision.Action,
        outcome: retry_decision.Outcome | None,
        reason: str,
        retry_after: float,
    ) -> None:
        """Give the client its final answer."""
        status = 0
        if isinstance(outcome, retry_decision.Delivered):
            status = outcome.status
        elif isinstance(outcome, retry_decision.Failed) and (
            action is retry_decision.Action.RELAY
        ):
            status = outcome.answer.status
            job.client.send_answer(outcome.answer)
        elif action is retry_decision.Action.REFUSE:
            status = UNAVAILABLE
            headers = (("retry-after", f"{retry_after:.2f}"),)
            job.client.send_answer(http_messages.Answer(status, headers, b""))
        elif job.relay_state.begun:
            job.client.abort()
        else:
            status = BAD_GATEWAY
            job.client.send_answer(http_messages.Answer(status, (), b""))
        self.log_end(job, action, status, reason)

    def end_late(self, job: Job) -> None:
        """Give the final answer when the time of a request is over."""
        if job.relay_state.begun:
            job.client.abort()
            self.log_end(job, retry_decision.Action.CUT, 0, "timeout")
            return
        if job.runs == 0:
            status = UNAVAILABLE
            headers: tuple[http_messages.Header, ...] = (
                ("retry-after", str(REJECTED_RETRY_AFTER)),
            )
            action = retry_decision.Action.REFUSE
        else:
            status, headers = GATEWAY_TIMEOUT, ()
            action = retry_decision.Action.GIVE_UP
        job.client.send_answer(http_messages.Answer(status, headers, b""))
        self.log_end(job, action, status, "timeout")

    def log_attempt(
        self,
        job: Job,
        place: admission_lib.Placed,
        outcome: retry_decision.Outcome,
        action: str,
    ) -> None:
        """Write the end of an attempt without a delivered answer."""
        event_log.emit(
            event_catalogue.ATTEMPT_ENDED,
            request=job.id,
            endpoint=place.endpoint.id,
            outcome=type(outcome).__name__.lower(),
            detail=getattr(outcome, "reason", getattr(outcome, "status", "")),
            sends=job.sends,
            runs=job.runs,
            last_event=job.relay_state.last_event_id or "",
            seconds=self.loop.time() - place.acquired_at,
            action=action,
        )

    def log_end(self, job: Job, action: str, status: int, reason: str) -> None:
        """Write the end of a request."""
        now = self.loop.time()
        first = job.relay_state.first_at
        self.metrics.count(f"forward.outcome.{action}")
        self.metrics.timing(
            "forward.duration",
            datetime.timedelta(seconds=now - job.times.received),
        )
        if first is not None:
            self.metrics.timing(
                "forward.first_byte",
                datetime.timedelta(seconds=first - job.times.received),
            )
        event_log.emit(
            event_catalogue.REQUEST_ENDED,
            request=job.id,
            route=job.admitted.route.name,
            outcome=action,
            status=status,
            reason=reason,
            seconds=now - job.times.received,
            first=first - job.times.received if first is not None else -1.0,
            events=job.relay_state.events,
            sends=job.sends,
            runs=job.runs,
            left=job.times.deadline - now,
            configuration=self.configuration.version(),
        )
