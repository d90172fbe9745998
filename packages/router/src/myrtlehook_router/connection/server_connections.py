"""Persistent connections to backend servers, with failures classified by how far a request got.

A connection carries one request at a time. It is kept only after a complete response that
nothing followed. It is not reused if bytes arrive while it is idle, because they belong to
no request.
"""

import contextlib
import math
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPException, IncompleteRead
from typing import Any, TypeVar

import urllib3
from eventlet import patcher
from eventlet.greenio import GreenSocket
from result import Err, Ok, Result
from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.util import SKIP_HEADER

from myrtlehook_router.connection.answer_ends import (
    AnswerEnd,
    EndSign,
    Framing,
    Proof,
    find_framing,
)
from myrtlehook_router.connection.backends import SendFailure
from myrtlehook_router.connection.closed_connections import is_connection_closed
from myrtlehook_router.connection.strict_responses import StrictResponse
from myrtlehook_router.process import clocks

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 8.0
"""An idle connection is closed after this long, or earlier if its server asks for that."""

IDLE_MARGIN_S = 1.0
"""Connections expire this long before the Keep-Alive timeout that their server announces."""

UNACKNOWLEDGED_TIMEOUT_MS = 4000
"""A connection fails once sent bytes have been unacknowledged for this long."""

MAX_CONNECTIONS_BESIDE = 8
"""The number of other connections to a server that are looked at when a response ends."""

MIN_TIMEOUT_S = 0.001
"""Shortest time-out of a call after its deadline; 0 would make the socket non-blocking."""

_select = patcher.original("select")
_CLOSING_EVENTS = _select.POLLIN | _select.POLLRDHUP | _select.POLLERR
_CONNECTION_ERRORS = (HTTPError, HTTPException, OSError, EOFError, ValueError)
"""What urllib3, http.client and sockets raise for broken connections and responses."""

Answered = TypeVar("Answered")
_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
]


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """One request to a backend server; ``address`` is an IP address and a port."""

    method: str
    address: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class _IdleConnection:
    connection: HTTPConnection
    deadline_s: float


@dataclass(slots=True)
class ConnectionPool:
    """The idle connections of one process, by server address."""

    idle_by_address: dict[str, deque[_IdleConnection]] = field(default_factory=dict)
    exchanges_by_address: dict[str, set["Exchange"]] = field(default_factory=dict)
    """The exchanges under way, by server address."""
    opened_count: int = 0
    """The number of connections opened so far."""


class ServerSocket(GreenSocket):
    """A socket that reports resets, and whose time-out is a deadline.

    eventlet's own sockets return no bytes for both a reset and a regular end of stream, so a
    response without a length would look complete after a reset. Their time-out begins anew with
    each piece that arrives, so a response that trickles in would never time out.
    """

    deadline_s = math.inf
    was_reset = False

    def gettimeout(self) -> float | None:
        """Return the time left until the deadline; called by eventlet before each wait."""
        if self.deadline_s == math.inf:
            timeout_s: float | None = super().gettimeout()
            return timeout_s
        return max(self.deadline_s - clocks.now_s(), MIN_TIMEOUT_S)

    def _recv_loop(self, recv_method: Any, empty_value: Any, *arguments: Any) -> Any:
        def receive(*given: Any) -> Any:
            try:
                return recv_method(*given)
            except ConnectionError as error:
                self.was_reset = True
                # Not an OSError: eventlet would treat that as the end of the stream.
                raise IncompleteRead(b"") from error

        return super()._recv_loop(receive, empty_value, *arguments)


class ServerConnection(HTTPConnection):
    """A connection to a backend server."""

    response_class = StrictResponse

    def _new_conn(self) -> socket.socket:
        opened = super()._new_conn()
        if isinstance(opened, GreenSocket):
            opened.__class__ = ServerSocket
        return opened


