"""Why a request to a backend server has no response."""

from enum import StrEnum


class SendFailure(StrEnum):
    """Why a request has no response, by how far it got."""

    NOT_SENT = "not_sent"
    """No connection was established, so no byte was sent."""
    REFUSED = "refused"
    """The same, because nothing listens at the address."""
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
