"""Local search for a better balanced map that needs few copies; pure.

In each set, a pass of a rank group takes as long as its most loaded rank. The
search repeatedly reduces the load of the most loaded ranks of a set: another
rank gets a copy of one of their experts, in place of an expert that other
ranks hold as well, or the two ranks exchange experts. A slow rank also drops
experts that other ranks hold, without a replacement, because all ranks wait
for whatever it keeps.
"""

from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from verbenafall_core.expert_maps import replica_map

# Ranks tried as the receiver of an expert, least loaded first.
MAX_RECEIVERS: Final = 15
# Most loaded ranks tried as the donor before the search of a set ends.
MAX_DONORS: Final = 3
# A set is balanced if its greatest load is within this ratio of the mean.
BALANCED_RATIO: Final = 1.04
# The cost of a set is the sum of the relative loads to this power. A high
# power approximates the maximum, but also rewards a move when several ranks
# share the maximum.
LOAD_EXPONENT: Final = 10
# Fraction of the cost by which a move must reduce it.
MIN_RELATIVE_GAIN: Final = 0.01


class SearchLimits(NamedTuple):
    """Limits on a new map and on the copies needed to reach it.

    Attributes:
        experts_per_rank: Maximum number of experts of a rank in one set.
        copies_per_rank_set: Experts that a rank may copy in one set.
        copies_per_rank: Experts that a rank may copy over all sets.
    """

    experts_per_rank: int
    copies_per_rank_set: int
    copies_per_rank: int


class Move(NamedTuple):
    """A change of one set that reduces the load of a donor rank.

    Attributes:
        receiver: Rank that gets the expert.
        expert: Expert of the donor.
        victim: Expert that the receiver drops, None if it has free capacity.
        swap: Whether the donor gets the victim in exchange for the expert;
            else it keeps the expert.
        gain: Reduction of the cost of the set.
    """

    receiver: int
    expert: int
    victim: int | None
    swap: bool
    gain: float


class SetState:
    """Mutable state of one set of layers during the search.

    Attributes:
        held: Experts of each rank.
        copies: Number of ranks that hold each expert.
        holders: Ranks that hold each expert.
        loads: Time that each rank needs, see replica_map.rank_loads.
        copied: Number of experts that each rank must copy.
        mean: Mean demand per rank.
    """

    def __init__(
        self,
        ranks: Sequence[replica_map.RankExperts],
        demand: Sequence[float],
        slowdowns: Sequence[float],
    ) -> None:
        """Start from the current map of a set."""
        self.demand = demand
        self.slowdowns = slowdowns
        self.held = [set(row) for row in ranks]
        self.copies = [0] * len(demand)
        for row in ranks:
            for expert in row:
                self.copies[expert] += 1
        self.holders: list[set[int]] = [set() for _ in demand]
        for rank, row in enumerate(ranks):
            for expert in row:
                self.holders[expert].add(rank)
        self.loads = replica_map.rank_loads(ranks, demand, slowdowns)
        self.copied = [0] * len(ranks)
        self.mean = sum(demand) / len(ranks)

    def share(self, expert: int) -> float:
        """Return the demand of an expert on each rank that holds it."""
        return self.demand[expert] / self.copies[expert]

    def compute_gain(self, changes: dict[int, float]) -> float:
        """Return the cost reduction from changes of the ranks' demand."""
        gain = 0.0
        for rank, change in changes.items():
            load = self.loads[rank] / self.mean
            after = load + change * self.slowdowns[rank] / self.mean
            gain += load**LOAD_EXPONENT - after**LOAD_EXPONENT
        return gain

    def load_cost(self) -> float:
        """Return the cost of the set, which the search minimizes."""
        return sum((load / self.mean) ** LOAD_EXPONENT for load in self.loads)

    def copy_changes(
        self, receiver: int, expert: int, victim: int | None
    ) -> dict[int, float]:
        """Return the demand change of each rank if the receiver gets a copy."""
        changes: dict[int, float] = {}
        copies = self.copies[expert]
        holder_change = self.demand[expert] / (copies + 1) - self.share(expert)
        for rank in self.holders[expert]:
            changes[rank] = holder_change
        changes[receiver] = self.demand[expert] / (copies + 1)
        if victim is not None:
            copies_left = self.copies[victim] - 1
            drop_change = self.demand[victim] / copies_left - self.share(victim)
            for rank in self.holders[victim]:
                if rank != receiver:
                    changes[rank] = changes.get(rank, 0.0) + drop_change
            changes[receiver] -= self.share(victim)
        return changes

    def swap_changes(
        self, donor: int, receiver: int, expert: int, victim: int
    ) -> dict[int, float]:
        """Return the demand change of two ranks if they exchange experts."""
        change = self.share(expert) - self.share(victim)
        return {donor: -change, receiver: change}

    def drop_best_copy(self, rank: int, min_gain: float) -> bool:
        """Drop the rank's replicated expert with the greatest gain.

        Returns:
            Whether an expert was dropped, with a gain above min_gain.
        """
        best: tuple[float, int] | None = None
        for expert in self.held[rank]:
            if self.copies[expert] < 2:
                continue
            new_share = self.demand[expert] / (self.copies[expert] - 1)
            changes = {
                other: new_share - self.share(expert)
                for other in self.holders[expert]
            }
            changes[rank] = -self.share(expert)
            gain = self.compute_gain(changes)
            if gain > min_gain and (best is None or gain > best[0]):
                best = (gain, expert)
        if best is None:
            return False
        expert = best[1]
        self.held[rank].discard(expert)
        self.holders[expert].discard(rank)
        self.copies[expert] -= 1
        self.update_loads()
        return True

    def update_loads(self) -> None:
        """Recompute the ranks' loads from the experts that they hold."""
        self.loads = [
            slowdown * sum(self.share(item) for item in row)
            for row, slowdown in zip(self.held, self.slowdowns, strict=True)
        ]

    def apply(self, donor: int, move: Move) -> None:
        """Apply a move of a donor's expert and update the loads."""
        receiver, expert, victim = move.receiver, move.expert, move.victim
        self.held[receiver].add(expert)
        self.holders[expert].add(receiver)
        if victim is not None:
            self.held[receiver].discard(victim)
            self.holders[victim].discard(receiver)
        if move.swap and victim is not None:
            self.held[donor].discard(expert)
            self.holders[expert].discard(donor)
            self.held[donor].add(victim)
            self.holders[victim].add(donor)
            self.copied[donor] += 1
        self.copied[receiver] += 1
        for item in (expert, victim):
            if item is not None:
                self.copies[item] = len(self.holders[item])
        self.update_loads()


