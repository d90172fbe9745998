"""The bytes that a client sends, read from its connection in small pieces.

Nothing is read ahead but what one call to the socket returns, and no buffer is held while the
connection waits for its client.
"""

from typing import Any

HEAD_PIECE_BYTES = 8 * 1024


class RequestStream:
    """One connection's incoming bytes, as a file."""

    def __init__(self, connection: Any) -> None:
        """Wrap a connection of eventlet."""
        self._connection = connection
        self._pending = b""
        """Bytes that have been read and not been asked for yet."""
        self.closed = False

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that have been read ahead."""
        return len(self._pending)

    def wait_for_bytes(self) -> bool:
        """Wait until there are bytes; returns False at the end of the connection."""
        return bool(self._pending) or self._receive(HEAD_PIECE_BYTES)

    def read_some(self, size_bytes: int) -> bytes:
        """Return what has arrived, at most ``size_bytes``; waits if nothing has."""
        if not self._pending:
            received: bytes = self._connection.recv(size_bytes)
            return received
        piece, self._pending = self._pending[:size_bytes], self._pending[size_bytes:]
        return piece

    def read_into(self, view: memoryview) -> int:
        """Fill the beginning of a buffer with what has arrived; returns the number of bytes."""
        if not self._pending:
            received_bytes: int = self._connection.recv_into(view)
            return received_bytes
        piece = self.read_some(len(view))
        view[: len(piece)] = piece
        return len(piece)

    def read(self, size_bytes: int = -1) -> bytes:
        """Return the next bytes; fewer than asked for only at the end of the connection."""
        pieces: list[bytes] = []
        left_bytes = size_bytes
        while left_bytes:
            piece = self.read_some(HEAD_PIECE_BYTES if left_bytes < 0 else left_bytes)
            if not piece:
                break
            pieces.append(piece)
            left_bytes = left_bytes if left_bytes < 0 else left_bytes - len(piece)
        return b"".join(pieces)

    def readline(self, size_bytes: int = -1) -> bytes:
        """Return the next line with its end, or its first ``size_bytes``."""
        scanned_bytes = 0
        while True:
            end = self._pending.find(b"\n", scanned_bytes) + 1
            scanned_bytes = len(self._pending)
            is_limited = 0 <= size_bytes <= scanned_bytes
            if end or is_limited or not self._receive(HEAD_PIECE_BYTES):
                break
        length = end or scanned_bytes
        if size_bytes >= 0:
            length = min(length, size_bytes)
        line, self._pending = self._pending[:length], self._pending[length:]
        return line

    def put_back(self, piece: bytes) -> None:
        """Have bytes that were read, and belong to what comes next, returned again."""
        self._pending = piece + self._pending

    def close(self) -> None:
        """Forget what was read ahead; the connection itself stays as it is."""
        self.closed = True
        self._pending = b""

    def _receive(self, size_bytes: int) -> bool:
        received = self._connection.recv(size_bytes)
        self._pending += received
        return bool(received)
