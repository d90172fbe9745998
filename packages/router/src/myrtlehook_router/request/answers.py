"""Responses to clients: refusals and failures as JSON, each with its reason and outcome."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from myrtlehook_core import Outcome, RefusalReason

REQUEST_ID_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Outcome"
JSON_TYPE = "application/json"

STATUS_TEXTS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

REFUSAL_STATUSES = {
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_PATH: 404,
    RefusalReason.POOL_NOT_ALLOWED: 403,
    RefusalReason.CONFIGURATION_REMOVED: 403,
    RefusalReason.MALFORMED_BODY: 400,
    RefusalReason.NO_REGION_ALLOWED: 403,
    RefusalReason.REGION_NOT_ALLOWED: 421,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.DUPLICATE_REQUEST_ID: 409,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.QUEUE_BYTES_FULL: 429,
    RefusalReason.RATE_LIMITED: 429,
}
"""HTTP status of each refusal reason; every other reason has 503."""

RETRY_AFTER_STATUSES = frozenset({429, 503})

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Answer:
    """The response that is sent to a client."""

    status: int
    body: Iterable[bytes]
    headers: Headers = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal: its reason, a text for the client, and after how long the client may retry."""

    reason: RefusalReason
    message: str
    retry_after_s: float = 1.0


def make_refusal_answer(request_id: str, refusal: Refusal) -> Answer:
    """Make the final response to a request that was not run."""
    status = REFUSAL_STATUSES.get(refusal.reason, 503)
    headers = _make_answer_headers(request_id, Outcome.NOT_RUN)
    if status in RETRY_AFTER_STATUSES:
        headers.append(("Retry-After", str(math.ceil(refusal.retry_after_s))))
    body = encode_error(refusal.reason, refusal.message, request_id, Outcome.NOT_RUN)
    return Answer(status, [body], headers)


def make_failure_answer(request_id: str, status: int, code: str, message: str) -> Answer:
    """Make the response to a request that may or may not have run."""
    body = encode_error(code, message, request_id, Outcome.UNKNOWN)
    return Answer(status, [body], _make_answer_headers(request_id, Outcome.UNKNOWN))


def make_json_answer(request_id: str, content: object) -> Answer:
    """Make a complete response with a JSON body."""
    body = msgspec.json.encode(content)
    return Answer(200, [body], _make_answer_headers(request_id, Outcome.COMPLETED))


def encode_error(code: str, message: str, request_id: str, outcome: Outcome) -> bytes:
    """Encode an error in the format that client libraries of the model API expect."""
    error = {
        "type": "myrtlehook",
        "code": str(code),
        "message": message,
        "request_id": request_id,
        "outcome": str(outcome),
    }
    return msgspec.json.encode({"error": error})


def format_status_line(status: int) -> str:
    """Return a status with its reason phrase, as WSGI requires it."""
    return f"{status} {STATUS_TEXTS.get(status, 'Status')}"


def _make_answer_headers(request_id: str, outcome: Outcome) -> Headers:
    return [
        ("Content-Type", JSON_TYPE),
        (REQUEST_ID_HEADER, request_id),
        (OUTCOME_HEADER, str(outcome)),
    ]
