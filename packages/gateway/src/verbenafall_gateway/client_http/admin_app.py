"""WSGI application of the administrative address."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from werkzeug import exceptions
from werkzeug import routing as werkzeug_routing
from werkzeug import wrappers

from verbenafall_core import identifiers
from verbenafall_gateway import status as status_lib
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.client_http import answers
from verbenafall_gateway.client_http import common_responses


class AdminApp:
    """Serves readiness, status and notices of new bundles."""

    def __init__(
        self,
        state: service_state.ServiceState,
        status: status_lib.Status,
    ) -> None:
        """Create the application and its URL map."""
        self.state = state
        self.status = status
        rule = werkzeug_routing.Rule
        self.urls = werkzeug_routing.Map(
            [
                rule("/-/ready", endpoint="ready", methods=["GET"]),
                rule("/-/status", endpoint="status", methods=["GET"]),
                rule("/-/bundle-poll", endpoint="poll", methods=["POST"]),
            ]
        )
        self.handlers: dict[str, Callable[[str], wrappers.Response]] = {
            "ready": self.serve_ready,
            "status": self.serve_status,
            "poll": self.serve_poll,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Call the handler of the path; unknown paths get a JSON error."""
        request = wrappers.Request(environ)
        request_id = identifiers.new_request_id()
        try:
            endpoint, _ = self.urls.bind_to_environ(environ).match()
            response = self.handlers[endpoint](request_id)
        except exceptions.HTTPException as error:
            response = answers.fault_response(
                common_responses.routing_fault(request, error), request_id
            )
        return response(environ, start_response)

    def serve_ready(self, request_id: str) -> wrappers.Response:
        """Report whether this gateway is ready for new requests."""
        return common_responses.ready_response(self.state, request_id)

    def serve_status(self, request_id: str) -> wrappers.Response:
        """Return the status of this gateway and of the linked sidecars."""
        collected = self.status.collect()
        statuses = (self.status.own_status(0), *collected.replies)
        body = {
            "processes": [status_lib.status_body(reply) for reply in statuses],
            "silent": list(collected.silent),
        }
        return answers.json_response(body, 200, request_id)

    def serve_poll(self, request_id: str) -> wrappers.Response:
        """Schedule an immediate read of the bundle head; do not wait for it."""
        self.state.bundles.poll_now()
        return answers.json_response({"polling": True}, 202, request_id)


def create_admin_app(
    state: service_state.ServiceState, status: status_lib.Status
) -> AdminApp:
    """Create the application of the administrative address."""
    return AdminApp(state, status)
