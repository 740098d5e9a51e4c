"""Serves requests: admits, places, sends, retries and answers them."""

import asyncio
import datetime
from typing import Final
from typing import NamedTuple

from verbenafall_core import endpoints
from verbenafall_core import event_log
from verbenafall_core import metrics as metrics_lib
from verbenafall_core.routes import model
from verbenafall_core.routes import table
from verbenafall_gateway.forwarding import admission as admission_lib
from verbenafall_gateway.forwarding import answer_relay
from verbenafall_gateway.forwarding import answer_statements
from verbenafall_gateway.forwarding import channel_pool
from verbenafall_gateway.forwarding import client_channel
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import crash_check
from verbenafall_gateway.forwarding import crash_suspects
from verbenafall_gateway.forwarding import dialect as dialect_lib
from verbenafall_gateway.forwarding import endpoint_channel
from verbenafall_gateway.forwarding import endpoint_lives
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import http_messages
from verbenafall_gateway.forwarding import places
from verbenafall_gateway.forwarding import prompt_parts
from verbenafall_gateway.forwarding import refusals
from verbenafall_gateway.forwarding import repeat_allowance
from verbenafall_gateway.forwarding import request_fingerprint
from verbenafall_gateway.forwarding import retry_decision
from verbenafall_gateway.forwarding import service_share
from verbenafall_gateway.forwarding import times as times_lib

# Retry-After in seconds while the gateway has no configuration; it should have
# read one by then.
NO_CONFIGURATION_RETRY_AFTER: Final = 0.5
# Retry-After in seconds if no endpoint ran the request.
REJECTED_RETRY_AFTER: Final = 0.3
# Maximum number of sends of one request, apart from probes during a stall.
MAX_SENDS: Final = 6
# Maximum number of streams moved in one sweep. All gateways learn of the slots
# that these occupy before the next sweep moves more.
MAX_MOVES_PER_SWEEP: Final = 3

# Outcome in logs and metrics if the client closed its connection.
CLIENT_DISCONNECTED: Final = "client_left"

NOT_FOUND: Final = 404
UNAUTHORIZED: Final = 401
BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504


class Rejection(NamedTuple):
    """Why a request is refused before an endpoint is chosen."""

    status: int
    reason: str


class Admitted(NamedTuple):
    """Route, service and team of a request that may be forwarded.

    Attributes:
        team: None if the route is public and the key is unknown, or if the
            configuration has no teams.
    """

    route: model.Route
    service: str
    team: model.Team | None

    @property
    def team_name(self) -> str:
        """Return the name of the team, empty if there is none."""
        return self.team.name if self.team is not None else ""


class Job:
    """State of a request while it is served.

    Attributes:
        id: Id that the client gave it; empty if it gave none.
        relay_state: Part of the answer that was sent to the client.
        tried: Ids of the endpoints on which an attempt failed.
        sends: Attempts so far, with those that could not connect, but without
            those that were rejected during a stall.
        runs: Attempts after which the request may have run.
        rejections: Attempts after which it has not run.
        pauses: Attempts whose endpoint then wanted no requests for a time.
        sent: Whether it was sent to an endpoint.
        repeat_acquired: Whether a repeat was acquired from the allowance for
            the next send.
        abandoned: Whether a planned stop ends it.
        parts: Ids of the parts of its prompt that others may have as well, and
            its fingerprint.
        begun: Whether the last attempt has brought a part of the answer.
    """

    def __init__(
        self,
        request: http_messages.Request,
        client: client_channel.ClientChannel,
        admitted: Admitted,
        times: times_lib.RequestTimes,
        request_id: str,
        parts: tuple[str, ...],
    ) -> None:
        """Create the state of a request that was not sent yet."""
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
        self.pauses = 0
        self.sent = False
        self.repeat_acquired = False
        self.abandoned = False
        self.parts = parts
        self.begun = False

    @property
    def urgency(self) -> int:
        """Return the team's priority, or the route's if it has none."""
        team = self.admitted.team
        if team is not None and team.priority is not None:
            return team.priority
        return self.admitted.route.priority


