"""Steps of calls to a plain service, between the refreshes of its bids."""

import math
from collections import deque
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from bench.core_drive import LATENCY_S, POOL
from myrtlehook_core import CoreOptions, RequestSpecification, events
from myrtlehook_core.process import bidding
from myrtlehook_core.process.ingress import IngressState, make_bid_row
from myrtlehook_core.process.messages import Bid, NoFreeSlot
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.request.goals import find_most_urgent
from myrtlehook_core.request.queues import WorkspaceQueue
from myrtlehook_core.request.requests import PoolKey
from standins.plain_calls import DEADLINE_S, WARM_UP_S, CallHistory, Service, play_calls

SEED = 1
SECONDS = 5.0

EXCHANGES_MS = 4 * LATENCY_S * 1000.0 + 1.0
"""Bid and answer, bid and grant; and a ms for rounding."""

LATE_S = 0.15
"""The delay of a late message: longer than the refresh interval."""


def _get_options(context: Any) -> CoreOptions:
    return getattr(context, "call_options", CoreOptions())


@given("that no further owner is told at once")
def turn_spreading_off(context: Any) -> None:
    context.call_options = CoreOptions(most_spread_owners=0)


@when(
    "{routers:d} routers get {calls:d} calls a second of 90 ms for {servers:d} servers that have"
    " slow spells"
)
def play(context: Any, routers: int, calls: int, servers: int) -> None:
    service = Service(routers=routers, servers=servers, calls_per_s=calls)
    context.calls = play_calls(service, _get_options(context), SEED, SECONDS)


@when(
    "12 routers get {calls:d} calls a second of two workspaces for 3 servers that have slow spells"
)
def play_two_workspaces(context: Any, calls: int) -> None:
    service = Service(routers=12, calls_per_s=calls, workspaces=("a", "b"))
    context.calls = play_calls(service, _get_options(context), SEED, SECONDS)


@when(
    "73 routers get 244 calls a second for 0.5 s and 140 after it, for 2 servers without slow"
    " spells"
)
def play_burst(context: Any) -> None:
    service = Service(
        servers=2, work_s=0.07, calls_per_s=140, burst_calls_per_s=244, has_spells=False
    )
    context.calls = play_calls(service, _get_options(context), SEED, SECONDS)


@when("73 routers get 76 calls a second while each {kind} is {fault}")
def play_with_fault(context: Any, kind: str, fault: str) -> None:
    delays_s = {"lost": (), "doubled": (LATENCY_S, 3 * LATENCY_S), "late": (LATE_S,)}[fault]

    def find_delays_s(message: object) -> tuple[float, ...]:
        return delays_s if type(message).__name__ == kind else (LATENCY_S,)

    context.calls = play_calls(Service(), CoreOptions(), SEED, SECONDS, find_delays_s)
    assert context.calls.figures.messages[kind] > 0


@when("the owner to which a call is offered first dies before it hears of the call")
def play_dead_owner(context: Any) -> None:
    history = CallHistory(Service(routers=12), CoreOptions(), SEED)
    history.advance(WARM_UP_S)
    asking = _find_router_without_servers(history)

    def dies(sender: str, receiver: str, message: object) -> bool:
        if isinstance(message, Bid) and not history.dead:
            history.kill(receiver)
        return receiver in history.dead

    history.loses = dies
    history.ask(asking, "a")
    assert len(history.dead) == 1
    history.advance(WARM_UP_S + 2.0)
    context.calls = history


@when("a router is told that the owner it asked has no slot while the grant is under way")
def play_two_grants(context: Any) -> None:
    history = CallHistory(Service(routers=12), CoreOptions(), SEED)
    history.advance(WARM_UP_S)
    asking = _find_router_without_servers(history)
    history.ask(asking, "a")
    (key,) = history.cores[asking].ingress.first_owners
    owner = history.cores[asking].ingress.first_owners[key]
    history.handle(asking, events.MessageReceived(owner, 1, NoFreeSlot(POOL)))
    history.advance(WARM_UP_S + 2.0)
    context.calls = history


def _find_router_without_servers(history: CallHistory) -> str:
    return next(name for name, core in history.cores.items() if not core.owner.servers)


@then("{part:g} of the calls have ended within their target of 0.4 s")
def check_in_time(context: Any, part: float) -> None:
    lasted_s = _list_durations_s(context.calls)
    in_time = sum(duration_s <= context.calls.service.aim_s for duration_s in lasted_s)
    assert in_time >= part * len(lasted_s), (in_time, len(lasted_s))


@then("every call has ended before its deadline")
def check_deadlines(context: Any) -> None:
    assert max(_list_durations_s(context.calls)) < DEADLINE_S


def _list_durations_s(history: CallHistory) -> list[float]:
    """Return how long each call lasted; infinity if it has not ended."""
    return [
        math.inf if call.ended_at_s is None else call.ended_at_s - call.arrived_at_s
        for call in history.calls.values()
    ]


