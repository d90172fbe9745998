"""Steps of the evacuation of availability zones."""

import time
from collections import Counter
from typing import Any

from behave import given, then, when
from cold_engine_steps import BOUND, COLD_S, LAST_S, TOKENS, find_most_sent
from server_notice_steps import find_busiest, send_for
from zone_steps import run_until_holds

from myrtlehook_platform.store import StoreReplica, _make_server_list
from myrtlehook_router.process.counters import Counters
from standins.histories import RATE_TOKENS_PER_S, History

GRANT_USE_S = 0.05
"""A grant from before the evacuation may still be used for this long."""

SEND_DELAY_S = 1.0
PATH = "/diagnosis/a"
OTHER_ENGINES_MOVED = 2
"""Leaves the routers' own zone too few engines for a home engine in the zone."""


@when('zone "{zone}" is evacuated from {start_s:g} s to {end_s:g} s')
def evacuate_for(context: Any, zone: str, start_s: float, end_s: float) -> None:
    history: History = context.history
    history.at(start_s, lambda: history.publish(history.servers, frozenset({zone})))
    history.at(end_s, lambda: history.publish(history.servers))
    context.zone, context.from_s, context.to_s = zone, start_s, end_s
    history.run_until(LAST_S)


def _count_sent(context: Any, start_s: float, end_s: float) -> Counter[bool]:
    """Count the requests sent to the zone's engines, and to all others."""
    zones = {server.name: server.availability_zone for server in context.history.servers}
    return Counter(
        zones[engine] == context.zone
        for _, engine, at_s in context.history.dispatches
        if start_s <= at_s < end_s
    )


@then("its engines get nothing in between, and what ran there ends well")
def check_no_requests(context: Any) -> None:
    history: History = context.history
    sent = _count_sent(context, context.from_s + GRANT_USE_S, context.to_s)
    assert not sent[True] and sent[False], sent
    assert _count_sent(context, 1.0, context.from_s)[True], (
        "got no requests before the evacuation either"
    )
    for request_id, outcome in history.outcomes.items():
        was_sent_before = outcome.dispatched_at_s and outcome.dispatched_at_s[0] < context.from_s
        if was_sent_before:
            assert outcome.ended_at_s is not None, request_id


@then("the engines of the other zones read at least {fraction:g} of the tokens that they can")
def check_others(context: Any, fraction: float) -> None:
    sent = _count_sent(context, context.from_s, context.to_s)[False]
    zones = [server.availability_zone for server in context.history.servers]
    engines = sum(zone != context.zone for zone in zones)
    possible_tokens = engines * RATE_TOKENS_PER_S * (context.to_s - context.from_s)
    assert sent * TOKENS >= fraction * possible_tokens, (sent * TOKENS, possible_tokens)


@then("in the 3 s after its evacuation ends none of its engines gets more than {most:d} "
      "requests in a second")  # fmt: skip
def check_paced(context: Any, most: int) -> None:
    end_s = context.to_s + COLD_S
    for server in context.history.servers:
        if server.availability_zone == context.zone:
            seen = find_most_sent(context, server.name, context.to_s, end_s)
            assert 0 < seen <= min(most, BOUND), (server.name, seen)


@when('zone "{zone}" is evacuated in the source')
def evacuate_in_source(context: Any, zone: str) -> None:
    source = context.history._source
    source.keep_copy()
    source.evacuate(zone)
    context.zone = zone


@when('the evacuation of zone "{zone}" ends in the source')
def end_evacuation_in_source(context: Any, zone: str) -> None:
    source = context.history._source
    source.silent_to.clear()
    source.evacuate(*(source.evacuated_zones - {zone}))


@when("the source is restored from a copy made before")
def restore_source(context: Any) -> None:
    source = context.history._source
    source.return_from_copy()
    source.evacuated_zones = frozenset()


@when("a router restarts")
def restart_router(context: Any) -> None:
    history: History = context.history
    name = list(history.alive)[3]
    history.kill_router(name)
    history.start_router(name)


