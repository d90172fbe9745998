"""HTTP listeners with limits on the number of connections and on the size of headers."""

import logging
import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet import wsgi
from eventlet.greenio import GreenSocket

from myrtlehook_core import Listener
from myrtlehook_router.connection.client_protocols import ClientConnections, ClientProtocol
from myrtlehook_router.connection.client_sockets import limit_buffers
from myrtlehook_router.connection.closed_connections import is_readable
from myrtlehook_router.connection.fair_sockets import make_fair
from myrtlehook_router.connection.request_bodies import ProcessBudgets
from myrtlehook_router.process import clocks
from myrtlehook_router.process.counters import Counters

if TYPE_CHECKING:
    from myrtlehook_core import LimitSettings

BACKLOG = 1024
MAX_ACCEPT_BURST_S = 0.01
"""Connections are accepted for this long before all other tasks get a turn. A limit on their number
would do so too, but leave clients in the kernel's queue, where nothing measures their wait."""

MAX_REFUSED_CONNECTIONS = 64
"""The number of connections above the limit that are accepted only to be refused."""

MAX_INTERNAL_CONNECTIONS = 64
"""Limit of the connections of probes and scrapers at one listener."""

INTERNAL_TIMEOUT_S = 10.0
"""A connection of a probe or scraper that is idle for so long is closed."""

_FULL_BODY = b'{"error":{"code":"connections_full","message":"too many open connections"}}'
CONNECTIONS_FULL_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Type: application/json\r\n"
    b"Retry-After: 1\r\n"
    b"X-Outcome: not-run\r\n"
    b"Connection: close\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(_FULL_BODY), _FULL_BODY)
)

Application = Callable[..., Iterable[bytes]]


def serve_http(
    listener: Listener,
    application: Application,
    limits: "LimitSettings",
    counters: Counters,
    budgets: ProcessBudgets,
) -> None:
    """Serve an application until the process ends; the main loop of a task."""
    wsgi.MAX_TOTAL_HEADER_SIZE = limits.header_bytes
    wsgi.MAX_HEADER_LINE = min(limits.header_bytes, 8192)
    wsgi.server(
        open_listener(listener),
        application,
        log=get_silent_logger(),
        log_output=False,
        debug=False,
        protocol=_make_bounded_protocol(limits, counters, budgets),
        custom_pool=eventlet.GreenPool(limits.connections + MAX_REFUSED_CONNECTIONS),
        socket_timeout=limits.idle_connection_s,
    )


class PacedListener:
    """A listening socket that lets other tasks run while clients connect in a burst.

    Accepting does not switch tasks while connections are pending. Without pacing, one turn of the
    event loop would accept all of them and delay every timer and response under way by that time.
    """

    def __init__(self, listener: Any, clock: Callable[[], float] = clocks.now_s) -> None:
        """Wrap a listening socket of eventlet."""
        self._listener = listener
        self._clock = clock
        self._burst_began_s = clock()
        self.family = listener.family
        """Read by eventlet's WSGI server."""

    def accept(self) -> Any:
        """Wait for the next connection; returns it with the address of its peer."""
        if self._clock() - self._burst_began_s >= MAX_ACCEPT_BURST_S:
            eventlet.sleep(0)
            self._burst_began_s = self._clock()
        accepted = self._listener.accept()
        make_fair(accepted[0])
        return accepted

    def has_pending(self) -> bool:
        """Return whether clients have connected that were not accepted yet."""
        return is_readable(self._listener)

    def getsockname(self) -> Any:
        """Return the address that clients connect to."""
        return self._listener.getsockname()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()


def get_silent_logger() -> logging.Logger:
    """Return a logger that discards the messages of eventlet's WSGI server."""
    silent = logging.getLogger("eventlet.wsgi")
    silent.disabled = True
    return silent


def open_listener(listener: Listener) -> Any:
    """Open a listening socket whose connections send every write immediately."""
    opened = eventlet.listen((listener.address, listener.port), backlog=BACKLOG, reuse_port=False)
    return _disable_write_delay(opened)


def adopt_listener(opened: socket.socket) -> Any:
    """Wrap a listening socket that was opened before eventlet patched this process."""
    adopted = GreenSocket(opened.family, opened.type, fileno=opened.detach())
    return _disable_write_delay(adopted)


def serve_internally(
    listener: Listener, application: Application, budgets: ProcessBudgets, counters: Counters
) -> None:
    """Serve an application to probes and scrapers; the main loop of a task.

    Of too many connections, the one that has waited longest for its client is closed.
    """
    wsgi.server(
        PacedListener(open_listener(listener)),
        application,
        log=get_silent_logger(),
        log_output=False,
        debug=False,
        protocol=_make_internal_protocol(counters, budgets),
        custom_pool=eventlet.GreenPool(2 * MAX_INTERNAL_CONNECTIONS),
        socket_timeout=INTERNAL_TIMEOUT_S,
        keepalive=INTERNAL_TIMEOUT_S,
    )


def _disable_write_delay(opened: Any) -> Any:
    limit_buffers(opened)
    # Accepted connections inherit this option. Without it the kernel holds back the last
    # small write of a response until the peer's delayed acknowledgement, about 40 ms.
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened


def _make_internal_protocol(counters: Counters, shared_budgets: ProcessBudgets) -> type:
    """Make the protocol class for probes and scrapers; no request with a body is wanted there."""
    open_connections = ClientConnections()

    class InternalProtocol(ClientProtocol):
        """A connection of a probe or scraper."""

        budgets = shared_budgets
        connections = open_connections

        def handle(self) -> None:
            if len(open_connections) > MAX_INTERNAL_CONNECTIONS:
                open_connections.close_longest_waiting(waited_s=0.0)
                counters.add("connections.gave_way")
            super().handle()

    return InternalProtocol


def _make_bounded_protocol(
    limits: "LimitSettings", counters: Counters, shared_budgets: ProcessBudgets
) -> type:
    """Make a protocol class that counts connections and refuses those above the limit."""
    open_connections = ClientConnections()

    class BoundedProtocol(ClientProtocol):
        """A client's connection."""

        budgets = shared_budgets
        connections = open_connections
        body_limit_bytes = limits.body_bytes

        def handle(self) -> None:
            if len(open_connections) > limits.connections:
                if not open_connections.close_longest_waiting():
                    counters.add("refusal.connections_full")
                    self.wfile.write(CONNECTIONS_FULL_RESPONSE)
                    return
                counters.add("connections.gave_way")
            super().handle()

        def handle_one_request(self) -> None:
            self.environ = None
            super().handle_one_request()
            # eventlet's server answers a head that it rejects without building an environ.
            if self.raw_requestline and self.environ is None:
                counters.add("refusal.malformed_head")

    return BoundedProtocol