class Exchange:
    """One request on its connection, from sending it to the end of its response."""

    def __init__(self, connection_pool: ConnectionPool, request: OutgoingRequest) -> None:
        self._connection_pool = connection_pool
        self._request = request
        self._connection: HTTPConnection | None = None
        self._socket: Any = None
        """Kept separately: the connection drops it when the response has ``Connection: close``."""
        self._response: urllib3.HTTPResponse | None = None
        self._done = False
        self._reading = False
        self._framing: Framing | None = None
        self.end: AnswerEnd | None = None
        """How the response ended; None until then."""
        self.aborted = False

    def send(
        self, deadline_s: float, fresh_connection: bool
    ) -> Result[urllib3.HTTPResponse, SendFailure]:
        """Send the request and read the head of its response.

        :param fresh_connection: open a new connection, as the server may be closing an idle one.
        """
        connection = (
            None
            if fresh_connection
            else _acquire_idle_connection(self._connection_pool, self._request.address)
        )
        if connection is None:
            opened = _open_connection(self._connection_pool, self._request.address, deadline_s)
            if isinstance(opened, Err):
                return opened
            connection = opened.ok_value
            if self.aborted:
                return Err(SendFailure.NOT_SENT)
        self._connection = connection
        self._socket = connection.sock
        self._connection_pool.exchanges_by_address.setdefault(self._request.address, set()).add(
            self
        )
        answered = self._run_guarded(lambda: self._send_and_read_head(connection, deadline_s))
        if isinstance(answered, Err):
            return answered
        self._response = answered.ok_value
        framing = find_framing(self._request.method, answered.ok_value)
        if isinstance(framing, Err):
            self._record_end(EndSign.MALFORMED, Proof.NONE)
            self.abort()
            return Err(SendFailure.BROKEN)
        self._framing = framing.ok_value
        return answered

    def read_some(self, size_bytes: int, deadline_s: float) -> Result[bytes, SendFailure]:
        """Read what has arrived of the body; empty bytes mark its regular end."""
        if self.aborted:
            return Err(SendFailure.BROKEN)
        if self._done:
            return Ok(b"")
        read = self._run_guarded(lambda: self._read_piece(size_bytes, deadline_s))
        if isinstance(read, Ok) and not read.ok_value:
            self._finish()
        return read

    def _finish(self) -> None:
        if self._framing is Framing.CONNECTION:
            self._record_end(EndSign.CLOSED, Proof.CONNECTION_END)
        else:
            self._record_end(EndSign.FRAMING, Proof.FRAMING)
        self._release_connection()

    def _record_end(self, sign: EndSign, proof: Proof) -> None:
        """Record how the response ended; the first record counts."""
        if self.end is not None:
            return
        open_beside = ended_beside = 0
        if sign not in (EndSign.FRAMING, EndSign.ABORTED):
            for sock in self._list_sockets_beside():
                is_closed = is_connection_closed(sock)
                ended_beside += is_closed
                open_beside += not is_closed
        self.end = AnswerEnd(self._framing, sign, proof, open_beside, ended_beside)

    def _list_sockets_beside(self) -> list[Any]:
        """Return the sockets of other connections to the server, the newest idle ones first."""
        pool = self._connection_pool
        address = self._request.address
        idle = [one.connection.sock for one in reversed(pool.idle_by_address.get(address, ()))]
        used = [
            one._socket for one in pool.exchanges_by_address.get(address, ()) if one is not self
        ]
        return [sock for sock in (*idle, *used) if sock is not None][:MAX_CONNECTIONS_BESIDE]

    def _send_and_read_head(
        self, connection: HTTPConnection, deadline_s: float
    ) -> urllib3.HTTPResponse:
        _set_timeout(connection, self._socket, deadline_s)
        _send_request(connection, self._request)
        return connection.getresponse()

    def _read_piece(self, size_bytes: int, deadline_s: float) -> bytes:
        assert self._response is not None and self._connection is not None
        _set_timeout(self._connection, self._socket, deadline_s)
        return self._response.read1(size_bytes)

    def _run_guarded(self, work: Callable[[], Answered]) -> Result[Answered, SendFailure]:
        """Run ``work`` on the connection; any connection error ends the exchange."""
        self._reading = True
        failure = SendFailure.BROKEN
        try:
            answered = work()
            if not self.aborted:
                return Ok(answered)
        except (TimeoutError, ReadTimeoutError):
            failure = SendFailure.TIMED_OUT
        except _CONNECTION_ERRORS:
            pass
        finally:
            self._reading = False
        self._record_end(self._find_failure_sign(failure), Proof.NONE)
        self.abort()
        self._close()
        return Err(failure)

    def _find_failure_sign(self, failure: SendFailure) -> EndSign:
        if self.aborted:
            return EndSign.ABORTED
        if failure is SendFailure.TIMED_OUT:
            return EndSign.TIMED_OUT
        return EndSign.RESET if getattr(self._socket, "was_reset", False) else EndSign.CLOSED

    def abort(self) -> None:
        """End the exchange; a task that is reading from it fails at once.

        While another task is reading, the connection is only shut down here and closed by
        that task, because its read buffer must not be closed while it is in use.
        """
        if self._done:
            return
        self._record_end(EndSign.ABORTED, Proof.NONE)
        self.aborted = True
        self._done = True
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
        if not self._reading:
            self._close()

    def _close(self) -> None:
        self._leave_pool()
        if self._connection is not None:
            self._connection.close()
        if self._response is not None:
            self._response.close()

    def _leave_pool(self) -> None:
        exchanges = self._connection_pool.exchanges_by_address
        under_way = exchanges.get(self._request.address, set())
        under_way.discard(self)
        if not under_way:
            exchanges.pop(self._request.address, None)

    def _release_connection(self) -> None:
        """Keep the connection for the next request if it is reusable."""
        self._done = True
        self._leave_pool()
        assert self._connection is not None and self._response is not None
        idle_timeout_s = _compute_idle_timeout_s(self._response)
        if idle_timeout_s <= 0 or self._connection.sock is None or _is_readable(self._connection):
            self._connection.close()
            return
        idle = self._connection_pool.idle_by_address.setdefault(self._request.address, deque())
        idle.append(_IdleConnection(self._connection, clocks.now_s() + idle_timeout_s))


