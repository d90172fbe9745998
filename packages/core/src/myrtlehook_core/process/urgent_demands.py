"""How much an engine is asked for by requests of each aim, and what that leaves to others.

Requests with a long aim can wait longer, and so fill a queue up to times at which requests with a
short aim are refused. A queue that is full in this way refuses each new request with a short aim:
it would make late what was taken before.
"""

import math
from dataclasses import dataclass, field

DECAY_S = 2.0
"""What was asked this long ago counts a third."""

SHORTER_PART = 0.9
"""An aim is shorter than another one below this part of it."""

AIMS_KEPT = 16

STEPS_AN_OCTAVE = 8
"""Aims on one step of this scale are taken for one."""

LEAST_PART = 0.02
"""Of all that is asked for: an aim with less is too rare to keep room for."""


@dataclass(slots=True)
class AimDemand:
    """What requests of one aim ask an engine to read."""

    aim_s: float
    tokens: float = 0.0
    """Decayed."""
    noted_at_s: float = 0.0


@dataclass(slots=True)
class UrgentDemands:
    """The same for each aim, by its place on a logarithmic scale."""

    by_step: dict[int, AimDemand] = field(default_factory=dict)


def note_asked(demands: UrgentDemands, aim_s: float, tokens: int, now_s: float) -> None:
    """Note a request that is new here."""
    if aim_s <= 0.0:
        return
    step = round(math.log2(aim_s) * STEPS_AN_OCTAVE)
    demand = demands.by_step.get(step)
    if demand is None:
        if len(demands.by_step) >= AIMS_KEPT:
            del demands.by_step[
                min(demands.by_step, key=lambda key: demands.by_step[key].noted_at_s)
            ]
        demand = demands.by_step[step] = AimDemand(aim_s, noted_at_s=now_s)
    demand.tokens = _decayed(demand, now_s) + tokens
    demand.noted_at_s = now_s


def find_shortest(demands: UrgentDemands, aim_s: float, now_s: float) -> float:
    """Return the shortest aim that is asked for at present, at most the one given."""
    asked = [(demand.aim_s, _decayed(demand, now_s)) for demand in demands.by_step.values()]
    least_tokens = LEAST_PART * sum(tokens for _, tokens in asked)
    shorter = [aim for aim, tokens in asked if aim < aim_s and tokens >= least_tokens]
    return min(shorter, default=aim_s)


def _decayed(demand: AimDemand, now_s: float) -> float:
    return demand.tokens * math.exp(-max(now_s - demand.noted_at_s, 0.0) / DECAY_S)
