"""Properties of the origins of streams, in simulated histories of decision cores."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from myrtlehook_core import CoreOptions, make_stream_key
from myrtlehook_core.process.hash_rings import build_ring, find_keepers
from standins.histories import ENGINE_DOWN_S, History, Network
from standins.pools import POOL, make_request

OPTIONS = CoreOptions(retry_burst=1000.0)
HISTORIES = 12
HISTORY_S = 9.0
STREAM_S = 0.8
"""How long an engine writes a stream."""

STREAM_INTERVAL_S = 0.07
FOLLOW_INTERVAL_S = 0.1
MAX_ATTEMPTS = 5
STREAM_DEADLINE_S = 6.0
MIN_TAKEN_UP = 12
"""Fewer streams that are taken up do not suffice to compare them with new ones."""


@dataclass(slots=True)
class SimulatedStream:
    """One stream and the attempts of its client, which takes it up at other routers."""

    name: str
    deadline_s: float
    attempt_ids: list[str] = field(default_factory=list)
    cores: list[Any] = field(default_factory=list)
    """For each attempt, the process of the router that it was sent to."""
    takes_up: list[bool] = field(default_factory=list)
    first_attempt_id: str = ""
    """The attempt that brought its first event."""


def _start_history(seed: int, routers: int, network: Network) -> History:
    history = History(seed, routers, 6, network, OPTIONS)
    history.publish(
        tuple(
            replace(server, software_version=f"v{number % 2 + 1}")
            for number, server in enumerate(history.servers)
        )
    )
    history.find_answer_s = lambda request: STREAM_S
    history.run_until(1.5)
    return history


def _send(history: History, stream: SimulatedStream, ingress: str, names_first: bool = True) -> str:
    """Send one attempt at a stream to a router; returns the attempt's id."""
    attempt_id = f"{stream.name}-{len(stream.attempt_ids)}"
    request = make_request(attempt_id, "a", len(stream.name), 100, history.now_s, True)
    resumes = bool(stream.first_attempt_id)
    key = make_stream_key("a", POOL, stream.first_attempt_id or attempt_id)
    request = replace(
        request,
        stream_key=key if names_first or not resumes else b"",
        resumes=resumes,
        deadline_s=stream.deadline_s,
    )
    stream.attempt_ids.append(attempt_id)
    stream.cores.append(history.alive.get(ingress))
    stream.takes_up.append(resumes)
    history.ask(ingress, request)
    return attempt_id


def _note_first_attempt(history: History, stream: SimulatedStream) -> None:
    if not stream.first_attempt_id:
        begun = [
            one
            for one in stream.attempt_ids
            if one in history.outcomes and history.outcomes[one].begun_engines
        ]
        stream.first_attempt_id = begun[0] if begun else ""


def _follow(history: History, stream: SimulatedStream, draw: random.Random) -> None:
    """Take a stream up again if its last attempt has failed."""
    _note_first_attempt(history, stream)
    outcome = history.outcomes.get(stream.attempt_ids[-1])
    if outcome is not None and outcome.ended_at_s is not None:
        return
    killed = outcome is None or history.alive.get(outcome.ingress) is not stream.cores[-1]
    failed = killed or (outcome is not None and outcome.refused_at_s)
    if failed:
        if len(stream.attempt_ids) >= MAX_ATTEMPTS or history.now_s >= stream.deadline_s:
            return
        _send(history, stream, draw.choice(list(history.alive)))
    history.at(history.now_s + FOLLOW_INTERVAL_S, lambda: _follow(history, stream, draw))


def _begin(history: History, stream: SimulatedStream, draw: random.Random) -> None:
    stream.deadline_s = history.now_s + STREAM_DEADLINE_S
    _send(history, stream, draw.choice(list(history.alive)))
    history.at(history.now_s + FOLLOW_INTERVAL_S, lambda: _follow(history, stream, draw))


def _list_versions(history: History, stream: SimulatedStream) -> list[str]:
    return [
        history.find_software_version(engine)
        for attempt_id in stream.attempt_ids
        if attempt_id in history.outcomes
        for engine in history.outcomes[attempt_id].begun_engines
    ]


def _kill_and_restart(history: History, name: str, down_s: float) -> None:
    history.kill_router(name)
    history.at(history.now_s + down_s, lambda: history.start_router(name))