def accepts_encoding(request: http_messages.Request) -> bool:
    """Return whether a client accepts an encoded body."""
    accepted = http_messages.find_header(request.headers, "accept-encoding")
    return accepted not in (None, "", "identity")


class OpenAttempt(NamedTuple):
    """An attempt whose answer is being read."""

    place: places.Placed
    channel: endpoint_channel.EndpointChannel


class Exchange:
    """Serves requests; used on the event loop only.

    Attributes:
        jobs: Admitted requests without a final answer.
        open_attempts: The current attempt of each request, by request.
        statements: Reads what endpoints say of themselves.
        crash_check: Tells a crash of an endpoint from a closed connection.
        lives: Attempts that a crash may concern which is noticed later.
        dropped_headers: Headers of client requests that are not forwarded.
    """

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
        """Create an exchange without open requests.

        Args:
            loop: The event loop.
            dialect: Names of the headers to read and write.
            configuration: Holds the routes and teams in force.
            admission: Chooses endpoints and queues requests.
            pool: Opens connections to endpoints.
            allowance: Limits the repeats.
            metrics: Receives counters and timings.
        """
        self.metrics = metrics
        self.loop = loop
        self.dialect = dialect
        self.configuration = configuration
        self.admission = admission
        self.pool = pool
        self.allowance = allowance
        self.jobs: set[Job] = set()
        self.open_attempts: dict[Job, OpenAttempt] = {}
        self.crash_check = crash_check.create_crash_check(loop)
        self.lives = endpoint_lives.create_endpoint_lives()
        self.statements = answer_statements.create_answer_statements(
            dialect, admission, metrics
        )
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
        """Admit a request, forward it and enforce its deadline."""
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
        parts = self.parts_of(request, admitted)
        job = Job(request, client, admitted, times, request_id, parts)
        self.jobs.add(job)
        try:
            async with asyncio.timeout_at(times.deadline):
                await self.run(job)
        except TimeoutError:
            self.finish_timed_out(job)
        except asyncio.CancelledError:
            if not job.abandoned or client.lost:
                self.log_end(job, CLIENT_DISCONNECTED, 0, "")
                raise
            self.finish_abandoned(job)
        finally:
            self.jobs.discard(job)
            self.lives.record_end(job, False, self.loop.time())
            if job.repeat_acquired:
                self.allowance.give_back(admitted.service)

    def parts_of(
        self, request: http_messages.Request, admitted: Admitted
    ) -> tuple[str, ...]:
        """Return the shared parts of a request's prompt and its fingerprint."""
        header = prompt_parts.join_values(
            http_messages.find_headers(
                request.headers, self.dialect.prompt_parts
            )
        )
        return (
            *prompt_parts.parse_shared_parts(header),
            request_fingerprint.fingerprint(
                request, admitted.team_name, header
            ),
        )

    def admit(self, request: http_messages.Request) -> Admitted | Rejection:
        """Find the route, the team and the service of a request.

        If the configuration defines teams, a route that is not public needs
        a known key.
        """
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
        """Answer a request that was not admitted."""
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
        """Attempt the request until it is answered or may not be repeated."""
        self.allowance.record_request(job.admitted.service, self.loop.time())
        while True:
            place = await self.admission.place(self.placement_request(job))
            if isinstance(place, refusals.Refused):
                self.metrics.count(f"forward.refused.{place.reason}")
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
                # Before the release, which may place requests that wait.
                self.record_outcome(job, place, outcome)
            finally:
                self.admission.release(place)
            if isinstance(outcome, retry_decision.Broken) and not job.begun:
                # The crash counts also if the client leaves meanwhile.
                await asyncio.shield(self.suspect_parts(job, place))
            self.lives.record_end(job, False, self.loop.time())
            self.admission.end_trial(place)
            if self.try_acquire_retry(job, outcome):
                self.metrics.count("forward.repeats")
                self.log_attempt(job, place, outcome, "retry")
                continue
            action = retry_decision.final_action(self.progress_of(job), outcome)
            if action is not retry_decision.Action.DONE:
                self.log_attempt(job, place, outcome, action)
            reason, retry_after = "", REJECTED_RETRY_AFTER
            refusal = self.admission.refusal_of_service(job.admitted.service)
            if refusal is not None:
                reason, retry_after = refusal.reason, refusal.retry_after
            self.finish(job, action, outcome, reason, retry_after)
            return

    def placement_request(self, job: Job) -> places.PlacementRequest:
        """Return the request for a place for the next attempt."""
        return places.PlacementRequest(
            job.id,
            job.admitted.service,
            job.urgency,
            job.times.received,
            job.times.target_at,
            job.times.deadline,
            self.client_timeout_at(job),
            frozenset(job.tried),
            job.runs > 0,
            job.admitted.route.kind is model.RequestKind.STREAM,
            job.parts,
            job.admitted.route.repeatable,
        )

    def client_timeout_at(self, job: Job) -> float:
        """Return when the client is expected to time out.

        A client that has received a part of the answer waits until the
        deadline.
        """
        if job.relay_state.started:
            return job.times.deadline
        return job.times.client_timeout_at

    async def attempt(
        self, job: Job, place: places.Placed
    ) -> retry_decision.Outcome:
        """Send the request to an endpoint and relay its answer."""
        job.sends += 1
        job.begun = False
        route = job.admitted.route
        try:
            channel = await self.pool.acquire(
                place.endpoint, fresh=not route.repeatable
            )
        except channel_pool.ConnectError as error:
            return retry_decision.Unsent(str(error))
        if self.admission.is_withheld(place):
            self.pool.release(place.endpoint, channel)
            return retry_decision.Withheld()
        self.open_attempts[job] = OpenAttempt(place, channel)
        try:
            job.runs += 1
            self.record_sent(job, place)
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
                lambda: self.record_progress(job),
                lambda head: self.record_head(job, place, head),
                lambda pause, target: self.admission.record_pause(
                    job.admitted.service, pause, target
                ),
                lambda: self.has_crashed(place),
                accepts_encoding(job.request),
            )
            return await relay.run(channel, route)
        except asyncio.CancelledError:
            self.remember_unanswered(job, place)
            raise
        finally:
            del self.open_attempts[job]
            # This closes the connection unless the answer is complete.
            self.pool.release(place.endpoint, channel)

    def record_sent(self, job: Job, place: places.Placed) -> None:
        """Record that a request is sent, if so, by an acquired repeat."""
        job.sent = True
        self.lives.record_sent(
            job,
            endpoint_lives.SentAttempt(
                place.endpoint, job.parts, self.loop.time()
            ),
        )
        if job.repeat_acquired:
            job.repeat_acquired = False
            self.allowance.record_sent(job.admitted.service)

    def move_streams_off_slow_ranks(self) -> None:
        """Move streams from ranks that slow down their group.

        All ranks of a group run each pass together, so a rank that has become
        many times slower delays every stream of the group. Ending the few
        streams on that rank, which then continue on other ranks, avoids this.
        At most MAX_MOVES_PER_SWEEP streams are moved at a time.
        """
        now = self.loop.time()
        moved = 0
        for job, attempt in list(self.open_attempts.items()):
            if not self.admission.slowdowns.should_move_streams(
                attempt.place.endpoint.address.host, now
            ):
                continue
            if not self.try_acquire_move(job, attempt):
                continue
            attempt.channel.fail("the endpoint holds back its group")
            moved += 1
            if moved == MAX_MOVES_PER_SWEEP:
                return

    def try_acquire_move(self, job: Job, attempt: OpenAttempt) -> bool:
        """Acquire a repeat for moving a stream; return whether it may move.

        The stream must be resumable, and another endpoint that is not slow
        must have capacity.
        """
        if (
            not attempt.channel.active
            or job.sends >= MAX_SENDS
            or not retry_decision.may_move(
                self.progress_of(job), job.admitted.route.resumable
            )
            or not self.admission.has_fast_capacity(self.placement_request(job))
        ):
            return False
        # Acquired before the attempt is ended: without a repeat left, the
        # client would get a truncated stream.
        return self.try_acquire_repeat(job)

    def try_acquire_repeat(self, job: Job) -> bool:
        """Acquire a repeat for the next send; return whether it has one."""
        if not job.repeat_acquired:
            job.repeat_acquired = self.allowance.try_acquire(
                job.admitted.service, self.loop.time()
            )
            if not job.repeat_acquired:
                self.metrics.count("forward.repeats.denied")
        return job.repeat_acquired

    def record_head(
        self,
        job: Job,
        place: places.Placed,
        head: endpoint_channel.Head,
    ) -> None:
        """Record what an endpoint says of itself in an answer."""
        self.lives.record_answer(place.endpoint.id, self.loop.time())
        if self.statements.record(place, head):
            job.pauses += 1

    def record_progress(self, job: Job) -> None:
        """Record progress of a service; serve those who waited for it."""
        service = job.admitted.service
        endpoint = self.open_attempts[job].place.endpoint
        self.lives.record_answer(endpoint.id, self.loop.time())
        if not job.begun:
            job.begun = True
            self.lives.record_end(job, False, self.loop.time())
            self.clear_parts(job, job.parts)
        liveness = self.admission.liveness(service)
        if liveness is None:
            return
        stalled = self.admission.is_stalled(service)
        liveness.record_progress(self.loop.time())
        if stalled:
            self.admission.serve_queue(service)

    def clear_parts(self, job: Job, parts: tuple[str, ...]) -> None:
        """Record that some parts of a request are sound."""
        cleared = self.admission.suspects.record_event(
            job.admitted.service,
            parts,
            self.loop.time(),
            job.admitted.team_name,
        )
        if cleared:
            self.metrics.count("forward.parts.cleared", len(cleared))
            event_log.emit(
                event_catalogue.PART_CLEARED,
                request=job.id,
                service=job.admitted.service,
                parts=prompt_parts.format_parts([key.part for key in cleared]),
            )

    def format(self, job: Job, place: places.Placed) -> bytes:
        """Encode the request for an endpoint.

        The gateway replaces the headers that it sets itself. A stream that
        continues names the last event that the client has.
        """
        request = job.request
        headers = http_messages.end_to_end_headers(
            request.headers, self.dropped_headers
        )
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

    def record_outcome(
        self,
        job: Job,
        place: places.Placed,
        outcome: retry_decision.Outcome,
    ) -> None:
        """Update the statistics and the endpoint's state after an attempt."""
        if isinstance(outcome, retry_decision.Delivered):
            now = self.loop.time()
            first = job.relay_state.first_byte_at or now
            self.admission.record_answer(
                job.admitted.service,
                now - place.acquired_at,
                first - place.acquired_at,
            )
            return
        if isinstance(outcome, retry_decision.Withheld):
            job.rejections += 1
            return
        job.tried.add(place.endpoint.id)
        if isinstance(outcome, retry_decision.NotRun):
            job.runs -= 1
            job.rejections += 1
            liveness = self.admission.liveness(job.admitted.service)
            if outcome.status == answer_relay.MISDIRECTED_REQUEST:
                self.admission.directory.mark_replaced(place.endpoint.id)
            elif liveness is not None:
                liveness.record_rejection()
                if liveness.is_stalled(self.loop.time()):
                    # The group rejects, not this endpoint, so that the request
                    # waits for the group and may then go to any endpoint.
                    # As a probe it may be rejected any number of times.
                    job.tried.clear()
                    job.rejections = 0
                    job.pauses = 0
                    job.sends -= 1
        if isinstance(outcome, retry_decision.Unsent):
            job.rejections += 1
        if isinstance(outcome, retry_decision.Failed):
            # The endpoint has run it, but perhaps not read its whole prompt.
            self.clear_parts(job, job.parts[-1:])
        if not isinstance(outcome, retry_decision.Failed):
            self.admission.suspect(
                place.endpoint.id, type(outcome).__name__.lower()
            )

    async def has_crashed(self, place: places.Placed) -> bool:
        """Return whether an endpoint that closed a connection has crashed.

        One that leaves may end with requests under way.
        """
        state = await self.crash_check.check(place.endpoint)
        return (
            state is crash_check.EndpointState.CRASHED
            and not self.admission.directory.is_leaving(place.endpoint.id)
        )

    async def suspect_parts(self, job: Job, place: places.Placed) -> None:
        """Suspect the parts of a request at which its endpoint crashed."""
        now = self.loop.time()
        state = await self.crash_check.check(place.endpoint)
        if state is crash_check.EndpointState.UNREACHABLE:
            self.remember_unanswered(job, place)
        if (
            state is not crash_check.EndpointState.CRASHED
            or self.admission.directory.is_leaving(place.endpoint.id)
        ):
            return
        self.metrics.count("forward.crashes")
        suspects = self.admission.suspects.record_crash(
            job.admitted.service,
            job.parts,
            crash_suspects.Crash(
                place.endpoint.id, now, now - place.acquired_at
            ),
        )
        self.log_suspects(suspects, job.id, place.endpoint)

    def remember_unanswered(self, job: Job, place: places.Placed) -> None:
        """Keep an attempt that ended at an endpoint that may have crashed."""
        leaving = self.admission.directory.is_leaving(place.endpoint.id)
        self.lives.record_end(
            job, not job.begun and not leaving, self.loop.time()
        )

    def end_lost_attempts(self) -> None:
        """End the attempts at endpoints that have started again.

        Those that had not begun were there when the endpoint crashed.
        """
        now = self.loop.time()
        directory, suspects = self.admission.directory, self.admission.suspects
        lost = self.lives.take_lost(
            directory.latest_start, suspects.last_crash_at, now
        )
        crashes = [self.crash_of(attempt, now) for attempt in lost]
        found = suspects.record_crashes(crashes)
        for endpoint in {
            item.endpoint.id: item.endpoint for item in lost
        }.values():
            self.metrics.count("forward.crashes")
            self.log_suspects(
                [key for key in found if key.service == endpoint.service],
                "",
                endpoint,
            )
        restarted = self.lives.take_restarted(
            listed.value for listed in directory.listed.values()
        )
        for endpoint_id in restarted:
            self.pool.discard(endpoint_id)
        for attempt in list(self.open_attempts.values()):
            silent = now - attempt.channel.active_at
            if (
                attempt.place.endpoint.id in restarted
                and silent >= endpoint_lives.START_REPORT_SECONDS
            ):
                attempt.channel.fail("the endpoint has started again")

    def crash_of(
        self, attempt: endpoint_lives.SentAttempt, now: float
    ) -> crash_suspects.CrashedRequest:
        """Return the crash that ended an attempt, as noticed now or before."""
        known = self.admission.suspects.last_crash_at(attempt.endpoint.id)
        at = known if known > attempt.sent_at else now
        return crash_suspects.CrashedRequest(
            attempt.endpoint.service,
            attempt.parts,
            crash_suspects.Crash(attempt.endpoint.id, at, at - attempt.sent_at),
        )

    def log_suspects(
        self,
        suspects: list[crash_suspects.PartKey],
        request_id: str,
        endpoint: endpoints.Endpoint,
    ) -> None:
        """Log and count the parts that a crash has made suspects."""
        if not suspects:
            return
        self.metrics.count("forward.parts.suspected", len(suspects))
        event_log.emit(
            event_catalogue.PART_SUSPECTED,
            request=request_id,
            service=endpoint.service,
            parts=prompt_parts.format_parts([key.part for key in suspects]),
            endpoint=endpoint.id,
        )

    def renew_trials(self) -> list[crash_suspects.PartKey]:
        """Renew and return the trials of this gateway without a result."""
        now = self.loop.time()
        parts = [
            attempt.place.trial
            for job, attempt in self.open_attempts.items()
            if attempt.place.trial is not None
            and not job.begun
            and now - attempt.place.acquired_at
            < crash_suspects.MAX_TRIAL_SECONDS
        ]
        for part in parts:
            self.admission.suspects.renew_trial(part, now)
        return parts

    def stop_suspects(self) -> None:
        """Refuse or withdraw requests after a part has become a suspect."""
        self.admission.refuse_suspects()
        now = self.loop.time()
        for job, attempt in list(self.open_attempts.items()):
            if (
                not job.begun
                and attempt.channel.active
                and self.admission.suspects.must_withdraw(
                    job.admitted.service, job.parts, now
                )
            ):
                event_log.emit(
                    event_catalogue.ATTEMPT_WITHDRAWN,
                    request=job.id,
                    endpoint=attempt.place.endpoint.id,
                    parts=prompt_parts.format_parts(job.parts),
                )
                attempt.channel.fail("it may crash its endpoint")

    def progress_of(self, job: Job) -> retry_decision.Progress:
        """Return the state on which retry decisions are based."""
        request = self.placement_request(job)
        return retry_decision.Progress(
            repeatable=job.admitted.route.repeatable,
            max_runs=job.admitted.route.max_attempts,
            runs=job.runs,
            rejections=job.rejections,
            answer_started=job.relay_state.started,
            alternatives=bool(self.admission.candidates(request)),
            others=self.admission.has_others(request),
            pauses=job.pauses,
        )

    def try_acquire_retry(
        self, job: Job, outcome: retry_decision.Outcome
    ) -> bool:
        """Acquire a repeat if a retry makes sense; return whether to retry.

        A request that has reached no endpoint yet needs none.
        """
        if job.sends >= MAX_SENDS or not retry_decision.should_retry(
            self.progress_of(job), outcome
        ):
            return False
        return not job.sent or self.try_acquire_repeat(job)

    def finish(
        self,
        job: Job,
        action: retry_decision.Action,
        outcome: retry_decision.Outcome | None,
        reason: str,
        retry_after: float,
    ) -> None:
        """Send the final answer, or close the connection, and log the end.

        Args:
            job: The request.
            action: Decides the answer.
            outcome: Outcome of the last attempt; None if no place was found for
                another one.
            reason: Why no place was found, or the service is stalled, for the
                log.
            retry_after: Seconds to state in a refusal.
        """
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
        elif job.relay_state.started:
            job.client.abort()
        else:
            status = BAD_GATEWAY
            job.client.send_answer(http_messages.Answer(status, (), b""))
        self.log_end(job, action, status, reason)

    def finish_timed_out(self, job: Job) -> None:
        """Answer a request whose deadline has passed.

        503 says that it has not run; 504, that it may have run.
        """
        if job.relay_state.started:
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
        place: places.Placed,
        outcome: retry_decision.Outcome,
        action: str,
    ) -> None:
        """Log an attempt that did not deliver the answer."""
        reserve = self.allowance.reserve_of(
            job.admitted.service, self.loop.time()
        )
        event_log.emit(
            event_catalogue.ATTEMPT_ENDED,
            request=job.id,
            endpoint=place.endpoint.id,
            outcome=type(outcome).__name__.lower(),
            detail=getattr(outcome, "reason", getattr(outcome, "status", "")),
            sends=job.sends,
            runs=job.runs,
            last_event=job.relay_state.last_event_id or "",
            begun=job.begun,
            parts=prompt_parts.format_parts(job.parts),
            seconds=self.loop.time() - place.acquired_at,
            gateways=self.allowance.gateways() or 0,
            repeats_left=reserve.earned,
            action=action,
        )

    def abandon_open_requests(self, stop_started: float) -> None:
        """Make each open request give its final answer, when a stop ends."""
        for job in self.jobs:
            if job.client.task is not None:
                self.log_cut_by_stop(job, stop_started)
                job.abandoned = True
                job.client.task.cancel()

    def finish_abandoned(self, job: Job) -> None:
        """Answer a request that a planned stop ends."""
        action = retry_decision.abandoned_action(self.progress_of(job))
        self.finish(job, action, None, "stopping", REJECTED_RETRY_AFTER)

    def log_cut_by_stop(self, job: Job, stop_started: float) -> None:
        """Log a request that is still open when a planned stop ends."""
        event_log.emit(
            event_catalogue.REQUEST_CUT_BY_STOP,
            request=job.id,
            route=job.admitted.route.name,
            received=job.times.received - stop_started,
            connected=job.client.connected_at - stop_started,
            runs=job.runs,
            events=job.relay_state.events,
            left=job.times.deadline - self.loop.time(),
        )

    def log_end(self, job: Job, action: str, status: int, reason: str) -> None:
        """Log the end of a request and update the metrics."""
        now = self.loop.time()
        first = job.relay_state.first_byte_at
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
            parts=prompt_parts.format_parts(job.parts),
            left=job.times.deadline - now,
            configuration=self.configuration.version(),
        )
