"""Reads responses strictly: a line that the end of the connection cuts is no line.

``http.client`` takes such a line as it is. A head that is cut then seems to lack the fields that
have not arrived, among them the framing of the body; of a chunk's size, the digits that have
arrived seem to be all; and the end of the connection passes for the blank line after the last
chunk.
"""

import io
import re
from http.client import HTTPResponse, IncompleteRead
from typing import Any

MAX_SIZE_LINE_BYTES = 1024
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n")


class WholeLineReader(io.BufferedReader):
    """A buffered reader whose lines all end with a line feed."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, or its first ``size`` bytes.

        :raises IncompleteRead: if the stream ends before the end of the line.
        """
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_limited:
            raise IncompleteRead(line)
        return line


class StrictResponse(HTTPResponse):
    """A response of a backend server."""

    fp: Any

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.fp = WholeLineReader(self.fp.detach())

    def _read_next_chunk_size(self) -> int:
        """Return the next chunk's size; called by ``http.client``.

        :raises ValueError: if the line holds anything but hexadecimal digits and extensions.
        """
        line = self.fp.readline(MAX_SIZE_LINE_BYTES)
        found = _SIZE_LINE.fullmatch(line)
        if found is None:
            raise ValueError(f"no chunk size: {line[:40]!r}")
        return int(found.group(1), 16)
