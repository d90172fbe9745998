"""The bids that an owner has heard, and the candidates that they make."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.choosers import Candidate, Draw
from myrtlehook_core.process.messages import Bid, BidRow

REFLECT_REFRESHES = 1.0
"""After so many refresh intervals a grant's early charge has come back in the totals."""


@dataclass(slots=True)
class BidLine:
    """One workspace's waiting work at one router, less what was granted since."""

    waiting_requests: int
    virtual_service_units: float
    mean_cost_units: float


@dataclass(slots=True)
class RouterBid:
    """The last bid of one router for one pool."""

    sent_at_s: float
    """The bidder's clock."""
    deadline_s: float
    lines: dict[str, BidLine]
    barred_servers: frozenset[str] = frozenset()
    """Backend servers to which this router sends nothing for now."""


@dataclass(slots=True)
class PoolBids:
    """All bids for one pool, and the charges that the bids do not show yet."""

    routers: dict[str, RouterBid] = field(default_factory=dict)
    unreflected: deque[tuple[float, str, float]] = field(default_factory=deque)
    """Deadline, workspace and virtual service units of recent early charges."""
    floor_units: float = 0.0


def take_bid(bids: PoolBids, sender: str, bid: Bid, deadline_s: float) -> bool:
    """Replace a router's bid; False when the one known is newer."""
    known = bids.routers.get(sender)
    if known is not None and known.sent_at_s > bid.sent_at_s:
        return False
    lines = {row.workspace: _make_line(row) for row in bid.rows}
    bids.routers[sender] = RouterBid(
        bid.sent_at_s, deadline_s, lines, frozenset(bid.barred_servers)
    )
    return True


def take_bid_row(
    bids: PoolBids, sender: str, row: BidRow, sent_at_s: float, deadline_s: float
) -> None:
    """Take the one row that came with a released slot."""
    known = bids.routers.get(sender)
    if known is None:
        known = RouterBid(sent_at_s, deadline_s, {})
        bids.routers[sender] = known
    if sent_at_s < known.sent_at_s:
        return
    known.sent_at_s = sent_at_s
    known.deadline_s = deadline_s
    known.lines[row.workspace] = _make_line(row)


def expire_bids(bids: PoolBids, now_s: float) -> None:
    """Drop bids that were not refreshed in time, and charges that the bids now show."""
    late = [router for router, bid in bids.routers.items() if now_s >= bid.deadline_s]
    for router in late:
        del bids.routers[router]
    while bids.unreflected and now_s >= bids.unreflected[0][0]:
        bids.unreflected.popleft()


def list_candidates(
    bids: PoolBids, share_of: Callable[[str], float | None], backend_server: str
) -> list[Candidate]:
    """Return every workspace with work waiting, at its highest known virtual service.

    :param backend_server: whose slot is free; what waits at routers that send it nothing does
        not count.
    """
    merged: dict[str, BidLine] = {}
    for bid in bids.routers.values():
        if backend_server in bid.barred_servers:
            continue
        for workspace, line in bid.lines.items():
            if line.waiting_requests <= 0:
                continue
            known = merged.get(workspace)
            if known is None or line.virtual_service_units > known.virtual_service_units:
                merged[workspace] = line
    if not merged:
        return []
    bids.floor_units = min(line.virtual_service_units for line in merged.values())
    extra = _sum_unreflected(bids)
    candidates = []
    for workspace, line in merged.items():
        share = share_of(workspace)
        if share is not None:
            units = line.virtual_service_units + extra.get(workspace, 0.0)
            candidates.append(Candidate(workspace, share, units, line.mean_cost_units))
    return candidates


def pick_bidder(bids: PoolBids, workspace: str, backend_server: str, draw: Draw) -> str:
    """Pick the router that gets a workspace's slot, in proportion to what waits there."""
    waiting = {
        router: bid.lines[workspace].waiting_requests
        for router, bid in bids.routers.items()
        if backend_server not in bid.barred_servers
        if workspace in bid.lines and bid.lines[workspace].waiting_requests > 0
    }
    mark = draw() * sum(waiting.values())
    for router, count in waiting.items():
        mark -= count
        if mark < 0:
            return router
    return next(reversed(waiting))


def note_granted(bids: PoolBids, router: str, workspace: str) -> None:
    """Count a grant against the bid."""
    bids.routers[router].lines[workspace].waiting_requests -= 1


def note_early_charge(
    bids: PoolBids, workspace: str, virtual_units: float, reflected_at_s: float
) -> None:
    """Charge a workspace for a grant until its bids can show it."""
    bids.unreflected.append((reflected_at_s, workspace, virtual_units))


def _make_line(row: BidRow) -> BidLine:
    return BidLine(row.waiting_requests, row.virtual_service_units, row.mean_cost_units)


def _sum_unreflected(bids: PoolBids) -> dict[str, float]:
    sums: dict[str, float] = {}
    for _, workspace, units in bids.unreflected:
        sums[workspace] = sums.get(workspace, 0.0) + units
    return sums
