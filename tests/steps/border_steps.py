"""Steps of values from outside: items, answers of the store and configurations of any kind."""

import copy
import json
import time
from collections.abc import Callable
from typing import Any

from behave import then, when
from platform_steps import METRICS_PORT, send_attempt

from emulator.foreign_items import FOREIGN_ITEMS, MEGABYTE
from emulator.sites import KEYS, make_configuration, make_route
from standins.network import wait_for
from standins.nodes import Node, NodeFleet, fetch

SETTLE_S = 0.4
"""Time for a change to reach every router, and to be sent on."""

IN_FORCE_S = 60.0
ANSWERS: dict[str, dict[str, Any]] = {
    "a revision of 2**64": {"fields": {"at": 2**64}},
    "a revision of 400 digits": {"fields": {"at": int("9" * 400)}},
    "an infinite revision": {"fields": {"at": float("inf")}},
    "a revision of NaN": {"fields": {"at": float("nan")}},
    "a negative revision": {"fields": {"at": -1}},
    "a revision that is text": {"fields": {"at": "7"}},
    "lists nested without end": {"text": "[" * 200_000},
    "a number": {"text": "7"},
    "pages without end": {"fields": {"more": True}},
}
ALL_PATHS = {"/diagnosis/a": "900,30", "/valve/a": "", "/mixed/a": ""}


def _change_route(**changes: Any) -> Callable[[dict[str, Any]], None]:
    def change(configuration: dict[str, Any]) -> None:
        for route in configuration["Routes"]:
            route.update(changes)

    return change


def _change_engine(**changes: Any) -> Callable[[dict[str, Any]], None]:
    return lambda configuration: configuration["Services"][0]["Engine"].update(changes)


def _change_services(**changes: Any) -> Callable[[dict[str, Any]], None]:
    def change(configuration: dict[str, Any]) -> None:
        for service in configuration["Services"]:
            service.update(changes)

    return change


def _change_limits(**changes: Any) -> Callable[[dict[str, Any]], None]:
    return lambda configuration: configuration["Limits"].update(changes)


def _change_tenant(**changes: Any) -> Callable[[dict[str, Any]], None]:
    return lambda configuration: configuration["Tenants"][0].update(changes)


def _weigh(weight: float) -> Callable[[dict[str, Any]], None]:
    split = [{"Service": "desk", "Weight": weight}, {"Service": "model", "Weight": weight}]
    return _change_route(TrafficSplit=split)


def _add_faults(configuration: dict[str, Any]) -> None:
    configuration["Routes"] = [
        make_route(f"r{number}", "no such kind", "desk") for number in range(30_000)
    ]


def _nest(configuration: dict[str, Any]) -> None:
    configuration["Routes"] = "nested"


