"""Steps of a server that sends its answers twice."""

import contextlib
import socket
import threading
from typing import Any

from behave import given, then, when
from platform_steps import node

from emulator.sites import make_configuration, make_route
from standins.attempts import make_headers, new_id, send
from standins.endless_servers import read_attempt_id
from standins.network import wait_for

ANSWER = "HTTP/1.1 {}\r\nAttempt-Id: {}\r\nResponse-Seal: sealed\r\n{}Content-Length: 0\r\n\r\n"


@given(
    "a server that declines each request once, and sends each answer once more before the next one"
)
def start_server(context: Any) -> None:
    context.run_ids = set()
    context.declined_ids = set()
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    threading.Thread(target=_accept, args=(context, listener), daemon=True).start()
    configuration = make_configuration(300)
    configuration["Routes"].append(make_route("twice", "non_idempotent", "twice", MaxAttempts=2))
    configuration["Services"].append(
        {"Name": "twice", "HealthCheckPath": "/health", "MaxConnections": 100}
    )
    address = "{}:{}".format(*listener.getsockname())
    server = {"address": address, "service": "twice", "slots": 6}
    context.nodes.order(configuration=configuration, external={"i-twice-1": server})
    found = node(context, 1)
    for wanted in ("i-twice-1", '"number": 300'):
        wait_for(lambda wanted=wanted: wanted in found.log_path.read_text(), wanted)


def _accept(context: Any, listener: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=_serve, args=(context, connection), daemon=True).start()


def _serve(context: Any, connection: socket.socket) -> None:
    last = b""
    with contextlib.suppress(OSError), connection:
        while attempt_id := read_attempt_id(connection):
            connection.sendall(last)
            if attempt_id in context.declined_ids:
                context.run_ids.add(attempt_id)
                answer = ANSWER.format("200 OK", attempt_id, "")
            else:
                context.declined_ids.add(attempt_id)
                answer = ANSWER.format("503 Full", attempt_id, "Not-Executed: 1\r\n")
            last = answer.encode()
            connection.sendall(last)


@when("{count:d} requests that may not be repeated are sent to it")
def send_requests(context: Any, count: int) -> None:
    headers = [make_headers(new_id(), "planners") for _ in range(count)]
    context.attempts = [send(node(context, 1), "GET", "/twice/a", one) for one in headers]


@then("none that was refused has been run")
def check_promises(context: Any) -> None:
    broken = [
        (one.attempt_id, one.status)
        for one in context.attempts
        if one.status in (408, 421, 429, 503) and one.attempt_id in context.run_ids
    ]
    assert not broken, broken
    assert context.run_ids, [one.status for one in context.attempts]
