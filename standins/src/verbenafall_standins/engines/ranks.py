"""Orders, maps and the step barrier of a rank group, without I/O."""

import enum
from typing import Final
from typing import NamedTuple

START_STEP: Final = 0


class OrderKind(enum.StrEnum):
    """Kind of an order.

    PREPARE: Load the weights that a map version needs.
    ARM: Hold before a step until a release.
    RELEASE: Use a map from a step on; at START_STEP, start a rank on it.
    DISARM: Cancel the hold.
    """

    PREPARE = "prepare"
    ARM = "arm"
    RELEASE = "release"
    DISARM = "disarm"


class Order(NamedTuple):
    """An order to the ranks of an engine.

    Attributes:
        placement: Rank of each expert, for PREPARE.
        step: First step on the map, for ARM and RELEASE.
    """

    epoch: int
    kind: OrderKind
    map_version: int
    placement: tuple[int, ...]
    step: int


class OrderRefusal(NamedTuple):
    """Why an order was refused; the fields are reported by name."""

    error: str
    epoch: int


class Boundary(NamedTuple):
    """The step at which the map changes, and the new map version."""

    step: int
    map_version: int


class EngineRanks:
    """The ranks of one engine.

    Attributes:
        map_version: Map in use; 0 holds all steps until START_STEP is
            released.
        placements: Placement of each prepared map version.
        armed: Boundary at which the ranks hold.
        released: Boundary from which the ranks use another map.
        epoch: Epoch of the last order that was applied.
    """

    def __init__(
        self,
        ranks: range,
        fences: bool,
        placement: tuple[int, ...] | None,
    ) -> None:
        """Create ranks on map version 1, or without a map and weights."""
        self.ranks = ranks
        self.fences = fences
        self.placements: dict[int, tuple[int, ...]] = {}
        if placement is not None:
            self.placements[1] = placement
        self.map_version = 0 if placement is None else 1
        self.armed: Boundary | None = None
        self.released: Boundary | None = None
        self.epoch = 0

    def check(self, order: Order) -> OrderRefusal | None:
        """Return why an order must be refused, None if it is allowed."""
        if self.fences and order.epoch < self.epoch:
            return OrderRefusal("fenced", self.epoch)
        needs_weights = order.kind in (OrderKind.ARM, OrderKind.RELEASE)
        if needs_weights and order.map_version not in self.placements:
            return OrderRefusal("not_prepared", self.epoch)
        return None

    def moved_experts(self, order: Order) -> int:
        """Return how many experts these ranks must load for a PREPARE."""
        if order.map_version in self.placements:
            return 0
        # Ranks without a map hold no experts.
        no_placement = (-1,) * len(order.placement)
        current = self.placements.get(self.map_version, no_placement)
        return sum(
            rank in self.ranks and current[expert] != rank
            for expert, rank in enumerate(order.placement)
        )

    def apply(self, order: Order, last_step: int) -> None:
        """Apply an order that check() allows.

        An ARM or RELEASE for a step that was already started only records the
        epoch.

        Args:
            order: The order.
            last_step: The last step that was started.
        """
        self.epoch = order.epoch
        boundary = Boundary(order.step, order.map_version)
        match order.kind:
            case OrderKind.PREPARE:
                self.prepare(order)
            case OrderKind.ARM if order.step > last_step:
                self.armed, self.released = boundary, None
            case OrderKind.RELEASE if order.step == START_STEP:
                self.map_version = self.map_version or order.map_version
            case OrderKind.RELEASE if order.step > last_step:
                self.armed, self.released = None, boundary
            case OrderKind.DISARM:
                self.armed = None

    def prepare(self, order: Order) -> None:
        """Add the placement of a map version; a known one is not replaced."""
        self.placements.setdefault(order.map_version, order.placement)

    def holds_before(self, step: int) -> bool:
        """Return whether the ranks hold before a step."""
        armed = self.armed is not None and self.armed.step <= step
        return armed or self.map_version == 0

    def start_step(self, step: int) -> None:
        """Start a step; change to the released map at its boundary."""
        if self.released is not None and self.released.step <= step:
            self.map_version = self.released.map_version
            self.released = None


MEAN_STEPS: Final = 64


class RankTimes:
    """Moving average of the step time of each rank of an engine."""

    def __init__(self, ranks: int) -> None:
        """Create averages of zero."""
        self.mean_ms = [0.0] * ranks
        self.steps = 0

    def add(self, times_ms: list[float]) -> None:
        """Add the times of one step; it weighs at least 1 / MEAN_STEPS."""
        self.steps += 1
        weight = 1 / min(self.steps, MEAN_STEPS)
        for position, value in enumerate(times_ms):
            self.mean_ms[position] += (value - self.mean_ms[position]) * weight


def rank_token_times(
    counts: list[int],
    placement: tuple[int, ...],
    ranks: range,
    token_ms: float,
) -> list[float]:
    """Return the time in ms that each rank needs for a step's tokens.

    Args:
        counts: Tokens of each expert in the step.
        placement: Rank of each expert.
        ranks: Ranks for which times are returned.
        token_ms: Time that one token takes.
    """
    times = [0.0] * len(ranks)
    for expert, count in enumerate(counts):
        if placement[expert] in ranks:
            times[placement[expert] - ranks.start] += token_ms * count
    return times
