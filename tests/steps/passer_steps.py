"""Steps of what a router believes of its neighbours, without processes."""

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

NEIGHBOUR = "127.0.0.1:1"
ANSWER = b"the whole answer"
WAIT_S = 10.0
"""Far more than loopback takes."""

TICKS_PER_S = 50

_raw = patcher.original("socket")
_stand_still = patcher.original("time").sleep
"""Sleeps without giving other tasks a turn."""


def _tell(context: Any, state: MemberState, now_s: float) -> None:
    row = MemberRow(NEIGHBOUR, "", 1, int(state), "hall-1")
    apply_member_row(context.members, row, now_s, 1.0)


def _accept_caller() -> tuple[GreenSocket, Any]:
    """Return a caller's end of a connection, and the other as the entrance accepts it."""
    listener = eventlet.listen(("127.0.0.1", 0))
    caller = eventlet.connect(listener.getsockname())
    accepted = listener.accept()
    listener.close()
    return caller, accepted


def _make_passer(context: Any) -> GreenSocket:
    """Make a passer with one neighbour; returns the listening socket of that one."""
    listener = eventlet.listen(("127.0.0.1", 0))
    places = PassingConfig("127.0.0.1:2", "key", listener.getsockname()[1])
    context.members = MemberTable(RouterIdentity("127.0.0.1:2", "", 1, "hall-1"), 1)
    _tell(context, MemberState.ALIVE, time.monotonic())
    context.counters = Counters(None)
    context.passer = ConnectionPasser(places, context.members, lambda: 0.5, context.counters)
    return listener


@given("a neighbour serves a caller's request that was passed on")
def pass_one(context: Any) -> None:
    listener = _make_passer(context)
    context.caller, accepted = _accept_caller()
    with eventlet.Timeout(WAIT_S):
        assert context.passer.pass_on(accepted, lambda _: None)
        context.helper, _ = listener.accept()
        assert context.helper.recv(256).endswith(b"\n"), "no introduction"
        context.helper.sendall(VERDICT_ACCEPTED)
        context.caller.sendall(b"a request")
        assert context.helper.recv(256) == b"a request"
    listener.close()


@when("the neighbour is taken for dead")
def take_for_dead(context: Any) -> None:
    _tell(context, MemberState.DEAD, time.monotonic())
    context.passer.abort_dead_neighbours()


@when("the neighbour has been taken for dead for {seconds:d} seconds")
def taken_for_dead(context: Any, seconds: int) -> None:
    _tell(context, MemberState.DEAD, time.monotonic() - seconds)
    context.passer.abort_dead_neighbours()


@when("the neighbour answers and ends the connection")
def answer(context: Any) -> None:
    context.helper.sendall(ANSWER)
    context.helper.close()


@then("the caller has the whole answer")
def check_answer(context: Any) -> None:
    received = b""
    with eventlet.Timeout(WAIT_S):
        while piece := context.caller.recv(256):
            received += piece
    assert received == ANSWER, received


@then("the caller's connection is reset, and the neighbour's end is counted")
def check_reset(context: Any) -> None:
    with eventlet.Timeout(WAIT_S):
        hubs.trampoline(context.caller.fileno(), read=True)
    # eventlet's own reading takes a reset for an end.
    error = context.caller.getsockopt(_raw.SOL_SOCKET, _raw.SO_ERROR)
    assert error == errno.ECONNRESET, error
    assert context.counters.values["passed.neighbour_died"] == 1, context.counters.values


@given("a neighbour that has taken a connection {wait_ms:d} ms after it was asked")
def take_one(context: Any, wait_ms: int) -> None:
    listener = _make_passer(context)
    context.caller, accepted = _accept_caller()
    context.given_back = []
    with eventlet.Timeout(WAIT_S):
        assert context.passer.pass_on(accepted, context.given_back.append)
        helper, _ = listener.accept()
        assert helper.recv(256).endswith(b"\n"), "no introduction"
    # The loop of the router does not turn from here on until its time is over.
    _stand_still(wait_ms / 1000.0)
    helper.sendall(VERDICT_ACCEPTED)
    context.helper = helper
    listener.close()


@when("the router's loop stands still beyond the time that a neighbour has to answer")
def stand_still(context: Any) -> None:
    _stand_still(2.0 * VERDICT_TIMEOUT_S)


@then("the neighbour serves the caller, and no answer is counted as missing")
def check_served(context: Any) -> None:
    with eventlet.Timeout(WAIT_S):
        context.caller.sendall(b"a request")
        heard = context.helper.recv(256)
    assert heard == b"a request", f"the neighbour heard {heard!r}, not the caller's request"
    assert not context.given_back, "the router serves the caller itself"
    assert not context.counters.values["passed.no_answer"], context.counters.values


# -- what a router believes of its neighbours -----------------------------------------


@given("a router's core that knows one live router")
def make_core(context: Any) -> None:
    identity = RouterIdentity("127.0.0.1:2", "127.0.0.1:2", 1, "hall-1")
    context.core = RouterCore(identity, CoreOptions(), random.Random(1).random)
    row = MemberRow(NEIGHBOUR, "", 1, int(MemberState.ALIVE), "hall-1")
    told = events.MessageReceived(NEIGHBOUR, 1, Announcement(News((row,), (), 0, "")))
    context.told = context.core.handle(told, 0.0)


@when("that one answers nothing for {seconds:d} seconds")
def answer_nothing(context: Any, seconds: int) -> None:
    for turn in range(seconds * TICKS_PER_S):
        context.told += context.core.handle(events.Tick(), turn / TICKS_PER_S)


@then('the core has told that it is "{first}", "{second}" and "{third}"')
def check_told(context: Any, first: str, second: str, third: str) -> None:
    changes = [
        action.change for action in context.told if isinstance(action, actions.MemberStateChanged)
    ]
    told = [f"{change.state.name.lower()}: {change.cause}" for change in changes]
    assert told == [first, second, third], changes
    assert all(change.router_id == NEIGHBOUR for change in changes), changes
