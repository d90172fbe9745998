"""Steps of a workspace that is silent while others flood the pool, and returns."""

import random
from typing import Any

from behave import given as before
from behave import then, when

from myrtlehook_core import CoreOptions
from myrtlehook_core.process.shares import Reporters, find_accountant
from standins.histories import History, Network
from standins.pools import POOL
from standins.share_histories import BEGINS_S, ServedHistory, Workload

SEED = 1
LARGEST = "a"
LARGEST_TOKENS_PER_S = 300_000.0
OTHERS = ("b", "c", "d")
OTHER_TOKENS_PER_S = 200_000.0
OTHER_TOKENS = 1_000
ZONES = 3
CONFIGURED_TOKENS_PER_S = 240_000.0
ROUTERS_REACHED = 4
SETTLED_S = 1.0
"""Requests that wait are served this long after a change of the demand."""

STEP_S = 0.25


def make_history(routers: int, engines: int) -> History:
    """Return a history whose routers know one another."""
    history = History(
        SEED,
        routers,
        engines,
        Network(),
        CoreOptions(),
        zones=ZONES,
        tokens_per_s=CONFIGURED_TOKENS_PER_S,
    )
    history.run_until(BEGINS_S)
    return history


@before("{routers:d} routers, and four workspaces that flood {engines:d} engines")
def start_history(context: Any, routers: int, engines: int) -> None:
    context.history = make_history(routers, engines)


@before("the largest, in prompts of {tokens:d} tokens, is silent from {silent_s:g} to {back_s:g} s")
def set_silence(context: Any, tokens: int, silent_s: float, back_s: float) -> None:
    context.largest_tokens = tokens
    context.silent_s = silent_s
    context.returns_s = back_s


@before("{routers:d} of the routers, with the accountant, end at {ends_s:g} s")
def end_routers(context: Any, routers: int, ends_s: float) -> None:
    history: History = context.history
    accountant = find_accountant(POOL, Reporters("", tuple(history.alive), ()))
    assert accountant is not None
    ended = [accountant, *(name for name in history.alive if name != accountant)][:routers]
    for name in ended:
        history.at(ends_s, lambda name=name: history.kill_router(name))


@when("all four have asked until {ends_s:g} s")
def play(context: Any, ends_s: float) -> None:
    history: History = context.history
    served = context.served = ServedHistory(history)
    draw = random.Random(SEED)
    routers = list(history.alive)
    largest = Workload(LARGEST, LARGEST_TOKENS_PER_S, context.largest_tokens)
    served.ask_at_random(largest, routers, draw, context.silent_s)
    served.ask_at_random(largest, routers, draw, ends_s, context.returns_s)
    _flood(served, ends_s)
    context.ends_s = ends_s
    history.run_until(ends_s + SETTLED_S)


def _flood(served: ServedHistory, ends_s: float) -> None:
    """Let the other workspaces ask for several times their share."""
    draw = random.Random(SEED)
    routers = list(served.history.zones)
    for number, name in enumerate(OTHERS):
        reached = [routers[(3 * number + step) % len(routers)] for step in range(ROUTERS_REACHED)]
        workload = Workload(name, OTHER_TOKENS_PER_S, OTHER_TOKENS)
        served.ask_at_random(workload, reached, draw, ends_s)


@then("the others begin at least {part:g} of what they do where the largest one never asks")
def check_lent(context: Any, part: float) -> None:
    alone = ServedHistory(make_history(len(context.history.zones), len(context.history.servers)))
    _flood(alone, context.returns_s)
    alone.history.run_until(context.returns_s + SETTLED_S)
    begins_s = context.silent_s + SETTLED_S
    lent, whole = (
        sum(served.sum_begun_tokens(name, begins_s, context.returns_s) for name in OTHERS)
        for served in (context.served, alone)
    )
    assert lent >= part * whole > 0, (lent, whole)


@then("from {after_s:g} s after its return on it has always begun what its share is from then on")
def check_back(context: Any, after_s: float) -> None:
    served: ServedHistory = context.served
    due_from_s = context.returns_s + after_s
    everyone = (LARGEST, *OTHERS)
    begun = sum(served.sum_begun_tokens(name, due_from_s, context.ends_s) for name in everyone)
    share_tokens_per_s = begun / len(everyone) / (context.ends_s - due_from_s)
    time_s = due_from_s
    while time_s <= context.ends_s:
        received = served.sum_begun_tokens(LARGEST, context.returns_s, time_s)
        due = share_tokens_per_s * (time_s - due_from_s)
        assert received > 0 and received >= due, (time_s, received, due)
        time_s += STEP_S
