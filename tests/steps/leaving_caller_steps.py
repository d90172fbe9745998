"""Steps of callers that leave before their requests are sent."""

import math
import signal
import socket
import time
from dataclasses import dataclass, replace
from typing import Any

from behave import given, then, when
from result import Err

from myrtlehook_core import (
    Configuration,
    ConfigurationVersion,
    CoreOptions,
    PoolKind,
    RefusalReason,
    RequestSpecification,
    actions,
    events,
)
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.request.placements import queue_request, wait_for_slot
from myrtlehook_router.request.services import RequestServices
from myrtlehook_router.request.tickets import TicketRegistry
from standins import histories
from standins.attempts import make_headers, new_id
from standins.histories import History, Network
from standins.nodes import Node
from standins.pools import POOL, make_request

START_S = 1.0


class _HeldCalls(History):
    """A fleet whose calls stay where they are once a slot is granted."""

    def __init__(self, *arguments: Any) -> None:
        self.slots_granted: list[tuple[str, str]] = []
        """The router and the request of each grant, in order."""
        super().__init__(*arguments)

    def _dispatch(self, name: str, core: Any, action: actions.Dispatch) -> None:
        self.slots_granted.append((name, action.request_id))


def _make_call(number: int, now_s: float) -> RequestSpecification:
    request = make_request(f"call-{number}", "a", number, 0, now_s, False)
    return replace(request, prompt_tokens=0, output_tokens=0, prompt_parts=())


@given("{routers:d} routers and a plain service")
def start_fleet(context: Any, routers: int) -> None:
    make_usual = histories.make_configuration

    def make_plain(*arguments: Any) -> Configuration:
        usual = make_usual(*arguments)
        plain = replace(usual.pools[POOL], kind=PoolKind.SERVICE, engine_capacity=None)
        return replace(usual, pools={POOL: plain})

    histories.make_configuration = make_plain
    context.add_cleanup(setattr, histories, "make_configuration", make_usual)
    context.history = _HeldCalls(1, routers, 1, Network(), CoreOptions())
    context.history.run_until(START_S)
    context.calls = 0


def _call(context: Any) -> None:
    history: _HeldCalls = context.history
    names = list(history.alive)
    history.ask(names[context.calls % len(names)], _make_call(context.calls, history.now_s))
    context.calls += 1


@when("{count:d} callers leave just after their calls were given slots, before these are sent")
def leave(context: Any, count: int) -> None:
    history: _HeldCalls = context.history
    for _ in range(count):
        _call(context)
        history.run_until(history.now_s + 0.1)
        for name, request_id in history.slots_granted:
            history.feed(name, events.RequestAbandoned(request_id))
        history.slots_granted.clear()


@then("within {within_s:g} s another {count:d} calls are given slots")
def check_slots(context: Any, within_s: float, count: int) -> None:
    history: _HeldCalls = context.history
    for _ in range(count):
        _call(context)
    history.run_until(history.now_s + within_s)
    assert len(history.slots_granted) == count, history.slots_granted


@dataclass(frozen=True, slots=True)
class _Input:
    """The part of a WSGI input that shows the connection of the caller."""

    connection: socket.socket

    def get_socket(self) -> socket.socket:
        """Return the connection."""
        return self.connection


@given("a caller whose connection has ended while its request waits")
def queue_left_request(context: Any) -> None:
    near_end, far_end = socket.socketpair()
    context.add_cleanup(near_end.close)
    context.mailbox = Mailbox()
    services = RequestServices(
        mailbox=context.mailbox,
        tickets=TicketRegistry(),
        counters=Counters(None),
        configuration=lambda: Configuration(ConfigurationVersion(1, b"")),
        is_draining=lambda: False,
        body_limit_bytes=0,
    )
    environ = {"wsgi.input": _Input(near_end)}
    queued = queue_request(services, _make_call(0, 0.0), environ)
    context.placement = queued.ok_value
    far_end.close()


@when("the request is granted a slot")
def grant_slot(context: Any) -> None:
    request_id = context.placement.specification.request_id
    dispatch = actions.Dispatch(request_id, "e-1", 1, 0.0, lease_deadline_s=math.inf)
    context.placement.ticket.add_decision(dispatch)
    context.decision = wait_for_slot(context.placement)


@then("the request is given up because its caller is gone, and the core is told so")
def check_given_up(context: Any) -> None:
    assert isinstance(context.decision, Err), f"sent to {context.decision.ok_value.backend_server}"
    assert context.decision.err_value.reason is RefusalReason.CALLER_GONE
    request_id = context.placement.specification.request_id
    assert isinstance(context.mailbox.receive(0.0), events.RequestArrived)
    assert context.mailbox.receive(0.0) == events.RequestAbandoned(request_id)


def _send_and_leave(node: Node, attempt_id: str) -> None:
    """Send a request and close the connection without waiting for an answer."""
    headers = make_headers(attempt_id, "planners", "300,12")
    headers["Content-Length"] = str(len(attempt_id))
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    with socket.create_connection((node.ip, node.front_port)) as connection:
        connection.sendall(f"POST /diagnosis/a HTTP/1.1\r\n{head}\r\n{attempt_id}".encode())


@when("router {number:d} is frozen, and {count:d} callers send a request and leave in that")
def leave_frozen_router(context: Any, number: int, count: int) -> None:
    node = context.nodes.nodes[number - 1]
    context.left_attempts = {new_id() for _ in range(count)}
    node.process.send_signal(signal.SIGSTOP)
    for attempt_id in context.left_attempts:
        _send_and_leave(node, attempt_id)
    node.process.send_signal(signal.SIGCONT)


@then("none of these requests reaches an engine within {within_s:g} s")
def check_nothing_arrives(context: Any, within_s: float) -> None:
    time.sleep(within_s)
    servers = context.nodes.describe()["servers"].values()
    arrived = {attempt_id for server in servers for attempt_id, _ in server["arrivals"]}
    late = context.left_attempts & arrived
    assert not late, f"{len(late)} of {len(context.left_attempts)} requests reached an engine"
