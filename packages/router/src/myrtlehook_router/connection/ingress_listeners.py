"""Accepts clients' connections, and passes some of them on to neighbouring routers."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.queue import Full, LightQueue

from myrtlehook_router.connection.closed_connections import is_connection_closed
from myrtlehook_router.connection.passing import Accepted, ConnectionPasser
from myrtlehook_router.process.counters import Counters

MAX_READY_CONNECTIONS = 64
"""The number of accepted connections that wait to be served; the kernel queues the others."""

ACCEPT_PAUSE_S = 0.05
"""The pause after a failed accept, and between checks while file descriptors are short."""


class IngressListener:
    """The listening socket of the clients' WSGI server; passes some connections on instead."""

    def __init__(
        self,
        listener: Any,
        passer: ConnectionPasser | None,
        should_pass_on: Callable[[], bool],
        has_free_descriptors: Callable[[], bool],
        counters: Counters,
    ) -> None:
        """Wrap a listening socket.

        :param passer: None if no neighbour can be asked.
        :param should_pass_on: counts a connection; returns whether another router should serve it.
        :param has_free_descriptors: returns whether descriptors suffice for one more connection.
        """
        self._listener = listener
        self.family = listener.family
        """Read by eventlet's WSGI server."""
        self._passer = passer
        self._should_pass_on = should_pass_on
        self._has_free_descriptors = has_free_descriptors
        self._counters = counters
        self._ready: LightQueue = LightQueue(MAX_READY_CONNECTIONS)

    def accept_forever(self) -> None:
        """Accept connections; the main loop of a task."""
        while True:
            while not self._has_free_descriptors():
                # Clients wait in the kernel's queue until connections end.
                eventlet.sleep(ACCEPT_PAUSE_S)
            try:
                accepted = self._listener.accept()
            except OSError:
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            if is_connection_closed(accepted[0]):
                # The client left while it waited in the kernel's queue.
                self._counters.add("connections.left_in_queue")
                accepted[0].close()
                continue
            passer = self._passer
            if (
                passer is not None
                and self._should_pass_on()
                and passer.pass_on(accepted, self._serve_here)
            ):
                continue
            self._ready.put(accepted)

    def has_waiting_connections(self) -> bool:
        """Return whether clients have connected whose connections are not served yet."""
        return self._listener.has_pending() or not self._ready.empty()

    def accept(self) -> Accepted:
        """Wait for the next connection that is to be served here."""
        accepted: Accepted = self._ready.get()
        return accepted

    def getsockname(self) -> Any:
        """Return the address that clients connect to."""
        return self._listener.getsockname()

    def close(self) -> None:
        """Stop accepting connections; clients that connect later are refused by the kernel."""
        self._listener.close()

    def _serve_here(self, accepted: Accepted) -> None:
        """Serve a connection here that no neighbour has accepted."""
        try:
            self._ready.put_nowait(accepted)
        except Full:
            # Nothing has been read from it, so its client can safely retry.
            accepted[0].close()