def _end_and_rename(history: History, number: int) -> None:
    """End an engine, which starts again under another name."""
    before = history.servers[number]
    history.end_engine(before.name)
    restarted = replace(before, name=f"{before.name}-again")

    def publish() -> None:
        kept = tuple(server for server in history.servers if server.name != before.name)
        history.publish((*kept[:number], restarted, *kept[number:]))

    history.at(history.now_s + ENGINE_DOWN_S, publish)


def _list_begun(history: History, streams: list[SimulatedStream], takes_up: bool) -> list[bool]:
    """Return, for each new attempt or each that took a stream up, whether it brought an event."""
    return [
        bool(history.outcomes[attempt_id].begun_engines)
        for stream in streams
        for attempt_id, took_up in zip(stream.attempt_ids, stream.takes_up, strict=True)
        if took_up is takes_up and attempt_id in history.outcomes
    ]


@then("in any history, no stream goes on at another version, and enough of those taken up go on")
def check_histories(context: Any) -> None:
    new: list[bool] = []
    taken_up: list[bool] = []

    @settings(max_examples=HISTORIES)
    @drawn(st.integers(0, 10**6), st.sampled_from([0.0, 0.1, 0.3]), st.sampled_from([0.05, 0.7]))
    def check(seed: int, loss_probability: float, down_s: float) -> None:
        history = _start_history(seed, 5, Network(loss_probability, 0.1, 0.02))
        draw = random.Random(seed)
        streams = []
        for number in range(int((HISTORY_S - 4.0) / STREAM_INTERVAL_S)):
            stream = SimulatedStream(f"s{number}", 0.0)
            streams.append(stream)
            at_s = 1.5 + number * STREAM_INTERVAL_S
            history.at(at_s, lambda one=stream: _begin(history, one, draw))
        for number in range(6):
            # Two engines of each version always serve.
            at_s = 2.0 + number * 0.8
            history.at(at_s, lambda one=number: _end_and_rename(history, one))
        for number in range(2):
            name = draw.choice(list(history.alive))
            at_s = 2.5 + number * 2.2
            history.at(at_s, lambda one=name: _kill_and_restart(history, one, down_s))
        history.run_until(HISTORY_S)
        mixed = [one.name for one in streams if len(set(_list_versions(history, one))) > 1]
        assert not mixed, f"{mixed} hold events of two versions"
        if not loss_probability:
            new.extend(_list_begun(history, streams, takes_up=False))
            taken_up.extend(_list_begun(history, streams, takes_up=True))

    check()
    assert len(taken_up) >= MIN_TAKEN_UP, f"only {len(taken_up)} were taken up"
    begun_share = sum(new) / len(new)
    goes_on_share = sum(taken_up) / len(taken_up)
    assert goes_on_share >= 0.5 * begun_share, (
        f"{goes_on_share:.2f} of {len(taken_up)} that were taken up went on, "
        f"{begun_share:.2f} of new ones began"
    )


@given("a fleet of {routers:d} routers and engines of two software versions")
def start_fleet(context: Any, routers: int) -> None:
    context.history = _start_history(1, routers, Network())
    context.stream = SimulatedStream("stream", context.history.now_s + STREAM_DEADLINE_S)
    context.routers = list(context.history.alive)


def _begin_at_first(context: Any) -> None:
    history = context.history
    _send(history, context.stream, context.routers[0])
    history.run_until(history.now_s + 0.2)
    _note_first_attempt(history, context.stream)
    assert context.stream.first_attempt_id, "the stream has not begun"
    context.version = _list_versions(history, context.stream)[0]


@when("a stream begins at router 1 and all other routers are cut off from router 2")
def cut_off_second(context: Any) -> None:
    # Cut off before, so that the second router is told nothing of the stream either.
    second = context.routers[1]
    context.history.is_cut = lambda sender, receiver: second in (sender, receiver)
    context.history.run_until(context.history.now_s + 2.0)
    context.stream.deadline_s += 2.0
    _begin_at_first(context)


@when("a stream begins at router 1 and all servers of its version leave")
def drop_version(context: Any) -> None:
    _begin_at_first(context)
    servers = context.history.servers
    context.history.publish(
        tuple(server for server in servers if server.software_version != context.version)
    )


@when("a stream begins at router 1 and its client does not name the attempt that began it")
def begin_unnamed(context: Any) -> None:
    _begin_at_first(context)
    context.names_first = False


@when("only engines of the version that began it are listed")
def keep_version(context: Any) -> None:
    servers = context.history.servers
    context.history.publish(
        tuple(server for server in servers if server.software_version == context.version)
    )


