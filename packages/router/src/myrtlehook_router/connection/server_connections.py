"""Requests to backend servers, with failures classified by how far a request got."""

import contextlib
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

import eventlet
import urllib3
from result import Err, Ok, Result
from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ReadTimeoutError
from urllib3.util import SKIP_HEADER

from myrtlehook_router.connection.answer_ends import (
    AnswerEnd,
    ContentEnd,
    EndSign,
    Framing,
    Proof,
    find_framing,
    find_proof,
)
from myrtlehook_router.connection.closed_connections import is_connection_closed, is_readable
from myrtlehook_router.connection.connection_pools import (
    IDLE_TIMEOUT_S,
    LATE_END_S,
    ActiveConnection,
    ConnectionPool,
    acquire_connection,
    close_connection,
    expect_framed_end,
    expect_unframed_end,
    list_sockets_beside,
    release_connection,
)
from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.connection.server_checks import CHECK_DELAY_S
from myrtlehook_router.connection.server_sockets import CONNECTION_ERRORS, set_deadline
from myrtlehook_router.process import clocks

IDLE_MARGIN_S = 1.0
"""Connections expire this long before the Keep-Alive timeout that their server announces."""

_SECONDS = re.compile("[0-9]{1,9}")

LIFE_LOOKS = 4
"""How often is looked, in each wait, whether a server's process has outlived a response."""

SURE_OPEN = 2
SURE_OPEN_AMONG_ENDED = 3
"""So many connections that are open at once show that a server lives: if it had ended, as many
packets would be lost. More are required where others have ended with the response."""

Answered = TypeVar("Answered")
JudgeContent = Callable[[Framing], ContentEnd]


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """One request to a backend server; ``address`` is an IP address and a port."""

    method: str
    address: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray
    key: str = ""
    """What distinguishes the request from others; empty if nothing does."""

    @property
    def kind(self) -> str:
        """The method and path. A server frames its answers to one kind alike, as a rule."""
        return f"{self.method} {self.target.partition('?')[0]}"


def _judge_nothing(framing: Framing) -> ContentEnd:
    return ContentEnd.UNKNOWN