BEYOND_LATIN_1 = "\u0141\u00f3d\u017a"
CHANGES: dict[str, Callable[[dict[str, Any]], None]] = {
    "a version of 2**63": lambda configuration: configuration.update(Version=2**63),
    "a version of 2**70": lambda configuration: configuration.update(Version=2**70),
    "a time-out of 1e300 ms": _change_route(TimeoutMs=1e300),
    "an infinite time-out": _change_route(TimeoutMs=float("inf")),
    "a target of 1e300 ms": _change_route(TargetLatencyMs=1e300),
    "a pause target of 1e300 ms": _change_route(TargetItlMs=1e300),
    "a negative pause target": _change_route(TargetItlMs=-1e300),
    "a priority of 2**70": _change_route(Priority=2**70),
    "a tenant's priority of -2**70": _change_tenant(Priority=-(2**70)),
    "2**70 attempts": _change_route(MaxAttempts=2**70),
    "an infinite weight": _weigh(1e308),
    "weights that are all 0": _weigh(0.0),
    "a memory of 400 digits": _change_engine(KvCapacityTokens=int("9" * 400)),
    "events of 2**70 tokens": _change_engine(Stride=2**70),
    "2**70 connections": _change_services(MaxConnections=2**70),
    "a cold start of 1e300 s": _change_services(ColdStartS=1e300, ColdPerS=5),
    "a cold rate of 5e-324": _change_services(ColdStartS=5, ColdPerS=5e-324),
    "heads of 2**70 bytes": _change_limits(MaxHeaderBytes=2**70),
    "bodies of 2**70 bytes": _change_limits(MaxBodyBytes=2**70),
    "a head time-out of 1e300 ms": _change_limits(HeaderTimeoutMs=1e300),
    "an idle time-out of 1e300 ms": _change_limits(IdleTimeoutMs=1e300),
    "an idle time-out of 1e-300 ms": _change_limits(IdleTimeoutMs=1e-300),
    "an idle time-out of 1 ms": _change_limits(IdleTimeoutMs=1),
    "a head time-out of 1e-300 ms": _change_limits(HeaderTimeoutMs=1e-300),
    "1e300 tokens per second": _change_limits(TokensPerS=1e300),
    "a service with a surrogate": _change_services(Name="s\ud800"),
    "a route with a surrogate": _change_route(Name="r\ud800"),
    "a tenant with a surrogate": _change_tenant(Name="t\ud800"),
    "a tenant with a line break": _change_tenant(Name="t\r\n End: 1"),
    "a key with a surrogate": _change_tenant(ApiKeys=["k\ud800"]),
    "an empty key": _change_tenant(ApiKeys=[""]),
    "a region with a surrogate": _change_tenant(AllowedRegions=["r\ud800"]),
    "50000 regions": _change_tenant(AllowedRegions=[f"r{number}" for number in range(50_000)]),
    "a tenant of 100000 characters": _change_tenant(Name="t" * 100_000),
    "a tenant whose name is beyond Latin-1": _change_tenant(Name=BEYOND_LATIN_1),
    "lists nested without end": _nest,
    "30000 faults": _add_faults,
}


def _next_version(context: Any) -> int:
    version: int = read_configuration_number(context.nodes.nodes[0]) + 1
    return version


def read_gauge(found: Node, name: str) -> float:
    """Return a gauge of a router."""
    _, body = fetch(found.ip, METRICS_PORT, "/metrics")
    lines = body.decode().splitlines()
    return next(float(line.split()[1]) for line in lines if line.startswith(f"{name} "))


def read_configuration_number(found: Node) -> int:
    """Return the version of the configuration that is in force at a router."""
    return int(read_gauge(found, "myrtlehook_configuration_number"))


def restart_ended(nodes: NodeFleet) -> None:
    """Start the routers again that an earlier scenario has ended."""
    for number, found in enumerate(nodes.nodes, start=1):
        if found.process.poll() is not None:
            nodes.restart_node(number)
    nodes.wait_ready()


@when("another program has written {items}")
def write_items(context: Any, items: str) -> None:
    restart_ended(context.nodes)
    context.add_cleanup(context.nodes.order, drop_foreign_items=True)
    written = sum(FOREIGN_ITEMS.values(), []) if items == "everything" else FOREIGN_ITEMS[items]
    context.nodes.order(foreign_items=written)
    time.sleep(SETTLE_S)


@when("another program writes {count:d} values of a megabyte under keys of its own")
def write_large_values(context: Any, count: int) -> None:
    restart_ended(context.nodes)
    context.memory_bytes = {found.name: read_memory_bytes(found) for found in context.nodes.nodes}
    keys = [f"other/{number}" for number in range(count)]
    context.add_cleanup(context.nodes.order, drop_items=keys)
    for key in keys:
        context.nodes.order(items={key: "x" * MEGABYTE})
    time.sleep(SETTLE_S)


@then("no router holds more than {count:d} MB more than before")
def check_memory(context: Any, count: int) -> None:
    for found in context.nodes.nodes:
        grown = read_memory_bytes(found) - context.memory_bytes[found.name]
        assert grown <= count * MEGABYTE, f"{found.name} holds {grown} bytes more"


def read_memory_bytes(found: Node) -> int:
    """Return the resident memory of a router's process."""
    with open(f"/proc/{found.process.pid}/statm") as statm:
        return int(statm.read().split()[1]) * 4096


@when("router {number:d} is ended and started beside it")
def restart_router(context: Any, number: int) -> None:
    context.nodes.restart_node(number)
    context.nodes.wait_ready()


