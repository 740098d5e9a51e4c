"""What the flow of a request tells the one who writes its answer."""

from collections.abc import Generator
from typing import NamedTuple

from verbenafall_core import outcomes
from verbenafall_gateway.delivery import attempt_events


class Delta(NamedTuple):
    """The next part of the answer."""

    data: bytes


class Restarted(NamedTuple):
    """The parts so far are void; the answer starts over."""


class ClientGone(NamedTuple):
    """The client has closed its connection; the flow should be closed."""


FlowEvent = (
    Delta | Restarted | ClientGone | attempt_events.Complete | outcomes.Refusal
)
Flow = Generator[FlowEvent, None, None]
