"""Steps of the routers that read the source for all, in histories of decision cores."""

import random
from typing import Any

from behave import given as before
from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlehook_core import BackendServer, CoreOptions, SourceOrder
from myrtlehook_core.version.discovery import (
    Discovery,
    apply_server_changes,
    apply_server_list,
    collect_server_changes,
)
from standins.histories import History, Network, Source
from standins.pools import POOL

OPTIONS = CoreOptions(source_readers=4)
HISTORIES = 12
SETTLE_S = 6.0


def _start(routers: int, network: Network, seed: int) -> History:
    source = Source()
    source.put("first")
    return History(seed, routers, 0, network, OPTIONS, source)


def _readers(context: Any) -> list[str]:
    alive = context.history.alive.items()
    return [name for name, core in alive if core.source_readers.reading]


def _source(context: Any) -> Source:
    found: Source = context.history._source
    return found


@before("a fleet of {routers:d} routers that has run for {seconds:g} s")
def start_fleet(context: Any, routers: int, seconds: float) -> None:
    context.history = _start(routers, Network(), seed=1)
    context.history.run_until(seconds)
    context.chosen = _readers(context)


@when("a server is published and a new configuration too")
def publish(context: Any) -> None:
    source = _source(context)
    source.put("second")
    source.configuration_number += 1


@when("the source refuses every reader")
def refuse_readers(context: Any) -> None:
    _source(context).refuses |= set(context.chosen)


@when("the source is silent to every reader")
def silence_readers(context: Any) -> None:
    _source(context).silent_to |= set(context.chosen)


@when("the source is silent to every router")
def silence_all(context: Any) -> None:
    _source(context).silent_to |= set(context.history.alive)


@when("the source answers again")
def answer_again(context: Any) -> None:
    _source(context).silent_to.clear()


@when("every reader ends")
def end_readers(context: Any) -> None:
    for name in context.chosen:
        context.history.kill_router(name)


@when("the readers start again")
def start_readers(context: Any) -> None:
    for name in context.chosen:
        context.history.start_router(name)


def _find_other(context: Any) -> str:
    """Return a router that does not read."""
    others = [name for name in context.history.alive if name not in context.chosen]
    return sorted(others)[0]


@when("a router that is no reader ends and starts again, and the source is silent to it")
def restart_turned_away(context: Any) -> None:
    name = _find_other(context)
    _source(context).silent_to.add(name)
    context.history.kill_router(name)
    context.history.start_router(name)


@when("a router that is no reader is cut off from all others")
def cut_one(context: Any) -> None:
    name = _find_other(context)
    context.history.is_cut = lambda sender, receiver: name in (sender, receiver)


@when("the fleet is split into the readers and the others")
def split_fleet(context: Any) -> None:
    chosen = set(context.chosen)
    context.history.is_cut = lambda sender, receiver: (sender in chosen) != (receiver in chosen)


@then("{count:d} routers read the source")
def check_readers(context: Any, count: int) -> None:
    assert len(context.chosen) == count, context.chosen


@then("after {seconds:g} s at most {count:d} routers read the source")
def check_few_readers(context: Any, seconds: float, count: int) -> None:
    context.history.run_until(context.history.now_s + seconds)
    assert len(_readers(context)) <= count, _readers(context)


@then("after {seconds:g} s every router knows both")
def check_known(context: Any, seconds: float) -> None:
    context.history.run_until(context.history.now_s + seconds)
    source = _source(context)
    for name, core in context.history.alive.items():
        known = core.configuration
        assert known.backend_servers == source.servers, (name, known.backend_servers)
        assert known.version.number == source.configuration_number, (name, known.version)


@then("for any history of the source, all routers end with what it publishes")
def check_any_history(context: Any) -> None:
    chance = st.floats(0, 0.3)

    @settings(max_examples=HISTORIES)
    @given(st.integers(0, 10_000), chance, chance)
    def check(seed: int, lost: float, doubled: float) -> None:
        history = _start(7, Network(lost, doubled, 0.05), seed)
        context.history = history
        source = _source(context)
        draw = random.Random(seed)
        for _ in range(8):
            history.run_until(history.now_s + draw.random())
            _change_something(history, source, draw)
        source.silent_to.clear()
        source.refuses.clear()
        check_known(context, SETTLE_S)

    check()


def _change_something(history: History, source: Source, draw: random.Random) -> None:
    name = draw.choice(sorted(history._names))
    server = f"s{draw.randrange(4)}"
    kind = draw.randrange(6)
    if kind == 0:
        history.kill_router(name)
        history.start_router(name)
    elif kind == 1:
        source.silent_to.add(name)
    elif kind == 2:
        source.refuses.add(name)
    elif kind == 3:
        source.configuration_number += 1
    elif kind == 4:
        source.drop(server)
    elif server not in source.servers:
        source.put(server)


def _server(name: str, leaving: bool) -> BackendServer:
    return BackendServer(name, POOL, "10.0.1.1:80", "z", 1, False, leaving)


@then("for any changes, a peer that takes them knows the same servers")
def check_changes(context: Any) -> None:
    names = st.sampled_from(["a", "b", "c", "d"])
    lists = st.lists(st.dictionaries(names, st.booleans()), min_size=1, max_size=6)

    @settings(max_examples=200)
    @given(lists, st.sets(st.integers(1, 6)))
    def check(published: list[dict[str, bool]], told_at: set[int]) -> None:
        reader, peer = Discovery(), Discovery()
        left: set[str] = set()
        for revision, listed in enumerate(published, start=1):
            # Who has said once that it is leaving never comes back under its name.
            left |= {name for name, leaving in listed.items() if leaving}
            servers = [_server(name, name in left) for name in listed]
            apply_server_list(reader, servers, False, 0.0, SourceOrder(0, revision))
            if revision in told_at or revision == len(published):
                changes = collect_server_changes(reader, peer.source_order)
                apply_server_changes(peer, changes, False, 0.0)
                assert peer.known == reader.known, (peer.known, reader.known)
                # What is told twice, or late, changes nothing.
                assert not apply_server_changes(peer, changes, False, 0.0)

    check()
