"""Servers that say of themselves in answers that they leave, or want to be left alone."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from behave import given, then, when

from standins.attempts import Attempt, make_headers, new_id, send
from standins.network import wait_for
from standins.nodes import Node

CALLERS = 6
"""At each router, each with one request after the other."""

PAUSE_S = 0.03
DRAIN_BOUND_S = 2.0
"""After an answer told that its server leaves, its router's later callers reach that no more."""

FREE_S = 0.5
"""What is under way when a server turns a router away may still reach it."""

WARM_UP_S = 0.3
LEAVING_HEADER = "Server-Leaving"


@dataclass(frozen=True, slots=True)
class Sent:
    """One attempt, with the steady clock's times at its caller."""

    router: str
    attempt: Attempt
    sent_s: float
    ended_s: float


def _method(path: str) -> str:
    return "GET" if path.startswith("/setpoint") else "POST"


def _send(node: Node, path: str) -> Sent:
    tokens = "" if path.startswith("/setpoint") else "300,12"
    attempt_id = new_id()
    parts = f"common:100,{attempt_id}:200" if tokens else ""
    headers = make_headers(attempt_id, "planners", tokens, parts)
    sent_s = time.monotonic()
    body = b"" if _method(path) == "GET" else attempt_id.encode()
    attempt = send(node, _method(path), path, headers, body)
    return Sent(node.name, attempt, sent_s, time.monotonic())


def send_for(context: Any, path: str, seconds: float) -> list[Sent]:
    """Let callers send to every router for a while; returns what they sent."""
    end_s = time.monotonic() + seconds

    def call(node: Node) -> list[Sent]:
        sent = []
        while time.monotonic() < end_s:
            sent.append(_send(node, path))
            time.sleep(PAUSE_S)
        return sent

    nodes = [node for node in context.nodes.nodes for _ in range(CALLERS)]
    with ThreadPoolExecutor(len(nodes)) as pool:
        return list(itertools.chain.from_iterable(pool.map(call, nodes)))


def _arrivals(context: Any, server: str) -> dict[str, list[float]]:
    """Return when each attempt reached a server."""
    seen: dict[str, list[float]] = {}
    for attempt_id, at_s in context.nodes.describe()["servers"][server]["arrivals"]:
        seen.setdefault(attempt_id, []).append(at_s)
    return seen


def find_busiest(context: Any, kind: str, path: str) -> str:
    """Send a little, and return the server of a kind that has got the most."""
    send_for(context, path, WARM_UP_S)
    servers = context.nodes.describe()["servers"]
    names = [name for name in servers if name.startswith(f"i-{kind}")]
    return max(names, key=lambda name: len(servers[name]["arrivals"]))


@given("the store is silent")
def silence_store(context: Any) -> None:
    context.nodes.order(faults={"store": {"silent": True}})


@when('the busiest "{kind}" says in its answers that it leaves, beside requests to "{path}"')
def send_while_leaving(context: Any, kind: str, path: str) -> None:
    context.server = find_busiest(context, kind, path)
    context.nodes.order(faults={context.server: {"leaving": True}})
    context.sent = send_for(context, path, DRAIN_BOUND_S + 1.5)


@then("no router that passed such an answer on sent it a request {bound_s:g} s later")
def check_left_alone(context: Any, bound_s: float) -> None:
    assert bound_s == DRAIN_BOUND_S
    arrivals = _arrivals(context, context.server)
    told_s: dict[str, float] = {}
    for one in context.sent:
        if LEAVING_HEADER in one.attempt.headers:
            told_s[one.router] = min(told_s.get(one.router, one.ended_s), one.ended_s)
    assert told_s, "no router passed on an answer that says so"
    late = [
        one
        for one in context.sent
        if one.attempt.attempt_id in arrivals
        and one.sent_s > told_s.get(one.router, one.sent_s) + bound_s
    ]
    assert not late, f"{len(late)} of {len(context.sent)} requests reached {context.server} later"


@when(
    'the busiest "{kind}" turns 1 in {part:d} requests away for {backoff_s:d} s, '
    'beside requests to "{path}"'
)
def send_while_away(context: Any, kind: str, part: int, backoff_s: int, path: str) -> None:
    context.server = find_busiest(context, kind, path)
    context.backoff_s = float(backoff_s)
    turned_away = {"refuse_every": part, "retry_after": str(backoff_s)}
    context.nodes.order(faults={context.server: turned_away})
    context.sent = send_for(context, path, 2.0 * backoff_s)


@then("it got at most {most:d} requests of each router after the first {free_s:g} s of that time")
def check_rested(context: Any, most: int, free_s: float) -> None:
    assert free_s == FREE_S
    described = context.nodes.describe()["servers"][context.server]
    runs = described["runs"]
    routers = {one.attempt.attempt_id: one.router for one in context.sent}
    arrived: dict[str, list[float]] = {}
    turned_away: dict[str, list[float]] = {}
    for attempt_id, at_s in described["arrivals"]:
        if attempt_id in routers:
            arrived.setdefault(routers[attempt_id], []).append(at_s)
            if attempt_id not in runs:
                turned_away.setdefault(routers[attempt_id], []).append(at_s)
    assert turned_away, f"{context.server} has turned nobody away"
    for router, said_s in turned_away.items():
        for at_s in said_s:
            until_s = at_s + context.backoff_s
            within = [seen_s for seen_s in arrived[router] if at_s + free_s < seen_s < until_s]
            assert len(within) <= most, f"{len(within)} requests of {router}, {most} at most"


@then("it runs requests again")
def check_runs_again(context: Any) -> None:
    context.nodes.order(heal=True)
    path = "/setpoint/a" if context.server.startswith("i-desk") else "/diagnosis/a"
    before = len(context.nodes.describe()["servers"][context.server]["runs"])

    def ran() -> bool:
        send_for(context, path, WARM_UP_S)
        return len(context.nodes.describe()["servers"][context.server]["runs"]) > before

    wait_for(ran, f"{context.server} to run requests again")
