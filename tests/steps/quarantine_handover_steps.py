"""Steps of server ends whose collectors change: held by several routers, and counted once."""

import random
from typing import Any

from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
from quarantine_property_steps import OPTIONS, POISON, send_request

from myrtlehook_core import events
from myrtlehook_core.process.hashing import rank_routers, rank_weights, update_weights
from myrtlehook_core.process.members import MemberState
from myrtlehook_core.process.quarantine import (
    Quarantine,
    count_end,
    lift_quarantine,
    quarantine_request,
)
from myrtlehook_core.process.quarantine_handlers import COLLECTOR_COUNT
from myrtlehook_core.process.quarantine_messages import ServerEndReport
from myrtlehook_core.process.server_ends import MAX_KEPT_ENDS
from standins.histories import History, Network

HISTORIES = 20
ENGINES = 8
ATTEMPTS = 8
ATTEMPT_INTERVAL_S = 0.7
"""Longer than a restart of an engine that was ended."""

SETTLED_S = 2.0
"""By then routers that reach one another consider one another alive."""

POLL_S = 0.005


def _end_one_engine(history: History, ingress: str, number: int) -> None:
    """Have a request end an engine; its client leaves then, so that it is not sent again."""
    ended = len(history.ended_at_s)
    request_id = send_request(history, ingress, number, POISON)

    def leave_after_end() -> None:
        if len(history.ended_at_s) > ended:
            history.feed(ingress, events.RequestAbandoned(request_id))
        else:
            history.at(history.now_s + POLL_S, leave_after_end)

    leave_after_end()


def _restart_after(history: History, name: str, at_s: float, down_s: float) -> None:
    history.at(at_s, lambda: history.kill_router(name))
    history.at(at_s + down_s, lambda: history.start_router(name))


def _cut_off(history: History, name: str) -> None:
    history.is_cut = lambda sender, receiver: name in (sender, receiver)


def _end_cut(history: History) -> None:
    history.is_cut = lambda sender, receiver: False


def _cut_off_first(history: History, draw: random.Random) -> float:
    """Cut the router of the first end off around it; returns when all is well again."""
    first = draw.choice(list(history.alive))
    cut_s = draw.uniform(0.5, 1.5)
    healed_s = cut_s + 1.6
    history.at(cut_s, lambda: _cut_off(history, first))
    history.at(cut_s + draw.uniform(0.8, 1.5), lambda: _end_one_engine(history, first, 0))
    history.at(healed_s, lambda: _end_cut(history))
    return healed_s + SETTLED_S


def _start_in_series(history: History, draw: random.Random) -> float:
    """Start all other routers around the first end; returns when all is well again."""
    first, *others = history.alive
    for number, name in enumerate(others):
        history.kill_router(name)
        start_s = 0.3 + number * draw.uniform(0.1, 0.5)
        history.at(start_s, lambda name=name: history.start_router(name))
    history.at(draw.uniform(0.2, 1.0), lambda: _end_one_engine(history, first, 0))
    return 0.3 + 0.5 * len(others) + SETTLED_S


def _restart_in_turn(history: History, draw: random.Random) -> float:
    """Restart each router after the first end; returns when all is well again."""
    names = list(history.alive)
    first = draw.choice(names)
    history.at(1.5, lambda: _end_one_engine(history, first, 0))
    restart_s = 2.5
    for name in names:
        _restart_after(history, name, restart_s, draw.choice([0.1, 0.6, 1.5]))
        restart_s += 1.5 + SETTLED_S
    return restart_s


TROUBLES = {
    "the router that saw the first end was cut off from it": _cut_off_first,
    "the other routers start in series around the first end": _start_in_series,
    "each router is killed and starts again": _restart_in_turn,
}


@then(
    "in any history, a request ends at most {most:d} engines if {trouble} between the first and"
    " the second end"
)
def check_ends_counted_together(context: Any, most: int, trouble: str) -> None:
    @settings(max_examples=HISTORIES)
    @drawn(st.integers(0, 10**6), st.integers(3, 6))
    def check(seed: int, routers: int) -> None:
        draw = random.Random(seed)
        history = History(seed, routers, ENGINES, Network(0.0, 0.1, 0.02), OPTIONS)
        history.ends_engine = lambda request: request.fingerprint == POISON
        settled_s = TROUBLES[trouble](history, draw)
        history.run_until(settled_s)
        assert len(history.ended_at_s) == 1, history.ended_at_s
        for number in range(1, ATTEMPTS + 1):
            ingress = draw.choice(list(history.alive))
            send_request(history, ingress, number, POISON)
            history.run_until(settled_s + number * ATTEMPT_INTERVAL_S)
        assert len(history.ended_at_s) <= most, history.ended_at_s

    check()


def _get_router(history: History, number: int) -> str:
    return f"10.0.0.{number - 1}:7400"


