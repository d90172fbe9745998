"""Steps of the choice of an engine for each request."""

import random
from collections import Counter
from typing import Any

from behave import given as before
from behave import then, when

from myrtlehook_core import CoreOptions
from myrtlehook_core.process.hashing import rank_routers
from standins.histories import RATE_TOKENS_PER_S, History, Network, Outcome
from standins.pools import make_request

START_S = 1.5
WARM_UP_S = 1.0
"""Requests of this period are not counted, since the engines are empty at first."""

OWN_TOKENS = 300


@before("{routers:d} routers and {engines:d} engines, whose answers take {answer_s:g} s")
def start(context: Any, routers: int, engines: int, answer_s: float) -> None:
    options = getattr(context, "options", CoreOptions())
    history = History(
        1, routers, engines, Network(), options, tokens_per_s=10.0 * engines * RATE_TOKENS_PER_S
    )
    history.find_answer_s = lambda request: answer_s
    history.run_until(START_S)
    context.history = history


@when("{rate:d} requests a second share {parts:d} parts unevenly for {seconds:g} s")
def ask_unevenly(context: Any, rate: int, parts: int, seconds: float) -> None:
    ask(context, rate, [1.0 / number for number in range(1, parts + 1)], seconds)


@when("{rate:d} requests a second share {parts:d} parts, half of them the first, for {seconds:g} s")
def ask_hot(context: Any, rate: int, parts: int, seconds: float) -> None:
    ask(context, rate, [parts - 1.0] + [1.0] * (parts - 1), seconds)


def ask(context: Any, rate: int, popularity: list[float], seconds: float) -> None:
    """Send requests at random moments to random routers, by the popularity of their parts."""
    history: History = context.history
    draw = random.Random(context.seed if hasattr(context, "seed") else 1)
    names = list(history.alive)
    time_s = START_S
    context.asked = {}
    while time_s < START_S + seconds:
        part = draw.choices(range(len(popularity)), popularity)[0]
        request_id = f"q{len(context.asked)}"
        request = make_request(request_id, draw.choice("abcd"), part, OWN_TOKENS, time_s, True)
        context.asked[request_id] = request
        router = draw.choice(names)
        history.at(time_s, lambda router=router, request=request: history.ask(router, request))
        time_s += draw.expovariate(rate)
    history.run_until(time_s + 4.0)


def list_counted(context: Any) -> dict[str, Outcome]:
    """Return the outcomes of the requests sent after the warm-up."""
    outcomes: dict[str, Outcome] = context.history.outcomes
    return {
        request_id: outcomes[request_id]
        for request_id, request in context.asked.items()
        if request.arrived_at_s >= START_S + WARM_UP_S
    }


def compute_in_time_fraction(context: Any) -> float:
    """Return the fraction of requests whose answers begin within their target."""
    counted = list_counted(context)
    in_time = [
        request_id
        for request_id, outcome in counted.items()
        if outcome.begun_at_s is not None
        and outcome.begun_at_s <= context.asked[request_id].aim_deadline_s
    ]
    return len(in_time) / len(counted)


def compute_refused_fraction(context: Any) -> float:
    """Return the fraction of requests that were refused to their clients."""
    counted = list_counted(context)
    return sum(bool(outcome.refused_at_s) for outcome in counted.values()) / len(counted)


def compute_home_fraction(context: Any) -> float:
    """Return the fraction of served requests that ran at the home of their part."""
    engines = [server.name for server in context.history.servers]
    served = {key: item for key, item in list_counted(context).items() if item.dispatched}
    home = [
        request_id
        for request_id, outcome in served.items()
        if outcome.dispatched[0]
        == rank_routers(f"engine/{context.asked[request_id].prompt_parts[0].part_id}", engines, 1)[
            0
        ]
    ]
    return len(home) / len(served)


def compute_busiest_fraction(context: Any) -> float:
    """Return how many times the mean the busiest engine ran."""
    runs = Counter(item.dispatched[0] for item in list_counted(context).values() if item.dispatched)
    return max(runs.values()) * len(context.history.servers) / sum(runs.values())


@then("at least {part:g} of them begin in time")
def check_in_time(context: Any, part: float) -> None:
    in_time = compute_in_time_fraction(context)
    assert in_time >= part, in_time


@then("at most {part:g} of them are refused")
def check_refused(context: Any, part: float) -> None:
    refused = compute_refused_fraction(context)
    assert refused <= part, refused


@then("at least {part:g} of them run at their home")
def check_home(context: Any, part: float) -> None:
    home = compute_home_fraction(context)
    assert home >= part, home


@then("the busiest engine runs at most {times:g} times the mean")
def check_busiest(context: Any, times: float) -> None:
    busiest = compute_busiest_fraction(context)
    assert busiest <= times, busiest
