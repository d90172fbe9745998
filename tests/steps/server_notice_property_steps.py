"""Steps of notices in servers' answers: their parsing, and routers in simulated histories."""

import random
from dataclasses import dataclass
from functools import partial
from typing import Any

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as drawn
from hypothesis import strategies as st

from myrtlehook_core import CoreOptions, RefusalReason, events
from myrtlehook_core.process.leaving_servers import (
    LEAVING_MEMORY_S,
    LeavingServers,
    forget_removed_servers,
    make_leaving_row,
    record_incarnation,
    record_leaving,
)
from myrtlehook_router.request.headers import HeaderNames
from myrtlehook_router.request.server_notices import read_notice
from standins.histories import History, Network
from standins.pools import make_request

OPTIONS = CoreOptions(retry_burst=1000.0)
HISTORIES = 25
UNSHRUNK = (Phase.explicit, Phase.generate)
"""A failing history is not shrunk: a smaller seed gives no simpler history."""

FAULTS_END_S = 12.0
REQUESTS = 400
SETTLED_S = 3.0
"""Time after the last fault in which clients still send requests."""

NAMES = HeaderNames(server_leaving="Leaves")


@dataclass(frozen=True, slots=True)
class ForbiddenSends:
    """Requests that routers sent to servers in spite of their notices."""

    to_leaving: list[tuple[str, str, float]]
    during_backoff: list[tuple[str, str, float]]


def find_forbidden_sends(history: History) -> ForbiddenSends:
    """Return the requests sent to servers that were leaving or had asked for a back-off."""
    to_leaving, during_backoff = [], []
    for router, engine, at_s in history.dispatches:
        reported_at_s = history.leaving_reported_at_s.get((router, engine))
        if reported_at_s is not None and at_s > reported_at_s:
            to_leaving.append((router, engine, at_s))
        for since_s, until_s in history.reported_backoffs.get((router, engine), ()):
            if since_s < at_s < until_s:
                during_backoff.append((router, engine, at_s))
    return ForbiddenSends(to_leaving, during_backoff)


def _send_request(history: History, ingress: str, number: int) -> None:
    request = make_request(f"r{number}", "abcd"[number % 4], number % 7, 300, history.now_s, True)
    history.ask(ingress, request)


def _restart(history: History, name: str) -> None:
    history.kill_router(name)
    history.start_router(name)


def _run_history(seed: int, loss_probability: float, restarts: int, routers: int = 4) -> History:
    """Run a history in which engines leave, or refuse with a back-off, at random times."""
    history = History(seed, routers, 6, Network(loss_probability, 0.1, 0.02), OPTIONS)
    draw = random.Random(seed)
    refused_fraction, max_backoff_s = draw.choice([0.2, 0.5, 1.0]), draw.choice([0.6, 3.0])
    refusals_end_s = {
        f"e{number}": draw.uniform(2.0, FAULTS_END_S) for number in draw.sample(range(6), 3)
    }

    def choose_backoff_s(engine: str) -> float:
        is_refusing = engine in refusals_end_s and 1.5 < history.now_s < refusals_end_s[engine]
        return (
            draw.uniform(0.5, max_backoff_s)
            if is_refusing and draw.random() < refused_fraction
            else 0.0
        )

    history.backoff_s = choose_backoff_s
    for number in draw.sample(range(6), 2):
        at_s = draw.uniform(2.0, FAULTS_END_S)
        history.at(at_s, partial(history.leaving_engines.add, f"e{number}"))
    names = list(history.alive)
    for _ in range(restarts):
        history.at(draw.uniform(2.0, FAULTS_END_S), partial(_restart, history, draw.choice(names)))
    for number in range(REQUESTS):
        at_s = 1.5 + number * (FAULTS_END_S + SETTLED_S - 1.5) / REQUESTS
        history.at(at_s, partial(_send_request, history, draw.choice(names), number))
    history.run_until(FAULTS_END_S + SETTLED_S + 4.0)
    return history


