"""Steps of requests that may be served in some regions only."""

import json
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from behave import given, then, when

from bench.core_drive import POOL as PLAIN_POOL
from myrtlehook_core import CoreOptions, RefusalReason, Regions, find_route, intersect_regions
from myrtlehook_core.process.backoffs import record_backoff
from myrtlehook_platform.configuration import parse_configuration
from myrtlehook_platform.settings import HEADER_NAMES, make_settings, parse_settings
from myrtlehook_router.request.answers import STATUS_TEXTS, Refusal
from myrtlehook_router.request.refusals import make_routed_refusal
from standins.histories import History, Network
from standins.plain_calls import WARM_UP_S, CallFigures, CallHistory, Service
from standins.pools import POOL as MODEL_POOL
from standins.pools import make_request

NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
REGIONS = {"z": "north", "z1": "south"}
"""Of the zones of a history's routers and servers, which are assigned in turn."""

SESSIONS = 12
"""Enough for homes of prompts in both regions."""

SETTINGS = """NodeName=a
IpAddress=10.0.0.1
Zone=n1
Region={region}
Zones.{zone}={zone_region}
ListenAddresses.Frontend=10.0.0.1:8162
ListenAddresses.Ready=10.0.0.1:8163
InternalPortRange=7240,7255
Platform.Address=10.200.1.7:8169
"""


def _write_configuration(route_regions: object, tenant_regions: object) -> str:
    route = {"Host": "h", "Kind": "idempotent", "TimeoutMs": 1000, "Service": "s"}
    return json.dumps(
        {
            "Version": 1,
            "Routes": [
                {**route, "Name": "r", "PathPrefix": "/r/", "AllowedRegions": route_regions},
                {**route, "Name": "any", "PathPrefix": "/any/"},
            ],
            "Services": [{"Name": "s"}],
            "Tenants": [
                {"Name": "t", "ApiKeys": ["k"], "AllowedRegions": tenant_regions},
                {"Name": "any"},
            ],
        }
    )


@given('a platform configuration that allows one route "north" and "south" and one tenant "north"')
def read_configuration(context: Any) -> None:
    text = _write_configuration(["north", "south"], ["north"])
    context.configuration = parse_configuration(text).unwrap()


@then('the route\'s requests may be served in "north" and "south", those of the tenant in "north"')
def check_allowed(context: Any) -> None:
    route = find_route(context.configuration.routes, "h", "/r/x")
    tenant = context.configuration.workspaces["t"]
    other = context.configuration.workspaces["any"]
    assert intersect_regions((route.allowed_regions, other.allowed_regions)) == NORTH | SOUTH
    assert intersect_regions((route.allowed_regions, tenant.allowed_regions)) == NORTH
    assert intersect_regions((SOUTH, tenant.allowed_regions)) == frozenset()


@then("requests of other routes and tenants may be served anywhere")
def check_unlimited(context: Any) -> None:
    route = find_route(context.configuration.routes, "h", "/any/x")
    other = context.configuration.workspaces["any"]
    assert intersect_regions((route.allowed_regions, other.allowed_regions)) is None


@given("a platform configuration whose regions are a number and an empty name")
def read_wrong_configuration(context: Any) -> None:
    context.findings = parse_configuration(_write_configuration(5, [""])).unwrap_err()


@then("both faults are among its findings")
def check_findings(context: Any) -> None:
    text = "\n".join(str(finding) for finding in context.findings)
    assert len(context.findings) == 2, text
    assert "Routes" in text and "Tenants" in text, text


@given('platform settings of zone "n1" in "{region}" that name zone "{zone}" in "{zone_region}"')
def read_settings(context: Any, region: str, zone: str, zone_region: str) -> None:
    text = SETTINGS.format(region=region, zone=zone, zone_region=zone_region)
    context.settings = parse_settings(text, "node")


@then("the router knows its own region and that of both zones")
def check_regions(context: Any) -> None:
    regions = make_settings(context.settings.unwrap()).regions
    assert regions == Regions("north", {"n1": "north", "s1": "south"}), regions


