"""Proposes maps for the next bundle from observed load; pure."""

from collections.abc import Sequence
import heapq

from verbenafall_core.bundles import model


def propose_map(
    version: int, load: Sequence[float], ranks: int
) -> model.MapSpec:
    """Return a map with near equal load per rank.

    Places experts by falling load on the least loaded rank that has room;
    each rank takes the same number of experts, rounded up.
    """
    room = -(-len(load) // ranks)
    heap = [(0.0, rank, 0) for rank in range(ranks)]
    placement = [0] * len(load)
    order = sorted(range(len(load)), key=lambda expert: -load[expert])
    for expert in order:
        total, rank, count = heapq.heappop(heap)
        placement[expert] = rank
        if count + 1 < room:
            heapq.heappush(heap, (total + load[expert], rank, count + 1))
    return model.MapSpec(version, tuple(placement))


def adapt_map(
    version: int,
    base: model.MapSpec,
    load: Sequence[float],
    ranks: int,
    swaps: int,
) -> model.MapSpec:
    """Return a map with less skew that few swaps away from a base map.

    Each swap exchanges an expert of the most loaded rank for one of another
    rank, so at most two experts move a swap and the room per rank stays.
    """
    placement = list(base.placement)
    totals = [0.0] * ranks
    for expert, rank in enumerate(placement):
        totals[rank] += load[expert]
    for _ in range(swaps):
        found = _best_swap(placement, totals, load)
        if found is None:
            break
        first, second = found
        gap = load[first] - load[second]
        totals[placement[first]] -= gap
        totals[placement[second]] += gap
        placement[first], placement[second] = (
            placement[second],
            placement[first],
        )
    return model.MapSpec(version, tuple(placement))


def _best_swap(
    placement: Sequence[int], totals: Sequence[float], load: Sequence[float]
) -> tuple[int, int] | None:
    high = max(range(len(totals)), key=totals.__getitem__)
    best, best_peak = None, totals[high]
    mine = [e for e, rank in enumerate(placement) if rank == high]
    for first in mine:
        for second, rank in enumerate(placement):
            if rank == high:
                continue
            gap = load[first] - load[second]
            peak = max(totals[high] - gap, totals[rank] + gap)
            if peak < best_peak:
                best, best_peak = (first, second), peak
    return best
