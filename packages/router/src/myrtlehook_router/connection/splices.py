"""Two connections whose bytes are copied from one to the other until either ends.

A busy router copies many of them, so they have no tasks of their own: the event loop
calls back when bytes have arrived, and they are sent on in that call.
"""

import contextlib
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from eventlet import hubs, patcher

READ_BYTES = 64 * 1024
_socket = patcher.original("socket")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class End:
    """One of the two connections."""

    connection: Any
    """Does not block."""
    reader: Any = None
    """The event loop's listener for bytes that arrive, while there is one."""
    writer: Any = None
    unsent: bytes = b""
    """Bytes for this connection that it has not taken yet."""


class Splice:
    """A caller's connection and the one to the router that serves it."""

    def __init__(self, caller: Any, helper: Any, on_end: Callable[[], None]) -> None:
        """Prepare a splice of two connections that do not block.

        :param on_end: called once, when both are closed.
        """
        self._caller = End(caller)
        self._helper = End(helper)
        self._on_end = on_end
        self._ended = False
        self.carries_request = False
        """Whether anything of a request has been sent on."""

    def start(self) -> None:
        """Copy bytes from now on."""
        self._read_from(self._caller)
        self._read_from(self._helper)

    def abort(self) -> None:
        """End both connections in a way that no answer on them looks complete."""
        if self._ended:
            return
        option = (_socket.SOL_SOCKET, _socket.SO_LINGER, _RESET_ON_CLOSE)
        with contextlib.suppress(OSError):
            self._caller.connection.setsockopt(*option)
        self._end()

    def _read_from(self, end: End) -> None:
        end.reader = hubs.get_hub().add(
            hubs.hub.READ, end.connection.fileno(), lambda _: self._take(end), _ignore, _ignore_none
        )

    def _take(self, end: End) -> None:
        if self._ended:
            return
        try:
            piece = end.connection.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.abort()
            return
        if not piece:
            self._end()
            return
        if end is self._caller:
            self.carries_request = True
        self._send(self._other(end), piece)

    def _send(self, end: End, piece: bytes) -> None:
        try:
            sent = end.connection.send(piece)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.abort()
            return
        if sent == len(piece):
            return
        # Nothing more is read for a connection that takes nothing.
        end.unsent = piece[sent:]
        source = self._other(end)
        hubs.get_hub().remove(source.reader)
        source.reader = None
        end.writer = hubs.get_hub().add(
            hubs.hub.WRITE,
            end.connection.fileno(),
            lambda _: self._retry(end),
            _ignore,
            _ignore_none,
        )

    def _retry(self, end: End) -> None:
        if self._ended:
            return
        hubs.get_hub().remove(end.writer)
        end.writer = None
        piece, end.unsent = end.unsent, b""
        self._read_from(self._other(end))
        self._send(end, piece)

    def _other(self, end: End) -> End:
        return self._helper if end is self._caller else self._caller

    def _end(self) -> None:
        self._ended = True
        for end in (self._caller, self._helper):
            for listener in (end.reader, end.writer):
                if listener is not None:
                    hubs.get_hub().remove(listener)
            end.connection.close()
        self._on_end()


def _ignore(error: BaseException) -> None:
    """Take the loop's word that a descriptor was closed; nothing waits on it here."""


def _ignore_none() -> None:
    """Take the loop's word that a descriptor is used anew."""
