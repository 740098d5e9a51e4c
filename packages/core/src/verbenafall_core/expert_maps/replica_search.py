"""Searches a map with a more even load, few moves away; pure.

A pass of a rank group takes, set by set, as long as its most loaded rank.
The search relieves the most loaded ranks of a set again and again: another
rank gets a copy of one of their experts in the place of an expert that other
ranks hold as well, or the two ranks exchange experts. A slow rank also gives
up experts that others hold, without a new one in their place: whatever it
keeps, all ranks wait for.
"""

from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from verbenafall_core.expert_maps import replica_map

# Ranks that are tried as the receiver of a copy, least loaded first.
MOST_RECEIVERS: Final = 15
# Most loaded ranks that are tried before a set counts as done.
MOST_GIVERS: Final = 3
# A set is even enough when its most loaded rank is this near to the mean.
EVEN_ENOUGH: Final = 1.04
# Power of the loads whose sum is lowered. A high one stands for the peak, but
# also rewards a move when several ranks share the peak.
POWER: Final = 10
# A move must lower that sum by this part.
LEAST_GAIN: Final = 0.01


class SearchLimits(NamedTuple):
    """What a new map may change.

    Attributes:
        places: Experts that a rank holds in a set.
        copies_per_rank_set: Experts that a rank may copy in one set.
        copies_per_rank: Experts that a rank may copy in all sets together.
    """

    places: int
    copies_per_rank_set: int
    copies_per_rank: int


class Move(NamedTuple):
    """A change of one set.

    Attributes:
        receiver: Rank that gets the expert.
        expert: Expert of the rank that is relieved.
        victim: Expert that the receiver gives up, None for a free place.
        swap: Whether the relieved rank takes the victim for the expert.
        gain: By how much the sum of the powers of the loads falls.
    """

    receiver: int
    expert: int
    victim: int | None
    swap: bool
    gain: float


class SetState:
    """One set of layers while it is being searched."""

    def __init__(
        self,
        ranks: Sequence[replica_map.RankExperts],
        demand: Sequence[float],
        slowdowns: Sequence[float],
    ) -> None:
        """Take the present map of a set."""
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
        self.new = [0] * len(ranks)
        self.mean = sum(demand) / len(ranks)

    def share(self, expert: int) -> float:
        """Return the load that an expert puts on each of its ranks."""
        return self.demand[expert] / self.copies[expert]

    def gain_of(self, changes: dict[int, float]) -> float:
        """Return by how much changes of demand lower the sum of powers."""
        gain = 0.0
        for rank, by in changes.items():
            load = self.loads[rank] / self.mean
            after = load + by * self.slowdowns[rank] / self.mean
            gain += load**POWER - after**POWER
        return gain

    def sum_of_powers(self) -> float:
        """Return the sum that the search lowers."""
        return sum((load / self.mean) ** POWER for load in self.loads)

    def changes_of_copy(
        self, receiver: int, expert: int, victim: int | None
    ) -> dict[int, float]:
        """Return the changes of each rank's demand when one gets a copy."""
        changes: dict[int, float] = {}
        copies = self.copies[expert]
        less = self.demand[expert] / (copies + 1) - self.share(expert)
        for rank in self.holders[expert]:
            changes[rank] = less
        changes[receiver] = self.demand[expert] / (copies + 1)
        if victim is not None:
            left = self.copies[victim] - 1
            more = self.demand[victim] / left - self.share(victim)
            for rank in self.holders[victim]:
                if rank != receiver:
                    changes[rank] = changes.get(rank, 0.0) + more
            changes[receiver] -= self.share(victim)
        return changes

    def changes_of_swap(
        self, giver: int, receiver: int, expert: int, victim: int
    ) -> dict[int, float]:
        """Return the changes of demand when two ranks exchange experts."""
        by = self.share(expert) - self.share(victim)
        return {giver: -by, receiver: by}

    def drop_best(self, rank: int, least_gain: float) -> bool:
        """Let a rank give up an expert that others hold; return whether."""
        best: tuple[float, int] | None = None
        for expert in self.held[rank]:
            if self.copies[expert] < 2:
                continue
            more = self.demand[expert] / (self.copies[expert] - 1)
            changes = {
                other: more - self.share(expert)
                for other in self.holders[expert]
            }
            changes[rank] = -self.share(expert)
            gain = self.gain_of(changes)
            if gain > least_gain and (best is None or gain > best[0]):
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
        """Compute the ranks' loads from what they hold."""
        self.loads = [
            factor * sum(self.share(item) for item in row)
            for row, factor in zip(self.held, self.slowdowns, strict=True)
        ]

    def apply(self, giver: int, move: Move) -> None:
        """Make a move."""
        receiver, expert, victim = move.receiver, move.expert, move.victim
        self.held[receiver].add(expert)
        self.holders[expert].add(receiver)
        if victim is not None:
            self.held[receiver].discard(victim)
            self.holders[victim].discard(receiver)
        if move.swap and victim is not None:
            self.held[giver].discard(expert)
            self.holders[expert].discard(giver)
            self.held[giver].add(victim)
            self.holders[victim].add(giver)
            self.new[giver] += 1
        self.new[receiver] += 1
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
    """Return a map with a more even load; the same map when there is none.

    Sets with the greatest excess over the mean are searched first, as the
    copies of a rank are limited over all sets.

    Args:
        placement: The present map.
        demand: Demand by set and expert.
        slowdowns: Time that each rank needs for a unit of demand, 1 as a rule.
        limits: What the new map may change.
    """
    states = [
        SetState(ranks, row, slowdowns)
        for ranks, row in zip(placement, demand, strict=True)
    ]
    left = [limits.copies_per_rank] * len(placement[0])
    while True:
        progressed = False
        for state in sorted(
            states, key=lambda item: item.mean - max(item.loads)
        ):
            progressed = relieve(state, left, limits) or progressed
        if not progressed:
            break
    return tuple(
        tuple(
            keep_order(before, after)
            for before, after in zip(ranks, state.held, strict=True)
        )
        for ranks, state in zip(placement, states, strict=True)
    )


