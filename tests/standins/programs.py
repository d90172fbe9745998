"""What every stand-in program shares: a small HTTP server on a port from the OS."""

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

TEXTS = {200: "OK", 304: "Not Modified", 404: "Not Found", 409: "Conflict"}
WORD_BY_WORD = "eventlet.minimum_write_chunk_size"


def serve(application: Callable[..., Body], port: int) -> None:
    """Serve until ended, and print the port once it listens."""
    listener = eventlet.listen(("127.0.0.1", port), backlog=1024)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    print(f"listening {listener.getsockname()[1]}", flush=True)
    silent = logging.getLogger("standin")
    silent.disabled = True
    wsgi.server(listener, application, log=silent, log_output=False, debug=False, max_size=20_000)


def reply(start_response: Callable[..., Any], status: int, content: Any, headers: Headers) -> Body:
    """Send a JSON value, or bytes as they are."""
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    text = TEXTS.get(status, "Status")
    start_response(f"{status} {text}", [*headers, ("Content-Length", str(len(body)))])
    return [body]


def read_json(environ: dict[str, Any]) -> Any:
    """Read a JSON body."""
    return json.loads(environ["wsgi.input"].read() or b"{}")


def break_connection(environ: dict[str, Any]) -> None:
    """Hang up on the peer without an answer.

    :raises ConnectionError: always, so that the server gives up the request.
    """
    connection = environ["wsgi.input"].get_socket()
    connection.shutdown(socket.SHUT_RDWR)
    raise ConnectionError("told to break")
