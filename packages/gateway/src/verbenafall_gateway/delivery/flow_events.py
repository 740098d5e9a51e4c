"""Events from a request's flow to the code that writes its answer."""

from collections.abc import Generator
from typing import NamedTuple

from verbenafall_core import outcomes
from verbenafall_gateway.delivery import attempt_events


class Delta(NamedTuple):
    """The next part of the answer."""

    data: bytes


class Restarted(NamedTuple):
    """The parts so far must be discarded; the answer starts over."""


class ClientDisconnected(NamedTuple):
    """The client has disconnected; the consumer should close the flow."""


FlowEvent = (
    Delta
    | Restarted
    | ClientDisconnected
    | attempt_events.Complete
    | outcomes.Refusal
)
Flow = Generator[FlowEvent, None, None]