@then("the settings are rejected, with the line and both regions")
def check_rejected(context: Any) -> None:
    (finding,) = context.settings.unwrap_err()
    text = str(finding)
    assert "Region" in text and "north" in text and "south" in text, text


@given('platform settings of zone "n1" without a region that name zone "n1" in "north"')
def read_settings_without_region(context: Any) -> None:
    text = SETTINGS.format(region="", zone="n1", zone_region="north")
    left_out = text.replace("Region=\n", "")
    context.settings = [parse_settings(content, "node") for content in (text, left_out)]


@then('the router\'s own region and that of its zone are "north"')
def check_region_of_zone(context: Any) -> None:
    for settings in context.settings:
        regions = make_settings(settings.unwrap()).regions
        assert regions == Regions("north", {"n1": "north"}), regions


@given("a platform configuration whose regions are null")
def read_null_regions(context: Any) -> None:
    context.configuration = parse_configuration(_write_configuration(None, None)).unwrap()


@then("requests of any route and tenant may be served anywhere")
def check_no_limits(context: Any) -> None:
    route = find_route(context.configuration.routes, "h", "/r/x")
    assert route.allowed_regions is None
    assert context.configuration.workspaces["t"].allowed_regions is None


def _start_engines(engines_by_zone: tuple[str, ...]) -> History:
    history = History(
        1, 4, len(engines_by_zone), Network(), CoreOptions(), zones=2, regions=REGIONS
    )
    servers = zip(history.servers, engines_by_zone, strict=True)
    history.publish(tuple(replace(server, availability_zone=zone) for server, zone in servers))
    history.run_until(2.0)
    return history


def _start_service(server_zones: tuple[str, ...], routers: int = 6) -> CallHistory:
    """Start a plain service whose routers are all in "north"."""
    history = CallHistory(Service(routers=routers, servers=len(server_zones)), CoreOptions(), 1)
    names = sorted(history.configuration.backend_servers)
    servers = {
        name: replace(history.configuration.backend_servers[name], availability_zone=zone)
        for name, zone in zip(names, server_zones, strict=True)
    }
    history.configuration = replace(history.configuration, backend_servers=servers)
    for core in history.cores.values():
        core.regions = Regions("north", REGIONS)
        core.exchange.current = history.configuration
    history.advance(WARM_UP_S)
    return history


def _ask_both(context: Any, zones: tuple[str, ...], allowed: frozenset[str]) -> None:
    context.engines = _start_engines(zones)
    router = next(name for name, zone in context.engines.zones.items() if zone == "z")
    request = make_request("limited", "a", 1, 500, context.engines.now_s, repeatable=True)
    context.engines.ask(router, replace(request, allowed_regions=allowed))
    context.calls = _start_service(zones)
    context.calls.ask("r0", "a", allowed)


@when('requests that "south" alone may serve reach a router in "north"')
def ask_in_wrong_region(context: Any) -> None:
    _ask_both(context, ("z", "z1"), SOUTH)


@when(
    'requests that "north" alone may serve reach a router in "north" while all servers are in'
    ' "south"'
)
def ask_without_servers(context: Any) -> None:
    _ask_both(context, ("z1", "z1"), NORTH)


@when('requests that no region may serve reach a router in "north"')
def ask_without_regions(context: Any) -> None:
    _ask_both(context, ("z", "z1"), frozenset())


@then('each is refused at once as "{reason}", the call to a plain service too')
def check_refused(context: Any, reason: str) -> None:
    history = context.engines
    assert history.refusal_reasons["limited"] == [reason], history.refusal_reasons
    assert history.outcomes["limited"].refused_at_s == [history.now_s]
    assert list(context.calls.refused.values()) == [reason], context.calls.refused


@then("its caller is answered {status:d}")
def check_status(context: Any, status: int) -> None:
    (reason,) = context.calls.refused.values()
    answer = make_routed_refusal(HEADER_NAMES, "id", Refusal(RefusalReason(reason), "not here"))
    assert answer.status == status, answer
    assert status in STATUS_TEXTS


