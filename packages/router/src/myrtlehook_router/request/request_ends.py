"""What may end a request that a router has accepted, as logs and counters name it."""

from enum import StrEnum


class RequestEnd(StrEnum):
    """What ended a request. Silence of its backend server is none of these."""

    COMPLETED = "completed"
    REFUSED = "refused"
    """No server has begun it."""
    CALLER_LEFT = "caller_left"
    CALLER_CUT = "caller_cut"
    """Its response could not be written to the client."""
    DEADLINE_PASSED = "deadline_passed"
    SERVER_BROKE_OFF = "server_broke_off"
    """Its response broke off or was invalid, and may not be requested again."""
    NOT_RESUMED = "not_resumed"
    """The same, and no other server was available for it."""
    ROUTER_FAULT = "router_fault"
