"""Choosers: how an owner selects the workspace that gets the next free slot."""

import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

Draw = Callable[[], float]
"""Returns a random number, at least 0 and less than 1."""

WEIGHT_EXPONENT_LIMIT = 3.0
"""Bounds the effect of virtual service on the weights to a ratio of e**6, so that every candidate
keeps a chance."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A workspace with requests waiting."""

    workspace: str
    share: float
    virtual_service_units: float
    mean_cost_units: float


Chooser = Callable[[Sequence[Candidate], Draw], Candidate]


def choose_lowest(candidates: Sequence[Candidate], draw: Draw) -> Candidate:
    """Return the candidate with the lowest virtual service."""
    return min(candidates, key=lambda item: (item.virtual_service_units, item.workspace))


def make_weighted_chooser(spread_units: float) -> Chooser:
    """Make a chooser that picks at random, with higher weights for lower virtual service.

    Totals at owners are slightly out of date. If many owners each chose strictly the lowest, they
    would all grant to the same workspace; the random choice spreads their grants.

    :param spread_units: the difference H in virtual service units that changes a weight by the
        factor e; 0 uses the cost of two mean requests per share.
    """

    def choose_weighted(candidates: Sequence[Candidate], draw: Draw) -> Candidate:
        if len(candidates) == 1:
            return candidates[0]
        median = _compute_median([item.virtual_service_units for item in candidates])
        spread = spread_units or _compute_default_spread(candidates)
        weights = [_compute_weight(item, median, spread) for item in candidates]
        return _pick_weighted(candidates, weights, draw)

    return choose_weighted


def _compute_default_spread(candidates: Sequence[Candidate]) -> float:
    costs = [item.mean_cost_units / item.share for item in candidates]
    return max(2.0 * math.fsum(costs) / len(costs), 1e-9)


def _compute_weight(item: Candidate, median_units: float, spread_units: float) -> float:
    exponent = (median_units - item.virtual_service_units) / spread_units
    bounded = max(-WEIGHT_EXPONENT_LIMIT, min(WEIGHT_EXPONENT_LIMIT, exponent))
    return item.share * math.exp(bounded) / max(item.mean_cost_units, 1e-9)


def _pick_weighted(
    candidates: Sequence[Candidate], weights: Sequence[float], draw: Draw
) -> Candidate:
    threshold = draw() * sum(weights)
    for item, weight in zip(candidates, weights, strict=True):
        threshold -= weight
        if threshold < 0:
            return item
    return candidates[-1]


def _compute_median(values: Collection[float]) -> float:
    """Return the median."""
    # The standard library's module for this takes long to import at a start.
    ordered = sorted(values)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[-middle - 1]) / 2.0
