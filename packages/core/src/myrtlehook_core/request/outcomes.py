"""The closed sets of request outcomes, refusal reasons and retry reasons."""

from enum import StrEnum


class Outcome(StrEnum):
    """What became of a request, as told to its caller."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    """No byte left for a backend server, or the server said that it did not start."""
    UNKNOWN = "unknown"
    """The request left this router and no one can tell how far it got."""


class RefusalReason(StrEnum):
    """Why a request was refused; each is a counter, a log field and an error code."""

    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    POOL_NOT_ALLOWED = "pool_not_allowed"
    MALFORMED_BODY = "malformed_body"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_PATH = "unknown_path"
    DUPLICATE_REQUEST_ID = "duplicate_request_id"
    QUEUE_FULL = "queue_full"
    QUEUE_BYTES_FULL = "queue_bytes_full"
    ROUTER_FULL = "router_full"
    ROUTER_BYTES_FULL = "router_bytes_full"
    ROUTER_OVERLOADED = "router_overloaded"
    """Short of processor time; another router may be idle."""
    RATE_LIMITED = "rate_limited"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    SHARE_EXCEEDED = "share_exceeded"
    """Its workspace asks for more than its share, and engines take nothing more at present."""
    DEADLINE_PASSED = "deadline_passed"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKED_OFF = "backed_off"
    """Each backend server that could serve it wants nothing of this router for now."""
    QUARANTINED = "quarantined"
    """Backend servers ended again and again while they ran this very request."""
    RETRIES_EXHAUSTED = "retries_exhausted"
    DRAINING = "draining"
    NOT_CONFIGURED = "not_configured"
    CONFIGURATION_REMOVED = "configuration_removed"
    UNKNOWN_ROUTE = "unknown_route"
    CALLER_GONE = "caller_gone"
    ROUTER_FAULT = "router_fault"
    """The router met a fault of its own before it sent the request anywhere."""


class RetryReason(StrEnum):
    """Why a request that certainly was not run is queued again."""

    CONNECT_FAILED = "connect_failed"
    SERVER_REFUSED = "server_refused"
    SERVER_LEAVING = "server_leaving"
    SERVER_BACKED_OFF = "server_backed_off"
    """The server turned the request away, and wants nothing of this router for a time."""
    LEASE_EXPIRED = "lease_expired"
    SERVER_REPLACED = "server_replaced"
    """Another server has the address by now, and declined."""
    ANSWER_BROKEN = "answer_broken"
    """It may have run; only a repeatable request is queued again."""


class DropReason(StrEnum):
    """Why a message between routers, or a lease in one, was dropped."""

    UNAUTHENTICATED_MESSAGE = "unauthenticated_message"
    UNLISTED_ADDRESS = "unlisted_address"
    MALFORMED_MESSAGE = "malformed_message"
    STALE_MESSAGE = "stale_message"
    PEER_BUSY = "peer_busy"
    GRANT_EXPIRED = "grant_expired"
    GRANT_UNUSED = "grant_unused"
    GRANT_CLOSED = "grant_closed"
    """The server leaves, or wants nothing of this router, and its owner did not know."""
    CUT_FOR_TEST = "cut_for_test"
