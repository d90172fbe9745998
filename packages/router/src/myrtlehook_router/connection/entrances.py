"""The way in for callers: accepts their connections, and passes some on to neighbours."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.queue import Full, LightQueue

from myrtlehook_router.connection.passing import Accepted, Passer

READY_CONNECTIONS = 64
"""Accepted connections that wait for the server; the kernel holds the others."""

ACCEPT_PAUSE_S = 0.05
"""After a failure to accept, and for want of descriptors."""


class Entrance:
    """What the callers' server takes for its listening socket."""

    def __init__(
        self,
        listener: Any,
        passer: Passer | None,
        passes_on: Callable[[], bool],
        has_room: Callable[[], bool],
    ) -> None:
        """Prepare an entrance.

        :param passer: None where no neighbour can be asked.
        :param passes_on: counts a connection and tells whether another router is to serve it.
        :param has_room: whether the descriptors suffice for another connection.
        """
        self._listener = listener
        self.family = listener.family
        """The server asks for it."""
        self._passer = passer
        self._passes_on = passes_on
        self._has_room = has_room
        self._ready: LightQueue = LightQueue(READY_CONNECTIONS)

    def accept_forever(self) -> None:
        """Accept connections; the loop of this task."""
        while True:
            while not self._has_room():
                # The kernel holds callers until connections end.
                eventlet.sleep(ACCEPT_PAUSE_S)
            try:
                accepted = self._listener.accept()
            except OSError:
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            passer = self._passer
            if passer is not None and self._passes_on() and passer.pass_on(accepted, self._return):
                continue
            self._ready.put(accepted)

    def accept(self) -> Accepted:
        """Return the next connection that is served here; waits for it."""
        accepted: Accepted = self._ready.get()
        return accepted

    def getsockname(self) -> Any:
        """Return the address that callers connect to."""
        return self._listener.getsockname()

    def close(self) -> None:
        """Take no connections any more."""
        self._listener.close()

    def _return(self, accepted: Accepted) -> None:
        """Serve a connection here that no neighbour has taken."""
        try:
            self._ready.put_nowait(accepted)
        except Full:
            # Nothing was read of it, so its caller may send its request anew.
            accepted[0].close()
