"""Exceptions that end the handling of a request with an error response."""

from typing import TypeVar

import returns.pipeline
import returns.result

from verbenafall_core import outcomes
from verbenafall_gateway.client_http import answers

T = TypeVar("T")


class FaultError(Exception):
    """An invalid request, to be answered with a 4xx status."""

    def __init__(self, fault: answers.Fault) -> None:
        """Wrap a fault."""
        super().__init__(fault.message)
        self.fault = fault


class RefusedError(Exception):
    """A request that is refused before any attempt."""

    def __init__(self, refusal: outcomes.Refusal) -> None:
        """Wrap a refusal."""
        super().__init__(refusal.message)
        self.refusal = refusal


def require(result: returns.result.Result[T, answers.Fault]) -> T:
    """Return the value of a successful check.

    Raises:
        FaultError: The check found a fault.
    """
    if not returns.pipeline.is_successful(result):
        raise FaultError(result.failure())
    return result.unwrap()