def _consider_alive(history: History) -> bool:
    """Return whether all running routers consider one another alive."""
    names = set(history.alive)
    return all(
        core.table.members[other].state is MemberState.ALIVE
        for name, core in history.alive.items()
        for other in names - {name}
    )


@when("router {number:d} is cut off until it considers all others dead")
def cut_off_router(context: Any, number: int) -> None:
    history = context.history
    name = _get_router(history, number)
    _cut_off(history, name)
    members = history.alive[name].table.members
    while any(member.state is not MemberState.DEAD for member in members.values()):
        history.run_until(history.now_s + POLL_S)


@when('"{name}" ends one engine at router {number:d}')
def end_one(context: Any, name: str, number: int) -> None:
    history = context.history
    history.ends_engine = lambda request: request.fingerprint == name.encode()
    ended = len(history.ended_at_s)
    _end_one_engine(history, _get_router(history, number), number)
    while len(history.ended_at_s) == ended:
        history.run_until(history.now_s + POLL_S)
        assert history.now_s < 10.0, "no engine has ended"
    history.run_until(history.now_s + 0.1)


def _find_holders(history: History, name: str) -> list[str]:
    return [
        router
        for router, core in history.alive.items()
        if name.encode() in core.quarantine.suspects
    ]


@then('only router {number:d} holds an end of "{name}"')
def check_only_holder(context: Any, number: int, name: str) -> None:
    holders = _find_holders(context.history, name)
    assert holders == [_get_router(context.history, number)], holders


@when("the cut ends and all routers consider one another alive")
def end_cut(context: Any) -> None:
    history = context.history
    _end_cut(history)
    while not _consider_alive(history):
        history.run_until(history.now_s + POLL_S)
        assert history.now_s < 20.0, "routers do not consider one another alive"
    history.run_until(history.now_s + 0.1)


@then('both collectors hold an end of "{name}"')
def check_holders(context: Any, name: str) -> None:
    history = context.history
    collectors = rank_routers(f"quarantine/{name.encode().hex()}", history.alive, COLLECTOR_COUNT)
    missing = set(collectors) - set(_find_holders(history, name))
    assert not missing, f"{missing} do not hold it"


@when("router {number:d} is killed")
def kill_router(context: Any, number: int) -> None:
    context.history.kill_router(_get_router(context.history, number))


@when("each router is killed and starts again at once, one after the other")
def restart_at_once(context: Any) -> None:
    history = context.history
    for name in list(history.alive):
        history.kill_router(name)
        history.start_router(name)
        history.run_until(history.now_s + SETTLED_S)


@then("the same ends, reported in any order and repeatedly, are counted alike")
def check_any_order(context: Any) -> None:
    ages_ms = st.tuples(st.integers(10, 3_000), st.integers(1, 400))

    @drawn(
        st.lists(ages_ms, min_size=1, max_size=MAX_KEPT_ENDS),
        st.randoms(use_true_random=False),
    )
    def check(drawn_ages_ms: list[tuple[int, int]], draw: random.Random) -> None:
        reports = [
            ServerEndReport(POISON, "e1", ended_ms + ran_ms, ended_ms, "r1", serial)
            for serial, (ended_ms, ran_ms) in enumerate(drawn_ages_ms)
        ]
        counts = set()
        for _ in range(4):
            quarantine = Quarantine(first_serial=1)
            repeated = [*reports, *reports]
            draw.shuffle(repeated)
            for report in repeated:
                count_end(quarantine, report, 10.0)
            counts.add(quarantine.suspects[POISON].ends)
        assert len(counts) == 1, counts

    check()


@then("ends that were reported before a quarantine was lifted are not counted again")
def check_not_counted_after_lift(context: Any) -> None:
    quarantine = Quarantine(first_serial=1)
    first = ServerEndReport(POISON, "e1", 200, 150, "r1", 1)
    second = ServerEndReport(POISON, "e2", 80, 0, "r2", 1)
    assert count_end(quarantine, first, 10.0) is not None
    suspect = count_end(quarantine, second, 10.0)
    assert suspect is not None
    assert suspect.ends == 2, suspect
    quarantine_request(quarantine, POISON, suspect, 10.0)
    assert lift_quarantine(quarantine, POISON, 11.0)
    late = ServerEndReport(POISON, "e1", 1_200, 1_150, "r1", 1)
    assert count_end(quarantine, late, 11.0) is None
    later = ServerEndReport(POISON, "e3", 80, 0, "r1", 2)
    suspect = count_end(quarantine, later, 12.0)
    assert suspect is not None
    assert suspect.ends == 1, suspect


@then("collectors found from the previous ones are those found from the whole fleet")
def check_updated_weights(context: Any) -> None:
    names = st.sets(st.sampled_from([f"r{number}" for number in range(12)]), min_size=1)

    @drawn(names, names)
    def check(before: set[str], after: set[str]) -> None:
        weights = rank_weights("key", before, 2)
        updated = update_weights("key", weights, after, after - before, 2)
        assert updated == rank_weights("key", after, 2), (before, after)

    check()
