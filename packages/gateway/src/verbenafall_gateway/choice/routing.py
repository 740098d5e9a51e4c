"""Pure choice of an endpoint for one attempt."""

from collections.abc import Sequence
import datetime
import enum
import math
import random
from typing import Final
from typing import NamedTuple

from verbenafall_core import addresses
from verbenafall_gateway.choice import rendezvous

AFFINITY_CHARACTERS: Final = 256
LOAD_BOUND: Final = 1.25
# Sidecars report every second, so only a late report is older than this. All
# gateways avoid an engine on the same report. When it is old, they do so for
# longer than the queue lasts.
OLD_REPORT_AGE: Final = datetime.timedelta(seconds=1.5)
# Without any weight the busiest engine of a skewed load is never relieved.
OLD_REPORT_WEIGHT: Final = 0.25


class EndpointState(NamedTuple):
    """A linked endpoint as the gateway knows it.

    Attributes:
        own_in_flight: Open attempts of this gateway.
        reported_queue: Queue length in the sidecar's last load report.
        available: Neither draining nor leaving.
        report_age: Age of what the report says, at least.
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
        """Return the load by which endpoints are compared."""
        queue = weigh_queue(self.reported_queue, self.report_age)
        return self.own_in_flight + queue


class RouteReason(enum.StrEnum):
    """Why an endpoint was chosen."""

    AFFINITY = "prefix_affinity"
    LOCAL_CHOICE = "two_choices_local"
    GLOBAL_CHOICE = "two_choices_any"


class Choice(NamedTuple):
    """An endpoint and the inputs of its choice."""

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
    """Choose an endpoint; None when none can take the attempt.

    Args:
        endpoints: All linked endpoints.
        service: Service that is called.
        data_centre: Data centre of this gateway, preferred.
        affinity: Start of the prompt, empty for no affinity.
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
        # All overflow of a prompt goes the same way, where its prefix is
        # cached as well. The least loaded endpoint is always within the bound.
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


def weigh_queue(queue: int, age: datetime.timedelta) -> float:
    """Return the part of a reported queue that counts at an age."""
    return queue if age < OLD_REPORT_AGE else queue * OLD_REPORT_WEIGHT


def load_limit(loads: Sequence[float]) -> int:
    """Return the load that an endpoint may reach with one more attempt.

    Rounding up leaves room for one attempt on an idle fleet.
    """
    return math.ceil(LOAD_BOUND * (sum(loads) + 1) / len(loads))


def less_loaded_of_two(
    candidates: Sequence[EndpointState], generator: random.Random
) -> EndpointState:
    """Return the less loaded of two random endpoints."""
    drawn = generator.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda endpoint: endpoint.load)


def affinity_key(prompt: str) -> str:
    """Return the part of a prompt that decides its preferred endpoint."""
    return prompt[:AFFINITY_CHARACTERS]
