"""Names of the HTTP headers that a deployment's clients and endpoints use."""

from typing import Final
from typing import NamedTuple


class Dialect(NamedTuple):
    """Header names, in lower case.

    Attributes:
        attempt_id: Id of a request; endpoints repeat it in their answers.
        time_left_ms: Milliseconds for which the sender, a client or a
            gateway, still waits for the answer.
        key: The client's API key; never forwarded.
        team: Name of the team, set by the gateway.
        expected_endpoint: Id of the only endpoint that may run the request.
        urgency: 0 (most urgent) to 9; removed from requests of clients.
        signature: Signature by which an endpoint confirms that it produced
            the answer.
        not_run: Present if the endpoint did not run the request.
        last_event_id: Id of the last event that the sender received.
        rate_limit: Requests per second that the endpoint accepts from all
            gateways together, in its answers.
        leaving: "1" in all answers of an endpoint that leaves.
        prompt_parts: The parts of the request's prompt in order, as
            comma-separated `id:tokens`. The last one is the request's own.
    """

    attempt_id: str
    time_left_ms: str
    key: str
    team: str
    expected_endpoint: str
    urgency: str
    signature: str
    not_run: str
    last_event_id: str
    rate_limit: str
    leaving: str
    prompt_parts: str


DEFAULT: Final = Dialect(
    attempt_id="x-request-id",
    time_left_ms="x-time-left-ms",
    key="x-api-key",
    team="x-team",
    expected_endpoint="x-expected-endpoint",
    urgency="x-urgency",
    signature="x-signature",
    not_run="x-not-run",
    last_event_id="last-event-id",
    rate_limit="x-rate-limit",
    leaving="x-leaving",
    prompt_parts="x-prompt-parts",
)
