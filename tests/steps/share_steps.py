"""Steps of shares in a pool whose engines can do more or less than is configured."""

import random
from typing import Any

from behave import then, when

from myrtlehook_core import CoreOptions, Shedding
from standins.histories import History, Network
from standins.share_histories import (
    BEGINS_S,
    OWN_TOKENS,
    SPAN_S,
    ServedHistory,
    Workload,
    find_underserved_workspaces,
)

CONFIGURED_TOKENS_PER_S = 120_000.0
"""The reading rate of four engines at 30 tokens a ms."""

LOST_S = 6.0
"""When engines are lost."""

SETTLED_S = 2.0
"""Within one window of the shares, the level follows what is asked for and served."""

RATES_TOKENS_PER_S = {"a": 200_000.0, "b": 36_000.0, "c": 44_000.0}
"""With a capacity of 120,000 tokens a second, the max-min share is 42,000."""


WORKLOADS = (
    Workload("a", 300_000.0, 700),
    Workload("b", 80_000.0, 9_000),
    Workload("c", 80_000.0, 1_500),
    Workload("d", 20_000.0, 2_000),
)
"""The max-min share is 33,000. Prompts of 9,000 tokens take half of their first-token target to
read."""


def _start(
    seed: int,
    engines: int,
    options: CoreOptions | None = None,
    tokens_per_s: float = CONFIGURED_TOKENS_PER_S,
) -> ServedHistory:
    history = History(
        seed,
        routers=4,
        engines=engines,
        network=Network(),
        options=options or CoreOptions(),
        tokens_per_s=tokens_per_s,
    )
    history.run_until(BEGINS_S)
    return ServedHistory(history)


@when("a workspace floods engines that 120000 tokens a second are configured for")
def flood_alone(context: Any) -> None:
    served = _start(1, engines=2)
    served.flood(next(iter(served.history.alive)), "a", 300_000.0, BEGINS_S + 4.0)
    served.history.run_until(BEGINS_S + 4.0)
    context.served = served


@then("the accountant has reported the level and the workspaces above it, once a second")
def check_reported(context: Any) -> None:
    levels = context.served.history.level_reports
    assert 3 <= len(levels) <= 4, levels
    for level in levels:
        assert level.level_tokens <= level.shared_tokens <= level.configured_tokens, level
        assert level.shared_tokens < level.asked_tokens, level
        assert [row.workspace for row in level.above] == ["a"], level
        assert level.reports >= 1, level


@then("its router has reported each second what it asked for, by tier, and what it got")
def check_tallies(context: Any) -> None:
    reports = context.served.history.tally_reports
    assert 3 <= len(reports) <= 4, reports
    tallies = [report.tallies["a"] for _, report in reports]
    for tally in tallies:
        assert 0 < tally.granted_tokens < tally.asked_tokens, tally
        assert sum(tally.tier_tokens.values()) == tally.asked_tokens, tally
    asked_tokens = sum(tally.asked_tokens for tally in tallies)
    sent_tokens = sum(item.tokens for item in context.served.asked.values())
    assert 0.7 * sent_tokens < asked_tokens <= sent_tokens, (asked_tokens, sent_tokens)


@then("each of these reports names a level that is less than a second old")
def check_level_ages(context: Any) -> None:
    for _, report in context.served.history.tally_reports[1:]:
        assert report.level_tokens is not None and report.level_tokens > 0, report
        assert 0.0 <= report.level_age_s < 1.0, report


@when(
    '{lost:d} of 4 engines are lost while "a" floods, "b" asks for slightly less than its share'
    ' and "c" for slightly more'
)
def lose_engines(context: Any, lost: int) -> None:
    context.underserved = {}
    for seed in range(3):
        served = _start(seed, engines=4)
        end_s = LOST_S + SETTLED_S + SPAN_S
        routers = list(served.history.alive)
        for router, (name, rate) in zip(routers, RATES_TOKENS_PER_S.items(), strict=False):
            served.flood(router, name, rate, end_s)
        served.history.at(LOST_S, lambda served=served: served.history.keep_engines(4 - lost))
        served.history.run_until(end_s + 2.0)
        asked, begun = served.count(LOST_S + SETTLED_S)
        underserved = find_underserved_workspaces(asked, begun)
        if underserved:
            context.underserved[seed] = (underserved, dict(asked), dict(begun))