@then(
    "of a late call and a later one in time, the one in time is more urgent, until half of the late"
    " one's time from target to deadline is near"
)
def check_goals(context: Any) -> None:
    late = _specify_call("late", arrived_at_s=0.0)
    recent = _specify_call("recent", arrived_at_s=1.0)
    assert find_most_urgent((late, recent), 0.1, 0.2) is late
    assert find_most_urgent((late, recent), 0.1, 1.1) is recent
    assert find_most_urgent((late, recent), 0.1, 1.35) is late, "both are late"
    before, after = (_specify_call("later", arrived_at_s=arrived_s) for arrived_s in (1.7, 1.9))
    assert find_most_urgent((late, before), 0.1, 1.75) is before
    assert find_most_urgent((late, after), 0.1, 1.95) is late
    last = _specify_call("last", arrived_at_s=3.8)
    assert find_most_urgent((late, last), 0.1, 3.85) is late
    assert find_most_urgent((), 0.1, 0.0) is None


@then("a waiting call without a deadline makes a bid row without a goal")
def check_infinite_deadline(context: Any) -> None:
    ingress = IngressState(retry_budget=1.0)
    key = PoolKey("a", POOL)
    ingress.queues[key] = WorkspaceQueue()
    for target_s in (0.4, math.inf):
        call = replace(_specify_call("open", 0.0), deadline_s=math.inf, aim_deadline_s=target_s)
        ingress.queues[key].waiting = deque((call,))
        row = make_bid_row(ingress, key, 1.0)
        assert (row.waiting_requests, row.goal_left_ms) == (1, None), row


def _specify_call(request_id: str, arrived_at_s: float) -> RequestSpecification:
    return RequestSpecification(
        request_id,
        "a",
        POOL,
        100,
        arrived_at_s,
        arrived_at_s + DEADLINE_S,
        aim_deadline_s=arrived_at_s + 0.4,
    )


@then("95 in 100 calls start within two exchanges of messages")
def check_waits(context: Any) -> None:
    wait_ms = context.calls.figures.wait_ms(0.95)
    assert wait_ms <= EXCHANGES_MS, wait_ms


@then("while calls wait, less than 0.05 of the slots are idle")
def check_idle(context: Any) -> None:
    parts = context.calls.figures.idle_slot_parts
    assert len(parts) > 100, len(parts)
    assert sum(parts) / len(parts) < 0.05, sum(parts) / len(parts)


@then("every call has been started once, and no slot is held after the last one")
def check_started(context: Any) -> None:
    starts = [call.starts for call in context.calls.calls.values()]
    assert starts and set(starts) == {1}, [starts.count(0), max(starts)]
    _check_holds(context.calls)


@then("no call has been started twice, and no slot is held after the last one")
def check_started_once(context: Any) -> None:
    assert max(call.starts for call in context.calls.calls.values()) == 1
    _check_holds(context.calls)


def _check_holds(history: CallHistory) -> None:
    held = [
        len(server.holds)
        for core in history.cores.values()
        for server in core.owner.servers.values()
    ]
    assert len(held) >= history.service.servers and not any(held), held


@then("no call was offered to, or withdrawn from, more than 8 owners between two refreshes")
def check_bounded(context: Any) -> None:
    figures = context.calls.figures
    assert figures.told_owners["BidsSpread"], "no bid was spread"
    assert max(max(counts) for counts in figures.told_owners.values()) <= 8, figures.told_owners


@then("both workspaces have been served alike, to a tenth")
def check_fair(context: Any) -> None:
    started = [call.workspace for call in context.calls.calls.values() if call.starts]
    counts = [started.count(name) for name in ("a", "b")]
    assert max(counts) <= 1.1 * min(counts), counts


@then("no owner has answered a bid, and no bid was spread or updated")
def check_off(context: Any) -> None:
    figures = context.calls.figures
    assert not figures.messages["NoFreeSlot"] + figures.messages["BidUpdate"], figures.messages
    assert not figures.told_owners, figures.told_owners


@then("the call starts within 0.25 s, once")
def check_started_soon(context: Any) -> None:
    (call,) = context.calls.calls.values()
    assert call.starts == 1
    assert call.started_at_s - call.arrived_at_s < 0.25, call


@then("the other owners have granted the call too")
def check_granted_twice(context: Any) -> None:
    asking = context.calls.cores[next(iter(context.calls.calls.values())).router]
    others = len(asking.placement.pool_owners[POOL]) - 1
    dropped = context.calls.figures.dropped
    assert others > 0 and dropped["grant_unused"] == others, (others, dropped)


@when("20 calls or more wait at a router for 20 servers of 12 owners or more, all full")
def fill_servers(context: Any) -> None:
    service = Service(routers=40, servers=20, slots=1, work_s=2.0, has_spells=False)
    history = CallHistory(service, CoreOptions(), SEED)
    history.advance(WARM_UP_S)
    for _ in range(220):
        history.ask("r0", "a")
    history.advance(WARM_UP_S + 0.5)
    assert history.cores["r0"].ingress.queued_requests >= 20, history.cores[
        "r0"
    ].ingress.queued_requests
    context.calls = history


@then("its next refresh makes one bid row of them, and sends it to each owner")
def check_rows_made(context: Any) -> None:
    core = context.calls.cores["r0"]
    owners = core.placement.pool_owners[POOL]
    assert len(owners) >= 12, owners
    outbox = MessageOutbox()
    with patch.object(bidding, "make_bid_row", wraps=bidding.make_bid_row) as make_row:
        bidding.send_bids(core.ingress, core.placement, core.options, outbox, context.calls.now_s)
    assert make_row.call_count == 1, make_row.call_count
    told = {owner for owner, message in outbox.messages if isinstance(message, Bid)}
    assert told == set(owners), told
