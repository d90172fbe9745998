"""Servers whose process can end: all its connections break, and it starts again later."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import wsgi

BEGUN_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt_id}\r\n"
    "Response-Seal: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n"
)
"""What a run's caller has got when its engine ends as it begins the run."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class EndingProcess:
    """One process that serves an application at an address, until it ends."""

    def __init__(self, ip: str, application: Callable[..., Any]) -> None:
        """Start to serve, on a port of the system's choice."""
        self._application = application
        self._connections: set[Any] = set()
        self._ip = ip
        self._port = 0
        self._listener: Any = None
        self.start()

    @property
    def address(self) -> str:
        """Return where it serves; the same after each start."""
        return f"{self._ip}:{self._port}"

    def start(self) -> None:
        """Listen, and serve until the end."""
        self._listener = eventlet.listen((self._ip, self._port))
        self._port = self._listener.getsockname()[1]
        eventlet.spawn(
            wsgi.server,
            self._listener,
            self._answer,
            log=Silent(),
            log_output=False,
            debug=False,
            capitalize_response_headers=False,
            minimum_chunk_size=0,
        )

    def end(self) -> None:
        """Stop to listen, and break every connection."""
        # Not by ending the server's task: that waits for its connections first.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        connections, self._connections = self._connections, set()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its other side has closed it.
                continue

    def _answer(self, environ: dict[str, Any], start_response: StartResponse) -> Any:
        self._connections = {known for known in self._connections if known.fileno() >= 0}
        self._connections.add(environ["wsgi.input"].get_socket())
        return self._application(environ, start_response)


def send_begun_head(connection: Any, attempt_id: str, seal: str) -> None:
    """Send the head of an answer of which nothing else will come."""
    connection.sendall(BEGUN_HEAD.format(attempt_id=attempt_id, seal=seal).encode())


class Silent:
    """Swallows a server's own log."""

    def write(self, text: str) -> None:
        """Do nothing."""
