"""The HTTP listeners: bounds on connections and headers, and what is over them refused."""

import logging
import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet import wsgi
from eventlet.greenio import GreenSocket

from myrtlehook_core import Listener
from myrtlehook_router.process import clocks
from myrtlehook_router.process.counters import Counters

if TYPE_CHECKING:
    from myrtlehook_core import LimitSettings

BACKLOG = 1024
ACCEPTING_S = 0.01
"""For so long connections are accepted before all other tasks have their turns. A number of them
would do so too, but leave callers in the kernel's queue, where nobody sees how long they wait."""

SPARE_CONNECTIONS = 64
"""Connections above the bound that are taken only to be told so."""

_FULL_BODY = b'{"error":{"code":"connections_full","message":"too many open connections"}}'
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Type: application/json\r\n"
    b"Retry-After: 1\r\n"
    b"X-Outcome: not-run\r\n"
    b"Connection: close\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(_FULL_BODY), _FULL_BODY)
)

Application = Callable[..., Iterable[bytes]]


def serve_http(
    listener: Listener, application: Application, limits: "LimitSettings", counters: Counters
) -> None:
    """Serve an application until the process ends; the loop of this task."""
    wsgi.MAX_TOTAL_HEADER_SIZE = limits.header_bytes
    wsgi.MAX_HEADER_LINE = min(limits.header_bytes, 8192)
    wsgi.server(
        open_listener(listener),
        application,
        log=silent_log(),
        log_output=False,
        debug=False,
        protocol=_make_protocol(limits, counters),
        custom_pool=eventlet.GreenPool(limits.connections + SPARE_CONNECTIONS),
        socket_timeout=limits.idle_connection_s,
    )


class PacedListener:
    """A listening socket that leaves other tasks their turns while callers connect in a burst.

    Accepting never waits while connections do: without it one turn of the loop would take all of
    them, and each timer and each answer under way would be late by as long.
    """

    def __init__(self, listener: Any, clock: Callable[[], float] = clocks.now_s) -> None:
        """Pace a listening socket of eventlet's."""
        self._listener = listener
        self._clock = clock
        self._turn_began_s = clock()
        self.family = listener.family
        """The server asks for it."""

    def accept(self) -> Any:
        """Return the next connection and its other end's address; waits for it."""
        if self._clock() - self._turn_began_s >= ACCEPTING_S:
            eventlet.sleep(0)
            self._turn_began_s = self._clock()
        return self._listener.accept()

    def getsockname(self) -> Any:
        """Return the address that callers connect to."""
        return self._listener.getsockname()

    def close(self) -> None:
        """Take no connections any more."""
        self._listener.close()


def silent_log() -> logging.Logger:
    """Return a logger that swallows what the server itself would write."""
    silent = logging.getLogger("eventlet.wsgi")
    silent.disabled = True
    return silent


def open_listener(listener: Listener) -> Any:
    """Open a listening socket whose connections send every write at once."""
    opened = eventlet.listen((listener.address, listener.port), backlog=BACKLOG, reuse_port=False)
    return _send_at_once(opened)


def adopt_listener(opened: socket.socket) -> Any:
    """Take over a listening socket that was opened before this process was patched."""
    adopted = GreenSocket(opened.family, opened.type, fileno=opened.detach())
    return _send_at_once(adopted)


def _send_at_once(opened: Any) -> Any:
    # Accepted connections inherit this. Without it the kernel holds the last small
    # write of an answer back for the peer's delayed acknowledgement, some 40 ms.
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened


def _make_protocol(limits: "LimitSettings", counters: Counters) -> type:
    """Make a protocol class that counts connections and refuses those over the bound."""
    open_connections = [0]

    class BoundedProtocol(wsgi.HttpProtocol):
        """One connection of a caller."""

        def handle(self) -> None:
            if open_connections[0] >= limits.connections:
                counters.add("refusal.connections_full")
                self.wfile.write(TOO_MANY_CONNECTIONS)
                return
            open_connections[0] += 1
            try:
                super().handle()
            finally:
                open_connections[0] -= 1

        def handle_one_request(self) -> None:
            self.environ = None
            super().handle_one_request()
            # The server itself answers a head that it will not read.
            if self.raw_requestline and self.environ is None:
                counters.add("refusal.malformed_head")

    return BoundedProtocol
