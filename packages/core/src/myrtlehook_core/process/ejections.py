"""Backend servers that fail again and again are left alone for a while.

Each owner judges the servers that it owns, from the ends that all entries tell it. After
a few failures in a row a server gets nothing for a time that doubles with each further
failure; then one request at a time tries it, until one succeeds.
"""

from dataclasses import dataclass

FAILURES_IN_A_ROW = 3
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0


@dataclass(slots=True)
class ServerHealth:
    """What the ends of requests have shown of one server."""

    failures: int = 0
    """In a row."""
    ejected_until_s: float = 0.0

    @property
    def suspect(self) -> bool:
        """Whether the server has to prove itself before it is trusted again."""
        return self.failures >= FAILURES_IN_A_ROW


def note_end(health: ServerHealth, failed: bool, now_s: float) -> bool:
    """Note how a request at the server ended; True when it is ejected by that."""
    if not failed:
        health.failures = 0
        health.ejected_until_s = 0.0
        return False
    if now_s < health.ejected_until_s:
        # It was sent before, and tells nothing new: a crash ends many requests at once.
        return False
    health.failures += 1
    if not health.suspect:
        return False
    doublings = health.failures - FAILURES_IN_A_ROW
    ejection_s = min(FIRST_EJECTION_S * 2.0**doublings, LONGEST_EJECTION_S)
    health.ejected_until_s = now_s + ejection_s
    return True


def may_use(health: ServerHealth, running: int, now_s: float) -> bool:
    """Tell whether a server may get one more request."""
    if now_s < health.ejected_until_s:
        return False
    return not health.suspect or running == 0
