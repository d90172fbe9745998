"""Servers that can end like a killed process and be started again at the same address."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import wsgi

from emulator.standstills import listen, never

ANSWER_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt_id}\r\n"
    "Response-Seal: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n"
)
"""The part of an answer that a client receives when the engine ends at the start of the run."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class RestartableServer:
    """Serves a WSGI application at one address and can break all its connections at once."""

    def __init__(
        self, ip: str, application: Callable[..., Any], is_still: Callable[[], bool] = never
    ) -> None:
        """Start serving, on a port that the operating system chooses.

        :param is_still: tells whether the server stands still at present.
        """
        self._application = application
        self._is_still = is_still
        self._connections: set[Any] = set()
        self._ip = ip
        self._port = 0
        self._listener: Any = None
        self.start()

    @property
    def address(self) -> str:
        """Return the address, which is the same after each start."""
        return f"{self._ip}:{self._port}"

    def start(self) -> None:
        """Listen, and serve until :meth:`end` is called."""
        self._listener = listen(self._ip, self._port, self._is_still)
        self._port = self._listener.getsockname()[1]
        eventlet.spawn(
            wsgi.server,
            RecordingListener(self._listener, self._record_connection),
            self._application,
            log=NullLog(),
            log_output=False,
            debug=False,
            capitalize_response_headers=False,
            minimum_chunk_size=0,
        )

    def end(self) -> None:
        """Stop listening and break every connection."""
        # Killing the task of the WSGI server would wait for its connections to finish.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        connections, self._connections = self._connections, set()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The client has closed the connection already.
                continue

    def _record_connection(self, connection: Any) -> None:
        self._connections = {known for known in self._connections if known.fileno() >= 0}
        self._connections.add(connection)


class RecordingListener:
    """A listening socket that reports each connection, also such as carry no request yet."""

    def __init__(self, listener: Any, on_accept: Callable[[Any], None]) -> None:
        self._listener = listener
        self._on_accept = on_accept

    def accept(self) -> tuple[Any, Any]:
        """Accept a connection; returns it with the client's address."""
        connection, address = self._listener.accept()
        self._on_accept(connection)
        return connection, address

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)


def send_answer_head(connection: Any, attempt_id: str, seal: str) -> None:
    """Send the head of an answer without any of its body."""
    connection.sendall(ANSWER_HEAD.format(attempt_id=attempt_id, seal=seal).encode())


class NullLog:
    """A log file for ``wsgi.server`` that discards everything."""

    def write(self, text: str) -> None:
        """Discard the text."""
