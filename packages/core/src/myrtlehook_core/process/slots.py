"""The slots of one backend server, as its owner counts them."""

from collections import deque
from dataclasses import dataclass, field

from myrtlehook_core.process.ejections import ServerHealth

FOREIGN_LOAD_REPORTS = 3
"""Number of consecutive load reports that have to show foreign requests before they count. Reports
lag behind releases, so a single one would make the owner leave slots idle."""


@dataclass(slots=True)
class Hold:
    """A slot that a router holds for one request."""

    router_id: str
    workspace: str
    granted_at_s: float
    deadline_s: float


@dataclass(slots=True)
class ServerSlots:
    """The holds on one backend server, and the foreign requests that its load reports show."""

    owned_since_s: float
    holds: dict[int, Hold] = field(default_factory=dict)
    released: dict[int, float] = field(default_factory=dict)
    """When each released grant may be forgotten. Until then, hold lists do not restore it."""
    foreign_samples: deque[int] = field(default_factory=lambda: deque(maxlen=FOREIGN_LOAD_REPORTS))
    reported: bool = False
    health: ServerHealth = field(default_factory=ServerHealth)


def count_free_slots(server: ServerSlots, limit: int, now_s: float) -> int:
    """Return how many more requests may be granted now.

    When the fleet is partitioned, a router on the other side may grant slots of the same server.
    Its requests are subtracted, but a router without any hold on the server may always grant one
    slot: the server's own queue then merges the requests of both sides by priority, and neither
    side starves.
    """
    free = limit - len(server.holds) - count_foreign_requests(server)
    if free <= 0 and not server.holds:
        return 1
    return max(free, 0)


def count_foreign_requests(server: ServerSlots) -> int:
    """Return how many requests the server runs beyond the known holds."""
    return min(server.foreign_samples, default=0)


def record_load(server: ServerSlots, running_requests: int) -> None:
    """Record a load report."""
    server.reported = True
    server.foreign_samples.append(max(0, running_requests - len(server.holds)))


def find_held_grants(server: ServerSlots, router_id: str) -> list[int]:
    """Return the ids of the grants that a router holds."""
    return [key for key, hold in server.holds.items() if hold.router_id == router_id]


def renew_holds(server: ServerSlots, router_id: str, deadline_s: float) -> None:
    """Renew all of a router's leases."""
    for grant_id in find_held_grants(server, router_id):
        server.holds[grant_id].deadline_s = deadline_s


def replace_holds(
    server: ServerSlots, listed: dict[int, Hold], router_id: str, settled_before_s: float
) -> None:
    """Replace the known holds of a router by its own list.

    :param settled_before_s: grants made later than this may not have reached the holder, and are
        kept even if the list does not contain them.
    """
    for grant_id in find_held_grants(server, router_id):
        if server.holds[grant_id].granted_at_s <= settled_before_s:
            del server.holds[grant_id]
    for grant_id, hold in listed.items():
        if grant_id not in server.released:
            server.holds[grant_id] = hold


def release_hold(server: ServerSlots, grant_id: int, forget_at_s: float) -> None:
    """Free the slot of a grant."""
    server.holds.pop(grant_id, None)
    server.released[grant_id] = forget_at_s


def expire_holds(server: ServerSlots, now_s: float) -> int:
    """Drop expired leases and return their number."""
    forgotten = [key for key, forget_at_s in server.released.items() if now_s >= forget_at_s]
    for grant_id in forgotten:
        del server.released[grant_id]
    expired = [key for key, hold in server.holds.items() if now_s >= hold.deadline_s]
    for grant_id in expired:
        del server.holds[grant_id]
    return len(expired)