@when("the store answers for a second with {answer}")
def answer_oddly(context: Any, answer: str) -> None:
    restart_ended(context.nodes)
    context.nodes.order(faults={"store": ANSWERS[answer]})
    # Watches that wait are answered when something changes.
    context.nodes.order(items={"other/changed": "1"})
    time.sleep(1.0)
    context.nodes.order(heal=True)


@when("the operator publishes a configuration with {change}")
def publish_change(context: Any, change: str) -> None:
    restart_ended(context.nodes)
    configuration = copy.deepcopy(make_configuration(_next_version(context)))
    CHANGES[change](configuration)
    text = json.dumps(configuration)
    if change == "lists nested without end":
        text = text.replace('"nested"', "[" * 900 + "]" * 900)
    context.nodes.order(configuration_text=text)
    time.sleep(SETTLE_S)


@when("{count:d} large configurations are published while no router can reach the store")
def publish_many(context: Any, count: int) -> None:
    restart_ended(context.nodes)
    version = _next_version(context)
    context.nodes.order(
        faults={"store": {"silent": True}}, configurations=count, first_version=version
    )
    # The watches that wait are answered once; those that follow get no answer.
    time.sleep(1.0)
    context.nodes.order(configurations=count, first_version=version + count)
    context.last_version = version + 2 * count - 1
    context.nodes.order(heal=True)


@then("the last of them is in force at every router")
def check_last_version(context: Any) -> None:
    for found in context.nodes.nodes:
        wait_for(
            lambda found=found: read_configuration_number(found) == context.last_version,
            f"{found.name} to have version {context.last_version}",
            IN_FORCE_S,
        )


@then("every router serves, and none has ended")
def check_serving(context: Any) -> None:
    _check_running(context)
    for number, found in enumerate(context.nodes.nodes, start=1):
        for path, tokens in ALL_PATHS.items():
            attempt = send_attempt(context, number, "planners", "POST", path, tokens, b"body")
            assert attempt.status == 200 and not attempt.broken, (found.name, path, attempt)
    _check_running(context)


@then("every router answers, and none has ended")
def check_answering(context: Any) -> None:
    _check_running(context)
    for number, found in enumerate(context.nodes.nodes, start=1):
        for path, tokens in ALL_PATHS.items():
            attempt = send_attempt(context, number, "planners", "POST", path, tokens, b"body")
            assert attempt.status and not attempt.broken, (found.name, path, attempt)
    time.sleep(SETTLE_S)
    _check_running(context)


def _check_running(context: Any) -> None:
    ended = [found.name for found in context.nodes.nodes if found.process.poll() is not None]
    assert not ended, f"{ended} have ended"
    for found in context.nodes.nodes:
        assert fetch(found.ip, METRICS_PORT, "/metrics")[0] == 200, found.name


@then("the next configuration is in force at every router")
def check_next_configuration(context: Any) -> None:
    version = max(read_configuration_number(found) for found in context.nodes.nodes) + 1
    context.nodes.order(configuration=make_configuration(version))
    for number, found in enumerate(context.nodes.nodes, start=1):
        wait_for(
            lambda found=found: read_configuration_number(found) == version,
            f"{found.name} to have version {version}",
            IN_FORCE_S,
        )
        attempt = send_attempt(context, number, "planners", "POST", "/valve/a", "", b"body")
        assert attempt.status == 200, (found.name, attempt)


@then("its requests are answered by every router, and the server sees its name in UTF-8")
def check_tenant_name(context: Any) -> None:
    for number, found in enumerate(context.nodes.nodes, start=1):
        wait_for(lambda n=number: _is_served(context, n), f"{found.name} to serve", IN_FORCE_S)
        servers = context.nodes.describe()["servers"].values()
        attempt_id = context.attempt.attempt_id
        seen = [server["seen_headers"].get(attempt_id) for server in servers]
        headers = next(headers for headers in seen if headers is not None)
        # The server decodes heads as Latin-1.
        assert headers["Tenant-Name"].encode("latin-1").decode() == BEYOND_LATIN_1, headers
    check_next_configuration(context)


def _is_served(context: Any, number: int) -> bool:
    key_owner = next(iter(KEYS))
    attempt = send_attempt(context, number, key_owner, "POST", "/valve/a", "", b"body")
    return attempt.status == 200
