"""Steps of a store that comes back from a copy of its own."""

import threading
import time
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from server_notice_steps import Sent, _send, send_for

from emulator.sites import KEYS, PLAIN_SERVICE, make_configuration, make_route
from standins.attempts import make_headers, new_id, send
from standins.network import wait_for

NEW_ENGINE = "i-engine-6"
"""Has no entry until it starts."""

LOST_ENGINE = "i-engine-1"
FOLLOWED_S = 5.0
SERVED_PART = 0.99
PROMPTS = 60
"""That one of six engines is the home of none of so many has a chance of 2 in 100,000."""


def _change(context: Any, count: int) -> None:
    for _ in range(count):
        context.version += 1
        context.nodes.order(configuration=make_configuration(context.version))


def _serve_meanwhile(context: Any) -> None:
    """Let callers send until the scenario stops them."""
    seen: list[Sent] = []
    stopped = threading.Event()
    context.meanwhile = seen
    # The scenario's end stops it as well.
    context.load = SimpleNamespace(stopped=stopped)

    def call(node: Any) -> None:
        while not stopped.is_set():
            seen.append(_send(node, "/diagnosis/a"))
            time.sleep(0.05)

    for node in context.nodes.nodes:
        thread = threading.Thread(target=call, args=(node,), daemon=True)
        thread.start()
        context.threads.append(thread)


def _begin(context: Any) -> None:
    context.version = 100
    context.nodes.order(servers={NEW_ENGINE: "gone"})
    _change(context, 1)
    time.sleep(0.5)
    _serve_meanwhile(context)


@given("a store whose copy lacks {count:d} changes comes back after {away_s:g} s")
def come_back(context: Any, count: int, away_s: float) -> None:
    _begin(context)
    context.nodes.order(keep_copy=True)
    _change(context, count)
    time.sleep(0.5)
    context.nodes.order(faults={"store": {"silent": True}})
    time.sleep(away_s)
    context.nodes.order(return_from_copy=True, faults={"store": {"silent": False}})
    context.returned_s = time.monotonic()
    # Until whoever lives has written again.
    time.sleep(1.5)


@given("a store whose copy lacks {count:d} changes comes back, and {written:d} others are written "
       "at once")  # fmt: skip
def come_back_at_once(context: Any, count: int, written: int) -> None:
    _begin(context)
    context.nodes.order(keep_copy=True)
    _change(context, count)
    time.sleep(0.5)
    context.nodes.order(return_from_copy=True)
    context.returned_s = time.monotonic()
    _change(context, written)
    time.sleep(1.5)


@when("a route is added, an engine starts and another one goes")
def change_all(context: Any) -> None:
    context.version += 1
    routes = make_configuration(0)["Routes"]
    routes.append(make_route("fresh", "idempotent", PLAIN_SERVICE))
    configuration = make_configuration(context.version, Routes=routes)
    context.nodes.order(
        configuration=configuration, servers={NEW_ENGINE: "ready", LOST_ENGINE: "gone"}
    )
    context.changed_s = time.monotonic()


@then("within {wait_s:g} s every router serves the route, uses the one engine and leaves the "
      "other alone")  # fmt: skip
def check_followed(context: Any, wait_s: float) -> None:
    assert wait_s == FOLLOWED_S
    deadline_s = context.returned_s + wait_s

    def is_routed() -> bool:
        answers = [
            send(node, "GET", "/fresh/a", make_headers(new_id(), "planners"))
            for node in context.nodes.nodes
        ]
        return all(attempt.status == 200 for attempt in answers)

    wait_for(is_routed, "every router to serve the new route", deadline_s - time.monotonic())
    time.sleep(max(deadline_s - time.monotonic(), 0.0))
    after_s = time.monotonic()
    _send_everywhere(context)
    servers = context.nodes.describe()["servers"]
    assert any(at_s > after_s for _, at_s in servers[NEW_ENGINE]["arrivals"]), "not used"
    late = [at_s for _, at_s in servers[LOST_ENGINE]["arrivals"] if at_s > after_s]
    assert not late, f"{len(late)} requests went to an engine that has gone"


def _send_everywhere(context: Any) -> None:
    """Send requests that share nothing, so that every engine is some one's home."""
    for number in range(PROMPTS):
        node = context.nodes.nodes[number % len(context.nodes.nodes)]
        attempt_id = new_id()
        headers = make_headers(attempt_id, "planners", "300,6", f"{attempt_id}:300")
        send(node, "POST", "/diagnosis/a", headers, attempt_id.encode())


@then("callers were served throughout")
def check_served(context: Any) -> None:
    context.load.stopped.set()
    served = [one for one in context.meanwhile if one.attempt.status == 200]
    assert len(served) >= SERVED_PART * len(context.meanwhile), (
        f"{len(served)} of {len(context.meanwhile)} served"
    )


@given("a copy of the store is kept, and then a key is withdrawn and an engine goes")
def withdraw(context: Any) -> None:
    context.version = 200
    _change(context, 1)
    time.sleep(0.5)
    context.nodes.order(keep_copy=True)
    context.version += 1
    tenants = [{"Name": name, "ApiKeys": []} for name in KEYS if name == "dispatch"]
    tenants += [
        {"Name": name, "ApiKeys": [key]} for name, key in KEYS.items() if name != "dispatch"
    ]
    context.nodes.order(
        configuration=make_configuration(context.version, Tenants=tenants),
        servers={LOST_ENGINE: "gone"},
    )
    wait_for(lambda: _lets_in(context) == 0, "the key to be withdrawn everywhere")
    time.sleep(0.5)


def _lets_in(context: Any) -> int:
    """Return how many routers let the withdrawn key in."""
    answers = [
        send(node, "GET", "/setpoint/a", make_headers(new_id(), "dispatch"))
        for node in context.nodes.nodes
    ]
    return sum(attempt.status != 401 for attempt in answers)


@when("the store comes back from the copy, and nobody writes again for a while")
def come_back_forgetful(context: Any) -> None:
    context.nodes.order(return_from_copy=True)


@then("no router lets the key in, or sends to that engine, for {seconds:g} s")
def check_remembered(context: Any, seconds: float) -> None:
    before_s = time.monotonic()
    while time.monotonic() < before_s + seconds:
        assert _lets_in(context) == 0, "a withdrawn key is let in"
        send_for(context, "/diagnosis/a", 0.2)
    arrivals = context.nodes.describe()["servers"][LOST_ENGINE]["arrivals"]
    late = [at_s for _, at_s in arrivals if at_s > before_s]
    assert not late, f"{len(late)} requests went to an engine that has gone"