def relieve(state: SetState, left: list[int], limits: SearchLimits) -> bool:
    """Make a good move for a loaded rank; return whether there was one."""
    if state.mean <= 0:
        return False
    order = sorted(
        range(len(state.loads)), key=state.loads.__getitem__, reverse=True
    )
    least_gain = LEAST_GAIN * state.sum_of_powers()
    for giver in order[:MOST_GIVERS]:
        if state.loads[giver] <= EVEN_ENOUGH * state.mean:
            return False
        if state.slowdowns[giver] > 1 and state.drop_best(giver, least_gain):
            return True
        best = find_move(state, giver, order, left, limits)
        if best is not None and best.gain > least_gain:
            state.apply(giver, best)
            left[best.receiver] -= 1
            if best.swap:
                left[giver] -= 1
            return True
    return False


def find_move(
    state: SetState,
    giver: int,
    order: list[int],
    left: list[int],
    limits: SearchLimits,
) -> Move | None:
    """Return the move with the greatest gain."""
    most_new = limits.copies_per_rank_set

    def may_copy(rank: int) -> bool:
        return left[rank] > 0 and state.new[rank] < most_new

    receivers = [
        rank for rank in reversed(order) if rank != giver and may_copy(rank)
    ]
    may_swap = may_copy(giver)
    best: Move | None = None
    for receiver in receivers[:MOST_RECEIVERS]:
        victims: list[int | None] = list(state.held[receiver])
        if len(victims) < limits.places:
            victims = [None]
        for expert in state.held[giver]:
            if expert in state.held[receiver]:
                continue
            for victim in victims:
                move = try_move(
                    state, giver, receiver, expert, victim, may_swap
                )
                if move is not None and (best is None or move.gain > best.gain):
                    best = move
    return best


def try_move(
    state: SetState,
    giver: int,
    receiver: int,
    expert: int,
    victim: int | None,
    may_swap: bool,
) -> Move | None:
    """Return the better move with these experts, None when there is none."""
    best: Move | None = None
    if victim is None or state.copies[victim] > 1:
        changes = state.changes_of_copy(receiver, expert, victim)
        best = Move(receiver, expert, victim, False, state.gain_of(changes))
    if may_swap and victim is not None and victim not in state.held[giver]:
        swap = state.changes_of_swap(giver, receiver, expert, victim)
        gain = state.gain_of(swap)
        if best is None or gain > best.gain:
            best = Move(receiver, expert, victim, True, gain)
    return best


def keep_order(
    before: replica_map.RankExperts, after: set[int]
) -> replica_map.RankExperts:
    """Return experts with those that stay in their former order."""
    stay = [expert for expert in before if expert in after]
    return (*stay, *sorted(after.difference(before)))
