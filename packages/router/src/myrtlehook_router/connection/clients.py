"""Kept connections to backend servers, with failures told apart by what they prove.

A connection carries one request at a time. It is kept only after a whole answer that
nothing followed, and is dropped when bytes arrive while it rests: they belong to no
request.
"""

import contextlib
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

from myrtlehook_router.connection.backends import SendFailure
from myrtlehook_router.process import clocks

CONNECT_TIMEOUT_S = 1.0
IDLE_S = 8.0
"""A rested connection is dropped after this long, unless its server allows less."""

IDLE_MARGIN_S = 1.0
"""A server closes rested connections after a time it names; ours end this much before."""

UNSENT_TIMEOUT_MS = 4000
"""Bytes that nobody acknowledges for this long end a connection."""

_select = patcher.original("select")
_ERRORS = (HTTPError, HTTPException, OSError, EOFError, ValueError)
"""What urllib3, http.client and sockets raise for broken connections and answers."""

Answered = TypeVar("Answered")
_NODELAY: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_TIMEOUT_MS),
]


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """One request to a backend server; ``address`` is an IP number and a port."""

    method: str
    address: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class _Rested:
    connection: HTTPConnection
    deadline_s: float


@dataclass(slots=True)
class ClientPool:
    """The rested connections of one process, by address."""

    rested: dict[str, deque[_Rested]] = field(default_factory=dict)
    opened: int = 0
    """Connections opened so far."""


class ResetTellingSocket(GreenSocket):
    """A socket that tells a reset from a proper end.

    eventlet's own sockets return no bytes for both, and an answer without a length
    that was reset would look complete.
    """

    def _recv_loop(self, recv_method: Any, empty_value: Any, *arguments: Any) -> Any:
        def receive(*given: Any) -> Any:
            try:
                return recv_method(*given)
            except ConnectionError as error:
                # Not an OSError, which eventlet would take for an end.
                raise IncompleteRead(b"") from error

        return super()._recv_loop(receive, empty_value, *arguments)


class ServerConnection(HTTPConnection):
    """A connection to a backend server."""

    def _new_conn(self) -> socket.socket:
        opened = super()._new_conn()
        if isinstance(opened, GreenSocket):
            opened.__class__ = ResetTellingSocket
        return opened


class Exchange:
    """One request on its connection, from sending to the end of its answer."""

    def __init__(self, pool: ClientPool, request: OutgoingRequest) -> None:
        self._pool = pool
        self._request = request
        self._connection: HTTPConnection | None = None
        self._socket: Any = None
        """Kept beside the connection, which lets go of it when the answer says close."""
        self._response: urllib3.HTTPResponse | None = None
        self._done = False
        self._reading = False
        self.aborted = False

    def send(self, deadline_s: float, fresh: bool) -> Result[urllib3.HTTPResponse, SendFailure]:
        """Send the request and read its answer's head.

        :param fresh: never take a rested connection: the server may be closing it just now.
        """
        connection = None if fresh else _take_rested(self._pool, self._request.address)
        if connection is None:
            connection = _open(self._pool, self._request.address, deadline_s)
            if connection is None or self.aborted:
                return Err(SendFailure.NOT_SENT)
        self._connection = connection
        self._socket = connection.sock
        answered = self._guarded(lambda: self._request_answer(connection, deadline_s))
        if isinstance(answered, Err):
            return answered
        self._response = answered.ok_value
        return answered

    def read_some(self, size_bytes: int, deadline_s: float) -> Result[bytes, SendFailure]:
        """Read what has arrived of the body; empty bytes are its proper end."""
        if self.aborted:
            return Err(SendFailure.BROKEN)
        if self._done:
            return Ok(b"")
        read = self._guarded(lambda: self._read_piece(size_bytes, deadline_s))
        if isinstance(read, Ok) and not read.ok_value:
            self._finish()
        return read

    def _request_answer(
        self, connection: HTTPConnection, deadline_s: float
    ) -> urllib3.HTTPResponse:
        _set_timeout(connection, self._socket, deadline_s)
        _send_on(connection, self._request)
        return connection.getresponse()

    def _read_piece(self, size_bytes: int, deadline_s: float) -> bytes:
        assert self._response is not None and self._connection is not None
        _set_timeout(self._connection, self._socket, deadline_s)
        return self._response.read1(size_bytes)

    def _guarded(self, work: Callable[[], Answered]) -> Result[Answered, SendFailure]:
        """Do work on the connection; whatever breaks it ends the exchange."""
        self._reading = True
        failure = SendFailure.BROKEN
        try:
            answered = work()
            if not self.aborted:
                return Ok(answered)
        except (TimeoutError, ReadTimeoutError):
            failure = SendFailure.TIMED_OUT
        except _ERRORS:
            pass
        finally:
            self._reading = False
        self.abort()
        self._close()
        return Err(failure)

    def abort(self) -> None:
        """End the exchange; a task that reads from it finds it broken at once.

        The connection is only shut down here while another task reads from it: that
        task's buffer must not be closed under it.
        """
        if self._done:
            return
        self.aborted = True
        self._done = True
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
        if not self._reading:
            self._close()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        if self._response is not None:
            self._response.close()

    def _finish(self) -> None:
        """Keep the connection for the next request if this one left it clean."""
        self._done = True
        assert self._connection is not None and self._response is not None
        keep_s = _keep_s(self._response)
        if keep_s <= 0 or self._connection.sock is None or _has_bytes(self._connection):
            self._connection.close()
            return
        rested = self._pool.rested.setdefault(self._request.address, deque())
        rested.append(_Rested(self._connection, clocks.now_s() + keep_s))


