"""Reads the bodies of clients' requests within bounds."""

from typing import Any

from eventlet import wsgi

MAX_SIZE_LINE_BYTES = 1024
MAX_FRAMING_FACTOR = 8
"""Limit of the bytes that frame the chunks of a body, per byte of the largest body. A chunk of one
byte takes six."""

DISCARD_PIECE_BYTES = 16 * 1024


class BoundedLines:
    """A client's connection as a file whose lines have a limit, each and together."""

    def __init__(self, stream: Any, limit_bytes: int) -> None:
        """Wrap a file.

        :param limit_bytes: limit of all lines together.
        """
        self._stream = stream
        self._left_bytes = limit_bytes

    def read(self, size_bytes: int) -> bytes:
        """Return the next bytes; fewer only at the end of the connection."""
        content: bytes = self._stream.read(size_bytes)
        return content

    def readline(self, size_bytes: int = MAX_SIZE_LINE_BYTES) -> bytes:
        """Return the next line, or its first ``size_bytes``.

        :raises wsgi.ChunkReadError: if the lines have exceeded their limit.
        """
        line: bytes = self._stream.readline(size_bytes)
        self._left_bytes -= len(line)
        if self._left_bytes < 0 or len(line) >= MAX_SIZE_LINE_BYTES:
            raise wsgi.ChunkReadError("the sizes of chunks, or what follows the last, without end")
        return line


class BoundedInput(wsgi.Input):
    """The body of a client's request."""

    chunked_input: bool
    discard_limit_bytes = 0
    """The most bytes that are read of a body that is not wanted, to use its connection again."""

    def discard(self, buffer_size: int = DISCARD_PIECE_BYTES) -> None:
        """Read what is left of the body; called by the WSGI server after the response.

        :raises wsgi.ChunkReadError: if that is too much; the connection is then closed.
        """
        left_bytes = self.discard_limit_bytes
        while piece := self.read(buffer_size):
            left_bytes -= len(piece)
            if left_bytes < 0:
                raise wsgi.ChunkReadError("more of a body is left than is read in vain")


def bound_body(body: wsgi.Input, body_limit_bytes: int) -> None:
    """Bound what is read of a request's body, beyond the limit that its reader has."""
    body.__class__ = BoundedInput
    body.discard_limit_bytes = body_limit_bytes
    if body.chunked_input:
        body.rfile = BoundedLines(body.rfile, MAX_FRAMING_FACTOR * body_limit_bytes)