@then("in any history no router sends to a server that leaves or asked it to back off")
def check_histories(context: Any) -> None:
    @settings(max_examples=HISTORIES, phases=UNSHRUNK)
    @drawn(st.integers(0, 10**6), st.sampled_from([0.0, 0.1, 0.3]), st.integers(0, 3))
    def check(seed: int, loss_probability: float, restarts: int) -> None:
        history = _run_history(seed, loss_probability, restarts)
        forbidden = find_forbidden_sends(history)
        assert not forbidden.to_leaving, (
            f"sent to a server that had reported that it is leaving: {forbidden.to_leaving}"
        )
        assert not forbidden.during_backoff, f"sent during a back-off: {forbidden.during_backoff}"

    check()


@then("in any history clients are served again once servers refuse nothing")
def check_served_again(context: Any) -> None:
    @settings(max_examples=HISTORIES, phases=UNSHRUNK)
    @drawn(st.integers(0, 10**6), st.sampled_from([0.0, 0.1]))
    def check(seed: int, loss_probability: float) -> None:
        history = _run_history(seed, loss_probability, 0)
        late = [
            outcome
            for name, outcome in history.outcomes.items()
            if outcome.deadline_s > FAULTS_END_S + 1.0 + 3.0
        ]
        served = [outcome for outcome in late if outcome.ended_at_s is not None]
        assert late and len(served) >= 0.97 * len(late), f"{len(served)} of {len(late)} served"
        open_requests = sum(len(core.admissions.open) for core in history.alive.values())
        assert open_requests == 0, f"{open_requests} requests have no end"

    check()


@given("a fleet of {routers:d} routers before {engines:d} engines, all of which know one another")
def start_known(context: Any, routers: int, engines: int) -> None:
    context.history = History(1, routers, engines, Network(), OPTIONS)
    context.history.run_until(1.5)


@when('an answer reports to one router that "{engine}" is leaving')
def report_leaving(context: Any, engine: str) -> None:
    history = context.history
    receiver = next(iter(history.alive))
    context.owner = history.alive[receiver].placement.server_owners[engine]
    history.feed(receiver, events.ServerNoticed(engine, "a/r", leaving=True))


@then('within {wait_s:g} s the owner of "{engine}" knows that it is leaving')
def check_owner(context: Any, wait_s: float, engine: str) -> None:
    history = context.history
    history.run_until(history.now_s + wait_s)
    owner = history.alive[context.owner]
    assert owner.configuration.backend_servers[engine].leaving


@then('within {wait_s:g} s every router considers "{engine}" leaving')
def check_all_know(context: Any, wait_s: float, engine: str) -> None:
    history = context.history
    history.run_until(history.now_s + wait_s)
    unaware = [
        name
        for name, core in history.alive.items()
        if not core.configuration.backend_servers[engine].leaving
    ]
    assert not unaware, f"{len(unaware)} of {len(history.alive)} routers do not know"


@when("every engine asks router 1 to back off for {backoff_s:g} s")
def report_backoffs(context: Any, backoff_s: float) -> None:
    history = context.history
    context.router = next(iter(history.alive))
    context.until_s = history.now_s + backoff_s
    for engine in history.alive[context.router].configuration.backend_servers:
        notice = events.ServerNoticed(engine, "a/r", backoff_until_s=context.until_s)
        history.feed(context.router, notice)


@then("a request there is refused at once, to be retried within 0.5 s after the back-off")
def check_refused(context: Any) -> None:
    history = context.history
    request = make_request("held", "a", 1, 300, history.now_s, True)
    done = history.alive[context.router].handle(events.RequestArrived(request), history.now_s)
    refusals = [action for action in done if hasattr(action, "retry_after_s")]
    assert [action.reason for action in refusals] == [RefusalReason.BACKED_OFF], done
    retry_s = history.now_s + refusals[0].retry_after_s
    assert context.until_s <= retry_s <= context.until_s + 0.5, retry_s


@then("a request there waits, and is served after the back-off")
def check_waits(context: Any) -> None:
    history = context.history
    history.ask(context.router, make_request("held", "a", 1, 300, history.now_s, True))
    history.run_until(history.now_s + 1.0)
    outcome = history.outcomes["held"]
    assert not outcome.refused_at_s, history.refusal_reasons
    assert outcome.dispatched_at_s[0] >= context.until_s
    assert outcome.ended_at_s is not None


