"""Reads the head of a request strictly: what two readers might take differently is refused."""

import io
import re
from collections.abc import Callable
from http.client import responses
from typing import Any

import eventlet
from eventlet import wsgi

from myrtlehook_core import EntryLimits
from myrtlehook_router.process.counters import Counters

TARGET_KEY = "myrtlehook.target"
"""The request's target as it was sent; ``PATH_INFO`` is decoded and so is another text."""

_REQUEST_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ /[^\x00-\x20\x7f]* HTTP/1\.[01]\r\n")
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*\r\n")
_BLANK_LINE = b"\r\n"


class HeadError(Exception):
    """A head that is answered with an error; the connection ends with it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        """Names the counter."""


def make_strict_protocol(
    limits: Callable[[], EntryLimits], is_closing: Callable[[], bool], counters: Counters
) -> type:
    """Make the protocol class of the routed interface's listener.

    :param is_closing: whether connections are to end after the answer that is under way.
    """

    class StrictProtocol(wsgi.HttpProtocol):
        """One connection of a caller."""

        rfile: Any
        _head: bytes

        def _read_request_line(self) -> bytes:
            """Wait for the first byte as long as a connection may rest."""
            self.connection.settimeout(limits().idle_timeout_s)
            try:
                if not self.rfile.peek(1):
                    return b""
                self._head = self._read_head()
            except HeadError as error:
                self._refuse(error)
                return b""
            except OSError:
                return b""
            finally:
                self.connection.settimeout(limits().idle_timeout_s)
            return self._head.split(_BLANK_LINE, 1)[0] + _BLANK_LINE

        def _read_head(self) -> bytes:
            now = limits()
            timeout = eventlet.Timeout(now.header_timeout_s, HeadError(408, "head_too_slow"))
            try:
                return read_head(self.rfile, now.header_bytes)
            finally:
                timeout.cancel()

        def parse_request(self) -> bool:
            """Parse the head that was read."""
            fields = self._head.split(_BLANK_LINE, 1)[1]
            self.rfile = io.BytesIO(fields)
            if not super().parse_request():
                counters.add("refusal.malformed_head")
                return False
            if is_closing():
                self.close_connection = True
            return True

        def get_environ(self) -> dict[str, Any]:
            environ = super().get_environ()
            environ[TARGET_KEY] = self.requestline.split()[1]
            return environ

        def _refuse(self, error: HeadError) -> None:
            counters.add(f"refusal.{error.reason}")
            text = responses.get(error.status, "Error")
            self.wfile.write(
                f"HTTP/1.1 {error.status} {text}\r\n"
                "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
            )
            self.wfile.flush()

    return StrictProtocol


def read_head(stream: Any, limit_bytes: int) -> bytes:
    """Read a request line and its headers, up to and with the blank line.

    :raises HeadError: when the head is too long or is not what the standard allows.
    """
    lines: list[bytes] = []
    size_bytes = 0
    while True:
        line = stream.readline(limit_bytes + 1 - size_bytes)
        if not line:
            raise OSError("the connection ended within a head")
        size_bytes += len(line)
        if size_bytes > limit_bytes:
            raise HeadError(431, "head_too_large")
        if line == _BLANK_LINE and lines:
            break
        if line == _BLANK_LINE:
            continue
        _check_line(line, first=not lines)
        lines.append(line)
    _check_framing(lines[1:])
    return b"".join(lines) + _BLANK_LINE


def _check_line(line: bytes, first: bool) -> None:
    pattern = _REQUEST_LINE if first else _HEADER_LINE
    if not pattern.fullmatch(line):
        raise HeadError(400, "malformed_head")


def _check_framing(header_lines: list[bytes]) -> None:
    """Refuse two lengths, a length beside chunks, and codings that are not understood."""
    lengths = _values(header_lines, b"content-length")
    codings = _values(header_lines, b"transfer-encoding")
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        raise HeadError(400, "malformed_head")
    if lengths and not (lengths[0].isdigit() and lengths[0].isascii()):
        raise HeadError(400, "malformed_head")
    if codings and codings[0].lower() != b"chunked":
        raise HeadError(400, "malformed_head")
    if len(_values(header_lines, b"host")) != 1:
        raise HeadError(400, "malformed_head")


def _values(header_lines: list[bytes], name: bytes) -> list[bytes]:
    pairs = [line.split(b":", 1) for line in header_lines]
    return [value.strip() for key, value in pairs if key.lower() == name]
