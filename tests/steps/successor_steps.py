"""Properties of successors: slots for requests whose servers are silent."""

from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import eventlet
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as drawn
from hypothesis import strategies as st

from myrtlehook_core import RetryReason, RouterCore, events
from myrtlehook_core.process.admission_messages import HeldAdmissions
from myrtlehook_core.process.messages import HoldList
from myrtlehook_router.request.silences import OVERLAP_S, Search, _is_in_hand, is_handed_over
from standins.successor_histories import (
    INGRESS,
    NO_BUDGET,
    SERVERS,
    SETTLE_S,
    WORKSPACES,
    Call,
    SuccessorHistory,
)

HISTORIES = 150
MAX_STEPS = 60
SEARCH_S = 0.04
"""Within this time a free server is found."""

FILLING_REQUESTS = 12
"""More than a server runs at once."""

BREAKS = (
    RetryReason.ANSWER_BROKEN,
    RetryReason.CONNECT_FAILED,
    RetryReason.SERVER_LEAVING,
    RetryReason.SERVER_BACKED_OFF,
)
ATTEMPTS = (1, 2, 3, 4, 6)
LATE_KINDS = {True: HeldAdmissions, False: HoldList}
"""The messages that tell a new owner what runs at its server: for engines, and for services."""

KINDS = {"engines": True, "plain services": False}


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a history; each kind of step uses the numbers that it needs."""

    kind: str
    number: int
    other: int
    wait_s: float


STEP_KINDS = (
    "arrive", "arrive", "arrive", "seek", "seek", "seek", "send", "send", "send", "hand over",
    "hand over", "drop", "failed search", "failed search", "whole search", "end", "break", "begin",
    "begin", "remove server", "restore servers", "remove workspace", "drain", "wait",
)  # fmt: skip

STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(STEP_KINDS),
        st.integers(0, 999),
        st.integers(0, 31),
        st.sampled_from((0.0, 0.003, 0.012, 0.03, 0.2)),
    ),
    min_size=10,
    max_size=MAX_STEPS,
)


def take_step(history: SuccessorHistory, step: Step) -> None:
    """Do what a step says, if there is a call to which it applies."""
    _SHELL_STEPS.get(step.kind, _take_call_step)(history, step)
    history.run_for(step.wait_s)


def _arrive(history: SuccessorHistory, step: Step) -> None:
    workspace = WORKSPACES[step.number % len(WORKSPACES)]
    attempts = ATTEMPTS[step.number // 2 % len(ATTEMPTS)]
    history.arrive(workspace, attempts, step.number % 11 > 0, step.other % 8 == 1)


def _remove_server(history: SuccessorHistory, step: Step) -> None:
    name = f"s{step.number % SERVERS}"
    history.removed.add(name)
    history.was_removed.add(name)
    history.publish()


def _restore_servers(history: SuccessorHistory, step: Step) -> None:
    history.removed.clear()
    history.publish()


def _remove_workspace(history: SuccessorHistory, step: Step) -> None:
    if step.other < 6:
        history.remove_workspace(WORKSPACES[1])


def _drain(history: SuccessorHistory, step: Step) -> None:
    if step.other < 4:
        history.drain()


def _wait(history: SuccessorHistory, step: Step) -> None:
    history.run_for(0.05)


_SHELL_STEPS: dict[str, Callable[[SuccessorHistory, Step], None]] = {
    "arrive": _arrive,
    "remove server": _remove_server,
    "restore servers": _restore_servers,
    "remove workspace": _remove_workspace,
    "drain": _drain,
    "wait": _wait,
}


def _take_call_step(history: SuccessorHistory, step: Step) -> None:
    applies, take = _CALL_STEPS[step.kind]
    calls = [call for call in history.calls if not call.ended and applies(call)]
    if calls:
        take(history, calls[step.number % len(calls)], step)


def _is_sent(call: Call) -> bool:
    return call.search is not None and call.search.was_sent


def _may_seek(call: Call) -> bool:
    return bool(call.server) and call.search is None


def _search_whole(history: SuccessorHistory, call: Call, step: Step) -> None:
    """Have a successor sent at once; it declines, or has the request in hand."""
    history.seek(call, frozenset())
    history.run_for(SEARCH_S)
    if not _may_be_sent(call):
        return
    history.send(call)
    if step.kind == "failed search":
        history.drop(call, failed=True)
    else:
        history.hand_over(call)


def _may_be_sent(call: Call) -> bool:
    return call.search is not None and bool(call.search.server) and not call.search.was_sent


def _seek(history: SuccessorHistory, call: Call, step: Step) -> None:
    silent = frozenset(f"s{number}" for number in range(SERVERS) if step.other >> number & 1)
    history.seek(call, silent if step.number % 3 else frozenset())


_CALL_STEPS: dict[
    str, tuple[Callable[[Call], bool], Callable[[SuccessorHistory, Call, Step], None]]
] = {
    "seek": (_may_seek, _seek),
    "failed search": (_may_seek, _search_whole),
    "whole search": (_may_seek, _search_whole),
    "send": (_may_be_sent, lambda history, call, step: history.send(call)),
    "hand over": (_is_sent, lambda history, call, step: history.hand_over(call)),
    "drop": (
        lambda call: call.search is not None,
        lambda history, call, step: history.drop(call, failed=step.other % 2 == 0),
    ),
    "end": (lambda call: True, lambda history, call, step: history.end(call)),
    "break": (
        lambda call: bool(call.server),
        lambda history, call, step: history.break_off(call, BREAKS[step.other % len(BREAKS)]),
    ),
    "begin": (
        lambda call: bool(call.server),
        lambda history, call, step: history.begin_stream(call),
    ),
}


@given("histories of silent {kind}")
def draw_histories(context: Any, kind: str) -> None:
    context.has_engines = KINDS[kind]


def check_histories(
    context: Any,
    check_step: Callable[[SuccessorHistory], None],
    check_end: Callable[[SuccessorHistory], None] = lambda history: None,
) -> None:
    """Check each step of drawn histories, and their ends."""

    @settings(max_examples=HISTORIES, phases=(Phase.explicit, Phase.generate, Phase.shrink))
    @drawn(st.integers(0, 1 << 20), STEPS)
    def check(seed: int, steps: list[Step]) -> None:
        history = SuccessorHistory(seed, context.has_engines)
        for step in steps:
            take_step(history, step)
            check_step(history)
        history.end_all()
        check_end(history)

    check()


def list_leftovers(core: RouterCore) -> dict[str, object]:
    """Return what a core holds of requests: as their ingress router, and as an owner."""
    ingress = core.ingress
    held = {
        "open": set(core.admissions.open),
        "running": set(ingress.running),
        "attempts": dict(ingress.attempts),
        "waiting": [request for queue in ingress.queues.values() for request in queue.waiting],
        "waiting bytes": sum(queue.queued_bytes for queue in ingress.queues.values()),
        "queued requests": ingress.queued_requests,
        "queued bytes": ingress.queued_bytes,
        "charges": [name for one in ingress.accounts.values() for name in one.charges],
        "held slots": [hold for one in core.owner.servers.values() for hold in one.holds],
        "held engines": [
            request_id
            for load in core.engine_queues.loads.values()
            for request_id in (*load.granted, *load.waiting)
        ],
    }
    return {name: value for name, value in held.items() if value}


@then("once all requests have ended, no router holds anything of them")
def check_nothing_left(context: Any) -> None:
    def check_end(history: SuccessorHistory) -> None:
        for core in history.cores.values():
            assert not list_leftovers(core), list_leftovers(core)

    check_histories(context, lambda history: None, check_end)


def check_faults(context: Any, sign: str) -> None:
    """Check that histories show no fault whose description contains a sign."""

    def check_step(history: SuccessorHistory) -> None:
        found = [fault for fault in history.faults if sign in fault]
        assert not found, found

    check_histories(context, check_step)


@then("no successor is dispatched to a server that runs its request or is silent")
def check_silent_servers(context: Any) -> None:
    check_faults(context, "silent server")


@then("no stream that has begun is offered a server of another software version")
def check_versions(context: Any) -> None:
    check_faults(context, "software version")


@then("no request is sent more often than its route allows, its successors included")
def check_attempts(context: Any) -> None:
    check_faults(context, "may be")


@then("no request that may not be repeated gets a successor")
def check_repeats(context: Any) -> None:
    check_faults(context, "may not be repeated")


@then("nothing is decided for a request that nobody waits for")
def check_decisions(context: Any) -> None:
    check_faults(context, "nobody waits")


@then("a retry is spent for each successor that is sent or sought, and for no other")
def check_budget(context: Any) -> None:
    def check_step(history: SuccessorHistory) -> None:
        history.run_for(0.0)
        sought = sum(call.search is not None for call in history.calls)
        spent = sought + history.finished_sends + history.requeued
        left = NO_BUDGET.retry_burst - spent
        assert history.ingress.ingress.retry_budget == left, (
            f"{history.ingress.ingress.retry_budget} retries left, {left} should be"
        )

    check_histories(context, check_step, check_step)


@then("a running request keeps its slot until it is handed over or ends")
def check_slots(context: Any) -> None:
    def check_step(history: SuccessorHistory) -> None:
        assert not any("released" in fault for fault in history.faults), history.faults
        for call in history.calls:
            if call.server and not call.ended:
                check_slot_held(history, call)

    check_histories(context, check_step)


def check_slot_held(history: SuccessorHistory, call: Call) -> None:
    """Check that the router of a running call and the owner of its server hold its slot."""
    core = history.ingress
    admission = core.admissions.open.get(call.current_id)
    running = core.ingress.running.get(call.current_id)
    held = running if admission is None else admission
    assert held is not None, f"{call.current_id} lost its slot"
    assert held.backend_server == call.server, f"{call.current_id} runs elsewhere"
    assert admission is None or admission.granted, f"{call.current_id} lost its engine"
    if history.is_draining or call.server in history.was_removed:
        return
    owner = history.cores[core.placement.server_owners[call.server]]
    if running is not None:
        assert running.grant_id in owner.owner.servers[call.server].holds
    else:
        assert call.current_id in owner.engine_queues.loads[call.server].granted


@given("a request at silent {kind} that may be sent {attempts:d} times")
def place_request(context: Any, kind: str, attempts: int) -> None:
    context.history = SuccessorHistory(1, KINDS[kind])
    context.history.arrive(WORKSPACES[0], attempts, repeatable=True, no_repeat=False)
    context.history.run_for(0.1)
    assert context.history.calls[0].server


@when("{count:d} searches are refused, as all servers are silent")
def refuse_searches(context: Any, count: int) -> None:
    history = context.history
    history.ingress.ingress.retry_budget = 1.0
    for _ in range(count):
        history.seek(history.calls[0], frozenset(f"s{number}" for number in range(SERVERS)))
        history.run_for(0.02)
        assert history.calls[0].search is None


@then("the retry budget is as it was")
def check_same_budget(context: Any) -> None:
    assert context.history.ingress.ingress.retry_budget == 1.0, (
        context.history.ingress.ingress.retry_budget
    )


@when("its run breaks off while its successor is sent, and no server takes it")
def break_off_unnoticed(context: Any) -> None:
    history = context.history
    call = history.calls[0]
    history.seek(call, frozenset())
    history.run_for(0.2)
    history.send(call)
    history.removed = {f"s{number}" for number in range(SERVERS)} - {call.search.server}
    history.publish()
    for _ in range(FILLING_REQUESTS):
        history.arrive(WORKSPACES[1], 1, repeatable=False, no_repeat=False)
    history.feed(INGRESS, events.RunNotStarted(call.current_id, RetryReason.ANSWER_BROKEN))
    # Nobody has answered yet, so that it waits.
    assert not _runs(history, call.current_id)


@when("it is handed over to its successor, and all requests end")
def hand_over_and_end(context: Any) -> None:
    context.history.hand_over(context.history.calls[0])
    context.history.end_all()


@then("nothing was dispatched for the first run, and nothing is left of it")
def check_first_withdrawn(context: Any) -> None:
    assert not context.history.faults, context.history.faults
    check_nothing_counted(context)


def _runs(history: SuccessorHistory, request_id: str) -> bool:
    """Return whether a request holds a slot."""
    admission = history.ingress.admissions.open.get(request_id)
    if admission is not None:
        return admission.granted
    return request_id in history.ingress.ingress.running


@given("a request that runs at one of the {kind}")
def place_at_server(context: Any, kind: str) -> None:
    place_request(context, kind, 2)


@when("its server gets a new owner, and the request ends at once")
def drain_and_end(context: Any) -> None:
    context.history.late_kind = LATE_KINDS[context.history.has_engines]
    context.history.drain()
    context.history.end(context.history.calls[0])
    context.history.run_for(SETTLE_S)


@then("the new owner counts nothing for it")
def check_nothing_counted(context: Any) -> None:
    for core in context.history.cores.values():
        assert not list_leftovers(core), list_leftovers(core)


@when("the server of a request is heard from while its successor is sent, and breaks off")
def break_off_after_cancel(context: Any) -> None:
    search = Search(Mock(), Mock())
    search.cancel()
    relay: Any = SimpleNamespace(search=search, successor=None)
    context.search = search
    context.decision = eventlet.spawn(is_handed_over, relay)
    eventlet.sleep(0)


@then("the request is asked for again only after the drop of its successor is reported")
def check_waits_for_drop(context: Any) -> None:
    assert not context.decision.dead, "asked for again before the drop was reported"
    context.search.done.send()
    assert not context.decision.wait()


@when("a search is given up while a router is late, after the successor's time is over")
def cancel_late(context: Any) -> None:
    search = Search(Mock(backend_server="s1"), Mock())
    relay: Any = SimpleNamespace(placement=Mock(closed=False))
    relay.placement.services.silent_servers = set()
    context.decision = eventlet.spawn(_is_in_hand, relay, search)
    eventlet.sleep(0)
    # The event loop stands still, as on a busy router.
    eventlet.patcher.original("time").sleep(OVERLAP_S + 0.05)
    search.cancel()


@then("the request is not handed over")
def check_not_handed_over(context: Any) -> None:
    assert not context.decision.wait(), "handed over to a successor that was cancelled"
