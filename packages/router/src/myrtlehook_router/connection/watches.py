"""Notices at once that a caller has closed its connection while it waits for an answer."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.hubs import trampoline

from myrtlehook_router.request.callers import connection_has_gone

RECHECK_S = 0.05
"""How often a connection is looked at that holds bytes of the caller's next request."""


class CallerWatch:
    """Watches one connection between a request's last byte and its answer's end."""

    def __init__(self, connection: Any, on_gone: Callable[[], None]) -> None:
        self._connection = connection
        self._on_gone = on_gone
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """End the watch; the connection may be read again afterwards."""
        self._thread.kill()

    def _run(self) -> None:
        if self._wait_until_gone():
            self._on_gone()

    def _wait_until_gone(self) -> bool:
        try:
            trampoline(self._connection.fileno(), read=True)
            raw = getattr(self._connection, "fd", self._connection)
            seen = raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:
            return True
        if not seen:
            return True
        while not connection_has_gone(self._connection):
            eventlet.sleep(RECHECK_S)
        return True
