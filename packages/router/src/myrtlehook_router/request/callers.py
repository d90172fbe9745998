"""Reads a client's HTTP request from WSGI within size limits, and checks its connection."""

import random
import re
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from myrtlehook_core import RefusalReason
from myrtlehook_router.connection.closed_connections import is_connection_closed
from myrtlehook_router.connection.request_bodies import BodyFault
from myrtlehook_router.request.answers import Refusal

REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9._-]{1,128}$")
TIMEOUT_HEADER = "HTTP_X_TIMEOUT_MS"
NO_REPEAT_HEADER = "HTTP_X_NO_REPEAT"
MAX_TIMEOUT_MS = 24 * 3600 * 1000

BODY_TIMEOUT_S = 120.0
"""How long the body of a request of the built-in interface may take to arrive."""

MIN_MEMORY_RETRY_S = 0.25
MAX_MEMORY_RETRY_S = 1.0
"""Bounds of the delay before the retry of a request for which there was no memory. Bodies leave the
router as soon as they are answered."""

_FAULT_REASONS = {
    BodyFault.TOO_LARGE: RefusalReason.BODY_TOO_LARGE,
    BodyFault.MALFORMED: RefusalReason.MALFORMED_BODY,
    BodyFault.BROKE_OFF: RefusalReason.MALFORMED_BODY,
    BodyFault.TOO_SLOW: RefusalReason.DEADLINE_PASSED,
    BodyFault.NO_MEMORY: RefusalReason.MEMORY_FULL,
    BodyFault.GAVE_WAY: RefusalReason.BODY_STALLED,
}
_FAULT_MESSAGES = {
    BodyFault.MALFORMED: "the body is no sequence of chunks",
    BodyFault.BROKE_OFF: "the body broke off",
    BodyFault.TOO_SLOW: "the body came too slowly",
    BodyFault.NO_MEMORY: "this router has no memory for the body now",
    BodyFault.GAVE_WAY: "the body stopped arriving, and its memory was needed",
}


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """The head of one request as its client sent it."""

    environ: dict[str, Any]
    method: str
    path: str
    request_id: str
    authorization: str
    timeout_ms: int | None
    no_repeat: bool


def parse_request(environ: dict[str, Any]) -> Result[CallerRequest, Refusal]:
    """Read and check a request's head."""
    given_id = environ.get("HTTP_X_REQUEST_ID", "")
    if given_id and not REQUEST_ID_PATTERN.match(given_id):
        return Err(
            _make_malformed_refusal(
                "X-Request-Id must be 1 to 128 letters, digits, '.', '_' or '-'"
            )
        )
    if "HTTP_TRANSFER_ENCODING" in environ and environ.get("CONTENT_LENGTH"):
        # Two statements of the length of one body permit request smuggling.
        return Err(_make_malformed_refusal("send Content-Length or Transfer-Encoding, not both"))
    timeout_text = environ.get(TIMEOUT_HEADER, "")
    if timeout_text and not (timeout_text.isascii() and timeout_text.isdigit()):
        return Err(
            _make_malformed_refusal(
                f"X-Timeout-Ms must be a whole number, not {timeout_text[:40]!r}"
            )
        )
    timeout_ms = min(int(timeout_text[:12]), MAX_TIMEOUT_MS) if timeout_text else None
    return Ok(
        CallerRequest(
            environ=environ,
            method=environ["REQUEST_METHOD"],
            path=environ.get("PATH_INFO", "/"),
            request_id=given_id or uuid.uuid4().hex,
            authorization=environ.get("HTTP_AUTHORIZATION", ""),
            timeout_ms=timeout_ms,
            no_repeat=environ.get(NO_REPEAT_HEADER, "").lower() in ("1", "true", "yes"),
        )
    )


def read_request_body(
    environ: dict[str, Any],
    limit_bytes: int,
    workspace: str,
    deadline_s: float,
    draw: Callable[[], float] = random.random,
) -> Result[bytes | bytearray, Refusal]:
    """Read a request's body, which may have at most ``limit_bytes``.

    :param workspace: whose memory it takes.
    :param draw: returns a random number from 0 to 1, which spreads retries.
    """
    collected = environ["wsgi.input"].body.collect(limit_bytes, workspace, deadline_s)
    if isinstance(collected, Ok):
        return collected
    fault = collected.err_value
    if fault is BodyFault.TOO_LARGE:
        message = f"the body is too large; at most {limit_bytes} bytes are taken"
    else:
        message = _FAULT_MESSAGES[fault]
    wait_s = MIN_MEMORY_RETRY_S + draw() * (MAX_MEMORY_RETRY_S - MIN_MEMORY_RETRY_S)
    return Err(Refusal(_FAULT_REASONS[fault], message, wait_s))


def get_caller_socket(environ: dict[str, Any]) -> Any | None:
    """Return the socket of the client's connection, if the WSGI server exposes it."""
    get_socket = getattr(environ.get("wsgi.input"), "get_socket", None)
    return None if get_socket is None else get_socket()


def has_caller_disconnected(environ: dict[str, Any]) -> bool:
    """Return whether the client has closed its connection."""
    connection = get_caller_socket(environ)
    return connection is not None and is_connection_closed(connection)


def _make_malformed_refusal(message: str) -> Refusal:
    return Refusal(RefusalReason.MALFORMED_BODY, message)
