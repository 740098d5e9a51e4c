"""Names of the headers that callers and endpoints of a deployment use."""

from typing import Final
from typing import NamedTuple


class Dialect(NamedTuple):
    """Header names, in lower case.

    Attributes:
        attempt_id: Id of a request; endpoints repeat it in their answers.
        time_left_ms: Milliseconds that the caller, or the gateway, waits.
        key: The caller's key; never passed on.
        team: Name of the team, set by the gateway.
        expected_endpoint: Id of the only endpoint that may run the request.
        urgency: 0 to 9, 0 is most urgent; set by the gateway.
        signature: The endpoint's proof of an answer.
        not_run: Present when the endpoint did not run the request.
        last_event_id: Id of the last event that the caller has.
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
)
