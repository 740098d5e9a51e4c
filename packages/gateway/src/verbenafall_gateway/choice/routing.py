"""Selects an endpoint for one attempt (no I/O)."""

from collections.abc import Sequence
import datetime
import enum
import math
import random
from typing import Final
from typing import NamedTuple

from verbenafall_core import addresses
from verbenafall_gateway.choice import rendezvous

AFFINITY_PREFIX_CHARACTERS: Final = 256
# Maximum load of an endpoint as a multiple of the mean.
LOAD_BOUND_FACTOR: Final = 1.25
# Sidecars report every second, so only a delayed report is older than this.
# All gateways avoid an engine because of the same report; if the report is
# stale, they would avoid it for longer than its queue lasts.
STALE_REPORT_AGE: Final = datetime.timedelta(seconds=1.5)
# At weight 0, the busiest engine would never be relieved under skewed load.
STALE_REPORT_WEIGHT: Final = 0.25


class EndpointState(NamedTuple):
    """Snapshot of a linked endpoint.

    Attributes:
        own_in_flight: Open attempts of this gateway.
        reported_queue: Queue length in the sidecar's last load report.
        available: Whether the endpoint may get new work.
        report_age: Lower bound for the age of the report's information.
    """

    instance: str
    service: str
    data_centre: str
    address: addresses.Address
    own_in_flight: int
    reported_queue: int
    available: bool
    report_age: datetime.timedelta = datetime.timedelta()

    @property
    def load(self) -> float:
        """Return the load used to compare endpoints."""
        queue = effective_queue(self.reported_queue, self.report_age)
        return self.own_in_flight + queue


class RouteReason(enum.StrEnum):
    """Why an endpoint was chosen."""

    AFFINITY = "prefix_affinity"
    LOCAL_CHOICE = "two_choices_local"
    GLOBAL_CHOICE = "two_choices_any"


class Choice(NamedTuple):
    """The chosen endpoint and the figures behind the choice."""

    endpoint: EndpointState
    reason: RouteReason
    candidates: int
    load_limit: int


def choose(
    endpoints: Sequence[EndpointState],
    service: str,
    data_centre: str,
    affinity: str,
    excluded: frozenset[str],
    generator: random.Random,
) -> Choice | None:
    """Choose an endpoint for an attempt.

    With an affinity, the choice is by rendezvous hashing with bounded loads,
    otherwise the less loaded of two random endpoints. Returns None if no
    endpoint is usable.

    Args:
        endpoints: All linked endpoints.
        service: Name of the requested service.
        data_centre: Data centre of this gateway; its endpoints come first.
        affinity: Start of the prompt; empty for no affinity.
        excluded: Instances already tried for this request.
        generator: Source of the random choices.
    """
    candidates = [
        endpoint
        for endpoint in endpoints
        if endpoint.service == service
        and endpoint.available
        and endpoint.instance not in excluded
    ]
    if not candidates:
        return None
    loads = [endpoint.load for endpoint in candidates]
    limit = load_limit(loads)
    within = [
        endpoint
        for endpoint, load in zip(candidates, loads, strict=True)
        if load < limit
    ]
    if affinity:
        # Overflow of a prompt always goes to the same next endpoint, so that
        # its prefix is cached there as well. "within" is never empty, as the
        # least loaded endpoint is always within the bound.
        preferred = max(
            within,
            key=lambda endpoint: rendezvous.score(affinity, endpoint.instance),
        )
        return Choice(preferred, RouteReason.AFFINITY, len(candidates), limit)
    local = [
        endpoint for endpoint in within if endpoint.data_centre == data_centre
    ]
    reason = RouteReason.LOCAL_CHOICE if local else RouteReason.GLOBAL_CHOICE
    chosen = less_loaded_of_two(local or candidates, generator)
    return Choice(chosen, reason, len(candidates), limit)


def effective_queue(queue: int, age: datetime.timedelta) -> float:
    """Return a reported queue length, reduced if the report is stale."""
    return queue if age < STALE_REPORT_AGE else queue * STALE_REPORT_WEIGHT


def load_limit(loads: Sequence[float]) -> int:
    """Return the load that an endpoint may reach with one more attempt.

    Rounded up, so that an idle endpoint can always accept one attempt.
    """
    return math.ceil(LOAD_BOUND_FACTOR * (sum(loads) + 1) / len(loads))


def less_loaded_of_two(
    candidates: Sequence[EndpointState], generator: random.Random
) -> EndpointState:
    """Return the less loaded of two randomly sampled endpoints."""
    sampled = generator.sample(candidates, min(2, len(candidates)))
    return min(sampled, key=lambda endpoint: endpoint.load)


def affinity_key(prompt: str) -> str:
    """Return the prompt prefix that determines the preferred endpoint."""
    return prompt[:AFFINITY_PREFIX_CHARACTERS]
