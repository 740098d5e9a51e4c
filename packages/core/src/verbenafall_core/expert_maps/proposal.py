"""Computes maps for the next bundle from observed load; pure."""

from collections.abc import Sequence
import heapq

from verbenafall_core.bundles import model


def propose_map(
    version: int, load: Sequence[float], ranks: int
) -> model.MapSpec:
    """Return a map with nearly equal load per rank.

    Greedy: assigns the experts in order of decreasing load to the least
    loaded rank that is not full. Each rank holds at most the number of
    experts divided by the number of ranks, rounded up.
    """
    capacity = -(-len(load) // ranks)
    heap = [(0.0, rank, 0) for rank in range(ranks)]
    placement = [0] * len(load)
    order = sorted(range(len(load)), key=lambda expert: -load[expert])
    for expert in order:
        total, rank, count = heapq.heappop(heap)
        placement[expert] = rank
        if count + 1 < capacity:
            heapq.heappush(heap, (total + load[expert], rank, count + 1))
    return model.MapSpec(version, tuple(placement))


def adapt_map(
    version: int,
    base: model.MapSpec,
    load: Sequence[float],
    ranks: int,
    swaps: int,
) -> model.MapSpec:
    """Return a map with less skew, at most some swaps from a base map.

    Each swap exchanges an expert of the most loaded rank for one of another
    rank, so it moves two experts and leaves the number per rank unchanged.

    Args:
        version: Version of the new map.
        base: Map to start from.
        load: Load per expert.
        ranks: Number of ranks.
        swaps: Maximum number of swaps.
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
        load_difference = load[first] - load[second]
        totals[placement[first]] -= load_difference
        totals[placement[second]] += load_difference
        placement[first], placement[second] = (
            placement[second],
            placement[first],
        )
    return model.MapSpec(version, tuple(placement))


def _best_swap(
    placement: Sequence[int], totals: Sequence[float], load: Sequence[float]
) -> tuple[int, int] | None:
    most_loaded = max(range(len(totals)), key=totals.__getitem__)
    best, best_peak = None, totals[most_loaded]
    candidates = [e for e, rank in enumerate(placement) if rank == most_loaded]
    for first in candidates:
        for second, rank in enumerate(placement):
            if rank == most_loaded:
                continue
            load_difference = load[first] - load[second]
            peak = max(
                totals[most_loaded] - load_difference,
                totals[rank] + load_difference,
            )
            if peak < best_peak:
                best, best_peak = (first, second), peak
    return best
