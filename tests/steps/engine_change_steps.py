"""Steps of the exact order of answers that show that an engine has changed."""

from typing import Any

from behave import given, then, when

from myrtlehook_core.process.engine_models import (
    MAX_SAMPLES,
    EngineModel,
    ReadSample,
    learn_reading_rate,
)

RATE_TOKENS_PER_S = 15_000.0
PROMPTS_TOKENS = (150, 700, 300, 1_100, 220, 450)
"""Lengths of the prompts, in turn."""


def _list_prompts(count: int) -> list[int]:
    return [PROMPTS_TOKENS[number % len(PROMPTS_TOKENS)] for number in range(count)]


def _learn(model: EngineModel, granted_s: float, begun_s: float, tokens: int) -> None:
    """Record an answer that begins after the previous one."""
    previous_s = model.recent[0].begun_s if model.recent else 0.0
    learn_reading_rate(model, ReadSample(granted_s, previous_s, begun_s, tokens), begun_s)


@given("an engine that always had something to read, whose delay is estimated at {delay_ms:d} ms")
def make_busy_engine(context: Any, delay_ms: int) -> None:
    model = EngineModel(rate_tokens_per_s=RATE_TOKENS_PER_S, delay_s=delay_ms / 1000.0)
    begun_s = 1.0
    for tokens in _list_prompts(MAX_SAMPLES):
        # Granted long before the previous answer began, so that the delay does not show.
        begun_s += tokens / RATE_TOKENS_PER_S
        _learn(model, begun_s - 1.0, begun_s, tokens)
    assert model.delay_s == delay_ms / 1000.0, model.delay_s
    context.model = model


@when(
    "it becomes {factor:d} times as fast, and its next {count:d} answers begin {delay_ms:d} ms"
    " after their grants and their reading"
)
def answer_idle(context: Any, factor: int, count: int, delay_ms: int) -> None:
    context.rate_tokens_per_s = factor * RATE_TOKENS_PER_S
    for tokens in _list_prompts(count):
        granted_s = context.model.recent[0].begun_s
        begun_s = granted_s + delay_ms / 1000.0 + tokens / context.rate_tokens_per_s
        _learn(context.model, granted_s, begun_s, tokens)


@when("its next {count:d} answers take {factor:d} times as long")
def answer_slowly(context: Any, count: int, factor: int) -> None:
    context.rate_tokens_per_s = RATE_TOKENS_PER_S / factor
    for tokens in _list_prompts(count):
        begun_s = context.model.recent[0].begun_s + tokens / context.rate_tokens_per_s
        _learn(context.model, begun_s - 1.0, begun_s, tokens)


@then(
    "its rate is estimated at {part:g} of its real value or more, and its delay at {delay_ms:d} ms"
    " or more"
)
def check_rate_and_delay(context: Any, part: float, delay_ms: int) -> None:
    model = context.model
    assert model.rate_tokens_per_s >= part * context.rate_tokens_per_s, model
    assert model.delay_s >= delay_ms / 1000.0, model


@then("its rate is estimated at {factor:g} times its real value or less")
def check_rate_at_most(context: Any, factor: float) -> None:
    assert context.model.rate_tokens_per_s <= factor * context.rate_tokens_per_s, context.model