@when(
    'a prompt that "north" alone may serve arrives while its engine backs off for 0.3 s, and that'
    ' in "south" does not'
)
def ask_during_backoff(context: Any) -> None:
    history = _start_engines(("z", "z1"))
    router = next(name for name, zone in history.zones.items() if zone == "z")
    context.backoff_until_s = history.now_s + 0.3
    north = history.servers[0].name
    record_backoff(
        history.alive[router].ingress.backoffs, north, MODEL_POOL, context.backoff_until_s
    )
    request = make_request("limited", "a", 1, 500, history.now_s, repeatable=True)
    history.ask(router, replace(request, allowed_regions=NORTH))
    history.run_until(history.now_s + 2.0)
    context.engines = history


@then('it runs on the engine in "north" after the back-off')
def check_run_after_backoff(context: Any) -> None:
    history = context.engines
    assert not history.refusal_reasons, history.refusal_reasons
    runs = [(engine, now_s >= context.backoff_until_s) for _, engine, now_s in history.dispatches]
    assert runs == [(history.servers[0].name, True)], history.dispatches


@when('prompts that "north" alone may serve arrive among others, with the same beginnings')
def ask_prompts(context: Any) -> None:
    history = _start_engines(("z", "z1", "z", "z1"))
    routers = [name for name, zone in history.zones.items() if zone == "z"]
    for number in range(120):
        limited = number % 2 == 0
        request = make_request(
            f"{'north' if limited else 'any'}-{number}",
            "a",
            number // 2 % SESSIONS,
            400,
            2.0 + number * 0.03,
            repeatable=True,
        )
        request = replace(request, allowed_regions=NORTH if limited else None)
        router = routers[number % len(routers)]
        history.at(
            request.arrived_at_s,
            lambda router=router, request=request: history.ask(router, request),
        )
    history.run_until(9.0)
    context.engines = history


@then('each of them ran on an engine in "north", and fetched memory from none in "south"')
def check_prompts(context: Any) -> None:
    south = {server.name for server in context.engines.servers if server.availability_zone == "z1"}
    limited = [
        outcome for name, outcome in context.engines.outcomes.items() if name.startswith("north")
    ]
    assert all(outcome.dispatched for outcome in limited)
    for outcome in limited:
        assert not south & {*outcome.dispatched, *outcome.memory_sources}, outcome


@then("prompts without a limit ran in both regions")
def check_unlimited_prompts(context: Any) -> None:
    ran = {
        engine
        for name, outcome in context.engines.outcomes.items()
        if name.startswith("any")
        for engine in outcome.dispatched
    }
    assert {
        server.availability_zone for server in context.engines.servers if server.name in ran
    } == {
        "z",
        "z1",
    }


@when(
    'calls that "north" alone may serve arrive among others, more than its servers have slots for'
)
def ask_calls(context: Any) -> None:
    history = _start_service(("z", "z1", "z1"))
    for number in range(60):
        router = f"r{number % 6}"
        limit = NORTH if number % 3 == 0 else None
        history.at(
            WARM_UP_S + number * 0.005,
            lambda router=router, limit=limit: history.ask(router, "a", limit),
        )
    history.advance(WARM_UP_S + 4.0)
    context.calls = history


@then('each of them ran on a server in "north", once')
def check_calls(context: Any) -> None:
    limited = [call for number, call in enumerate(context.calls.calls.values()) if number % 3 == 0]
    assert [(call.server, call.starts) for call in limited] == [("s0", 1)] * 20, limited


@then("calls without a limit ran in both regions")
def check_unlimited_calls(context: Any) -> None:
    calls = context.calls.calls.values()
    others = [call for number, call in enumerate(calls) if number % 3]
    assert all(call.starts == 1 for call in others)
    assert {call.server for call in others} >= {"s0", "s1"}


