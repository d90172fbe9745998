"""Decodes the chunks of a request's body strictly, in any pieces in which they arrive.

Runs of chunks of the same size are decoded together, as decoding one chunk costs as much whether it
holds a byte or a kilobyte.
"""

import re
from enum import Enum, auto

MAX_LINE_BYTES = 1024
"""Limit of the line that holds a chunk's size, and of each field after the last chunk."""

MAX_TRAILER_BYTES = 16 * 1024
MAX_FRAMING_FACTOR = 8
"""Limit of the bytes that frame the chunks of a body, per byte of the largest body. A chunk of one
byte takes six."""

MAX_RUN_CHUNK_BYTES = 64
MIN_RUN_CHUNKS = 4
RUN_RETRY_CHUNKS = 64
"""After a run that is none, so many chunks are decoded one by one."""

_CRLF = b"\r\n"
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
_FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n")


class ChunkError(Exception):
    """Bytes that are no chunks."""


class ChunksTooLargeError(Exception):
    """Chunks whose content exceeds the limit of a body."""


class _Part(Enum):
    SIZE = auto()
    CONTENT = auto()
    CONTENT_END = auto()
    TRAILER = auto()
    END = auto()


class ChunkDecoder:
    """The state of one body."""

    def __init__(self, limit_bytes: int) -> None:
        """Prepare to decode.

        :param limit_bytes: limit of the content.
        """
        self._limit_bytes = limit_bytes
        self._framing_left_bytes = MAX_FRAMING_FACTOR * limit_bytes + MAX_TRAILER_BYTES
        self._trailer_left_bytes = MAX_TRAILER_BYTES
        self._part = _Part.SIZE
        self._line = b""
        """The beginning of a line that has not arrived whole."""
        self._left_bytes = 0
        """What is missing of the present chunk's content."""
        self._single_chunks = 0
        """How many chunks are still to be decoded one by one."""
        self.announced_bytes = 0
        """The content of all chunks whose size has arrived."""

    @property
    def is_whole(self) -> bool:
        """Whether the end of the body has arrived."""
        return self._part is _Part.END

    def decode(self, piece: bytes) -> tuple[bytes, bytes]:
        """Decode what has arrived; returns its content, and what comes after the body.

        :raises ChunkError: if it is no chunk.
        :raises ChunksTooLargeError: if the content exceeds its limit.
        """
        if self._line:
            piece, self._line = self._line + piece, b""
        contents: list[bytes] = []
        position = 0
        while position < len(piece) and self._part is not _Part.END:
            if self._part is _Part.CONTENT:
                content = piece[position : position + self._left_bytes]
                contents.append(content)
                position += len(content)
                self._left_bytes -= len(content)
                if not self._left_bytes:
                    self._part = _Part.CONTENT_END
                continue
            end = piece.find(b"\n", position, position + MAX_LINE_BYTES) + 1
            if not end:
                self._keep_line(piece[position:])
                return b"".join(contents), b""
            line = piece[position:end]
            position = end
            self._read_line(line)
            if self._part is _Part.CONTENT and self._may_begin_run():
                position = self._decode_run(piece, position, line, contents)
        return b"".join(contents), piece[position:]

    def _keep_line(self, beginning: bytes) -> None:
        if len(beginning) >= MAX_LINE_BYTES:
            raise ChunkError("a line that frames chunks is too long")
        self._line = beginning

    def _read_line(self, line: bytes) -> None:
        self._framing_left_bytes -= len(line)
        if self._framing_left_bytes < 0:
            raise ChunkError("the sizes of chunks without end")
        if self._part is _Part.SIZE:
            self._read_size(line)
        elif self._part is _Part.CONTENT_END:
            if line != _CRLF:
                raise ChunkError("a chunk is longer than its size")
            self._part = _Part.SIZE
        elif line == _CRLF:
            self._part = _Part.END
        else:
            self._read_field(line)

    def _read_size(self, line: bytes) -> None:
        found = _SIZE_LINE.fullmatch(line)
        if found is None:
            raise ChunkError(f"no chunk size: {line[:40]!r}")
        self._begin_chunk(int(found.group(1), 16))

    def _begin_chunk(self, size_bytes: int) -> None:
        self._left_bytes = size_bytes
        self._part = _Part.CONTENT if size_bytes else _Part.TRAILER
        self.announced_bytes += size_bytes
        if self.announced_bytes > self._limit_bytes:
            raise ChunksTooLargeError(str(self.announced_bytes))

    def _read_field(self, line: bytes) -> None:
        self._trailer_left_bytes -= len(line)
        if self._trailer_left_bytes < 0 or not _FIELD_LINE.fullmatch(line):
            raise ChunkError(f"no field after the last chunk: {line[:40]!r}")

    def _may_begin_run(self) -> bool:
        if self._single_chunks:
            self._single_chunks -= 1
            return False
        return self._left_bytes <= MAX_RUN_CHUNK_BYTES

    def _decode_run(self, piece: bytes, position: int, line: bytes, contents: list[bytes]) -> int:
        """Decode the present chunk and those like it that follow; returns the position after them.

        :param line: the line with the chunk's size, which ends at ``position``.
        """
        size = self._left_bytes
        unit = len(line) + size + len(_CRLF)
        begin = position - len(line)
        count = (len(piece) - begin) // unit
        if count < MIN_RUN_CHUNKS or piece[begin + unit : begin + unit + len(line)] != line:
            return position
        end = begin + count * unit
        frame = [*enumerate(line), *enumerate(_CRLF, start=len(line) + size)]
        is_run = all(
            piece[begin + offset : end : unit].count(byte) == count for offset, byte in frame
        )
        if not is_run or not self._count_run(count - 1, size, len(line) + len(_CRLF)):
            self._single_chunks = RUN_RETRY_CHUNKS
            return position
        content = bytearray(count * size)
        for offset in range(size):
            content[offset::size] = piece[begin + len(line) + offset : end : unit]
        contents.append(bytes(content))
        self._left_bytes = 0
        self._part = _Part.SIZE
        return end

    def _count_run(self, more_chunks: int, size: int, framing: int) -> bool:
        """Count the chunks of a run after its first one; returns False if they exceed a limit."""
        if self.announced_bytes + more_chunks * size > self._limit_bytes:
            return False
        if self._framing_left_bytes < (more_chunks + 1) * framing:
            return False
        self.announced_bytes += more_chunks * size
        self._framing_left_bytes -= more_chunks * framing + len(_CRLF)
        return True
