"""Steps of connections that a busy router passes on to its neighbours."""

import contextlib
import errno
import random
import signal
import socket
import struct
import time
from collections import Counter
from typing import Any

import eventlet
from behave import given, then, when
from eventlet import hubs, patcher
from eventlet.greenio import GreenSocket
from platform_steps import EVENT_ID, METRICS_PORT, node

from myrtlehook_core import (
    CoreOptions,
    MemberTable,
    Neighbours,
    RouterIdentity,
    choose_neighbour,
    record_opened,
    record_short,
    should_pass_on,
)
from myrtlehook_core.process.members import apply_member_row
from myrtlehook_core.process.membership_messages import MemberRow
from myrtlehook_platform.settings import FLEET_KEY
from myrtlehook_router.connection.introductions import Introduction, write_introduction
from myrtlehook_router.connection.splices import Splice
from standins.network import wait_for
from standins.nodes import Node, fetch

SPLICE_TIMEOUT_S = 20.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_BREAK_S = 20.0
"""Far longer than it takes to detect that a neighbour is gone; less than a caller's timeout."""


@given("router {number:d} knows its neighbours")
def wait_neighbours(context: Any, number: int) -> None:
    wanted = len(context.nodes.nodes) - 1
    found = node(context, number)

    def knows() -> bool:
        _, body = fetch(found.ip, METRICS_PORT, "/metrics")
        return f"myrtlehook_routers_alive {wanted}.0" in body.decode()

    wait_for(knows, f"router {number} to know its neighbours")


def find_ending_routers(context: Any) -> list[Node]:
    """Return the routers that have logged the end of the attempt."""
    wanted = context.attempt.attempt_id

    def has_logged_end(found: Node) -> bool:
        lines = found.log_path.read_text().splitlines()
        return any("request ended" in line and wanted in line for line in lines)

    wait_for(lambda: any(has_logged_end(found) for found in context.nodes.nodes), "an end in a log")
    return [found for found in context.nodes.nodes if has_logged_end(found)]


@then("exactly 1 router has logged the attempt's end, and not router {router:d}")
def check_neighbour_served(context: Any, router: int) -> None:
    found = find_ending_routers(context)
    assert len(found) == 1, found
    assert found[0] is not node(context, router), found


@then("router {router:d} alone has logged the attempt's end")
def check_served_itself(context: Any, router: int) -> None:
    found = find_ending_routers(context)
    assert [other.name for other in found] == [node(context, router).name], found


def find_helping_node(context: Any) -> Node:
    """Return the router that runs the open stream."""

    def has_accepted_connection(found: Node) -> bool:
        lines = found.log_path.read_text().splitlines()
        return any('"connection taken"' in line for line in lines)

    wait_for(
        lambda: any(has_accepted_connection(found) for found in context.nodes.nodes),
        "a helping router",
    )
    return next(found for found in context.nodes.nodes if has_accepted_connection(found))


@when("the {which} router of that stream is told to stop")
def stop_router_of_stream(context: Any, which: str) -> None:
    found = node(context, 1) if which == "busy" else find_helping_node(context)
    found.process.send_signal(signal.SIGTERM)
    wait_for(lambda: context.nodes.fetch_readiness(found) != 200, "the router to stop")
    context.stopped = found


@when("the engines go on")
def resume_engines(context: Any) -> None:
    context.nodes.order(heal=True)


@then("the rest of the stream arrives whole")
def check_rest(context: Any) -> None:
    body = context.first_bytes + context.response.read()
    seen = [int(number) for number in EVENT_ID.findall(body)]
    assert seen == list(range(1, len(seen) + 1)) and len(seen) > 2, seen
    assert context.stopped.process.wait(timeout=20) == 0


@when("the helping router of that stream is {gone}")
def kill_or_freeze_helper(context: Any, gone: str) -> None:
    found = find_helping_node(context)
    found.process.send_signal(signal.SIGKILL if gone == "killed" else signal.SIGSTOP)


