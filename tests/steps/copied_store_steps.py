"""Steps of a store that is restored from a copy."""

import threading
import time
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from server_notice_steps import Sent, send_attempt, send_for

from emulator.sites import KEYS, PLAIN_SERVICE, make_configuration, make_route
from standins.attempts import make_headers, new_id, send
from standins.network import wait_for

NEW_ENGINE = "i-engine-6"
"""Has no entry until it starts."""

LOST_ENGINE = "i-engine-1"
FOLLOW_BOUND_S = 5.0
MIN_SERVED_FRACTION = 0.99
PROMPTS = 60
"""With this number, one of six engines is the home of none with a chance of 2 in 100,000."""


def _publish_configurations(context: Any, count: int) -> None:
    for _ in range(count):
        context.version += 1
        context.nodes.order(configuration=make_configuration(context.version))


def _start_clients(context: Any) -> None:
    """Start clients that send requests until the scenario stops them."""
    sent: list[Sent] = []
    stopped = threading.Event()
    context.sent = sent
    # The clean-up of the scenario sets the event as well.
    context.load = SimpleNamespace(stopped=stopped)

    def call(node: Any) -> None:
        while not stopped.is_set():
            sent.append(send_attempt(node, "/diagnosis/a"))
            time.sleep(0.05)

    for node in context.nodes.nodes:
        thread = threading.Thread(target=call, args=(node,), daemon=True)
        thread.start()
        context.threads.append(thread)


def _start_under_load(context: Any) -> None:
    context.version = 100
    context.nodes.order(servers={NEW_ENGINE: "gone"})
    _publish_configurations(context, 1)
    time.sleep(0.5)
    _start_clients(context)


@given("a store whose copy lacks {count:d} changes is restored after {away_s:g} s")
def restore_store(context: Any, count: int, away_s: float) -> None:
    _start_under_load(context)
    context.nodes.order(keep_copy=True)
    _publish_configurations(context, count)
    time.sleep(0.5)
    context.nodes.order(faults={"store": {"silent": True}})
    time.sleep(away_s)
    context.nodes.order(return_from_copy=True, faults={"store": {"silent": False}})
    context.returned_s = time.monotonic()
    # Live servers write their entries again in this time.
    time.sleep(1.5)


@given("a store whose copy lacks {count:d} changes is restored, and {written:d} others are written "
       "at once")  # fmt: skip
def restore_and_write(context: Any, count: int, written: int) -> None:
    _start_under_load(context)
    context.nodes.order(keep_copy=True)
    _publish_configurations(context, count)
    time.sleep(0.5)
    context.nodes.order(return_from_copy=True)
    context.returned_s = time.monotonic()
    _publish_configurations(context, written)
    time.sleep(1.5)


@when("a route is added, an engine starts and another one is removed")
def change_all(context: Any) -> None:
    context.version += 1
    routes = make_configuration(0)["Routes"]
    routes.append(make_route("fresh", "idempotent", PLAIN_SERVICE))
    configuration = make_configuration(context.version, Routes=routes)
    context.nodes.order(
        configuration=configuration, servers={NEW_ENGINE: "ready", LOST_ENGINE: "gone"}
    )
    context.changed_s = time.monotonic()


@then("within {wait_s:g} s every router serves the route, uses the new engine and not the "
      "removed one")  # fmt: skip
def check_followed(context: Any, wait_s: float) -> None:
    assert wait_s == FOLLOW_BOUND_S
    deadline_s = context.returned_s + wait_s

    def is_route_served() -> bool:
        answers = [
            send(node, "GET", "/fresh/a", make_headers(new_id(), "planners"))
            for node in context.nodes.nodes
        ]
        return all(attempt.status == 200 for attempt in answers)

    wait_for(is_route_served, "every router to serve the new route", deadline_s - time.monotonic())
    time.sleep(max(deadline_s - time.monotonic(), 0.0))
    after_s = time.monotonic()
    _send_everywhere(context)
    servers = context.nodes.describe()["servers"]
    assert any(at_s > after_s for _, at_s in servers[NEW_ENGINE]["arrivals"]), "not used"
    late = [at_s for _, at_s in servers[LOST_ENGINE]["arrivals"] if at_s > after_s]
    assert not late, f"{len(late)} requests went to a removed engine"


def _send_everywhere(context: Any) -> None:
    """Send requests that share no prompt parts, so that each engine is the home of some."""
    for number in range(PROMPTS):
        node = context.nodes.nodes[number % len(context.nodes.nodes)]
        attempt_id = new_id()
        headers = make_headers(attempt_id, "planners", "300,6", f"{attempt_id}:300")
        send(node, "POST", "/diagnosis/a", headers, attempt_id.encode())


@then("clients were served throughout")
def check_served(context: Any) -> None:
    context.load.stopped.set()
    served = [sent for sent in context.sent if sent.attempt.status == 200]
    assert len(served) >= MIN_SERVED_FRACTION * len(context.sent), (
        f"{len(served)} of {len(context.sent)} served"
    )


@given("a copy of the store is saved, and then an API key is withdrawn and an engine removed")
def withdraw_key_and_engine(context: Any) -> None:
    context.version = 200
    _publish_configurations(context, 1)
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
    wait_for(lambda: _count_accepting_routers(context) == 0, "the key to be withdrawn everywhere")
    time.sleep(0.5)


def _count_accepting_routers(context: Any) -> int:
    """Return how many routers accept the withdrawn key."""
    answers = [
        send(node, "GET", "/setpoint/a", make_headers(new_id(), "dispatch"))
        for node in context.nodes.nodes
    ]
    return sum(attempt.status != 401 for attempt in answers)


@when("the store is restored from the copy, and nothing is written to it for a while")
def restore_without_writes(context: Any) -> None:
    context.nodes.order(return_from_copy=True)


@then("no router accepts the key, or sends to that engine, for {seconds:g} s")
def check_remembered(context: Any, seconds: float) -> None:
    before_s = time.monotonic()
    while time.monotonic() < before_s + seconds:
        assert _count_accepting_routers(context) == 0, "a withdrawn key is accepted"
        send_for(context, "/diagnosis/a", 0.2)
    arrivals = context.nodes.describe()["servers"][LOST_ENGINE]["arrivals"]
    late = [at_s for _, at_s in arrivals if at_s > before_s]
    assert not late, f"{len(late)} requests went to a removed engine"
