"""Responses that refuse a request of the routed interface, with the delay before a retry."""

from myrtlehook_core import Outcome, RefusalReason
from myrtlehook_router.request.answers import (
    REFUSAL_STATUSES,
    RETRY_AFTER_STATUSES,
    Answer,
    Refusal,
    encode_error,
)
from myrtlehook_router.request.headers import HeaderNames

MIN_RETRY_AFTER_S = 0.05

ROUTED_REFUSAL_STATUSES = {
    **REFUSAL_STATUSES,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.CONFIGURATION_REMOVED: 503,
    RefusalReason.DUPLICATE_REQUEST_ID: 503,
}
"""Status by reason; every other reason is a 503, which guarantees that nothing was run."""


def make_routed_refusal(names: HeaderNames, request_id: str, refusal: Refusal) -> Answer:
    """Make the final response to a request that was not run."""
    status = ROUTED_REFUSAL_STATUSES.get(refusal.reason, 503)
    headers = [("Content-Type", "application/json")]
    if request_id:
        headers.append((names.request_id, request_id))
    if status in RETRY_AFTER_STATUSES:
        wait_s = max(refusal.retry_after_s, MIN_RETRY_AFTER_S)
        headers.append(("Retry-After", f"{wait_s:.2f}"))
    body = encode_error(refusal.reason, refusal.message, request_id, Outcome.NOT_RUN)
    return Answer(status, [body], headers)