@when("the source is silent to every router for {seconds:g} s")
def silence(context: Any, seconds: float) -> None:
    history: History = context.history
    history._source.silent_to |= set(history.alive)
    history.run_until(history.now_s + seconds)


@when("a router is cut off from all others and from the source")
def isolate_router(context: Any) -> None:
    history: History = context.history
    isolated = list(history.alive)[5]
    history.is_cut = lambda sender, receiver: isolated in (sender, receiver)
    history._source.silent_to.add(isolated)


@when("it is connected again")
def reconnect_router(context: Any) -> None:
    context.history.is_cut = lambda sender, receiver: False
    context.history._source.silent_to.clear()


@when("{seconds:g} s pass")
def wait_seconds(context: Any, seconds: float) -> None:
    context.history.run_until(context.history.now_s + seconds)


def _all_consider_evacuated(context: Any, zones: frozenset[str]) -> bool:
    cores = context.history.alive.values()
    return all(core.discovery.evacuated_zones == zones for core in cores)


@then("within {seconds:g} s every router considers it evacuated")
def wait_evacuated(context: Any, seconds: float) -> None:
    zones = frozenset({context.zone})
    run_until_holds(context, seconds, lambda: _all_consider_evacuated(context, zones))


@then("within {seconds:g} s every router considers no zone evacuated")
def wait_none(context: Any, seconds: float) -> None:
    run_until_holds(context, seconds, lambda: _all_consider_evacuated(context, frozenset()))


@given("a store with the keys {keys}")
def name_keys(context: Any, keys: str) -> None:
    context.keys = keys.split(", ")


@then("the evacuated zones are {zones}")
def check_zones(context: Any, zones: str) -> None:
    expected = frozenset() if zones == "none" else frozenset(zones.split())
    followed = StoreReplica(items=dict.fromkeys(context.keys, ""))
    listed = _make_server_list(followed, Counters(None))
    assert listed.evacuated_zones == expected, context.keys


@given('a site whose busiest engine and two others are in zone "{zone}"')
def place_engines(context: Any, zone: str) -> None:
    busiest = find_busiest(context, "engine", PATH)
    engines = [name for name in context.nodes.addresses if name.startswith("i-engine")]
    others = [name for name in engines if name != busiest][:OTHER_ENGINES_MOVED]
    context.moved = (busiest, *others)
    context.nodes.order(zones=dict.fromkeys(context.moved, zone))


def _send_after_change(context: Any, seconds: float) -> None:
    time.sleep(SEND_DELAY_S)
    context.sent_from_s = time.monotonic()
    context.sent = send_for(context, PATH, seconds)


@when('zone "{zone}" is evacuated there, and a second later clients send for {seconds:g} s')
def evacuate_site(context: Any, zone: str, seconds: float) -> None:
    context.nodes.order(evacuate=[zone])
    _send_after_change(context, seconds)


@when(
    'the evacuation of zone "{zone}" ends there, and a second later clients send for {seconds:g} s'
)
def end_site_evacuation(context: Any, zone: str, seconds: float) -> None:
    context.nodes.order(take_back=[zone])
    _send_after_change(context, seconds)


def _count_arrived(context: Any) -> int:
    servers = context.nodes.describe()["servers"]
    statuses = Counter(sent.attempt.status for sent in context.sent)
    assert statuses.keys() == {200}, statuses
    return sum(
        at_s >= context.sent_from_s
        for name in context.moved
        for _, at_s in servers[name]["arrivals"]
    )


@then('the servers of zone "{zone}" got none of the requests, and all were answered')
def check_got_none(context: Any, zone: str) -> None:
    assert _count_arrived(context) == 0


@then('the servers of zone "{zone}" got some of the requests, and all were answered')
def check_got_some(context: Any, zone: str) -> None:
    arrived = _count_arrived(context)
    assert arrived > 0, len(context.sent)
