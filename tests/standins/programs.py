"""The small HTTP server of every stand-in program, and helpers for its handlers."""

import json
import logging
import socket
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
from eventlet import wsgi

Headers = list[tuple[str, str]]
Reply = tuple[int, Any, Headers]
Body = Iterable[bytes]

REASON_PHRASES = {200: "OK", 304: "Not Modified", 404: "Not Found", 409: "Conflict"}
MIN_WRITE_CHUNK_KEY = "eventlet.minimum_write_chunk_size"


def serve(application: Callable[..., Body], port: int) -> None:
    """Serve until the process ends; print the port once it listens."""
    listener = eventlet.listen(("127.0.0.1", port), backlog=1024)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    print(f"listening {listener.getsockname()[1]}", flush=True)
    silent = logging.getLogger("standin")
    silent.disabled = True
    wsgi.server(listener, application, log=silent, log_output=False, debug=False, max_size=20_000)


def reply(start_response: Callable[..., Any], status: int, content: Any, headers: Headers) -> Body:
    """Answer with a JSON value, or with bytes unchanged."""
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    text = REASON_PHRASES.get(status, "Status")
    start_response(f"{status} {text}", [*headers, ("Content-Length", str(len(body)))])
    return [body]


def read_json(environ: dict[str, Any]) -> Any:
    """Read a JSON body."""
    return json.loads(environ["wsgi.input"].read() or b"{}")


def break_connection(environ: dict[str, Any]) -> None:
    """Close the connection without an answer.

    :raises ConnectionError: always, so that the server abandons the request.
    """
    connection = environ["wsgi.input"].get_socket()
    connection.shutdown(socket.SHUT_RDWR)
    raise ConnectionError("connection broken as a test requested")
