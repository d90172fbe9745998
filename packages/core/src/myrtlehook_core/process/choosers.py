"""The owner's choice of the workspace that gets the next free slot."""

import math
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

Draw = Callable[[], float]
"""Returns a random number, at least 0 and less than 1."""

WEIGHT_EXPONENT_LIMIT = 3.0
"""Bounds the weights to a ratio of e**6, so that no candidate is ever hopeless."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A workspace with work waiting."""

    workspace: str
    share: float
    virtual_service_units: float
    mean_cost_units: float


Chooser = Callable[[Sequence[Candidate], Draw], Candidate]


def choose_lowest(candidates: Sequence[Candidate], draw: Draw) -> Candidate:
    """Return the candidate with the lowest virtual service."""
    return min(candidates, key=lambda item: (item.virtual_service_units, item.workspace))


def make_weighted_chooser(spread_units: float) -> Chooser:
    """Make a chooser that prefers low virtual service at random.

    Many owners with totals that are a little old would all feed the same
    workspace if each took strictly the lowest; chance spreads them.

    :param spread_units: H, in service units a share; 0 takes two mean requests a share.
    """

    def choose_weighted(candidates: Sequence[Candidate], draw: Draw) -> Candidate:
        if len(candidates) == 1:
            return candidates[0]
        middle = statistics.median(item.virtual_service_units for item in candidates)
        spread = spread_units or _default_spread(candidates)
        weights = [_weight(item, middle, spread) for item in candidates]
        return _pick(candidates, weights, draw)

    return choose_weighted


def _default_spread(candidates: Sequence[Candidate]) -> float:
    costs = [item.mean_cost_units / item.share for item in candidates]
    return max(2.0 * statistics.fmean(costs), 1e-9)


def _weight(item: Candidate, middle_units: float, spread_units: float) -> float:
    exponent = (middle_units - item.virtual_service_units) / spread_units
    bounded = max(-WEIGHT_EXPONENT_LIMIT, min(WEIGHT_EXPONENT_LIMIT, exponent))
    return item.share * math.exp(bounded) / max(item.mean_cost_units, 1e-9)


def _pick(candidates: Sequence[Candidate], weights: Sequence[float], draw: Draw) -> Candidate:
    mark = draw() * sum(weights)
    for item, weight in zip(candidates, weights, strict=True):
        mark -= weight
        if mark < 0:
            return item
    return candidates[-1]
