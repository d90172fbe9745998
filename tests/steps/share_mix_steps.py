"""Steps of five workspaces that ask for more than engines can do, one in long prompts."""

import random
from typing import Any

from behave import then, when

from myrtlehook_core import CoreOptions
from standins.histories import History, Network
from standins.share_histories import (
    BEGINS_S,
    ServedHistory,
    Workload,
    find_worst_share,
)

ROUTERS = 12
ENGINES = 8
ZONES = 3
CONFIGURED_TOKENS_PER_S = 240_000.0
"""The reading rate of eight engines at 30 tokens a ms."""

LOW_TOKENS_PER_S = 100_000.0
"""A third of what engines do, as they need not read the cached parts of sessions again."""

RATES_TOKENS_PER_S = {"a": 300_000.0, "b": 150_000.0, "c": 120_000.0, "d": 80_000.0, "e": 80_000.0}
OWN_TOKENS = {"a": 700, "b": 1_500, "c": 2_500, "e": 1_000}
"""Tokens of the mean prompt; "d" is given long ones by the scenario."""

SEED = 0
LOST_S = 5.0
SETTLED_S = 4.0
"""Shares are checked from this long after the loss on."""

ENDS_S = 17.0
NETWORK = Network(loss_probability=0.005, duplicate_probability=0.005)


def play_mix(
    seed: int,
    long_tokens: int,
    lost_routers: int,
    lost_engines: int,
    reached: int,
    configured_tokens_per_s: float = CONFIGURED_TOKENS_PER_S,
) -> ServedHistory:
    """Run five workspaces that ask for three times what engines can do.

    :param long_tokens: tokens of the mean prompt of "d".
    :param reached: the number of routers that each workspace's clients reach.
    """
    history = History(
        seed,
        ROUTERS,
        ENGINES,
        NETWORK,
        CoreOptions(),
        zones=ZONES,
        tokens_per_s=configured_tokens_per_s,
    )
    history.run_until(BEGINS_S)
    served = ServedHistory(history, retries=True)
    draw = random.Random(seed)
    routers = list(history.alive)
    for number, (name, rate) in enumerate(RATES_TOKENS_PER_S.items()):
        reached_routers = [routers[(2 * number + step) % ROUTERS] for step in range(reached)]
        workload = Workload(name, rate, OWN_TOKENS.get(name, long_tokens))
        served.ask_at_random(workload, reached_routers, draw, ENDS_S)
    for router in routers[ROUTERS - lost_routers :]:
        history.at(LOST_S, lambda router=router: history.kill_router(router))
    history.at(LOST_S, lambda: history.keep_engines(ENGINES - lost_engines))
    history.run_until(ENDS_S + 2.0)
    return served


@when(
    'of five workspaces "d" asks in prompts of {long_tokens:d} tokens, callers of each reach'
    " {reached:d} routers, and {routers:d} of 12 routers and {engines:d} of 8 engines are lost"
)
def ask_in_long_prompts(
    context: Any, long_tokens: int, reached: int, routers: int, engines: int
) -> None:
    context.served = play_mix(SEED, long_tokens, routers, engines, reached)


@when(
    'a third of what engines do is configured, "d" of five workspaces asks in prompts of'
    " {long_tokens:d} tokens, and {routers:d} of 12 routers are lost"
)
def ask_beyond_configured(context: Any, long_tokens: int, routers: int) -> None:
    context.served = play_mix(SEED, long_tokens, routers, 0, 2, LOW_TOKENS_PER_S)


@then(
    "from 4 s after the loss on, each workspace receives {part:g} of what the best served one does,"
    " or of what it asks, in any six seconds"
)
def check_parts(context: Any, part: float) -> None:
    worst = find_worst_share(context.served, LOST_S + SETTLED_S, ENDS_S)
    assert worst.fraction >= part, worst
