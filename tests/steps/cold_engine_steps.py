"""Steps of engines that come back cold under a flood, in simulated histories."""

import itertools
from bisect import bisect_left, bisect_right
from dataclasses import replace
from typing import Any

from behave import given as before
from behave import then, when

from myrtlehook_core import BackendServer, ColdStart, CoreOptions
from myrtlehook_core.process.cold_engines import (
    ColdPace,
    delay_next_grant,
    find_paced_grant_s,
    make_pace,
)
from standins.histories import History, Network
from standins.pools import make_request

OPTIONS = CoreOptions(cold_overshoot=1.5, cold_tolerance_requests=5.0, keeps_shares=False)
BOUND = 19
"""The limit is 20: 1.5 times 10 requests a second, and 5 more. The check is stricter by one."""

COLD_S = 3.0
ASKED_PER_S = 360
TOKENS = 600
"""At this prompt size, an engine of these histories begins 50 requests a second."""

LAST_S = 9.5
NEW_ENGINE = "e9"
STEP_S = 0.025


def _start(context: Any, routers: int, engines: int, zones: int, cold: ColdStart | None) -> None:
    history = History(1, routers, engines, Network(), OPTIONS, zones=zones, cold_start=cold)
    history.run_until(1.0)
    context.history = history


@before("{routers:d} routers and {engines:d} engines in {zones:d} zones whose cold starts last "
        "{lasts_s:d} s, {rate:d} requests a second")  # fmt: skip
def start_cold_fleet(
    context: Any, routers: int, engines: int, zones: int, lasts_s: int, rate: int
) -> None:
    _start(context, routers, engines, zones, ColdStart(float(lasts_s), float(rate)))


@before("{routers:d} routers and {engines:d} engines in {zones:d} zones that are never cold")
def start_warm_fleet(context: Any, routers: int, engines: int, zones: int) -> None:
    _start(context, routers, engines, zones, None)


@before("callers that ask for more than the engines can do")
def flood(context: Any) -> None:
    history: History = context.history
    names = list(history.alive)
    count = int((LAST_S - history.now_s) * ASKED_PER_S)
    for number in range(count):
        at_s = history.now_s + number / ASKED_PER_S
        router = names[number % len(names)]
        request = make_request(f"r{number}", "abcd"[number % 4], number, TOKENS, at_s, True)
        request = replace(request, prompt_parts=request.prompt_parts[1:], prompt_tokens=TOKENS)
        history.at(at_s, lambda router=router, request=request: history.ask(router, request))


@when("an engine is listed for the first time at {at_s:g} s")
def list_new(context: Any, at_s: float) -> None:
    history: History = context.history
    server = replace(history.servers[0], name=NEW_ENGINE, address="10.0.1.9:80")
    history.at(at_s, lambda: history.publish((*history.servers, server)))
    context.engine, context.back_s = NEW_ENGINE, at_s


@when("an engine says that it is cold for {cold_s:g} s at {at_s:g} s")
def report_cold(context: Any, cold_s: float, at_s: float) -> None:
    history: History = context.history
    cold_server = replace(history.servers[0], cold_ms=int(cold_s * 1000))
    # Requests that were granted before reach the engine a moment later.
    history.at(at_s - 0.05, lambda: history.publish((cold_server, *history.servers[1:])))
    context.engine, context.back_s = cold_server.name, at_s


@when("an engine's zone is taken back at {at_s:g} s")
def take_back(context: Any, at_s: float) -> None:
    history: History = context.history
    server: BackendServer = history.servers[0]
    zones = frozenset({server.availability_zone})
    history.publish(history.servers, zones)
    history.at(at_s, lambda: history.publish(history.servers))
    context.engine, context.back_s = server.name, at_s


@when("an engine refuses connections for {seconds:g} s at {at_s:g} s")
def refuse_connections(context: Any, seconds: float, at_s: float) -> None:
    history: History = context.history
    name = history.servers[0].name
    back_s = at_s + seconds

    def come_back() -> None:
        history.broken_engines.discard(name)

    history.at(at_s, lambda: history.broken_engines.add(name))
    history.at(back_s, come_back)
    context.engine, context.back_s = name, back_s


@when("an engine stands still for {seconds:g} s at {at_s:g} s")
def stand_still(context: Any, seconds: float, at_s: float) -> None:
    history: History = context.history
    name = history.servers[0].name
    back_s = at_s + seconds

    def stop() -> None:
        history.engine_free_s[name] = back_s

    history.at(at_s, stop)
    context.engine, context.back_s = name, back_s


