"""Steps of answers that are read from a server over urllib3's pools."""

import socket
import struct
from typing import Any

import eventlet
from behave import given, then, when
from result import Err

from myrtlehook_router.connection.backends import BackendRequest, read_response_body, send_request
from myrtlehook_router.connection.send_failures import SendFailure

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_S = 0.05
"""Time for what was sent to be read before a reset discards it."""

TIMEOUT_S = 2.0
LIMIT_BYTES = 1000
ANSWERS = {
    "has no length and is reset": HEAD + b"\r\nhalf of it",
    "has no length and is whole": HEAD + b"\r\nall of it",
    "has a length and is cut inside its head": HEAD + b"Content-Len",
    "is cut after the first digit of a padded size": CHUNKED + b"00000004\r\nhalf\r\n0",
    "lacks the blank line after its last chunk": CHUNKED + b"00000004\r\nhalf\r\n0\r\n",
}


@given("a server whose answer {ending}")
def serve_answer(context: Any, ending: str) -> None:
    listener = eventlet.listen(("127.0.0.1", 0))
    ip, port = listener.getsockname()
    context.address = f"{ip}:{port}"
    eventlet.spawn(_serve, listener, ANSWERS[ending], ending.endswith("is reset"))


def _serve(listener: Any, answer: bytes, resets: bool) -> None:
    connection, _ = listener.accept()
    connection.recv(65536)
    connection.sendall(answer)
    if resets:
        eventlet.sleep(READ_S)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()
    listener.close()


@when("the answer is read")
def read_answer(context: Any) -> None:
    request = BackendRequest("GET", context.address, "/", {}, b"", TIMEOUT_S)
    sent = send_request(request)
    context.read = sent if isinstance(sent, Err) else read_response_body(sent.ok_value, LIMIT_BYTES)


@then("it has broken off")
def check_broken_off(context: Any) -> None:
    assert isinstance(context.read, Err) and context.read.err_value is SendFailure.BROKEN, (
        context.read
    )


@then('it is "{content}"')
def check_content(context: Any, content: str) -> None:
    assert context.read.ok_value == content.encode(), context.read
