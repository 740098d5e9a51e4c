"""WSGI application of the client address."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import random
from typing import Any
from typing import NamedTuple

from werkzeug import exceptions
from werkzeug import wrappers

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import identifiers
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import outcomes
from verbenafall_core.bundles import model
from verbenafall_core.claims import model as claims_model
from verbenafall_gateway import event_catalogue
from verbenafall_gateway.choice import bundle_index
from verbenafall_gateway.choice import routing
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.choice import team_limits
from verbenafall_gateway.client_http import answers
from verbenafall_gateway.client_http import chat
from verbenafall_gateway.client_http import chat_clients
from verbenafall_gateway.client_http import client_paths
from verbenafall_gateway.client_http import common_responses
from verbenafall_gateway.client_http import http_server
from verbenafall_gateway.client_http import records
from verbenafall_gateway.client_http import request_body
from verbenafall_gateway.client_http import request_errors
from verbenafall_gateway.client_http import validation
from verbenafall_gateway.delivery import direct_delivery
from verbenafall_gateway.delivery import flow_events
from verbenafall_gateway.delivery import request_flow
from verbenafall_gateway.delivery import request_progress


class Caller(NamedTuple):
    """Team of the caller, and the bundle used to check its request."""

    team: model.TeamSpec
    indexed_bundle: bundle_index.BundleIndex


class ClientApp:
    """Serves chat requests, calls of records services and outcome queries."""

    def __init__(
        self,
        flow: request_flow.RequestFlow,
        state: service_state.ServiceState,
        claims: claims_model.Claims,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        max_open: int,
        generator: random.Random,
    ) -> None:
        """Create an application without open requests.

        Args:
            flow: Runs the requests.
            state: Whether this gateway accepts new work.
            claims: Claims on idempotency keys, for outcome queries.
            clock: Clock of the requests' deadlines.
            metrics: Counts responses by status.
            max_open: Maximum number of open requests of all teams together.
            generator: Randomises retry delays.
        """
        self.flow = flow
        self.state = state
        self.claims = claims
        self.clock = clock
        self.metrics = metrics
        self.generator = generator
        self.limits = team_limits.create_team_limits(max_open)
        self.indexes = bundle_index.create_index_cache()
        self.urls = client_paths.url_map()
        self.handlers: dict[str, Callable[..., wrappers.Response]] = {
            "chat": self.serve_chat,
            "models": self.serve_models,
            "outcome": self.serve_outcome,
            "ready": self.serve_ready,
            "records": self.serve_records,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle a request under a new request id."""
        request = wrappers.Request(environ)
        response = self.answer(request, identifiers.new_request_id())
        return response(environ, start_response)

    def answer(
        self, request: wrappers.Request, request_id: str
    ) -> wrappers.Response:
        """Return the response of the handler; exceptions become JSON errors."""
        try:
            endpoint, values = self.urls.bind_to_environ(
                request.environ
            ).match()
            response = self.handlers[endpoint](request, request_id, **values)
        except request_errors.FaultError as error:
            response = answers.fault_response(error.fault, request_id)
        except request_errors.RefusedError as error:
            response = answers.refusal_response(error.refusal, request_id)
        except exceptions.HTTPException as error:
            response = answers.fault_response(
                common_responses.routing_fault(request, error), request_id
            )
        except Exception as error:
            event_log.emit(
                event_catalogue.REQUEST_ERROR,
                request=request_id,
                error=repr(error),
            )
            response = common_responses.internal_error_response(request_id)
        self.metrics.count(f"http.status.{response.status_code}")
        if response.status_code >= 400:
            event_log.emit(
                event_catalogue.REQUEST_REFUSED,
                request=request_id,
                method=request.method,
                path=request.path,
                status=response.status_code,
            )
        return response

    def serve_ready(
        self, _request: wrappers.Request, request_id: str
    ) -> wrappers.Response:
        """Answer the load balancer's readiness check."""
        return common_responses.ready_response(self.state, request_id)

    def serve_models(
        self, request: wrappers.Request, request_id: str
    ) -> wrappers.Response:
        """List the models that the caller's team may use."""
        caller = self.authenticate(request)
        names = [
            service.model
            for service in caller.indexed_bundle.bundle.services
            if service.kind is model.ServiceKind.MODEL
            and service.name in caller.team.services
        ]
        created = int(self.clock.now().timestamp())
        data = [
            {
                "id": name,
                "object": "model",
                "created": created,
                "owned_by": caller.indexed_bundle.bundle.deployment,
            }
            for name in names
        ]
        body = {"object": "list", "data": data}
        return answers.json_response(body, 200, request_id)

    def serve_chat(
        self, request: wrappers.Request, request_id: str
    ) -> wrappers.Response:
        """Check and run a chat request; stream the answer if requested."""
        caller = self.authenticate(request)
        key = request.headers.get("Idempotency-Key")
        request_errors.require(validation.check_key(key))
        # The client's time limit includes the time to read the body.
        started = self.clock.monotonic()
        call = request_errors.require(
            request_body.read_body(request).bind(validation.check_chat)
        )
        service = request_errors.require(
            validation.find_model_service(
                call.model, caller.team, caller.indexed_bundle
            )
        )
        flow_request = request_progress.FlowRequest(
            request_id=request_id,
            service=service.name,
            team=caller.team.name,
            priority=caller.team.priority,
            deadline=started + self.allowed_time(request, service),
            idempotent=True,
            idempotency_key="",
            method="POST",
            path=client_paths.CHAT_PATH,
            headers=(("Content-Type", answers.JSON_TYPE),),
            body=call.body,
            affinity=routing.affinity_key(call.prompt),
            resumable=True,
        )
        answer = chat.ChatAnswer(
            request_id, call.model, self.clock.now(), call.include_usage
        )
        if call.stream:
            return self.run(
                caller.team,
                flow_request,
                lambda flow: chat.stream_response(answer, flow),
                create_stream_client(request, answer),
            )
        client = chat_clients.NonStreamingClient(disconnect_check(request))
        return self.run(
            caller.team,
            flow_request,
            lambda flow: chat.non_streaming_response(answer, flow, client),
            client,
        )

    def serve_records(
        self,
        request: wrappers.Request,
        request_id: str,
        service: str,
        rest: str = "",
    ) -> wrappers.Response:
        """Check a call of a records service and forward it."""
        del rest  # The path is forwarded as sent by the client, not decoded.
        caller = self.authenticate(request)
        spec = request_errors.require(
            validation.find_records_service(
                service, caller.team, caller.indexed_bundle
            )
        )
        key = request_errors.require(
            validation.check_key(request.headers.get("Idempotency-Key"))
        )
        call = request_errors.require(
            validation.check_records(
                request.method,
                client_paths.forwarded_path(request),
                key,
                spec.rules,
            )
        )
        started = self.clock.monotonic()
        flow_request = request_progress.FlowRequest(
            request_id=request_id,
            service=spec.name,
            team=caller.team.name,
            priority=caller.team.priority,
            deadline=started + self.allowed_time(request, spec),
            idempotent=call.idempotent,
            idempotency_key="" if call.idempotent else key,
            method=call.method,
            path=call.path,
            headers=records.forwarded_headers(request.headers),
            body=request_errors.require(request_body.read_body(request)),
            affinity="",
            resumable=False,
        )
        return self.run(
            caller.team,
            flow_request,
            lambda flow: records.records_response(request_id, flow),
        )

    def serve_outcome(
        self, request: wrappers.Request, request_id: str, key: str
    ) -> wrappers.Response:
        """Return the outcome of the request with an idempotency key.

        The key of a request that has not run is sealed, so that the request
        cannot run later. Errors have the outcome "unknown", since a refused or
        invalid query says nothing about the request with that key.
        """
        unknown = outcomes.Outcome.UNKNOWN
        try:
            caller = self.authenticate(request)
            request_errors.require(validation.check_key(key))
        except request_errors.RefusedError as error:
            refusal = error.refusal._replace(outcome=unknown)
            raise request_errors.RefusedError(refusal) from error
        except request_errors.FaultError as error:
            fault = error.fault._replace(outcome=unknown)
            raise request_errors.FaultError(fault) from error
        team = caller.team.name
        if self.flow.is_key_open(team, key):
            return common_responses.outcome_response(
                outcomes.Outcome.UNKNOWN, request_id
            )
        result = self.claims.seal(team, key, f"{request_id}.query")
        if isinstance(result, claims_model.Sealed):
            return common_responses.outcome_response(
                outcomes.Outcome.NOT_RUN, request_id
            )
        if isinstance(result, claims_model.Replay):
            return common_responses.outcome_response(
                outcomes.Outcome.RAN, request_id, result.answer.status
            )
        if isinstance(result, claims_model.Held):
            return common_responses.outcome_response(
                outcomes.Outcome.UNKNOWN, request_id
            )
        raise request_errors.RefusedError(
            self.refusal(
                outcomes.Outcome.UNKNOWN,
                outcomes.Reason.STORE_UNAVAILABLE,
                f"the outcome cannot be read now: {result.message}",
            )
        )

    def authenticate(self, request: wrappers.Request) -> Caller:
        """Return the caller, unless this gateway refuses new work.

        Raises:
            request_errors.RefusedError: This gateway is stopping, or cannot
                confirm which bundle is in force.
            request_errors.FaultError: The credential is not valid.
        """
        if self.state.phase is service_state.Phase.REFUSING:
            raise request_errors.RefusedError(
                self.refusal(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.DRAINING,
                    "this gateway is stopping; use another connection",
                )
            )
        bundle = self.state.bundles.current()
        if bundle is None or not self.state.bundles.accepts_new_work():
            raise request_errors.RefusedError(
                self.refusal(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.BUNDLE_UNCONFIRMED,
                    "this gateway cannot confirm which bundle is in force",
                )
            )
        authorization = request.headers.get("Authorization")
        index = self.indexes.get(bundle)
        team = request_errors.require(
            validation.find_team(authorization, index)
        )
        return Caller(team, index)

    def allowed_time(
        self, request: wrappers.Request, service: model.ServiceSpec
    ) -> datetime.timedelta:
        """Return the client's time limit, by default that of the service."""
        return request_errors.require(
            validation.check_deadline(
                request.headers.get("X-Deadline-Ms"), service.deadline
            )
        )

    def run(
        self,
        team: model.TeamSpec,
        flow_request: request_progress.FlowRequest,
        respond: Callable[[flow_events.Flow], wrappers.Response],
        client: direct_delivery.Client | None = None,
    ) -> wrappers.Response:
        """Run a request within the limits of open requests.

        Closing the response closes the flow, which cancels an open attempt.

        Args:
            team: Team of the caller.
            flow_request: The validated request.
            respond: Returns the response from the events of the flow.
            client: Receives tokens directly; None if they all come as events.
        """
        self.admit(team)
        flow = self.flow.run(flow_request, client)

        def finish() -> None:
            try:
                flow.close()
            finally:
                self.limits.release(team.name)

        try:
            response = respond(flow)
        except BaseException:
            finish()
            raise
        response.call_on_close(finish)
        return response

    def admit(self, team: model.TeamSpec) -> None:
        """Count a new request as open.

        Raises:
            request_errors.RefusedError: The team or the gateway is at its
                limit.
        """
        result = self.limits.try_acquire(team.name, team.max_in_flight)
        if result is team_limits.AdmissionResult.TEAM_FULL:
            raise request_errors.RefusedError(
                self.refusal(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.TEAM_LIMIT,
                    f"team {team.name} has {team.max_in_flight} requests open"
                    " at this gateway, which is its limit",
                )
            )
        if result is team_limits.AdmissionResult.GATEWAY_FULL:
            raise request_errors.RefusedError(
                self.refusal(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.OVERLOADED,
                    "this gateway has as many requests open as it can serve",
                )
            )

    def refusal(
        self,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
        message: str,
    ) -> outcomes.Refusal:
        """Return a refusal with a randomised retry delay."""
        delay = outcomes.jitter_retry_after(
            request_flow.DEFAULT_RETRY_AFTER, self.generator
        )
        return outcomes.Refusal(outcome, reason, message, delay)


def disconnect_check(request: wrappers.Request) -> Callable[[], bool]:
    """Return a function that returns whether the client has disconnected."""
    check: Callable[[], bool] = request.environ.get(
        http_server.IS_DISCONNECTED, lambda: False
    )
    return check


def create_stream_client(
    request: wrappers.Request, answer: chat.ChatAnswer
) -> direct_delivery.Client | None:
    """Return a client for a stream; None if the server offers no writer."""
    writer: chat_clients.BodyWriter | None = request.environ.get(
        http_server.BODY_WRITER
    )
    if writer is None:
        return None
    return chat_clients.StreamingClient(
        chat.token_encoder(answer), writer, disconnect_check(request)
    )


def create_client_app(
    flow: request_flow.RequestFlow,
    state: service_state.ServiceState,
    claims: claims_model.Claims,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    max_open: int,
    generator: random.Random | None = None,
) -> ClientApp:
    """Create the application of the client address."""
    generator = generator or random.Random()
    return ClientApp(flow, state, claims, clock, metrics, max_open, generator)
