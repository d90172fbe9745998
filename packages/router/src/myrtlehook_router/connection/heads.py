"""Reads request heads strictly: rejects what two parsers might interpret differently."""

import io
import re
from collections.abc import Callable
from http.client import responses
from typing import Any

import eventlet

from myrtlehook_core import IngressLimits
from myrtlehook_router.connection.client_protocols import ClientConnections, ClientProtocol
from myrtlehook_router.connection.closed_connections import reset_connection
from myrtlehook_router.connection.request_bodies import ProcessBudgets
from myrtlehook_router.process.counters import Counters

TARGET_KEY = "myrtlehook.target"
"""Environ key of the request target as it was sent; ``PATH_INFO`` holds the decoded path."""

BREAK_OFF_KEY = "myrtlehook.break_off"
"""Environ key of a function to call when a response breaks off, before its body is closed."""

WAITED_KEY = "myrtlehook.waited_s"
"""Environ key of the time that a request had waited at the router that passed it on."""

MIN_TRANSFER_TIMEOUT_S = 1.0
"""Shortest time-out of a body, of a response, and of the first request on a connection: bytes that
are on their way take some time, however short a connection may be idle."""

MAX_HEAD_LINES = 100
"""Limit of the lines of a head, and of the blank ones before it."""

_REQUEST_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ /[!-~]* HTTP/1\.[01]\r\n")
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*\r\n")
_BLANK_LINE = b"\r\n"


class HeadError(Exception):
    """A request head that is rejected with an error response; the connection is then closed."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        """The last part of the counter's name."""


def make_strict_protocol(
    limits: Callable[[], IngressLimits],
    must_close: Callable[[], bool],
    counters: Counters,
    busy_connections: set[object],
    shared_budgets: ProcessBudgets,
    open_connections: ClientConnections,
) -> type:
    """Make the protocol class for the listener of the routed interface.

    :param must_close: returns whether connections must close after their current response.
    :param busy_connections: holds each connection while it has a request that is being read or
        answered.
    """

    class StrictProtocol(ClientProtocol):
        """A client's connection."""

        budgets = shared_budgets
        connections = open_connections
        request_version: str
        _head: bytes
        _breaks_off = False
        _is_new = True
        """Whether no request has been waited for on this connection yet."""

        def _read_request_line(self) -> bytes:
            """Wait for a request up to the idle timeout; returns the first line of its head."""
            busy_connections.discard(self)
            self.connection.settimeout(self._get_idle_timeout_s())
            self._is_new = False
            try:
                if not self.rfile.wait_for_bytes():
                    return b""
                busy_connections.add(self)
                self._head = self._read_head()
            except HeadError as error:
                self._refuse(error)
                return b""
            except OSError:
                return b""
            finally:
                self.connection.settimeout(max(limits().idle_timeout_s, MIN_TRANSFER_TIMEOUT_S))
            return self._head.split(_BLANK_LINE, 1)[0] + _BLANK_LINE

        def _get_idle_timeout_s(self) -> float:
            """Return how long to wait for a request; a new connection may bring its first one."""
            now = limits()
            if not self._is_new:
                return now.idle_timeout_s
            return max(now.idle_timeout_s, now.header_timeout_s, MIN_TRANSFER_TIMEOUT_S)

        def _read_head(self) -> bytes:
            now = limits()
            timeout = eventlet.Timeout(now.header_timeout_s, HeadError(408, "head_too_slow"))
            try:
                return read_head(self.rfile, now.header_bytes)
            finally:
                timeout.cancel()

        def parse_request(self) -> bool:
            """Parse the head that has been read."""
            fields = self._head.split(_BLANK_LINE, 1)[1]
            self.rfile = io.BytesIO(fields)
            if not super().parse_request():
                counters.add("refusal.malformed_head")
                return False
            if must_close():
                self.close_connection = True
            return True

        def get_environ(self) -> dict[str, Any]:
            self.body_limit_bytes = limits().body_bytes
            environ = super().get_environ()
            environ[TARGET_KEY] = self.requestline.split()[1]
            environ[BREAK_OFF_KEY] = self._break_off
            return environ

        def _break_off(self) -> None:
            # To a client of HTTP/1.0 the regular end of the connection is the end of the response.
            self._breaks_off = self.request_version == "HTTP/1.0"

        def finish(self) -> None:
            """Close the connection, by a reset if its response broke off and has no framing."""
            if self._breaks_off:
                reset_connection(self.connection)
            try:
                super().finish()
            finally:
                busy_connections.discard(self)

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
    """Read a request line and its headers, up to and including the blank line.

    :param stream: a file of lines.
    :raises HeadError: if the head is too long or malformed.
    :raises OSError: if the connection ends before the blank line.
    """
    lines: list[bytes] = []
    head_bytes = 0
    for _ in range(MAX_HEAD_LINES):
        line = stream.readline(limit_bytes + 1 - head_bytes)
        if not line:
            raise OSError("the connection ended within a head")
        head_bytes += len(line)
        if head_bytes > limit_bytes:
            raise HeadError(431, "head_too_large")
        if line == _BLANK_LINE and lines:
            _check_framing(lines[1:])
            return b"".join(lines) + _BLANK_LINE
        if line != _BLANK_LINE:
            _check_line(line, first=not lines)
            lines.append(line)
    raise HeadError(431, "head_too_large")


def _check_line(line: bytes, first: bool) -> None:
    pattern = _REQUEST_LINE if first else _HEADER_LINE
    if not pattern.fullmatch(line):
        raise HeadError(400, "malformed_head")


def _check_framing(header_lines: list[bytes]) -> None:
    """Reject ambiguous body lengths, unsupported transfer codings, and any but one Host header."""
    lengths = _find_header_values(header_lines, b"content-length")
    codings = _find_header_values(header_lines, b"transfer-encoding")
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        raise HeadError(400, "malformed_head")
    if lengths and not (lengths[0].isdigit() and lengths[0].isascii()):
        raise HeadError(400, "malformed_head")
    if codings and codings[0].lower() != b"chunked":
        raise HeadError(400, "malformed_head")
    if len(_find_header_values(header_lines, b"host")) != 1:
        raise HeadError(400, "malformed_head")


def _find_header_values(header_lines: list[bytes], name: bytes) -> list[bytes]:
    pairs = [line.split(b":", 1) for line in header_lines]
    return [value.strip() for key, value in pairs if key.lower() == name]