@when("a stream begins at router 1 and every other router {trouble}, one after the other")
def restart_others(context: Any, trouble: str) -> None:
    history = context.history
    _begin_at_first(context)
    down_s = 1.2 if trouble == "is killed and starts again" else 0.0
    for name in context.routers[1:]:
        _kill_and_restart(history, name, down_s)
        history.run_until(history.now_s + down_s + 0.8)


@when("router 1 is killed for good")
def kill_first(context: Any) -> None:
    context.history.kill_router(context.routers[0])
    context.history.run_until(context.history.now_s + 1.5)


def _take_up(context: Any, router: int, wait_s: float) -> Any:
    names_first = getattr(context, "names_first", True)
    history = context.history
    context.stream.deadline_s = history.now_s + STREAM_DEADLINE_S
    attempt_id = _send(history, context.stream, context.routers[router - 1], names_first)
    history.run_until(history.now_s + wait_s)
    return history.outcomes[attempt_id]


@then('router {router:d} refuses to take it up as "{reason}" within {wait_s:g} seconds')
def check_refused(context: Any, router: int, reason: str, wait_s: float) -> None:
    outcome = _take_up(context, router, wait_s)
    reasons = context.history.refusal_reasons.get(context.stream.attempt_ids[-1])
    assert reasons == [reason], f"{reasons}, dispatched to {outcome.dispatched}"
    assert not outcome.dispatched, outcome


@then("router {router:d} takes it up at the version that began it")
def check_goes_on(context: Any, router: int) -> None:
    outcome = _take_up(context, router, 0.5)
    versions = [context.history.find_software_version(one) for one in outcome.begun_engines]
    reasons = context.history.refusal_reasons.get(context.stream.attempt_ids[-1])
    assert versions == [context.version], f"{versions}, {reasons}; begun at {context.version}"


@then("each other router takes it up at the version that began it")
def check_all_go_on(context: Any) -> None:
    for router in range(2, len(context.routers) + 1):
        check_goes_on(context, router)


@then("a router that joins or departs changes few keepers, and all routers keep alike many keys")
def check_keepers(context: Any) -> None:
    names = [f"10.0.{number // 250}.{number % 250}:7400" for number in range(200)]
    ring = build_ring(names)
    keys = [number.to_bytes(4) for number in range(4000)]
    before = {key: find_keepers(ring, key, 2) for key in keys}
    assert all(len(set(keepers)) == 2 for keepers in before.values())
    smaller = build_ring(names[1:])
    moved = [key for key in keys if find_keepers(smaller, key, 2) != before[key]]
    assert all(names[0] in before[key] for key in moved), "keys of routers that stay have moved"
    counts = Counter(router for keepers in before.values() for router in keepers)
    mean = 2 * len(keys) / len(names)
    assert max(counts.values()) < 3 * mean and len(counts) == len(names), counts.most_common(3)
    assert find_keepers(build_ring(names[:1]), keys[0], 2) == (names[0],)
    assert find_keepers(build_ring(names[:1]), keys[0], 2, names[0]) == ()
    assert find_keepers(build_ring(()), keys[0], 2) == ()


@when("a stream begins at router 1 and its engine ends and is back under its name")
def end_first_engine(context: Any) -> None:
    history = context.history
    _begin_at_first(context)
    context.ended = history.outcomes[context.stream.attempt_ids[0]].begun_engines[0]
    history.end_engine(context.ended)
    history.run_until(history.now_s + ENGINE_DOWN_S + 0.2)


@then("router {router:d} takes it up at another engine of the version that began it")
def check_other_engine(context: Any, router: int) -> None:
    check_goes_on(context, router)
    engines = context.history.outcomes[context.stream.attempt_ids[-1]].begun_engines
    assert context.ended not in engines, engines


@then("a stream that begins at the engine that ended cannot be taken up for {wait_s:d} seconds")
def check_unconfirmed(context: Any, wait_s: int) -> None:
    history = context.history
    listed = history.servers
    for expected in (["no_server_of_version"], None):
        history.publish(tuple(one for one in listed if one.name == context.ended))
        context.stream = SimulatedStream(f"after-{expected}", history.now_s + STREAM_DEADLINE_S)
        _begin_at_first(context)
        history.publish(listed)
        attempt_id = _send(history, context.stream, context.routers[1])
        history.run_until(history.now_s + 0.4)
        assert history.refusal_reasons.get(attempt_id) == expected, history.refusal_reasons
        history.run_until(history.now_s + wait_s)
