"""Servers of a plain service: a few slots, a fixed service time, seals and faults."""

import hashlib
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import eventlet

from emulator.engines import (
    Arrivals,
    break_connection,
    find_system_headers,
    make_notice_headers,
    should_refuse,
)
from emulator.standstills import wait_while

RESET_DELAY_S = 0.1
"""Long enough for the first half of the answer to be read before the reset."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(slots=True)
class ServiceFaults:
    """Faults that a service shows at present. Each count falls by one when its fault occurs."""

    reset_answers: int = 0
    refusals: int = 0
    errors: int = 0
    unframed_resets: int = 0
    """The number of answers to send without a length and to reset half-way."""
    work_ms: float = 5.0
    leaving: bool = False
    """Whether all answers say that the server leaves, whatever state its store entry shows."""
    refuse_every: int = 0
    """Refuses one request in every N; 0 refuses none."""
    retry_after: str = ""
    """The ``Retry-After`` value of refusals, in seconds; empty to send none."""
    still: bool = False
    """Whether the server stands still: it neither reads nor writes, and no answer goes on."""


class PlainService:
    """One server of a plain service."""

    def __init__(self, identifier: str, slots: int) -> None:
        self.identifier = identifier
        self.slots = slots
        self.busy = 0
        self.faults = ServiceFaults()
        self.runs: Counter[str] = Counter()
        self.arrivals = Arrivals()
        self.seen_headers: dict[str, dict[str, str]] = {}
        self.system_headers: list[tuple[str, str]] = []

    def is_still(self) -> bool:
        """Return whether the server stands still at present."""
        return self.faults.still

    def answer(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        """Serve one request; a WSGI application."""
        attempt_id = environ.get("HTTP_ATTEMPT_ID", "")
        self.arrivals.record(attempt_id)
        expected = environ.get("HTTP_EXPECTED_INSTANCE")
        body = environ["wsgi.input"].read()
        if expected and expected != self.identifier:
            return self._refuse("421 Misdirected Request", attempt_id, start_response)
        is_chosen = should_refuse(self.faults.refuse_every, self.arrivals)
        if is_chosen or self.faults.refusals > 0 or self.busy >= self.slots:
            self.faults.refusals = max(self.faults.refusals - 1, 0)
            return self._refuse("503 Service Unavailable", attempt_id, start_response)
        self.runs[attempt_id] += 1
        self.system_headers += find_system_headers(environ)
        self.seen_headers[attempt_id] = {
            name.title(): value for name, value in environ["headers_raw"]
        }
        self.busy += 1
        try:
            eventlet.sleep(self.faults.work_ms / 1000.0)
            wait_while(self.is_still)
        finally:
            self.busy -= 1
        if self.faults.reset_answers > 0:
            self.faults.reset_answers -= 1
            break_connection(environ)
        if self.faults.unframed_resets > 0:
            self.faults.unframed_resets -= 1
            _reset_halfway(environ, attempt_id)
        failed = self.faults.errors > 0
        self.faults.errors = max(self.faults.errors - 1, 0)
        content = f"{environ['REQUEST_METHOD']} {environ['RAW_PATH_INFO']} ".encode() + body
        seal = hashlib.sha256(f"{self.identifier}/{attempt_id}".encode()).hexdigest()[:16]
        headers = [
            ("Content-Length", str(len(content))),
            ("Attempt-Id", attempt_id),
            ("Response-Seal", seal),
            *make_notice_headers(self.faults.leaving),
        ]
        start_response("500 Internal Server Error" if failed else "200 OK", headers)
        return [content]

    def _refuse(self, status: str, attempt_id: str, start_response: StartResponse) -> list[bytes]:
        headers = [("Content-Length", "0"), ("Attempt-Id", attempt_id), ("Not-Executed", "1")]
        headers += make_notice_headers(self.faults.leaving, self.faults.retry_after, status)
        start_response(status, headers)
        return []


def _reset_halfway(environ: dict[str, Any], attempt_id: str) -> None:
    """Send half an answer without a length, then reset the connection."""
    connection = environ["wsgi.input"].get_socket()
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nResponse-Seal: half\r\n\r\n"
    connection.sendall(head.encode() + b"half an answer")
    eventlet.sleep(RESET_DELAY_S)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.fd.close()
    raise ConnectionResetError("connection reset half-way through the answer")
