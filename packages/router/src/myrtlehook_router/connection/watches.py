"""Detects at once that a client closes its connection while it waits for a response."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.hubs import trampoline

from myrtlehook_router.connection.closed_connections import is_connection_closed

RECHECK_INTERVAL_S = 0.05
"""The interval between checks of a connection that holds bytes of the client's next request."""


class CallerWatch:
    """Watches a connection from the end of a request to the end of its response."""

    def __init__(self, connection: Any, on_disconnect: Callable[[], None]) -> None:
        self._connection = connection
        self._on_disconnect = on_disconnect
        self._thread: Any = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop watching; the connection may be read again afterwards."""
        thread, self._thread = self._thread, None
        if thread is not None:
            thread.kill()
        # The task refers to this object, and the callback to the request with its body: without
        # this they would stay in memory until the next garbage collection.
        self._on_disconnect = _do_nothing

    def _run(self) -> None:
        if self._wait_for_disconnect():
            self._on_disconnect()

    def _wait_for_disconnect(self) -> bool:
        try:
            trampoline(self._connection.fileno(), read=True)
            raw = getattr(self._connection, "fd", self._connection)
            seen = raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:
            return True
        if not seen:
            return True
        while not is_connection_closed(self._connection):
            eventlet.sleep(RECHECK_INTERVAL_S)
        return True


def _do_nothing() -> None:
    pass