@when(
    '"a" floods in short prompts, and "b" and "c" ask for more than their shares, "b" in long ones'
)
def ask_in_sizes(context: Any) -> None:
    context.underserved = {}
    for seed in range(4):
        draw = random.Random(seed)
        served = _start(seed, engines=4)
        routers = list(served.history.alive)
        for workload in WORKLOADS:
            reached = routers[:1] if workload.workspace == "b" else routers
            served.ask_at_random(workload, reached, draw, LOST_S + SETTLED_S + SPAN_S)
        served.history.run_until(LOST_S + SETTLED_S + SPAN_S + 2.0)
        asked, begun = served.count(LOST_S + SETTLED_S)
        underserved = find_underserved_workspaces(asked, begun)
        if underserved:
            context.underserved[seed] = (underserved, dict(asked), dict(begun))


@then(
    "over six seconds each workspace receives half of what the best served one does,"
    " or of what it asks"
)
def check_alike(context: Any) -> None:
    assert not context.underserved, (
        f"by seed, underserved workspaces, asked and received: {context.underserved}"
    )


CROWD_TOKENS_PER_S = 250_000.0
"""The rate that "b" asks for: four times half of the capacity."""


@when(
    'a router that all callers of "a" reach sheds {part:g} of what it can,'
    ' while "a" asks for {factor:d} times what "b" asks of the others'
)
def shed_one(context: Any, part: float, factor: int) -> None:
    served = _start(3, engines=4)
    short, *others = served.history.alive
    served.history.shedding[short] = Shedding(refused_fraction=part)
    end_s = BEGINS_S + SETTLED_S + SPAN_S
    draw = random.Random(3)
    crowd = Workload("a", factor * CROWD_TOKENS_PER_S, OWN_TOKENS)
    served.ask_at_random(crowd, [short], draw, end_s)
    served.ask_at_random(Workload("b", CROWD_TOKENS_PER_S, OWN_TOKENS), others, draw, end_s)
    served.history.run_until(end_s + 2.0)
    asked, begun = served.count(BEGINS_S + SETTLED_S)
    underserved = find_underserved_workspaces(asked, begun)
    context.underserved = {3: (underserved, dict(asked), dict(begun))} if underserved else {}


FLOOD_S = 6.0
"""The duration of a flood of many times the capacity."""

NOTICED_S = 1.0
"""Time within which a router notices that engines have room again."""

SMALL_TOKENS_PER_S = 24_000.0
"""The configured capacity, a quarter of what engines do; the flood is 50 times its level."""


def _flood_beyond(options: CoreOptions) -> ServedHistory:
    """Flood two engines with many times the share, then ask for slightly more than the share."""
    served = _start(5, engines=2, options=options, tokens_per_s=SMALL_TOKENS_PER_S)
    routers = list(served.history.alive)
    draw = random.Random(5)
    ends_s = BEGINS_S + FLOOD_S
    served.ask_at_random(Workload("a", 1_000_000.0, OWN_TOKENS), routers[:1], draw, ends_s)
    served.ask_at_random(Workload("d", 4_000.0, OWN_TOKENS), routers, draw, ends_s)
    # The request numbers differ from those of the flood.
    for number in range(200):
        # 25,200 tokens a second, about twice 12,000, which is half of the configured capacity.
        served.ask_at(routers[0], "a", 100_000 + number, OWN_TOKENS, ends_s + number * 0.05)
    served.history.run_until(ends_s + 14.0)
    return served


@when('"a" asks for fifty times its share for 6 s, beside "d" within its own')
def flood_far_beyond(context: Any) -> None:
    context.served = _flood_beyond(CoreOptions())
    context.asked_always = _flood_beyond(CoreOptions(refuses_full_tiers=False))


@then("engines' owners have refused less than half as often as when each request asks them")
def check_asked_less(context: Any) -> None:
    refused = context.served.history.owner_refusals
    always = context.asked_always.history.owner_refusals
    assert refused < 0.5 * always, f"owners refused {refused} times, {always} if always asked"


@then("engines have begun {part:g} or more of what they begin when each request asks them")
def check_as_busy(context: Any, part: float) -> None:
    _, begun = context.served.count(BEGINS_S)
    _, wanted = context.asked_always.count(BEGINS_S)
    assert begun.total() >= part * wanted.total(), (begun, wanted)


@then('every request of "{workspace}" was begun')
def check_all_begun(context: Any, workspace: str) -> None:
    outcomes = context.served.history.outcomes
    late = [
        request_id
        for request_id, item in context.served.asked.items()
        if item.workspace == workspace and outcomes[request_id].ended_at_s is None
    ]
    assert not late, late


@then('once "a" asks for slightly more than its share and engines have room, it is served soon')
def check_room_noticed(context: Any) -> None:
    outcomes = context.served.history.outcomes
    begins_s = BEGINS_S + FLOOD_S + NOTICED_S
    refused = [
        request_id
        for request_id, item in context.served.asked.items()
        if item.time_s >= begins_s and outcomes[request_id].refused_at_s
    ]
    assert not refused, refused