def search(
    placement: replica_map.Placement,
    demand: replica_map.Demand,
    slowdowns: Sequence[float],
    limits: SearchLimits,
) -> replica_map.Placement:
    """Return a better balanced map, or the same map if none is found.

    Sets with the greatest excess over the mean are searched first, since the
    copies of a rank are limited over all sets.

    Args:
        placement: The current map.
        demand: Demand by set and expert.
        slowdowns: Time per unit of demand of each rank; 1 for a normal rank.
        limits: Limits on the new map and on the copies.
    """
    states = [
        SetState(ranks, row, slowdowns)
        for ranks, row in zip(placement, demand, strict=True)
    ]
    copies_left = [limits.copies_per_rank] * len(placement[0])
    while True:
        improved = False
        for state in sorted(
            states, key=lambda item: item.mean - max(item.loads)
        ):
            improved = improve_set(state, copies_left, limits) or improved
        if not improved:
            break
    return tuple(
        tuple(
            merge_experts(before, after)
            for before, after in zip(ranks, state.held, strict=True)
        )
        for ranks, state in zip(placement, states, strict=True)
    )


def improve_set(
    state: SetState, copies_left: list[int], limits: SearchLimits
) -> bool:
    """Apply the first worthwhile move for one of the most loaded ranks.

    Returns:
        Whether a move was applied.
    """
    if state.mean <= 0:
        return False
    order = sorted(
        range(len(state.loads)), key=state.loads.__getitem__, reverse=True
    )
    min_gain = MIN_RELATIVE_GAIN * state.load_cost()
    for donor in order[:MAX_DONORS]:
        if state.loads[donor] <= BALANCED_RATIO * state.mean:
            return False
        if state.slowdowns[donor] > 1 and state.drop_best_copy(donor, min_gain):
            return True
        best = find_move(state, donor, order, copies_left, limits)
        if best is not None and best.gain > min_gain:
            state.apply(donor, best)
            copies_left[best.receiver] -= 1
            if best.swap:
                copies_left[donor] -= 1
            return True
    return False


def find_move(
    state: SetState,
    donor: int,
    order: list[int],
    copies_left: list[int],
    limits: SearchLimits,
) -> Move | None:
    """Return the move of a donor's expert with the greatest gain."""
    max_new = limits.copies_per_rank_set

    def may_copy(rank: int) -> bool:
        return copies_left[rank] > 0 and state.copied[rank] < max_new

    receivers = [
        rank for rank in reversed(order) if rank != donor and may_copy(rank)
    ]
    may_swap = may_copy(donor)
    best: Move | None = None
    for receiver in receivers[:MAX_RECEIVERS]:
        victims: list[int | None] = list(state.held[receiver])
        if len(victims) < limits.experts_per_rank:
            victims = [None]
        for expert in state.held[donor]:
            if expert in state.held[receiver]:
                continue
            for victim in victims:
                move = try_move(
                    state, donor, receiver, expert, victim, may_swap
                )
                if move is not None and (best is None or move.gain > best.gain):
                    best = move
    return best


def try_move(
    state: SetState,
    donor: int,
    receiver: int,
    expert: int,
    victim: int | None,
    may_swap: bool,
) -> Move | None:
    """Return the better of copy and swap, None if neither is possible."""
    best: Move | None = None
    if victim is None or state.copies[victim] > 1:
        changes = state.copy_changes(receiver, expert, victim)
        best = Move(
            receiver, expert, victim, False, state.compute_gain(changes)
        )
    if may_swap and victim is not None and victim not in state.held[donor]:
        swap = state.swap_changes(donor, receiver, expert, victim)
        gain = state.compute_gain(swap)
        if best is None or gain > best.gain:
            best = Move(receiver, expert, victim, True, gain)
    return best


def merge_experts(
    before: replica_map.RankExperts, after: set[int]
) -> replica_map.RankExperts:
    """Return the experts in a stable order: kept ones first, then new ones."""
    kept = [expert for expert in before if expert in after]
    return (*kept, *sorted(after.difference(before)))
