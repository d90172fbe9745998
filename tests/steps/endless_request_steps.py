"""Steps of clients that send without end, and of heads that cannot be passed on."""

import socket
import threading
from typing import Any

from behave import then, when
from border_steps import read_memory_bytes
from platform_steps import METRICS_PORT, node, send_attempt

from emulator.sites import HOST, KEYS
from standins.attempts import new_id, send_raw
from standins.nodes import fetch

PIECE_BYTES = 65_536
MAX_SENT_BYTES = 1 << 30
PARTS: dict[str, tuple[bytes, bytes]] = {
    "the size of a chunk": (b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
    "an extension of a chunk": (b"Transfer-Encoding: chunked\r\n\r\n5;", b"e"),
    "chunks of one byte": (b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nb\r\n"),
    "chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"400\r\n" + b"b" * 1024 + b"\r\n"),
    "fields after the last chunk": (
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
        b"Filler: filler\r\n",
    ),
    "a body longer than any allowed": (b"Content-Length: 999999999999\r\n\r\n", b"b"),
    "a field of its head": (b"Filler: ", b"f"),
    "blank lines": (b"", b""),
}


@when("a client sends {part} without end to router {number:d}")
def send_endless(context: Any, part: str, number: int) -> None:
    found = node(context, number)
    context.memory_bytes = {found.name: read_memory_bytes(found)}
    beginning, rest = PARTS[part]
    head = _make_head("/open/a") + beginning if beginning else b"\r\n"
    context.closed = threading.Event()

    def send() -> None:
        piece = (rest or b"\r\n") * (PIECE_BYTES // len(rest or b"\r\n"))
        sent_bytes = 0
        try:
            with socket.create_connection((found.ip, found.front_port), timeout=20) as connection:
                connection.sendall(head)
                while sent_bytes < MAX_SENT_BYTES:
                    connection.sendall(piece)
                    sent_bytes += len(piece)
        except OSError:
            context.closed.set()

    thread = threading.Thread(target=send, daemon=True)
    thread.start()
    context.threads.append(thread)


def _make_head(target: str, deadline: str = "3000") -> bytes:
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {new_id()}\r\n"
        f"Deadline-Ms: {deadline}\r\nAuthorization: Bearer {KEYS['planners']}\r\n"
    )
    return head.encode("latin-1")


@then("other callers are served by router {number:d} meanwhile, until it closes that connection")
def check_others(context: Any, number: int) -> None:
    served = 0
    while served < 3 or not context.closed.is_set():
        attempt = send_attempt(context, number, "planners", "POST", "/valve/a", "", b"body")
        assert attempt.status == 200 and not attempt.broken, attempt
        served += 1
        sender_runs = any(thread.is_alive() for thread in context.threads)
        assert context.closed.is_set() or sender_runs, f"{MAX_SENT_BYTES} bytes were read"


@when('a caller sends the target "{target}" to router {number:d}')
def send_target(context: Any, target: str, number: int) -> None:
    found = node(context, number)
    context.metrics = fetch(found.ip, METRICS_PORT, "/metrics")[1]
    head = _make_head(target.encode().decode("unicode_escape"))
    context.raw = send_raw(found, head + b"Connection: close\r\n\r\n")


@then("no server was blamed")
def check_no_blame(context: Any) -> None:
    metrics = fetch(node(context, 1).ip, METRICS_PORT, "/metrics")[1].decode().splitlines()
    before = context.metrics.decode().splitlines()
    for name in ("failure.backend_broken", "backend.broken.listens", "retry.answer_broken"):
        lines = [[line for line in text if f'"{name}"' in line] for text in (before, metrics)]
        assert lines[0] == lines[1], lines


@when('a caller sends the deadline "{deadline}" to router {number:d}')
def send_deadline(context: Any, deadline: str, number: int) -> None:
    head = _make_head("/setpoint/a", deadline)
    context.raw = send_raw(node(context, number), head + b"Connection: close\r\n\r\n")


@when(
    '"{workspace}" sends a prompt whose part has an id of {count:d} characters to router {number:d}'
)
def send_long_part(context: Any, workspace: str, count: int, number: int) -> None:
    parts = {"Prompt_Prefix": f"{'a' * count}:300"}
    send_attempt(context, number, workspace, "POST", "/diagnosis/a", "300,30", b"body", **parts)
