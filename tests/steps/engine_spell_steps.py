"""Steps of the load pattern "slow spells": an engine turns slow for a moment, again and again."""

from statistics import median
from typing import Any

from behave import given, then, when

from standins.engine_models import OwnedEngine, Traits, flood

SAMPLE_S = 0.01
LEARNING_S = 2.0
CALM_S = 1.5
SPELLS = 8
MEAN_TOKENS = 1_500.0
MAX_SECONDS = 60.0


@given("an engine that reads {rate:d} tokens a ms in steps of {chunk:d}, always with work waiting")
def start_engine(context: Any, rate: int, chunk: int) -> None:
    traits = Traits(1000.0 * rate, 0.004, chunk, first_delay_s=0.01, transit_s=0.001)
    context.engine = OwnedEngine(traits, seed=3)
    flood(context.engine, MEAN_TOKENS, 8, until_s=MAX_SECONDS)
    context.engine.run_until(LEARNING_S)


def _watch(engine: OwnedEngine, length_s: float) -> list[tuple[float, int, float]]:
    """Return the times passed, with the engine's unread tokens and estimated rate at each."""
    start_s = engine.now_s
    seen = []
    while engine.now_s < start_s + length_s:
        engine.run_until(engine.now_s + SAMPLE_S)
        unread = sum(run.unread_tokens for run in engine.reading)
        seen.append((engine.now_s - start_s, unread, engine.load.model.rate_tokens_per_s))
    return seen


@when("it is {factor:g} times as slow for {length_s:g} s at a time")
def play_spells(context: Any, factor: float, length_s: float) -> None:
    engine: OwnedEngine = context.engine
    context.calm = _watch(engine, CALM_S)
    context.usual_rate = median(rate for _, _, rate in context.calm)
    context.spells = []
    context.returns = []
    for _ in range(SPELLS):
        engine.step_factor = factor
        context.spells.append(_watch(engine, length_s))
        engine.step_factor = 1.0
        context.returns.append(_watch(engine, CALM_S))


@then("in the spells it has at most {part:g} times as many tokens unread as in calm")
def check_unread(context: Any, part: float) -> None:
    calm = median(unread for _, unread, _ in context.calm)
    slow = median(unread for spell in context.spells for _, unread, _ in spell)
    assert slow <= part * calm, (slow, calm)


@then("{within_s:g} s after a spell its rate is estimated within {factor:g} of its usual one")
def check_return(context: Any, within_s: float, factor: float) -> None:
    for seen in context.returns:
        rate = next(rate for passed_s, _, rate in seen if passed_s >= within_s)
        assert 1.0 / factor <= rate / context.usual_rate <= factor, (rate, context.usual_rate)