class Exchange:
    """One request on its connection, from sending it to the end of its response."""

    def __init__(self, connection_pool: ConnectionPool, request: OutgoingRequest) -> None:
        self._connection_pool = connection_pool
        self._request = request
        self._active: ActiveConnection | None = None
        self._response: urllib3.HTTPResponse | None = None
        self._framing: Framing | None = None
        self._done = False
        self._reading = False
        self.read_since_s = 0.0
        """When the present or the last wait for the server began."""
        self.end: AnswerEnd | None = None
        """How the response ended; None until then."""
        self.aborted = False

    @property
    def was_aborted(self) -> bool:
        """Whether this router ended the exchange before its response had ended."""
        return self.end is not None and self.end.sign is EndSign.ABORTED

    def send(
        self, deadline_s: float, fresh_connection: bool
    ) -> Result[urllib3.HTTPResponse, SendFailure]:
        """Send the request and read the head of its response.

        :param fresh_connection: open a new connection, as the server may be closing an idle one.
        """
        acquired = acquire_connection(
            self._connection_pool,
            self._request.address,
            self._request.kind,
            deadline_s,
            fresh_connection,
            self._request.key,
        )
        if isinstance(acquired, Err):
            return acquired
        active = self._active = acquired.ok_value
        if self.aborted:
            self._close()
            return Err(SendFailure.NOT_SENT)
        answered = self._run_guarded(lambda: self._send_and_read_head(active, deadline_s))
        if isinstance(answered, Err):
            return answered
        self._response = answered.ok_value
        active.connection.has_answered = True
        framing = find_framing(self._request.method, answered.ok_value)
        if isinstance(framing, Err):
            return self._fail(EndSign.MALFORMED)
        self._framing = framing.ok_value
        if self._framing is Framing.CONNECTION:
            expect_unframed_end(self._connection_pool, active)
        else:
            is_success = 200 <= answered.ok_value.status < 300
            expect_framed_end(self._connection_pool, active, self._request.kind, is_success)
        return answered

    def read_some(
        self,
        size_bytes: int,
        deadline_s: float,
        judge_content: JudgeContent = _judge_nothing,
    ) -> Result[bytes, SendFailure]:
        """Read what has arrived of the body; empty bytes mark the end of a whole response.

        :param judge_content: returns what the content that was read tells of its end.
        """
        if self.aborted:
            return Err(SendFailure.BROKEN)
        if self._done:
            return Ok(b"")
        read = self._run_guarded(lambda: self._read_piece(size_bytes, deadline_s))
        if isinstance(read, Ok) and not read.ok_value:
            return self._finish(judge_content)
        return read

    @property
    def is_waiting(self) -> bool:
        """Whether a task waits for the server, and nothing has arrived that it has not read yet."""
        return self._reading and self._active is not None and not is_readable(self._active.sock)

    def has_gone_on(self) -> bool:
        """Return whether bytes of the response have arrived that were not read yet."""
        active = self._active
        if active is None or self._done:
            return False
        return is_readable(active.sock) and not is_connection_closed(active.sock)

    def _send_and_read_head(
        self, active: ActiveConnection, deadline_s: float
    ) -> urllib3.HTTPResponse:
        set_deadline(active.connection, active.sock, deadline_s)
        _send_request(active.connection, self._request)
        return active.connection.getresponse()

    def _read_piece(self, size_bytes: int, deadline_s: float) -> bytes:
        assert self._response is not None and self._active is not None
        set_deadline(self._active.connection, self._active.sock, deadline_s)
        return self._response.read1(size_bytes)

    def _run_guarded(self, work: Callable[[], Answered]) -> Result[Answered, SendFailure]:
        """Run ``work`` on the connection; any connection error ends the exchange."""
        self._reading = True
        self.read_since_s = clocks.now_s()
        failure = SendFailure.BROKEN
        try:
            answered = work()
            if not self.aborted:
                return Ok(answered)
        except (TimeoutError, ReadTimeoutError):
            failure = SendFailure.TIMED_OUT
        except CONNECTION_ERRORS:
            pass
        finally:
            self._reading = False
        return self._fail(self._find_failure_sign(failure), failure)

    def _find_failure_sign(self, failure: SendFailure) -> EndSign:
        if self.aborted:
            return EndSign.ABORTED
        if failure is SendFailure.TIMED_OUT:
            return EndSign.TIMED_OUT
        assert self._active is not None
        return EndSign.RESET if getattr(self._active.sock, "was_reset", False) else EndSign.CLOSED

    def _finish(self, judge_content: JudgeContent) -> Result[bytes, SendFailure]:
        """End the exchange after the last byte of its response that arrived."""
        assert self._framing is not None
        is_framed = self._framing is not Framing.CONNECTION
        sign = EndSign.FRAMING if is_framed else EndSign.CLOSED
        content_end = judge_content(self._framing)
        proof = find_proof(self._framing, content_end, self._outlives_response)
        if self.aborted or proof is Proof.NONE:
            return self._fail(sign)
        self._record_end(sign, proof)
        self._release_connection()
        return Ok(b"")

    def _outlives_response(self) -> bool:
        """Wait, and return whether the server's process has outlived the response's connection.

        The end of a process ends all of its connections, in any order. Where others have ended too,
        one that is open may only be one whose end was lost on the way, and is sent again.
        """
        assert self._active is not None
        beside = list_sockets_beside(self._connection_pool, self._active)
        still_open = _wait_for_ends(beside, CHECK_DELAY_S)
        have_ended = len(still_open) < len(beside)
        if len(still_open) < (SURE_OPEN_AMONG_ENDED if have_ended else SURE_OPEN):
            still_open = _wait_for_ends(still_open, LATE_END_S)
        return bool(still_open)

    def _fail(self, sign: EndSign, failure: SendFailure = SendFailure.BROKEN) -> Err[SendFailure]:
        self._record_end(sign, Proof.NONE)
        self.abort()
        self._close()
        return Err(failure)

    def _record_end(self, sign: EndSign, proof: Proof) -> None:
        """Record how the response ended; the first record counts."""
        if self.end is not None:
            return
        open_beside = ended_beside = 0
        if sign not in (EndSign.FRAMING, EndSign.ABORTED) and self._active is not None:
            for sock in list_sockets_beside(self._connection_pool, self._active):
                is_closed = is_connection_closed(sock)
                ended_beside += is_closed
                open_beside += not is_closed
        self.end = AnswerEnd(self._framing, sign, proof, open_beside, ended_beside)

    def forget_body(self) -> None:
        """Release the request's body, once it is not sent any more."""
        self._request = replace(self._request, body=b"")

    def abort(self) -> None:
        """End the exchange; a task that is reading from it fails at once.

        While another task is reading, the connection is only shut down here and closed by
        that task, because its read buffer must not be closed while it is in use.
        """
        if self._done:
            return
        self._record_end(EndSign.ABORTED, Proof.NONE)
        self.aborted = True
        self._done = True
        if self._active is not None:
            with contextlib.suppress(OSError):
                self._active.sock.shutdown(socket.SHUT_RDWR)
        if not self._reading:
            self._close()

    def _close(self) -> None:
        if self._active is not None:
            close_connection(self._connection_pool, self._active)
        if self._response is not None:
            self._response.close()

    def _release_connection(self) -> None:
        """Keep the connection for the next request if it is reusable."""
        self._done = True
        assert self._active is not None and self._response is not None
        release_connection(
            self._connection_pool, self._active, _compute_idle_timeout_s(self._response)
        )


def _wait_for_ends(sockets: list[Any], wait_s: float) -> list[Any]:
    """Return those of the sockets that are still open after a wait; it ends early if none is."""
    still_open = [sock for sock in sockets if not is_connection_closed(sock)]
    # Time in which the whole machine stood still counts for one look at most.
    for _ in range(LIFE_LOOKS):
        if not still_open:
            break
        eventlet.sleep(wait_s / LIFE_LOOKS)
        still_open = [sock for sock in still_open if not is_connection_closed(sock)]
    return still_open


def _send_request(connection: HTTPConnection, request: OutgoingRequest) -> None:
    headers = HTTPHeaderDict(request.headers)
    if "User-Agent" not in headers:
        headers["User-Agent"] = SKIP_HEADER
    connection.request(
        request.method,
        request.target,
        body=memoryview(request.body) if request.body else None,
        headers=headers,
        preload_content=False,
        decode_content=False,
        enforce_content_length=True,
    )


def _compute_idle_timeout_s(response: urllib3.HTTPResponse) -> float:
    """Return how long the connection may stay idle after this response; 0 if it must close."""
    if "close" in response.headers.get("Connection", "").lower():
        return 0.0
    framed = "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    if not framed and response.status not in (204, 304):
        return 0.0
    for item in response.headers.get("Keep-Alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and _SECONDS.fullmatch(value):
            return min(IDLE_TIMEOUT_S, int(value) - IDLE_MARGIN_S)
    return IDLE_TIMEOUT_S
