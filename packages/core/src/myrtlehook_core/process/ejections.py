"""Temporary ejection of backend servers that fail repeatedly (a circuit breaker).

Each owner tracks the health of the servers that it owns by how requests ended there, as all
ingress routers report it. After several consecutive failures a server gets no requests for a
time that doubles with each further failure. After that it gets one request at a time until one
succeeds.
"""

from dataclasses import dataclass

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0


@dataclass(slots=True)
class ServerHealth:
    """The health of one backend server, as the outcomes of its requests show it."""

    consecutive_failures: int = 0
    """The number of consecutive failures."""
    ejected_until_s: float = 0.0

    @property
    def is_failing(self) -> bool:
        """Whether the server gets one request at a time until one succeeds."""
        return self.consecutive_failures >= FAILURES_TO_EJECT


def record_outcome(health: ServerHealth, failed: bool, now_s: float) -> bool:
    """Record how a request at the server ended; return True if this ejects the server."""
    if not failed:
        health.consecutive_failures = 0
        health.ejected_until_s = 0.0
        return False
    if now_s < health.ejected_until_s:
        # The request was sent before the ejection, so its failure is no new evidence: a crash
        # ends many requests at once.
        return False
    health.consecutive_failures += 1
    if not health.is_failing:
        return False
    doublings = health.consecutive_failures - FAILURES_TO_EJECT
    ejection_s = min(FIRST_EJECTION_S * 2.0**doublings, MAX_EJECTION_S)
    health.ejected_until_s = now_s + ejection_s
    return True


def may_send_request(health: ServerHealth, running_requests: int, now_s: float) -> bool:
    """Return whether a server may get one more request."""
    if now_s < health.ejected_until_s:
        return False
    return not health.is_failing or running_requests == 0
