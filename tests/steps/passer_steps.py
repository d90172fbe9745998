"""Steps of how a router follows the state of its neighbours, without processes."""

import errno
import random
import time
from typing import Any

import eventlet
from behave import given, then, when
from eventlet import hubs, patcher
from eventlet.greenio import GreenSocket

from myrtlehook_core import (
    CoreOptions,
    MemberState,
    MemberTable,
    RouterCore,
    RouterIdentity,
    actions,
    events,
)
from myrtlehook_core.process.members import apply_member_row
from myrtlehook_core.process.membership_messages import Announcement, MemberRow, News
from myrtlehook_router.connection.introductions import VERDICT_ACCEPTED
from myrtlehook_router.connection.passing import VERDICT_TIMEOUT_S, ConnectionPasser, PassingConfig
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.request.passed_requests import PassedRequest

NEIGHBOUR = "127.0.0.1:1"
ANSWER = b"the whole answer"
WAIT_S = 10.0
"""Far longer than a connection over loopback takes."""

TICKS_PER_S = 50

_raw = patcher.original("socket")
_block_loop = patcher.original("time").sleep
"""The unpatched sleep: it blocks the event loop, so that no other task gets a turn."""


def _set_neighbour_state(context: Any, state: MemberState, now_s: float) -> None:
    row = MemberRow(NEIGHBOUR, "", 1, int(state), "hall-1")
    apply_member_row(context.members, row, now_s, 1.0)


def _accept_caller() -> tuple[GreenSocket, Any]:
    """Return the caller's end of a connection, and the other end as a listener accepts it."""
    listener = eventlet.listen(("127.0.0.1", 0))
    caller = eventlet.connect(listener.getsockname())
    accepted = listener.accept()
    listener.close()
    return caller, accepted


def _make_passer(context: Any) -> GreenSocket:
    """Make a passer with one neighbour; returns the listening socket of that neighbour."""
    listener = eventlet.listen(("127.0.0.1", 0))
    config = PassingConfig("127.0.0.1:2", "key", listener.getsockname()[1])
    context.members = MemberTable(RouterIdentity("127.0.0.1:2", "", 1, "hall-1"), 1)
    _set_neighbour_state(context, MemberState.ALIVE, time.monotonic())
    context.counters = Counters(None)
    context.passer = ConnectionPasser(
        config,
        context.members,
        lambda: 0.5,
        context.counters,
        lambda: 1,
        lambda head, arrived_at_s: PassedRequest(arrived_at_s + WAIT_S, b""),
    )
    return listener


@given("a neighbour serves a caller's request that was passed on")
def pass_one_on(context: Any) -> None:
    listener = _make_passer(context)
    context.caller, accepted = _accept_caller()
    with eventlet.Timeout(WAIT_S):
        assert context.passer.pass_on(accepted, lambda _: None)
        context.neighbour_socket, _ = listener.accept()
        assert context.neighbour_socket.recv(256).endswith(b"\n"), "no introduction"
        context.neighbour_socket.sendall(VERDICT_ACCEPTED)
        context.caller.sendall(b"a request")
        assert context.neighbour_socket.recv(256) == b"a request"
    listener.close()


@when("the neighbour is considered dead")
def consider_dead(context: Any) -> None:
    _set_neighbour_state(context, MemberState.DEAD, time.monotonic())
    context.passer.abort_dead_neighbours()


@when("the neighbour has been considered dead for {seconds:d} seconds")
def consider_dead_since(context: Any, seconds: int) -> None:
    _set_neighbour_state(context, MemberState.DEAD, time.monotonic() - seconds)
    context.passer.abort_dead_neighbours()


@when("the neighbour answers and ends the connection")
def answer_and_close(context: Any) -> None:
    context.neighbour_socket.sendall(ANSWER)
    context.neighbour_socket.close()


@then("the caller has the whole answer")
def check_answer(context: Any) -> None:
    received = b""
    with eventlet.Timeout(WAIT_S):
        while piece := context.caller.recv(256):
            received += piece
    assert received == ANSWER, received


@then("the caller's connection is reset, and the neighbour's death is counted")
def check_reset(context: Any) -> None:
    with eventlet.Timeout(WAIT_S):
        hubs.trampoline(context.caller.fileno(), read=True)
    # eventlet's recv reports a reset as the end of the stream.
    error = context.caller.getsockopt(_raw.SOL_SOCKET, _raw.SO_ERROR)
    assert error == errno.ECONNRESET, error
    assert context.counters.values["passed.neighbour_died"] == 1, context.counters.values


@given("a neighbour that has accepted a connection {wait_ms:d} ms after it was asked")
def accept_late(context: Any, wait_ms: int) -> None:
    listener = _make_passer(context)
    context.caller, accepted = _accept_caller()
    context.returned_connections = []
    with eventlet.Timeout(WAIT_S):
        assert context.passer.pass_on(accepted, context.returned_connections.append)
        neighbour_socket, _ = listener.accept()
        assert neighbour_socket.recv(256).endswith(b"\n"), "no introduction"
    # From here on the router's event loop gets no turn until the neighbour's time is over.
    _block_loop(wait_ms / 1000.0)
    neighbour_socket.sendall(VERDICT_ACCEPTED)
    context.neighbour_socket = neighbour_socket
    listener.close()


@when("the router's event loop is blocked for longer than a neighbour has to answer")
def block_loop(context: Any) -> None:
    _block_loop(2.0 * VERDICT_TIMEOUT_S)


@then("the neighbour serves the caller, and no answer is counted as missing")
def check_served(context: Any) -> None:
    with eventlet.Timeout(WAIT_S):
        context.caller.sendall(b"a request")
        received = context.neighbour_socket.recv(256)
    assert received == b"a request", (
        f"the neighbour received {received!r}, not the caller's request"
    )
    assert not context.returned_connections, "the router serves the caller itself"
    assert not context.counters.values["passed.no_answer"], context.counters.values


# -- the state that a router gives its neighbours -------------------------------------


@given("a router's core that knows one live router")
def make_core(context: Any) -> None:
    identity = RouterIdentity("127.0.0.1:2", "127.0.0.1:2", 1, "hall-1")
    context.core = RouterCore(identity, CoreOptions(), random.Random(1).random)
    row = MemberRow(NEIGHBOUR, "", 1, int(MemberState.ALIVE), "hall-1")
    announcement = events.MessageReceived(NEIGHBOUR, 1, Announcement(News((row,), (), 0, "")))
    context.core_actions = context.core.handle(announcement, 0.0)


@when("the other router answers nothing for {seconds:d} seconds")
def answer_nothing(context: Any, seconds: int) -> None:
    for turn in range(seconds * TICKS_PER_S):
        context.core_actions += context.core.handle(events.Tick(), turn / TICKS_PER_S)


@then('the core has reported the other router as "{first}", "{second}" and "{third}"')
def check_reported(context: Any, first: str, second: str, third: str) -> None:
    changes = [
        action.change
        for action in context.core_actions
        if isinstance(action, actions.MemberStateChanged)
    ]
    reported = [f"{change.state.name.lower()}: {change.cause}" for change in changes]
    assert reported == [first, second, third], changes
    assert all(change.router_id == NEIGHBOUR for change in changes), changes