@when(
    'a call that "north" alone may serve waits there while the last server in "north" is withdrawn'
)
def withdraw_server(context: Any) -> None:
    history = _start_service(("z", "z1"))
    for _ in range(history.service.slots):
        history.ask("r0", "a", NORTH)
    history.advance(WARM_UP_S + 0.02)
    history.ask("r1", "a", NORTH)
    remaining = {
        name: server
        for name, server in history.configuration.backend_servers.items()
        if server.availability_zone == "z1" and server.pool == PLAIN_POOL
    }
    for core in history.cores.values():
        core.exchange.current = replace(history.configuration, backend_servers=remaining)
    history.advance(history.now_s + 0.3)
    context.calls = history


@then('it is refused as "{reason}" within 0.3 s')
def check_waiting_refused(context: Any, reason: str) -> None:
    waiting = list(context.calls.calls)[-1]
    assert context.calls.refused.get(waiting) == reason, context.calls.refused
    assert context.calls.calls[waiting].starts == 0


def _start_full_service(routers: int, elsewhere: int) -> CallHistory:
    """Start a service whose one server in "north" runs calls in all slots."""
    history = _start_service(("z",) + ("z1",) * elsewhere, routers)
    for _ in range(history.service.slots):
        history.ask("r0", "a", NORTH)
    history.advance(WARM_UP_S + 0.02)
    assert history.running_on == {"s0": history.service.slots}, history.running_on
    history.figures = CallFigures()
    return history


@contextmanager
def _bound_duration(limit_s: int) -> Iterator[None]:
    """Fail if the block has not ended in time; it may exchange messages without end."""

    def fail(number: int, frame: object) -> None:
        raise AssertionError(f"not ended after {limit_s} s")

    previous = signal.signal(signal.SIGALRM, fail)
    signal.alarm(limit_s)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, previous)


@when(
    'a call that "north" alone may serve waits at each of {routers:d} routers, for 1 server in'
    ' "north" that is full and {elsewhere:d} in "south"'
)
def wait_for_full_server(context: Any, routers: int, elsewhere: int) -> None:
    history = _start_full_service(routers, elsewhere)
    with _bound_duration(30):
        for number in range(routers):
            history.ask(f"r{number}", "a", NORTH)
        history.advance(history.now_s + 0.1)
    context.calls = history


@when(
    '1 call without a limit and {limited:d} that "north" alone may serve wait at a router, for 1'
    ' server in "north" that is full and {elsewhere:d} in "south"'
)
def wait_for_both(context: Any, limited: int, elsewhere: int) -> None:
    history = _start_full_service(6, elsewhere)
    with _bound_duration(30):
        for _ in range(limited):
            history.ask("r1", "a", NORTH)
        history.ask("r1", "a")
        history.advance(history.now_s + 0.1)
    context.calls = history


@then(
    "within 0.1 s at most {grants:d} slots are granted and given back, and {bids:d} bids are sent"
)
def check_flood(context: Any, grants: int, bids: int) -> None:
    figures = context.calls.figures
    assert figures.dropped["grant_closed"] <= grants, figures.dropped
    assert figures.messages["Bid"] <= bids, figures.messages


@then('each call that "north" alone may serve is started once, in "north"')
def check_limited_once(context: Any) -> None:
    context.calls.advance(context.calls.now_s + 2.0)
    runs = {(call.server, call.starts) for call in context.calls.calls.values()}
    assert runs == {("s0", 1)}, runs


@then("the call without a limit is started once")
def check_unlimited_once(context: Any) -> None:
    call = list(context.calls.calls.values())[-1]
    assert call.starts == 1 and call.server != "s0", call


@when(
    'a call that "north" alone may serve waits at a router, while all others take {elsewhere:d}'
    ' servers in "south" to be in "north"'
)
def wait_beside_mistaken_owners(context: Any, elsewhere: int) -> None:
    history = _start_full_service(24, elsewhere)
    for name, core in history.cores.items():
        if name != "r0":
            core.regions = Regions("north", dict.fromkeys(REGIONS, "north"))
    with _bound_duration(30):
        history.ask("r0", "a", NORTH)
        history.advance(history.now_s + 0.1)
    context.calls = history
