"""Reads responses strictly and within bounds.

A line that the end of the connection cuts is no line.

``http.client`` takes such a line as it is. A head that is cut then seems to lack the fields that
have not arrived, among them the framing of the body; of a chunk's size, the digits that have
arrived seem to be all; and the end of the connection passes for the blank line after the last
chunk. It also reads interim responses and trailers for as long as they come.
"""

import io
import re
from collections.abc import Iterator
from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import Any

from myrtlehook_router.connection.answer_heads import (
    AnswerHead,
    check_framing,
    read_fields,
    read_final_head,
)

CHUNK_END = b"\r\n"
MAX_SIZE_LINE_BYTES = 1024

MAX_HEAD_BYTES = 64 * 1024
"""Limit of a head, with the interim responses before it, and of the fields after the last chunk."""

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n")


class WholeLineReader(io.BufferedReader):
    """A buffered reader whose lines all end with a line feed."""

    lines_left_bytes: int | None = None
    """How many bytes of lines may still be read; None if there is no limit."""

    replayed_lines: Iterator[bytes] = iter(())
    """Lines that are returned before those of the stream."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, or its first ``size`` bytes.

        :raises IncompleteRead: if the stream ends before the end of the line.
        :raises HTTPException: if the lines have exceeded their limit.
        """
        replayed = next(self.replayed_lines, None)
        if replayed is not None:
            return replayed
        line = super().readline(size)
        if self.lines_left_bytes is not None:
            self.lines_left_bytes -= len(line)
            if self.lines_left_bytes < 0:
                raise HTTPException("a head or trailer without end")
        is_limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_limited:
            raise IncompleteRead(line)
        return line


class StrictResponse(HTTPResponse):
    """A response of a backend server."""

    fp: Any
    chunk_left: Any
    _safe_read: Any

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.fp = WholeLineReader(self.fp.detach())

    def begin(self) -> None:
        """Read the head of the final response; called by ``http.client``.

        :raises AnswerHeadError: if the bytes are no head.
        """
        if self.headers is not None:
            return
        self.fp.lines_left_bytes = MAX_HEAD_BYTES
        head = read_final_head(self.fp.readline)
        check_framing(head)
        self.fp.lines_left_bytes = None
        # The library parses the head once more, from lines that it can only read in one way.
        self.fp.replayed_lines = _write_lines(head)
        super().begin()

    def _read_and_discard_trailer(self) -> None:
        """Read the fields after the last chunk; called by ``http.client``.

        :raises AnswerHeadError: if they are none.
        """
        self.fp.lines_left_bytes = MAX_HEAD_BYTES
        read_fields(self.fp.readline)
        self.fp.lines_left_bytes = None

    def _get_chunk_left(self) -> int | None:
        """Return what is left of the current chunk, or of the next one; called by ``http.client``.

        :raises IncompleteRead: if a chunk is longer than its size says.
        """
        if self.chunk_left == 0:
            if self._safe_read(len(CHUNK_END)) != CHUNK_END:
                raise IncompleteRead(b"")
            self.chunk_left = None
        left: int | None = super()._get_chunk_left()  # type: ignore[misc]
        return left

    def _read_next_chunk_size(self) -> int:
        """Return the next chunk's size; called by ``http.client``.

        :raises ValueError: if the line holds anything but hexadecimal digits and extensions.
        """
        line = self.fp.readline(MAX_SIZE_LINE_BYTES)
        found = _SIZE_LINE.fullmatch(line)
        if found is None:
            raise ValueError(f"no chunk size: {line[:40]!r}")
        return int(found.group(1), 16)


def _write_lines(head: AnswerHead) -> Iterator[bytes]:
    yield f"HTTP/1.{head.minor_version} {head.status} {head.reason}\r\n".encode("latin-1")
    for name, value in head.fields:
        yield f"{name}: {value}\r\n".encode("latin-1")
    yield b"\r\n"
