"""Steps of callers that write raw HTTP: malformed heads and bodies, early disconnects."""

import json
import re
import socket
import time
from typing import Any

from behave import given, then, when
from serving_steps import make_caller, router

from standins.network import http, wait_for


def _send_raw(
    context: Any, number: int, content: bytes, repeated: bytes = b"", repetitions: int = 0
) -> None:
    connection = socket.create_connection(("127.0.0.1", router(context, number).port), 20)
    try:
        connection.sendall(content)
        for _ in range(repetitions):
            connection.sendall(repeated)
    except OSError:
        pass  # The router has closed the connection without reading everything.
    try:
        context.raw_answer = connection.recv(4096)
    except OSError:
        context.raw_answer = b""
    connection.close()


def _make_raw_head(context: Any, extra_headers: str) -> bytes:
    key = context.fleet.workspaces["planners"].key
    head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
    return (head + f"Authorization: Bearer {key}\r\n{extra_headers}\r\n").encode()


@when("a raw caller streams an endless chunked body to router {number:d}")
def send_endless_body(context: Any, number: int) -> None:
    chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    head = _make_raw_head(context, "Transfer-Encoding: chunked\r\n")
    _send_raw(context, number, head, chunk, 200)


@when("a raw caller sends both Content-Length and Transfer-Encoding to router {number:d}")
def send_both_lengths(context: Any, number: int) -> None:
    head = _make_raw_head(context, "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n")
    _send_raw(context, number, head + b"0\r\n\r\n")


@when("a raw caller sends 100 KB of headers to router {number:d}")
def send_large_headers(context: Any, number: int) -> None:
    extra_headers = "".join(f"X-Filler-{index}: {'y' * 1000}\r\n" for index in range(100))
    _send_raw(context, number, _make_raw_head(context, extra_headers))


@then("the raw answer says {status:d}")
def check_raw(context: Any, status: int) -> None:
    assert re.match(rb"HTTP/1\.[01] %d" % status, context.raw_answer), context.raw_answer


def _disconnect_after(context: Any, workspace: str, number: int, tokens: int, pieces: int) -> None:
    content = {
        "model": "diagnosis",
        "messages": [{"role": "user", "content": "long"}],
        "max_tokens": tokens,
        "stream": True,
    }
    body = json.dumps(content).encode()
    key = context.fleet.workspaces[workspace].key
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    connection = socket.create_connection(("127.0.0.1", router(context, number).port), 20)
    connection.sendall(head.encode() + body)
    received = b""
    while received.count(b"data: ") < pieces:
        received += connection.recv(4096)
    if pieces == 0:
        time.sleep(0.3)
    connection.close()


@when(
    'a caller of "{workspace}" leaves router {number:d} after {pieces:d} pieces'
    " of {tokens:d} tokens"
)
def leave_stream(context: Any, workspace: str, number: int, pieces: int, tokens: int) -> None:
    _disconnect_after(context, workspace, number, tokens, pieces)


@when('a caller of "{workspace}" leaves router {number:d} while it waits')
def leave_queue(context: Any, workspace: str, number: int) -> None:
    _disconnect_after(context, workspace, number, 10, 0)


@given("a router that accepts {count:d} connections")
def start_small_router(context: Any, count: int) -> None:
    fleet = context.fleet
    settings = fleet.make_settings("vm-small")
    settings["limits"] = {"connections": count}
    program = fleet.start_router("vm-small", settings)
    context.add_cleanup(fleet.routers.pop, "vm-small")
    context.add_cleanup(fleet.kill, program)
    context.small_router = program

    def is_healthy() -> bool:
        answer = http("GET", program.operators_address, "/healthz")
        return answer is not None and answer.status == 200

    wait_for(is_healthy, "the small router to be healthy")


@when("{count:d} connections to it are held open")
def hold_connections(context: Any, count: int) -> None:
    context.held = [
        socket.create_connection(("127.0.0.1", context.small_router.port), 20) for _ in range(count)
    ]
    context.add_cleanup(lambda: [held.close() for held in context.held])


@then('a third is refused with status {status:d} and reason "{reason}"')
def check_third_refused(context: Any, status: int, reason: str) -> None:
    def is_refused() -> bool:
        result = make_caller(context, "planners").chat(context.small_router.address, "third", 2)
        return result.status == status and result.error["code"] == reason

    wait_for(is_refused, "the third connection to be refused", 10)


@then("the router accepts a connection again once one is closed")
def check_accepts_again(context: Any) -> None:
    context.held.pop().close()

    def is_served() -> bool:
        result = make_caller(context, "planners").chat(context.small_router.address, "again", 2)
        return result.status == 200

    wait_for(is_served, "a connection to be accepted again", 10)
