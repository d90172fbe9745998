"""Speeds of engines over seconds, and the weights that they give engines as prompts' homes.

An engine's owner averages its reading rate over some seconds, so that a short slow spell hardly
shows, and sends the average with each grant. Ingress routers compare it with the pool's median:
engines that are about twice as fast, or half as fast, get twice or half as many prompts. Engines
that differ by less all have the same weight. Routers that have heard of an engine at different
times may disagree for a while on which engine is the home of a few prompts, which costs a second
reading of their shared parts.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import msgspec

from myrtlehook_core.process.admission_messages import EngineEstimate
from myrtlehook_core.process.engine_models import EngineModel, make_estimate
from myrtlehook_core.process.hashing import weigh_router

AVERAGING_S = 3.0
"""Time constant of the average: long against slow spells, which other decisions answer."""

MAX_UPDATE_S = 1.0
"""One answer after a longer silence counts for no more time than this."""

MIN_SAMPLES = 24
"""An engine's rate is averaged only once it rests on this many answers."""

MIN_KNOWN_ENGINES = 4
"""With fewer known engines there is no median to compare with."""

MIN_KNOWN_FRACTION = 0.5
"""The median of a smaller part of a pool may be far from that of the pool."""

STEP_HYSTERESIS = 0.7
"""A weight changes only when the rate is further than this from it, as a power of two. Two weights
meet at 0.5, so rates that vary around that limit do not move prompts to and fro."""

MAX_STEP = 2
REFERENCE_DRIFT = 0.1
"""All weights are determined again when the median has moved by this fraction."""

HASH_SPACE = 2.0**64


@dataclass(slots=True)
class SteadyRate:
    """The reading rate of an engine, averaged over some seconds by its owner."""

    tokens_per_s: float = 0.0
    """0 while it is unknown."""
    samples: int = 0
    """The number of answers that the last update rests on."""
    updated_at_s: float = -math.inf


@dataclass(slots=True)
class PoolSpeeds:
    """What an ingress router knows of the speeds of a pool's engines."""

    rates_tokens_per_s: dict[str, float] = field(default_factory=dict)
    reference_tokens_per_s: float = 0.0
    """The median that the steps were determined with."""
    steps: dict[str, int] = field(default_factory=dict)
    """By engine: its weight as a power of two, if that is not 0."""


def update_steady_rate(steady: SteadyRate, model: EngineModel, now_s: float) -> None:
    """Include the present rate in the average if answers have come since the last update."""
    if model.samples < MIN_SAMPLES or model.samples == steady.samples:
        return
    elapsed_s = min(now_s - steady.updated_at_s, MAX_UPDATE_S)
    steady.samples = model.samples
    steady.updated_at_s = now_s
    if not steady.tokens_per_s:
        steady.tokens_per_s = model.rate_tokens_per_s
        return
    weight = 1.0 - math.exp(-elapsed_s / AVERAGING_S)
    # The average is of times per token, so that fast moments do not hide slow ones.
    token_s = (1.0 - weight) / steady.tokens_per_s + weight / model.rate_tokens_per_s
    steady.tokens_per_s = 1.0 / token_s


def make_steady_estimate(model: EngineModel, steady: SteadyRate, now_s: float) -> EngineEstimate:
    """Return the estimate of an engine with its average rate."""
    return msgspec.structs.replace(
        make_estimate(model, now_s), steady_tokens_per_s=round(steady.tokens_per_s)
    )


def adopt_steady_rate(steady: SteadyRate, estimate: EngineEstimate, now_s: float) -> None:
    """Begin with the average of an earlier owner, if this one has none yet."""
    if not steady.tokens_per_s and estimate.steady_tokens_per_s > 0.0:
        steady.tokens_per_s = estimate.steady_tokens_per_s
        steady.samples = estimate.samples
        steady.updated_at_s = now_s


def record_speed(speeds: PoolSpeeds, name: str, rate_tokens_per_s: float, engines: int) -> bool:
    """Record the average rate of an engine; True when the weight of an engine changes.

    :param engines: the number of engines of the pool; a median counts once half of them are known.
    """
    if rate_tokens_per_s <= 0.0:
        return False
    rates = speeds.rates_tokens_per_s
    rates[name] = rate_tokens_per_s
    before = dict(speeds.steps)
    if len(rates) < max(MIN_KNOWN_ENGINES, MIN_KNOWN_FRACTION * engines):
        speeds.steps.clear()
        return speeds.steps != before
    reference = sorted(rates.values())[len(rates) // 2]
    drift = abs(reference - speeds.reference_tokens_per_s)
    if drift > REFERENCE_DRIFT * speeds.reference_tokens_per_s:
        speeds.reference_tokens_per_s = reference
        for other in rates:
            _update_step(speeds, other)
    else:
        _update_step(speeds, name)
    return speeds.steps != before


def drop_removed_speeds(speeds: PoolSpeeds, known: Collection[str]) -> None:
    """Drop engines that are no longer known."""
    for name in speeds.rates_tokens_per_s.keys() - known:
        del speeds.rates_tokens_per_s[name]
        speeds.steps.pop(name, None)
    if len(speeds.rates_tokens_per_s) < MIN_KNOWN_ENGINES:
        speeds.steps.clear()


def rank_weighted(key: str, names: Collection[str], steps: Mapping[str, int]) -> tuple[str, ...]:
    """Rank engines by weighted rendezvous hashing.

    A change of an engine's weight moves prompts only to or from that engine. With equal weights
    the order is the one of ``rank_routers``.
    """

    def compute_distance(name: str) -> tuple[float, str]:
        value, _ = weigh_router(key, name)
        return (-math.log((value + 0.5) / HASH_SPACE) / 2.0 ** steps.get(name, 0), name)

    return tuple(sorted(names, key=compute_distance))


def _update_step(speeds: PoolSpeeds, name: str) -> None:
    """Determine the weight of an engine anew."""
    exact = math.log2(speeds.rates_tokens_per_s[name] / speeds.reference_tokens_per_s)
    if abs(exact - speeds.steps.get(name, 0)) <= STEP_HYSTERESIS:
        return
    step = max(min(round(exact), MAX_STEP), -MAX_STEP)
    if step:
        speeds.steps[name] = step
    else:
        speeds.steps.pop(name, None)
