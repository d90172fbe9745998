"""Steps of servers whose answers report that they are leaving or ask for a back-off."""

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
"""Clients at each router, each of which sends one request at a time."""

PAUSE_S = 0.03
DRAIN_BOUND_S = 2.0
"""From an answer that reports a leaving server until its router sends it no new requests."""

IN_FLIGHT_S = 0.5
"""Requests in flight when a server asks for a back-off may still reach it for this long."""

WARM_UP_S = 0.3
LEAVING_HEADER = "Server-Leaving"


@dataclass(frozen=True, slots=True)
class Sent:
    """One attempt, with its client's times of the monotonic clock."""

    router: str
    attempt: Attempt
    sent_s: float
    ended_s: float


def _get_method(path: str) -> str:
    return "GET" if path.startswith("/setpoint") else "POST"


def send_attempt(node: Node, path: str) -> Sent:
    """Send a request to a router, and return its attempt."""
    tokens = "" if path.startswith("/setpoint") else "300,12"
    attempt_id = new_id()
    parts = f"common:100,{attempt_id}:200" if tokens else ""
    headers = make_headers(attempt_id, "planners", tokens, parts)
    sent_s = time.monotonic()
    body = b"" if _get_method(path) == "GET" else attempt_id.encode()
    attempt = send(node, _get_method(path), path, headers, body)
    return Sent(node.name, attempt, sent_s, time.monotonic())


def send_for(context: Any, path: str, seconds: float) -> list[Sent]:
    """Have clients send to every router for a while; return their attempts."""
    end_s = time.monotonic() + seconds

    def call(node: Node) -> list[Sent]:
        sent = []
        while time.monotonic() < end_s:
            sent.append(send_attempt(node, path))
            time.sleep(PAUSE_S)
        return sent

    nodes = [node for node in context.nodes.nodes for _ in range(CALLERS)]
    with ThreadPoolExecutor(len(nodes)) as pool:
        return list(itertools.chain.from_iterable(pool.map(call, nodes)))


def _find_arrivals(context: Any, server: str) -> dict[str, list[float]]:
    """Return the times at which each attempt reached a server."""
    arrivals: dict[str, list[float]] = {}
    for attempt_id, at_s in context.nodes.describe()["servers"][server]["arrivals"]:
        arrivals.setdefault(attempt_id, []).append(at_s)
    return arrivals


def find_busiest(context: Any, kind: str, path: str) -> str:
    """Send requests for a short time, and return the server of a kind that got the most."""
    send_for(context, path, WARM_UP_S)
    servers = context.nodes.describe()["servers"]
    names = [name for name in servers if name.startswith(f"i-{kind}")]
    return max(names, key=lambda name: len(servers[name]["arrivals"]))


@given("the store is silent")
def silence_store(context: Any) -> None:
    context.nodes.order(faults={"store": {"silent": True}})


@when('the busiest "{kind}" reports in its answers that it is leaving, during requests to "{path}"')
def send_while_leaving(context: Any, kind: str, path: str) -> None:
    context.server = find_busiest(context, kind, path)
    context.nodes.order(faults={context.server: {"leaving": True}})
    context.sent = send_for(context, path, DRAIN_BOUND_S + 1.5)


@then("no router that relayed such an answer sent it a request {bound_s:g} s later")
def check_not_used(context: Any, bound_s: float) -> None:
    assert bound_s == DRAIN_BOUND_S
    arrivals = _find_arrivals(context, context.server)
    reported_at_s: dict[str, float] = {}
    for one in context.sent:
        if LEAVING_HEADER in one.attempt.headers:
            reported_at_s[one.router] = min(reported_at_s.get(one.router, one.ended_s), one.ended_s)
    assert reported_at_s, "no router relayed such an answer"
    late = [
        one
        for one in context.sent
        if one.attempt.attempt_id in arrivals
        and one.sent_s > reported_at_s.get(one.router, one.sent_s) + bound_s
    ]
    assert not late, f"{len(late)} of {len(context.sent)} requests reached {context.server} later"


@when(
    'the busiest "{kind}" refuses 1 in {part:d} requests with a back-off of {backoff_s:d} s, '
    'during requests to "{path}"'
)
def send_while_backed_off(context: Any, kind: str, part: int, backoff_s: int, path: str) -> None:
    context.server = find_busiest(context, kind, path)
    context.backoff_s = float(backoff_s)
    refusals = {"refuse_every": part, "retry_after": str(backoff_s)}
    context.nodes.order(faults={context.server: refusals})
    context.sent = send_for(context, path, 2.0 * backoff_s)


@then(
    "it got at most {most:d} requests from each router after the first {in_flight_s:g} s"
    " of a back-off"
)
def check_backoff(context: Any, most: int, in_flight_s: float) -> None:
    assert in_flight_s == IN_FLIGHT_S
    described = context.nodes.describe()["servers"][context.server]
    runs = described["runs"]
    routers = {one.attempt.attempt_id: one.router for one in context.sent}
    arrived: dict[str, list[float]] = {}
    refused: dict[str, list[float]] = {}
    for attempt_id, at_s in described["arrivals"]:
        if attempt_id in routers:
            arrived.setdefault(routers[attempt_id], []).append(at_s)
            if attempt_id not in runs:
                refused.setdefault(routers[attempt_id], []).append(at_s)
    assert refused, f"{context.server} has refused no request"
    for router, refused_at_s in refused.items():
        for at_s in refused_at_s:
            until_s = at_s + context.backoff_s
            within = [seen_s for seen_s in arrived[router] if at_s + in_flight_s < seen_s < until_s]
            assert len(within) <= most, f"{len(within)} requests of {router}, {most} at most"


@then("it runs requests again")
def check_runs_again(context: Any) -> None:
    context.nodes.order(heal=True)
    path = "/setpoint/a" if context.server.startswith("i-desk") else "/diagnosis/a"
    runs_before = len(context.nodes.describe()["servers"][context.server]["runs"])

    def ran() -> bool:
        send_for(context, path, WARM_UP_S)
        return len(context.nodes.describe()["servers"][context.server]["runs"]) > runs_before

    wait_for(ran, f"{context.server} to run requests again")
