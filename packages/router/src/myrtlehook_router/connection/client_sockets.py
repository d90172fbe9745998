"""Sockets of clients, which count what is held for a client that does not take its response."""

import contextlib
import socket
from typing import Any

from myrtlehook_core import Holder
from myrtlehook_router.connection.closed_connections import reset_connection
from myrtlehook_router.connection.fair_sockets import FairSocket
from myrtlehook_router.connection.memory_gates import MemoryGate
from myrtlehook_router.connection.server_sockets import (
    RECEIVE_BUFFER_BYTES as RECEIVED_FROM_SERVER_BYTES,
)

RECEIVE_BUFFER_BYTES = 16 * 1024
"""The kernel doubles it, for its own bookkeeping."""

SEND_BUFFER_BYTES = 128 * 1024
STREAM_PIECE_BYTES = 16 * 1024
"""How much of a streamed response is read at a time."""

BLOCKED_WRITE_BYTES = 2 * (STREAM_PIECE_BYTES + RECEIVED_FROM_SERVER_BYTES)
"""What a streamed response that its client does not take holds: a piece of it with its copy that is
framed as a chunk, and what has arrived from its server, in a buffer that the kernel doubles."""


class ClientSocket(FairSocket):
    """One client's connection."""

    gate: MemoryGate | None = None
    holder: Holder

    def _trampoline(
        self,
        fd: Any,
        read: bool = False,
        write: bool = False,
        timeout: Any = None,
        timeout_exc: Any = None,
    ) -> Any:
        gate = self.gate
        if not write or gate is None:
            return super()._trampoline(fd, read, write, timeout, timeout_exc)
        gate.wait_for_client(self.holder, lambda: reset_connection(self))
        gate.hold_at_once(self.holder, BLOCKED_WRITE_BYTES)
        try:
            return super()._trampoline(fd, read, write, timeout, timeout_exc)
        finally:
            gate.go_on(self.holder)
            gate.release(self.holder, BLOCKED_WRITE_BYTES)


def limit_buffers(listener: Any) -> None:
    """Limit what the kernel holds for each connection that a listening socket accepts."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def shut_down(connection: Any) -> None:
    """End a connection; a task that waits for bytes on it sees its end."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