def drop_rested(pool: ClientPool, is_known: Callable[[str], bool]) -> None:
    """Close connections that rested too long, or whose address serves nothing any more."""
    now_s = clocks.now_s()
    for address, rested in list(pool.rested.items()):
        while rested and (now_s >= rested[0].deadline_s or not is_known(address)):
            rested.popleft().connection.close()
        if not rested:
            del pool.rested[address]


def _take_rested(pool: ClientPool, address: str) -> HTTPConnection | None:
    rested = pool.rested.get(address)
    while rested:
        # The one used last is the least likely to be closed by its server.
        taken = rested.pop()
        usable = taken.connection.sock is not None and clocks.now_s() < taken.deadline_s
        if usable and not _has_bytes(taken.connection):
            return taken.connection
        taken.connection.close()
    return None


def _open(pool: ClientPool, address: str, deadline_s: float) -> HTTPConnection | None:
    host, _, port = address.rpartition(":")
    timeout_s = max(min(CONNECT_TIMEOUT_S, deadline_s - clocks.now_s()), 0.001)
    connection = ServerConnection(host, int(port), timeout=timeout_s, socket_options=_NODELAY)
    try:
        connection.connect()
    except _ERRORS:
        connection.close()
        return None
    pool.opened += 1
    return connection


def _send_on(connection: HTTPConnection, request: OutgoingRequest) -> None:
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


def _set_timeout(connection: HTTPConnection, sock: socket.socket, deadline_s: float) -> None:
    remaining_s = max(deadline_s - clocks.now_s(), 0.001)
    connection.timeout = remaining_s
    sock.settimeout(remaining_s)


def _has_bytes(connection: HTTPConnection) -> bool:
    """Tell whether anything, an end included, has arrived on a rested connection."""
    sock: Any = connection.sock
    if sock is None:
        return True
    poller = _select.poll()
    poller.register(sock.fileno(), _select.POLLIN | _select.POLLRDHUP | _select.POLLERR)
    return bool(poller.poll(0))


def _keep_s(response: urllib3.HTTPResponse) -> float:
    """Return how long the connection may rest after this answer; 0 when it is to close."""
    if "close" in response.headers.get("Connection", "").lower():
        return 0.0
    framed = "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    if not framed and response.status not in (204, 304):
        return 0.0
    for item in response.headers.get("Keep-Alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(IDLE_S, int(value) - IDLE_MARGIN_S)
    return IDLE_S
