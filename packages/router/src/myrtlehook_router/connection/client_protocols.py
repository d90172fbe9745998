"""What all listeners for HTTP have in common: they count what clients send before they read it."""

import contextlib
import socket
from typing import Any

from eventlet import wsgi
from eventlet.greenio import GreenSocket

from myrtlehook_core import Holder, byte_budgets
from myrtlehook_router.connection.client_sockets import ClientSocket, shut_down
from myrtlehook_router.connection.request_bodies import ProcessBudgets, RequestBody, RequestInput
from myrtlehook_router.connection.request_streams import RequestStream
from myrtlehook_router.process import clocks

TRY_HOLD_KEY = "myrtlehook.try_hold"
"""Environ key of a function that counts more bytes which the request makes the process hold, and
returns whether there is room for them."""


class ClientConnections:
    """The connections that one listener serves."""

    def __init__(self) -> None:
        self._connections: dict[Holder, Any] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, holder: Holder, connection: Any) -> None:
        """Count a connection."""
        self._connections[holder] = connection

    def remove(self, holder: Holder) -> None:
        """Count a connection no more."""
        self._connections.pop(holder, None)

    def close_longest_waiting(self, waited_s: float = byte_budgets.STALL_S) -> bool:
        """Close the connection that has waited longest for its client; returns False without one.

        :param waited_s: the shortest wait that counts.
        """
        longest = byte_budgets.find_stalled(self._connections, clocks.now_s(), waited_s)
        if longest is None:
            return False
        longest.gives_way = True
        shut_down(self._connections[longest])
        return True


class ClientProtocol(wsgi.HttpProtocol):
    """A client's connection."""

    budgets: ProcessBudgets
    connections: ClientConnections
    body_limit_bytes = 0
    """The largest body that is read, also of those that are not wanted."""

    rfile: Any
    environ: Any
    _body: RequestBody | None = None
    """The body of the present request."""

    def setup(self) -> None:
        """Prepare to read; nothing is buffered until the client has sent something."""
        self.connection = self.request
        self.holder = Holder(progressed_at_s=clocks.now_s())
        if isinstance(self.connection, GreenSocket):
            self.connection.__class__ = ClientSocket
            self.connection.gate = self.budgets.gate
            self.connection.holder = self.holder
        with contextlib.suppress(OSError):
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, True)
        self.rfile = RequestStream(self.connection)
        self.wfile = self.connection.makefile("wb", self.wbufsize)
        self.connections.add(self.holder, self.connection)

    def handle_one_request(self) -> None:
        """Serve one request, and give back all that it has made this process hold."""
        self.budgets.gate.wait_for_client(self.holder, lambda: shut_down(self.connection))
        try:
            super().handle_one_request()
        finally:
            self.budgets.gate.release(self.holder)
            self.holder.workspace = ""
            if self.holder.gives_way:
                self.close_connection = True
            self._linger()
            self.budgets.gate.go_on(self.holder)

    def get_environ(self) -> dict[str, Any]:
        """Return the environ of a request whose head has been read."""
        self.budgets.gate.go_on(self.holder)
        environ: dict[str, Any] = super().get_environ()
        given = environ["wsgi.input"]
        given.__class__ = RequestInput
        given.limit_bytes = self.body_limit_bytes
        length_bytes = None if given.chunked_input else given.content_length
        given.body = self._body = RequestBody(
            self.rfile, self.connection, length_bytes, self.budgets, self.holder
        )
        environ[TRY_HOLD_KEY] = self._try_hold
        given.body.on_begin = given.send_continue
        given.body.on_tear = self._close_after_response
        return environ

    def finish(self) -> None:
        """Close the connection."""
        self.connections.remove(self.holder)
        # The connection may be closed already, if its client has stalled.
        with contextlib.suppress(OSError, ValueError):
            super().finish()

    def _try_hold(self, more_bytes: int) -> bool:
        return self.budgets.gate.try_hold(self.holder, more_bytes)

    def _linger(self) -> None:
        """Let a client whose request was refused unread see the response."""
        body, self._body = self._body, None
        if body is not None and self.close_connection and not self.holder.gives_way:
            self.budgets.gate.wait_for_client(self.holder, lambda: shut_down(self.connection))
            body.linger(self.body_limit_bytes)

    def _close_after_response(self) -> None:
        self.close_connection = True