@then("the stream breaks off within a few seconds")
def check_stream_breaks(context: Any) -> None:
    broken = False
    started_s = time.monotonic()
    try:
        context.response.read()
    except TimeoutError as error:
        raise AssertionError("the stream is still open") from error
    except Exception:
        broken = True
    assert broken, "the stream looked complete"
    assert time.monotonic() - started_s < MAX_BREAK_S, time.monotonic() - started_s


@when("a stranger introduces itself to router {router:d} with {introduction}")
def introduce_stranger(context: Any, router: int, introduction: str) -> None:
    found = node(context, router)
    port = context.nodes.ports["helping"]
    peer = context.nodes.ports["peer"]
    own, other = (f"{node(context, number).ip}:{peer}" for number in (1, 3))
    lines = {
        "no introduction": b"GET /open/a HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: x\r\n\r\n",
        "a wrong tag": b"myrtlehook-pass-2 " + own.encode() + b" 1 0 00 00\n",
        "an introduction for router 3": write_introduction(Introduction(own, other), FLEET_KEY),
        "an introduction that never ends": b"x" * 300,
    }
    request = b"GET /open/a HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: y\r\n\r\n"
    with socket.create_connection((found.ip, port), timeout=10) as stranger:
        context.received = b""
        with contextlib.suppress(ConnectionError):
            stranger.sendall(lines[introduction] + request)
            while piece := stranger.recv(4096):
                context.received += piece


@then("the stranger's connection ends without an answer")
def check_no_answer(context: Any) -> None:
    assert context.received == b"", context.received
    runs = [server["runs"] for server in context.nodes.describe()["servers"].values()]
    assert not any("x" in ran or "y" in ran for ran in runs), runs


_raw = patcher.original("socket")
"""Unpatched: a splice works in loop callbacks; only the outer ends wait in tasks."""


def join_pairs() -> tuple[Any, Any, list[bool]]:
    """Return the outer ends of two connections whose inner ends are spliced, and a list.

    The list gets an entry once the splice has ended.
    """
    near_outer, near_inner = _connected_pair()
    far_outer, far_inner = _connected_pair()
    ended: list[bool] = []
    Splice(near_inner, far_inner, lambda: ended.append(True)).start()
    return near_outer, far_outer, ended


def _connected_pair() -> tuple[Any, Any]:
    """Return a connection's two ends: a green socket of eventlet, and an unpatched one."""
    with _raw.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        plain = _raw.create_connection(listener.getsockname())
        inner, _ = listener.accept()
    inner.setblocking(False)
    return GreenSocket(plain), inner


@given("a caller has sent a request and left before its connection is joined to a neighbour's")
def join_left_caller(context: Any) -> None:
    near_outer, near_inner = _connected_pair()
    context.far_outer, far_inner = _connected_pair()
    near_outer.sendall(b"a request")
    near_outer.close()
    Splice(near_inner, far_inner, lambda: None).start()


@then("the neighbour receives nothing but the end")
def check_nothing_passed_on(context: Any) -> None:
    with eventlet.Timeout(SPLICE_TIMEOUT_S):
        received = context.far_outer.recv(4096)
    assert received == b"", received


@when("a {slow} takes {kilobytes:d} KB through two connections that are joined")
def send_through_splice(context: Any, slow: str, kilobytes: int) -> None:
    content = random.Random(1).randbytes(kilobytes * 1024)
    near, far, ended = join_pairs()
    received: list[bytes] = []

    def write() -> None:
        far.sendall(content)
        far.close()

    writer = eventlet.spawn(write)
    with eventlet.Timeout(SPLICE_TIMEOUT_S):
        while piece := near.recv(4096):
            received.append(piece)
            if slow == "slow reader" and len(received) % 100 == 0:
                eventlet.sleep(0.01)
        writer.wait()
    context.content, context.received, context.ended = content, b"".join(received), ended


@then("all of it arrives in order, and the end as well")
def check_received(context: Any) -> None:
    assert context.received == context.content, len(context.received)
    assert context.ended == [True]


@when("one of two joined connections is reset")
def reset_one_connection(context: Any) -> None:
    near, far, _ = join_pairs()
    far.setsockopt(_raw.SOL_SOCKET, _raw.SO_LINGER, RESET_ON_CLOSE)
    far.close()
    with eventlet.Timeout(SPLICE_TIMEOUT_S):
        hubs.trampoline(near.fileno(), read=True)
    # eventlet's recv reports a reset as the end of the stream.
    context.error = near.getsockopt(_raw.SOL_SOCKET, _raw.SO_ERROR)


