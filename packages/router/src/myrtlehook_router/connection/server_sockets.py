"""Connections to backend servers, which report resets and read responses strictly."""

import math
import socket
from http.client import HTTPException, IncompleteRead
from typing import Any

from eventlet.greenio import GreenSocket
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from myrtlehook_router.connection.fair_sockets import FairSocket
from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.connection.strict_responses import StrictResponse
from myrtlehook_router.process import clocks

CONNECT_TIMEOUT_S = 1.0

UNACKNOWLEDGED_TIMEOUT_MS = 4000
"""A connection fails once sent bytes have been unacknowledged for this long."""

MIN_TIMEOUT_S = 0.001
"""Shortest time-out of a call after its deadline; 0 would make the socket non-blocking."""

LATE_READ_S = 0.4
"""Bytes that have arrived are still read for this long after the deadline, as a busy process may
come to them late."""

CONNECTION_ERRORS = (HTTPError, HTTPException, OSError, EOFError, ValueError)
"""What urllib3, http.client and sockets raise for broken connections and responses."""

RECEIVE_BUFFER_BYTES = 32 * 1024
"""What may arrive of a response that its client does not take. The kernel doubles it, for its own
bookkeeping."""

_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
]


class ServerSocket(FairSocket):
    """A socket that reports resets, and whose time-out is a deadline.

    eventlet's own sockets return no bytes for both a reset and a regular end of stream, so a
    response without a length would look complete after a reset. Their time-out begins anew with
    each piece that arrives, so a response that trickles in would never time out, and while bytes
    are there already they do not look at the time at all.
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
        if clocks.now_s() >= self.deadline_s + LATE_READ_S:
            raise TimeoutError("the deadline has passed")

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
    opened_number = 0
    """How many connections its pool had opened by then, this one included."""
    opened_before = 0
    """How many connections its pool had opened when the opening of this one began."""
    opened_at_s = 0.0
    carried_request = ""
    """What distinguishes the last request that it has carried."""
    has_answered = False
    """Whether it has carried a response, so that a process has accepted it."""

    def _new_conn(self) -> socket.socket:
        opened = super()._new_conn()
        if isinstance(opened, GreenSocket):
            opened.__class__ = ServerSocket
        return opened


def open_connection(address: str, deadline_s: float) -> Result[ServerConnection, SendFailure]:
    """Open a connection to a server's address."""
    host, _, port = address.rpartition(":")
    timeout_s = max(min(CONNECT_TIMEOUT_S, deadline_s - clocks.now_s()), MIN_TIMEOUT_S)
    connection = ServerConnection(
        host, int(port), timeout=timeout_s, socket_options=_SOCKET_OPTIONS
    )
    try:
        connection.connect()
    except CONNECTION_ERRORS as error:
        connection.close()
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return Err(SendFailure.REFUSED if is_refused else SendFailure.NOT_SENT)
    return Ok(connection)


def set_deadline(connection: HTTPConnection, sock: Any, deadline_s: float) -> None:
    """Make each wait on a connection end at a deadline.

    :param sock: its socket, which the connection itself may have dropped.
    """
    remaining_s = max(deadline_s - clocks.now_s(), MIN_TIMEOUT_S)
    connection.timeout = remaining_s
    sock.settimeout(remaining_s)
    if isinstance(sock, ServerSocket):
        sock.deadline_s = deadline_s