def close_expired_connections(
    connection_pool: ConnectionPool, is_configured: Callable[[str], bool]
) -> None:
    """Close idle connections that have expired or whose address is no longer configured."""
    now_s = clocks.now_s()
    for address, idle in list(connection_pool.idle_by_address.items()):
        while idle and (now_s >= idle[0].deadline_s or not is_configured(address)):
            idle.popleft().connection.close()
        if not idle:
            del connection_pool.idle_by_address[address]


def find_closing_servers(connection_pool: ConnectionPool) -> list[str]:
    """Return the addresses whose servers have closed an idle connection before it expired.

    Looks at the most recently used connection of each address.
    """
    poller = _select.poll()
    addresses: dict[int, str] = {}
    now_s = clocks.now_s()
    for address, idle in connection_pool.idle_by_address.items():
        if not idle or now_s >= idle[-1].deadline_s:
            continue
        sock: Any = idle[-1].connection.sock
        if sock is not None and sock.fileno() >= 0:
            addresses[sock.fileno()] = address
            poller.register(sock.fileno(), _CLOSING_EVENTS)
    return [addresses[descriptor] for descriptor, _ in poller.poll(0)]


def open_idle_connection(connection_pool: ConnectionPool, address: str) -> SendFailure | None:
    """Open a connection for later requests, unless one is idle; return why that failed, if it did.

    While it is idle, it shows whether the server's process lives.
    """
    if connection_pool.idle_by_address.get(address):
        return None
    now_s = clocks.now_s()
    opened = _open_connection(connection_pool, address, now_s + CONNECT_TIMEOUT_S)
    if isinstance(opened, Err):
        return opened.err_value
    idle = connection_pool.idle_by_address.setdefault(address, deque())
    idle.append(_IdleConnection(opened.ok_value, now_s + IDLE_TIMEOUT_S))
    return None


def drop_idle_connections(connection_pool: ConnectionPool, address: str) -> None:
    """Close all idle connections to an address."""
    for idle in connection_pool.idle_by_address.pop(address, ()):
        idle.connection.close()


def _acquire_idle_connection(
    connection_pool: ConnectionPool, address: str
) -> HTTPConnection | None:
    idle = connection_pool.idle_by_address.get(address)
    while idle:
        # The most recently used one is the least likely to be closed by its server.
        candidate = idle.pop()
        usable = candidate.connection.sock is not None and clocks.now_s() < candidate.deadline_s
        if usable and not _is_readable(candidate.connection):
            return candidate.connection
        candidate.connection.close()
    return None


def _open_connection(
    connection_pool: ConnectionPool, address: str, deadline_s: float
) -> Result[HTTPConnection, SendFailure]:
    host, _, port = address.rpartition(":")
    timeout_s = max(min(CONNECT_TIMEOUT_S, deadline_s - clocks.now_s()), MIN_TIMEOUT_S)
    connection = ServerConnection(
        host, int(port), timeout=timeout_s, socket_options=_SOCKET_OPTIONS
    )
    try:
        connection.connect()
    except _CONNECTION_ERRORS as error:
        connection.close()
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return Err(SendFailure.REFUSED if is_refused else SendFailure.NOT_SENT)
    connection_pool.opened_count += 1
    return Ok(connection)


def _send_request(connection: HTTPConnection, request: OutgoingRequest) -> None:
    headers = HTTPHeaderDict(request.headers)
    if "User-Agent" not in headers:
        headers["User-Agent"] = SKIP_HEADER
    connection.request(
        request.method,
        request.target,
        body=request.body or None,
        headers=headers,
        preload_content=False,
        decode_content=False,
        enforce_content_length=True,
    )


def _set_timeout(connection: HTTPConnection, sock: Any, deadline_s: float) -> None:
    remaining_s = max(deadline_s - clocks.now_s(), MIN_TIMEOUT_S)
    connection.timeout = remaining_s
    sock.settimeout(remaining_s)
    if isinstance(sock, ServerSocket):
        sock.deadline_s = deadline_s


def _is_readable(connection: HTTPConnection) -> bool:
    """Return whether bytes or an end of stream have arrived on an idle connection."""
    sock: Any = connection.sock
    if sock is None:
        return True
    poller = _select.poll()
    poller.register(sock.fileno(), _CLOSING_EVENTS)
    return bool(poller.poll(0))


def _compute_idle_timeout_s(response: urllib3.HTTPResponse) -> float:
    """Return how long the connection may stay idle after this response; 0 if it must close."""
    if "close" in response.headers.get("Connection", "").lower():
        return 0.0
    framed = "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    if not framed and response.status not in (204, 304):
        return 0.0
    for item in response.headers.get("Keep-Alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(IDLE_TIMEOUT_S, int(value) - IDLE_MARGIN_S)
    return IDLE_TIMEOUT_S