@then("the other one is reset as well")
def check_reset(context: Any) -> None:
    assert context.error == errno.ECONNRESET, context.error


@when("a router passes {count:d} connections on with {near:d} neighbours near and {far:d} far")
def pass_many(context: Any, count: int, near: int, far: int) -> None:
    table = MemberTable(RouterIdentity("me:1", "me:1", 1, "hall-1"), 1)
    for number in range(near + far):
        zone = "hall-1" if number < near else "hall-2"
        row = MemberRow(f"r{number}:1", "", 1, 0, zone)
        apply_member_row(table, row, 0.0, 1.0)
    context.members, context.neighbours, context.near = table, Neighbours(), near
    context.draw = random.Random(1).random
    context.chosen = []
    for _ in range(count):
        member = choose_neighbour(context.neighbours, table, 0.0, context.draw, frozenset())
        assert member is not None
        record_opened(context.neighbours, member.router_id)
        context.chosen.append(member.router_id)


@then("all go to near neighbours, none of which has over {factor:g} times the mean")
def check_spread(context: Any, factor: float) -> None:
    counts = context.neighbours.open_connections
    assert set(counts) == {f"r{number}:1" for number in range(context.near)}, counts
    assert max(counts.values()) <= factor * len(context.chosen) / context.near, counts


@then("a neighbour that is short of processor time is not asked for a second")
def check_short_not_asked(context: Any) -> None:
    record_short(context.neighbours, "r0:1", 0.0)
    for now_s, wanted in ((0.5, False), (1.1, True)):
        drawn = (
            choose_neighbour(context.neighbours, context.members, now_s, context.draw, frozenset())
            for _ in range(100)
        )
        names = {member.router_id for member in drawn if member is not None}
        context.neighbours.open_connections.clear()
        assert ("r0:1" in names) is wanted, (now_s, names)


@when("all near neighbours are short of processor time")
def mark_near_short(context: Any) -> None:
    for number in range(context.near):
        record_short(context.neighbours, f"r{number}:1", 0.0)


@then(
    "the next {count:d} connections go to far neighbours, none of which has over {factor:g} times"
    " the mean"
)
def check_far_chosen(context: Any, count: int, factor: float) -> None:
    chosen: Counter[str] = Counter()
    for _ in range(count):
        member = choose_neighbour(
            context.neighbours, context.members, 0.5, context.draw, frozenset()
        )
        assert member is not None, "no neighbour was chosen, though the far ones are idle"
        record_opened(context.neighbours, member.router_id)
        chosen[member.router_id] += 1
    near = {f"r{number}:1" for number in range(context.near)}
    far = set(context.members.members) - near
    assert set(chosen) == far, chosen
    assert max(chosen.values()) <= factor * count / len(far), chosen


@then("a second later near neighbours are asked first again")
def check_near_asked_again(context: Any) -> None:
    member = choose_neighbour(context.neighbours, context.members, 1.1, context.draw, frozenset())
    assert member is not None
    assert member.availability_zone == context.members.identity.availability_zone, member


@then("with a busy part of {part:g} it passes on {count:d} of 100 connections")
def check_passed_fraction(context: Any, part: float, count: int) -> None:
    neighbours = Neighbours()
    passed = sum(should_pass_on(neighbours, CoreOptions(), part, False) for _ in range(100))
    assert passed == count, passed


@then(
    "with both thresholds at {limit:g} a router passes on none of {count:d} connections"
    " at {below:g} and all at {above:g}"
)
def check_threshold_step(
    context: Any, limit: float, count: int, below: float, above: float
) -> None:
    options = CoreOptions(passing_starts_part=limit, passing_all_part=limit)
    for part, wanted in ((below, 0), (above, count)):
        neighbours = Neighbours()
        passed = sum(should_pass_on(neighbours, options, part, False) for _ in range(count))
        assert passed == wanted, (part, passed)
