"""Steps of answers to prompts that an engine has cached."""

from typing import Any

from behave import given as before
from behave import then, when

from myrtlehook_core.process.engine_models import ReadSample, learn_reading_rate, make_model

RATE_TOKENS_PER_S = 24_000.0
DELAY_S = 0.02
GAP_S = 0.01
"""From an answer's beginning to the next grant."""


def _answer(context: Any, tokens: int, late_s: float) -> None:
    granted_s = context.begun_s + GAP_S
    begun_s = granted_s + DELAY_S + tokens / RATE_TOKENS_PER_S + late_s
    sample = ReadSample(granted_s, context.begun_s, begun_s, tokens)
    learn_reading_rate(context.model, sample, begun_s)
    context.begun_s = begun_s


@before("the estimate of an engine that has answered prompts of {tokens:d} tokens")
def make_estimated(context: Any, tokens: int) -> None:
    context.model = make_model(None)
    context.begun_s = 0.0
    for _ in range(30):
        _answer(context, tokens, 0.0)
    context.rate_before = context.model.rate_tokens_per_s


@when("{answers:d} answers to prompts of {tokens:d} unread tokens come {late_s:g} s late")
def answer_late(context: Any, answers: int, tokens: int, late_s: float) -> None:
    for _ in range(answers):
        _answer(context, tokens, late_s)


@then("the engine is estimated to read at least an eighth as fast as before")
def check_rate(context: Any) -> None:
    rate = context.model.rate_tokens_per_s
    assert rate >= context.rate_before / 8.0, (rate, context.rate_before)
