"""One backend server's slots, as its owner counts them."""

from collections import deque
from dataclasses import dataclass, field

from myrtlehook_core.process.ejections import ServerHealth

REPORTS_KEPT = 3
"""A foreign load counts only if this many reports in a row show it: reports lag
behind releases, and one alone would make the owner leave slots idle."""


@dataclass(slots=True)
class Hold:
    """A slot that a router holds for one request."""

    router_id: str
    workspace: str
    granted_at_s: float
    deadline_s: float


@dataclass(slots=True)
class ServerSlots:
    """The holds on one backend server and what its late reports add to them."""

    owned_since_s: float
    holds: dict[int, Hold] = field(default_factory=dict)
    released: dict[int, float] = field(default_factory=dict)
    """When each released grant may be forgotten: a late list must not bring it back."""
    foreign_samples: deque[int] = field(default_factory=lambda: deque(maxlen=REPORTS_KEPT))
    reported: bool = False
    health: ServerHealth = field(default_factory=ServerHealth)


def count_free_slots(server: ServerSlots, limit: int, now_s: float) -> int:
    """Return how many more requests may be granted now.

    Where another router grants on the same server (a split fleet), what it runs
    is left to it, but one slot is always taken: the server's own queue then merges
    both sides by priority, and nobody starves.
    """
    free = limit - len(server.holds) - foreign_requests(server)
    if free <= 0 and not server.holds:
        return 1
    return max(free, 0)


def foreign_requests(server: ServerSlots) -> int:
    """Return how many requests run there that no known hold explains."""
    return min(server.foreign_samples, default=0)


def take_load(server: ServerSlots, running_requests: int) -> None:
    """Note a load report."""
    server.reported = True
    server.foreign_samples.append(max(0, running_requests - len(server.holds)))


def held_by(server: ServerSlots, router_id: str) -> list[int]:
    """Return the grants that a router holds."""
    return [key for key, hold in server.holds.items() if hold.router_id == router_id]


def renew_holds(server: ServerSlots, router_id: str, deadline_s: float) -> None:
    """Renew all of a router's leases."""
    for grant_id in held_by(server, router_id):
        server.holds[grant_id].deadline_s = deadline_s


def replace_holds(
    server: ServerSlots, listed: dict[int, Hold], router_id: str, settled_before_s: float
) -> None:
    """Take a holder's own list in place of what was believed of it.

    :param settled_before_s: grants younger than this may still be on their way
        and are kept though the list does not name them.
    """
    for grant_id in held_by(server, router_id):
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
    """Drop the leases that have passed and return how many."""
    forgotten = [key for key, forget_at_s in server.released.items() if now_s >= forget_at_s]
    for grant_id in forgotten:
        del server.released[grant_id]
    late = [key for key, hold in server.holds.items() if now_s >= hold.deadline_s]
    for grant_id in late:
        del server.holds[grant_id]
    return len(late)
