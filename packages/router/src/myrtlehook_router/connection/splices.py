"""Relays bytes between two connections until either of them ends.

A busy router relays many connections, so they have no tasks of their own: the event loop
calls back when bytes have arrived, and they are forwarded in that call.
"""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from eventlet import hubs

from myrtlehook_core import Holder
from myrtlehook_router.connection.closed_connections import is_connection_closed, reset_connection
from myrtlehook_router.connection.memory_gates import MemoryGate

READ_BYTES = 32 * 1024


@dataclass(slots=True)
class SpliceEnd:
    """One of the two connections of a splice."""

    connection: Any
    """A non-blocking socket."""
    reader: Any = None
    """The event loop's listener for incoming bytes, while there is one."""
    writer: Any = None
    unsent: bytes = b""
    """Bytes that could not be written to this connection yet."""


class Splice:
    """A client's connection, joined to the one to the router that serves it."""

    def __init__(
        self,
        caller: Any,
        neighbour: Any,
        on_end: Callable[[], None],
        on_request: Callable[[bytes], None] | None = None,
        gate: MemoryGate | None = None,
    ) -> None:
        """Prepare to join two non-blocking connections.

        :param on_end: called once, when both are closed.
        :param on_request: called once, with the first bytes from the client.
        :param gate: counts the bytes that could not be written yet.
        """
        self._on_request = on_request
        self._gate = gate
        self._holder = Holder()
        self._caller = SpliceEnd(caller)
        self._neighbour = SpliceEnd(neighbour)
        self._on_end = on_end
        self._ended = False
        self.carries_request = False
        """Whether any byte from the client has been received for forwarding."""
        self._carries_answer = False

    def start(self) -> None:
        """Start to relay bytes in both directions."""
        self._read_from(self._caller)
        self._read_from(self._neighbour)

    def abort(self) -> None:
        """Close both connections, the client's by a reset: no response must look complete."""
        if self._ended:
            return
        self._close(resets_caller=True)

    def end_late(self, response: bytes) -> None:
        """End a request whose deadline has passed.

        :param response: sent to the client if nothing of an answer has been; else the client's
            connection is reset, so that the answer does not look complete.
        """
        if self._ended:
            return
        if self._carries_answer:
            self.abort()
            return
        with contextlib.suppress(OSError):
            self._caller.connection.send(response)
        self._close()

    def _read_from(self, end: SpliceEnd) -> None:
        end.reader = hubs.get_hub().add(
            hubs.hub.READ,
            end.connection.fileno(),
            lambda _: self._receive(end),
            _ignore_closed,
            _ignore_reused,
        )

    def _receive(self, end: SpliceEnd) -> None:
        if self._ended:
            return
        try:
            piece = end.connection.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.abort()
            return
        if not piece or (end is self._caller and is_connection_closed(end.connection)):
            # Nothing is forwarded for a client that left just after it had sent its request.
            self._close()
            return
        if end is self._neighbour:
            self._carries_answer = True
        elif not self.carries_request:
            self.carries_request = True
            if self._on_request is not None:
                self._on_request(piece)
        self._send(self._get_other_end(end), piece)

    def _send(self, end: SpliceEnd, piece: bytes) -> None:
        try:
            sent = end.connection.send(piece)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.abort()
            return
        if sent == len(piece):
            return
        # Back pressure: nothing more is read from the other end until this has been sent.
        end.unsent = piece[sent:]
        self._count_unsent(end)
        source = self._get_other_end(end)
        hubs.get_hub().remove(source.reader)
        source.reader = None
        end.writer = hubs.get_hub().add(
            hubs.hub.WRITE,
            end.connection.fileno(),
            lambda _: self._send_unsent(end),
            _ignore_closed,
            _ignore_reused,
        )

    def _send_unsent(self, end: SpliceEnd) -> None:
        if self._ended:
            return
        hubs.get_hub().remove(end.writer)
        end.writer = None
        piece, end.unsent = end.unsent, b""
        if self._gate is not None:
            if end is self._caller:
                self._gate.go_on(self._holder)
            self._gate.release(self._holder, len(piece))
        self._read_from(self._get_other_end(end))
        self._send(end, piece)

    def _count_unsent(self, end: SpliceEnd) -> None:
        """Count what this process holds because one end does not take it."""
        if self._gate is None:
            return
        if end is self._caller:
            self._gate.wait_for_client(self._holder, self.abort)
        self._gate.hold_at_once(self._holder, len(end.unsent))

    def _get_other_end(self, end: SpliceEnd) -> SpliceEnd:
        return self._neighbour if end is self._caller else self._caller

    def _close(self, resets_caller: bool = False) -> None:
        self._ended = True
        if self._gate is not None:
            self._gate.go_on(self._holder)
            self._gate.release(self._holder)
        for end in (self._caller, self._neighbour):
            for listener in (end.reader, end.writer):
                if listener is not None:
                    hubs.get_hub().remove(listener)
            if resets_caller and end is self._caller:
                reset_connection(end.connection)
            else:
                end.connection.close()
        self._on_end()


def _ignore_closed(error: BaseException) -> None:
    """Ignore the event loop's notice that a descriptor was closed; no task waits for it."""


def _ignore_reused() -> None:
    """Ignore the event loop's notice that a descriptor number is in use again."""
