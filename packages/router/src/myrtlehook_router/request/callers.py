"""Reads a client's HTTP request from WSGI within size limits, and checks its connection."""

import re
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from myrtlehook_core import RefusalReason
from myrtlehook_router.connection.closed_connections import is_connection_closed
from myrtlehook_router.request.answers import Refusal

REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9._-]{1,128}$")
TIMEOUT_HEADER = "HTTP_X_TIMEOUT_MS"
NO_REPEAT_HEADER = "HTTP_X_NO_REPEAT"
READ_BYTES = 64 * 1024
MAX_TIMEOUT_MS = 24 * 3600 * 1000


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


def read_request_body(environ: dict[str, Any], limit_bytes: int) -> Result[bytes, Refusal]:
    """Read a request's body, which may have at most ``limit_bytes``."""
    length_text = environ.get("CONTENT_LENGTH") or ""
    if length_text and not length_text.isdigit():
        return Err(_make_malformed_refusal("Content-Length must be a whole number"))
    if length_text and int(length_text) > limit_bytes:
        return Err(_make_too_large_refusal(int(length_text), limit_bytes))
    body = bytearray()
    try:
        for chunk in _read_chunks(environ["wsgi.input"]):
            body += chunk
            if len(body) > limit_bytes:
                return Err(_make_too_large_refusal(len(body), limit_bytes))
    except (OSError, ValueError) as error:
        return Err(_make_malformed_refusal(f"the body broke off: {type(error).__name__}"))
    if length_text and len(body) != int(length_text):
        return Err(_make_malformed_refusal(f"got {len(body)} of {length_text} bytes"))
    return Ok(bytes(body))


def get_caller_socket(environ: dict[str, Any]) -> Any | None:
    """Return the socket of the client's connection, if the WSGI server exposes it."""
    get_socket = getattr(environ.get("wsgi.input"), "get_socket", None)
    return None if get_socket is None else get_socket()


def has_caller_disconnected(environ: dict[str, Any]) -> bool:
    """Return whether the client has closed its connection."""
    connection = get_caller_socket(environ)
    return connection is not None and is_connection_closed(connection)


def _read_chunks(stream: Any) -> Iterator[bytes]:
    while chunk := stream.read(READ_BYTES):
        yield chunk


def _make_malformed_refusal(message: str) -> Refusal:
    return Refusal(RefusalReason.MALFORMED_BODY, message)


def _make_too_large_refusal(seen_bytes: int, limit_bytes: int) -> Refusal:
    message = f"the body has {seen_bytes} bytes or more; at most {limit_bytes} are taken"
    return Refusal(RefusalReason.BODY_TOO_LARGE, message)
