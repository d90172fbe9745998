"""The demand for one engine by requests of each first-token target ("aim").

Requests with a long aim can wait longer, and so fill a queue beyond the wait that requests with a
short aim can accept. Such a queue refuses each new request with a short aim, because serving it
first would make requests late that were queued before. Admission uses the demand by aim to limit
the wait of requests that have longer aims and come from workspaces above their share.
"""

import math
from dataclasses import dataclass, field

DECAY_S = 2.0
"""Time constant of the decay: demand of this age counts about a third."""

SHORTER_AIM_FRACTION = 0.9
"""An aim counts as shorter than another one if it is below this fraction of it."""

MAX_AIMS = 16

STEPS_PER_OCTAVE = 8
"""Aims on the same step of this logarithmic scale are counted together."""

MIN_DEMAND_FRACTION = 0.02
"""An aim with a smaller fraction of the whole demand is too rare to reserve capacity for."""


@dataclass(slots=True)
class AimDemand:
    """The prompt tokens that requests of one aim ask an engine to read."""

    aim_s: float
    tokens: float = 0.0
    """Decayed sum, as of ``updated_at_s``."""
    updated_at_s: float = 0.0


@dataclass(slots=True)
class AimDemands:
    """The demand of each aim, by its step on a logarithmic scale."""

    by_step: dict[int, AimDemand] = field(default_factory=dict)


def record_aim_demand(demands: AimDemands, aim_s: float, tokens: int, now_s: float) -> None:
    """Add a new request to the demand of its aim."""
    if aim_s <= 0.0:
        return
    step = round(math.log2(aim_s) * STEPS_PER_OCTAVE)
    demand = demands.by_step.get(step)
    if demand is None:
        if len(demands.by_step) >= MAX_AIMS:
            del demands.by_step[
                min(demands.by_step, key=lambda key: demands.by_step[key].updated_at_s)
            ]
        demand = demands.by_step[step] = AimDemand(aim_s, updated_at_s=now_s)
    demand.tokens = _decay_tokens(demand, now_s) + tokens
    demand.updated_at_s = now_s


def find_shortest_aim_s(demands: AimDemands, aim_s: float, now_s: float) -> float:
    """Return the shortest aim with enough present demand, or the given aim if none is shorter."""
    asked = [(demand.aim_s, _decay_tokens(demand, now_s)) for demand in demands.by_step.values()]
    least_tokens = MIN_DEMAND_FRACTION * sum(tokens for _, tokens in asked)
    shorter = [aim for aim, tokens in asked if aim < aim_s and tokens >= least_tokens]
    return min(shorter, default=aim_s)


def _decay_tokens(demand: AimDemand, now_s: float) -> float:
    return demand.tokens * math.exp(-max(now_s - demand.updated_at_s, 0.0) / DECAY_S)