@when("its owner ends at {at_s:g} s")
def end_owner(context: Any, at_s: float) -> None:
    history: History = context.history
    history.at(at_s, lambda: history.kill_router(_find_owner(context)))


@when("its owner is cut off from the other routers at {at_s:g} s")
def cut_owner(context: Any, at_s: float) -> None:
    history: History = context.history

    def cut() -> None:
        owner = _find_owner(context)
        history.is_cut = lambda sender, receiver: owner in (sender, receiver)

    history.at(at_s, cut)


def _find_owner(context: Any) -> str:
    core = next(iter(context.history.alive.values()))
    owner: str = core.placement.server_owners[context.engine]
    return owner


@then("in the {seconds:g} s after it is back it gets at most {most:d} requests in any second")
def check_bound(context: Any, seconds: float, most: int) -> None:
    context.history.run_until(LAST_S)
    sent = _list_sent(context, context.engine, context.back_s, context.back_s + seconds)
    assert sent, "it got nothing"
    assert _count_busiest_second(sent) <= min(most, BOUND), (_count_busiest_second(sent), most)


@then("it gets at least {least:d} in each of them")
def check_used(context: Any, least: int) -> None:
    start_s = context.back_s
    # The first second is left for routers to notice that the engine is back.
    for second in range(1, int(COLD_S)):
        sent = _list_sent(context, context.engine, start_s + second, start_s + second + 1.0)
        assert len(sent) >= least, (second, len(sent))


@then("it gets more than {most:d} in one of the seconds after that")
def check_warm(context: Any, most: int) -> None:
    context.history.run_until(LAST_S)
    sent = _list_sent(context, context.engine, context.back_s + COLD_S, LAST_S)
    assert _count_busiest_second(sent) > most, _count_busiest_second(sent)


def _list_sent(context: Any, engine: str, start_s: float, end_s: float) -> list[float]:
    dispatches = context.history.dispatches
    return [at_s for _, name, at_s in dispatches if name == engine and start_s <= at_s < end_s]


def _count_busiest_second(times_s: list[float]) -> int:
    """Return the largest number of times that fall into one second."""
    times_s = sorted(times_s)
    return max(
        (bisect_left(times_s, at_s + 1.0) - bisect_left(times_s, at_s) for at_s in times_s),
        default=0,
    )


def find_most_sent(context: Any, engine: str, start_s: float, end_s: float) -> int:
    """Return the largest number of requests that an engine was sent within one second."""
    return _count_busiest_second(_list_sent(context, engine, start_s, end_s))


@before("what two owners grant at one engine of {rate:d} requests a second, {overshoot:g} times "
        "and {tolerance:d} more allowed")  # fmt: skip
def make_paces(context: Any, rate: int, overshoot: float, tolerance: int) -> None:
    options = replace(OPTIONS, cold_overshoot=overshoot, cold_tolerance_requests=float(tolerance))
    context.make_pace = lambda: make_pace(options, ColdStart(COLD_S, float(rate)))


@when("each begins at any of {moments:d} moments of a second, grants are late by up to "
      "{late_s:g} s, and one may end")  # fmt: skip
def play_owners(context: Any, moments: int, late_s: float) -> None:
    starts_s = [number / moments for number in range(moments)]
    ends_s = [COLD_S, *(number * 0.25 for number in range(1, 12))]
    context.worst = 0
    for first_s, second_s, end_s in itertools.product(starts_s, starts_s, ends_s):
        first = _list_grants(context.make_pace(), first_s, end_s)
        # An owner that takes over later starts with a new pace.
        second = _list_grants(context.make_pace(), second_s, COLD_S)
        context.worst = max(
            context.worst, _count_busiest_second_with_delay([*first, *second], late_s)
        )


def _list_grants(pace: ColdPace, start_s: float, end_s: float) -> list[float]:
    """Return the times of an owner's grants if requests are always waiting."""
    pace.cold_until_s = end_s
    granted_s = []
    now_s = start_s
    while now_s < end_s:
        if find_paced_grant_s(pace, now_s) <= now_s:
            granted_s.append(now_s)
            delay_next_grant(pace, now_s)
        now_s += STEP_S
    return granted_s


def _count_busiest_second_with_delay(times_s: list[float], late_s: float) -> int:
    """Return the largest number of grants that may reach the engine within one second.

    In the worst case, grants made shortly before the second arrive late and the others at once.
    """
    times_s.sort()
    return max(
        bisect_right(times_s, at_s + 1.0 - STEP_S) - bisect_left(times_s, at_s - late_s)
        for at_s in times_s
    )


@then("no second has more than {most:d} of them")
def check_worst(context: Any, most: int) -> None:
    assert context.worst <= most, context.worst
