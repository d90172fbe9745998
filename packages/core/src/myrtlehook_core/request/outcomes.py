"""Enumerations of request outcomes and of the reasons for refusals, retries and drops."""

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request was run, as reported to its client."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    """No byte was sent to a backend server, or the server reported that it did not start it."""
    UNKNOWN = "unknown"
    """The request was sent, and it is not known how far it was processed."""


class RefusalReason(StrEnum):
    """Why a request was refused; each is a counter, a log field and an error code."""

    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    POOL_NOT_ALLOWED = "pool_not_allowed"
    MALFORMED_BODY = "malformed_body"
    BODY_TOO_LARGE = "body_too_large"
    MEMORY_FULL = "memory_full"
    """There was no memory for its body."""
    BODY_STALLED = "body_stalled"
    """Its body stopped arriving, and the memory held for it was needed."""
    UNKNOWN_PATH = "unknown_path"
    DUPLICATE_REQUEST_ID = "duplicate_request_id"
    QUEUE_FULL = "queue_full"
    QUEUE_BYTES_FULL = "queue_bytes_full"
    ROUTER_FULL = "router_full"
    ROUTER_BYTES_FULL = "router_bytes_full"
    ROUTER_OVERLOADED = "router_overloaded"
    """This router is short of processor time; another router may be idle."""
    RATE_LIMITED = "rate_limited"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    SHARE_EXCEEDED = "share_exceeded"
    """Its workspace exceeds its share, and the engines admit no more such requests for now."""
    DEADLINE_PASSED = "deadline_passed"
    NO_BACKEND_SERVER = "no_backend_server"
    REGION_NOT_ALLOWED = "region_not_allowed"
    """Its route or workspace does not allow that it is served in this router's region."""
    NO_REGION_ALLOWED = "no_region_allowed"
    """Its route and its workspace allow no region in common."""
    NO_SERVER_IN_REGION = "no_server_in_region"
    """No backend server of its pool is in a region in which it may be served."""
    NO_SERVER_OF_VERSION = "no_server_of_version"
    """No backend server is left of the software version that began its stream."""
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    """It resumes a stream, and this router could not find out which software version began it."""
    BACKED_OFF = "backed_off"
    """Every backend server that could serve it has asked this router to back off."""
    QUARANTINED = "quarantined"
    """Backend servers repeatedly went down while they ran this request."""
    RETRIES_EXHAUSTED = "retries_exhausted"
    DRAINING = "draining"
    NOT_CONFIGURED = "not_configured"
    CONFIGURATION_REMOVED = "configuration_removed"
    UNKNOWN_ROUTE = "unknown_route"
    CALLER_GONE = "caller_gone"
    ROUTER_FAULT = "router_fault"
    """An internal error occurred in the router before it sent the request to a server."""


class RetryReason(StrEnum):
    """Why a request that certainly was not run is queued again."""

    CONNECT_FAILED = "connect_failed"
    SERVER_REFUSED = "server_refused"
    SERVER_LEAVING = "server_leaving"
    SERVER_BACKED_OFF = "server_backed_off"
    """The server rejected the request and asked this router to back off for a time."""
    LEASE_EXPIRED = "lease_expired"
    SERVER_REPLACED = "server_replaced"
    """Another server now has the address, and rejected the request."""
    ANSWER_BROKEN = "answer_broken"
    """The answer broke off or was not valid; the request may have run, so only a repeatable one is
    queued again."""
    SERVER_SILENT = "server_silent"
    """The server has been silent for some time and keeps the request, which may be run elsewhere
    if it may be repeated."""


class DropReason(StrEnum):
    """Why a message between routers, or a lease in one, was dropped."""

    UNAUTHENTICATED_MESSAGE = "unauthenticated_message"
    UNLISTED_ADDRESS = "unlisted_address"
    MALFORMED_MESSAGE = "malformed_message"
    STALE_MESSAGE = "stale_message"
    UNENCODABLE_MESSAGE = "unencodable_message"
    """A value in it cannot be encoded; see ``version/bounds``."""
    OVERSIZED_MESSAGE = "oversized_message"
    """It is larger than what a router receives at once."""
    PEER_BUSY = "peer_busy"
    GRANT_EXPIRED = "grant_expired"
    GRANT_UNUSED = "grant_unused"
    GRANT_CLOSED = "grant_closed"
    """The server is leaving or has asked this router to back off; its owner did not know."""
    CUT_FOR_TEST = "cut_for_test"
