"""Steps of connections that are passed on: their configuration and their deadline."""

import signal
import socket
import threading
import time
from typing import Any

from behave import given, then, when
from passing_steps import find_helping_node, wait_neighbours
from platform_steps import METRICS_PORT, node

from emulator.sites import PLAIN_SERVICE, make_configuration, make_route
from environment import ALWAYS_PASSING
from myrtlehook_platform.settings import FLEET_KEY
from myrtlehook_router.connection.connection_pools import ConnectionPool
from myrtlehook_router.connection.introductions import (
    VERDICT_ACCEPTED,
    Introduction,
    write_introduction,
)
from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.connection.server_connections import Exchange, OutgoingRequest
from myrtlehook_router.process import clocks
from myrtlehook_router.process.peers import MAXIMUM_MESSAGE_BYTES
from standins.attempts import make_headers, new_id, send
from standins.network import wait_for
from standins.nodes import NodeFleet, fetch

UNREACHABLE_STORE = "127.0.0.1:9"
BRIEF_TIMEOUT_MS = 1000
NEW_VERSION = 2

TRICKLED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"
TRICKLE_INTERVAL_S = 0.1
TRICKLE_DEADLINE_S = 0.5
GIVE_UP_S = 20.0


@given("a busy router, and a neighbour that cannot receive large configurations")
def start_with_old_neighbour(context: Any) -> None:
    nodes = NodeFleet()
    context.add_cleanup(nodes.stop)
    nodes.options = {"edge-1": ALWAYS_PASSING}
    nodes.stores = {"edge-2": UNREACHABLE_STORE}
    nodes.value_bytes = 2 * MAXIMUM_MESSAGE_BYTES
    nodes.start(routers=2)
    context.nodes = nodes
    wait_neighbours(context, 1)


@when('a large configuration with the new route "{name}" is in force at router {number:d}')
def publish_large(context: Any, name: str, number: int) -> None:
    content = make_configuration(NEW_VERSION, Padding="x" * MAXIMUM_MESSAGE_BYTES)
    content["Routes"].append(make_route(name, "idempotent", PLAIN_SERVICE))
    context.nodes.order(configuration=content)
    _wait_version(context, number)


@then('each of {count:d} requests of "{workspace}" for "{path}" at router {number:d} is answered')
def check_new_route(context: Any, count: int, workspace: str, path: str, number: int) -> None:
    found = node(context, number)
    attempts = [send(found, "GET", path, make_headers(new_id(), workspace)) for _ in range(count)]
    assert [attempt.status for attempt in attempts] == [200] * count, attempts


@given("the streaming routes have a short timeout in force at every router")
def shorten_timeouts(context: Any) -> None:
    content = make_configuration(NEW_VERSION)
    for route in content["Routes"]:
        if route["Kind"] == "streaming":
            route["TimeoutMs"] = BRIEF_TIMEOUT_MS
    context.nodes.order(configuration=content)
    for number in range(1, len(context.nodes.nodes) + 1):
        _wait_version(context, number)


@when('"{workspace}" asks for a summary at router {number:d}, and the router that takes it freezes')
def ask_frozen(context: Any, workspace: str, number: int) -> None:
    headers = make_headers(new_id(), workspace, "900,60", f"{new_id()}:300")
    found = node(context, number)

    def ask() -> None:
        context.attempt = send(found, "POST", "/summary/a", headers, b"body")

    caller = threading.Thread(target=ask)
    caller.start()
    context.threads.append(caller)
    find_helping_node(context).process.send_signal(signal.SIGSTOP)
    caller.join()


def _wait_version(context: Any, number: int) -> None:
    found = node(context, number)
    wanted = f"myrtlehook_configuration_number {NEW_VERSION}.0"
    wait_for(
        lambda: wanted in fetch(found.ip, METRICS_PORT, "/metrics")[1].decode(),
        f"version {NEW_VERSION} at router {number}",
    )


@when("a server sends its answer byte by byte, without an end")
def read_trickle(context: Any) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    stopped = threading.Event()
    context.add_cleanup(listener.close)
    context.add_cleanup(stopped.set)

    def trickle() -> None:
        connection, _ = listener.accept()
        connection.sendall(TRICKLED_HEAD)
        while not stopped.wait(TRICKLE_INTERVAL_S):
            try:
                connection.sendall(b"a")
            except OSError:
                return

    threading.Thread(target=trickle, daemon=True).start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    request = OutgoingRequest("GET", address, "/", (("Host", "x"),), b"")
    context.outcome = []

    def read() -> None:
        exchange = Exchange(ConnectionPool(), request)
        deadline_s = clocks.now_s() + TRICKLE_DEADLINE_S
        exchange.send(deadline_s, fresh_connection=True).unwrap()
        context.outcome.append(exchange.read_some(1024, deadline_s))

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    reader.join(GIVE_UP_S)


@then("reading it ends at its deadline, although bytes still arrive")
def check_trickle(context: Any) -> None:
    assert context.outcome, f"still reading after {GIVE_UP_S} s, at {time.monotonic():.0f}"
    assert context.outcome[0].err_value is SendFailure.TIMED_OUT, context.outcome


@when(
    "router {sender:d} passes a connection on to router {receiver:d} that has waited {waited:d} ms,"
    " with a request of {deadline:d} ms"
)
def pass_waited(context: Any, sender: int, receiver: int, waited: int, deadline: int) -> None:
    peer, helping = context.nodes.ports["peer"], context.nodes.ports["helping"]
    own, other = (f"{node(context, number).ip}:{peer}" for number in (sender, receiver))
    introduction = Introduction(own, other, configuration_number=1, waited_ms=waited)
    headers = make_headers(new_id(), "planners") | {"Deadline-Ms": str(deadline)}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    request = f"GET /setpoint/a HTTP/1.1\r\n{lines}\r\n".encode()
    address = (node(context, receiver).ip, helping)
    with socket.create_connection(address, timeout=GIVE_UP_S) as connection:
        connection.sendall(write_introduction(introduction, FLEET_KEY) + request)
        context.received = b""
        while piece := connection.recv(4096):
            context.received += piece


@then("router {number:d} answers it with {status:d}")
def check_passed_status(context: Any, number: int, status: int) -> None:
    wanted = VERDICT_ACCEPTED + f"HTTP/1.1 {status} ".encode()
    assert context.received.startswith(wanted), context.received