@when("the engine refuses a request with a back-off of {backoff_s:g} s, once")
def refuse_once(context: Any, backoff_s: float) -> None:
    history = context.history
    context.until_s = history.now_s + backoff_s
    backoffs_s = [backoff_s]
    history.backoff_s = lambda engine: backoffs_s.pop() if backoffs_s else 0.0
    ingress = next(iter(history.alive))
    history.ask(ingress, make_request("again", "a", 1, 300, history.now_s, True))
    history.run_until(history.now_s + 1.0)


@then("that request is served after the back-off")
def check_served_later(context: Any) -> None:
    outcome = context.history.outcomes["again"]
    assert len(outcome.dispatched_at_s) == 2, outcome
    assert outcome.dispatched_at_s[1] >= context.until_s
    assert outcome.ended_at_s is not None, context.history.refusal_reasons


@when("a router starts again after {wait_s:g} s")
def restart_later(context: Any, wait_s: float) -> None:
    history = context.history
    history.run_until(history.now_s + wait_s)
    _restart(history, list(history.alive)[-1])


@then("another router serves as before")
def check_other(context: Any) -> None:
    history = context.history
    other = list(history.alive)[1]
    history.ask(other, make_request("other", "b", 1, 300, history.now_s, True))
    history.run_until(history.now_s + 0.5)
    assert history.outcomes["other"].ended_at_s is not None


@then("the head of an answer is read as follows")
def check_reading(context: Any) -> None:
    for row in context.table:
        headers = [tuple(part.split(": ", 1)) for part in row["headers"].split("; ") if part]
        notice = read_notice(int(row["status"]), headers, NAMES)
        seen = (notice.leaving, notice.backoff_s, len(notice.unreadable_values))
        expected = (row["leaves"] == "yes", float(row["for s"]), int(row["unreadable"]))
        assert seen == expected, f"{row['headers']!r}: seen {seen}, expected {expected}"


@then(
    "for any status and headers, reading an answer's head raises nothing, and bounds the back-off"
)
def check_any_head(context: Any) -> None:
    @drawn(
        st.integers(100, 999),
        st.lists(st.tuples(st.sampled_from(["Retry-After", "leaves", "X"]), st.text())),
    )
    def check(status: int, headers: list[tuple[str, str]]) -> None:
        notice = read_notice(status, headers, NAMES)
        assert 0.0 <= notice.backoff_s <= 3600.0
        assert status == 503 or notice.backoff_s == 0.0

    check()


@then("that a server leaves is remembered for an hour after its entry is removed, and no longer")
def check_leaving_memory(context: Any) -> None:
    leaving = LeavingServers()
    record_leaving(leaving, make_leaving_row(leaving, "e"), 1)
    forget_removed_servers(leaving, {"e"}, 0.0)
    forget_removed_servers(leaving, set(), 10.0)
    forget_removed_servers(leaving, set(), 9.0 + LEAVING_MEMORY_S)
    assert "e" in leaving.servers
    forget_removed_servers(leaving, {"e"}, 9.5 + LEAVING_MEMORY_S)
    forget_removed_servers(leaving, set(), 11.0 + LEAVING_MEMORY_S)
    assert "e" in leaving.servers, "the hour begins anew when its entry was listed again"
    forget_removed_servers(leaving, set(), 12.0 + 2 * LEAVING_MEMORY_S)
    assert not leaving.servers


@then("a late report of the start that leaves does not make it usable, but a later start does")
def check_incarnations(context: Any) -> None:
    leaving = LeavingServers()
    record_incarnation(leaving, "e", 5)
    record_leaving(leaving, make_leaving_row(leaving, "e"), 1)
    record_incarnation(leaving, "e", 5)
    record_incarnation(leaving, "e", 4)
    assert "e" in leaving.servers
    record_incarnation(leaving, "e", 6)
    assert "e" not in leaving.servers
