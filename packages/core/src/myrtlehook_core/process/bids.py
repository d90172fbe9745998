"""The bids that an owner has received, and the candidates for a slot that follow from them."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.choosers import Candidate, Draw
from myrtlehook_core.process.messages import Bid, BidRow

EARLY_CHARGE_REFRESHES = 1.0
"""Refresh intervals after which the ledger totals in bids include a grant, so that its early
charge is dropped."""


@dataclass(slots=True)
class WorkspaceBid:
    """One workspace's waiting requests at one router, less those granted since the bid."""

    waiting_requests: int
    virtual_service_units: float
    mean_cost_units: float
    goal_s: float = math.inf
    """When its most urgent request should start, on this router's clock; infinity if not known."""
    allowed_regions: frozenset[str] | None = None
    """Regions in which one of its requests may be served; None if one has no limit."""


@dataclass(slots=True)
class RouterBid:
    """The latest bid of one router for one pool."""

    sent_at_s: float
    """On the bidder's clock."""
    deadline_s: float
    workspace_bids: dict[str, WorkspaceBid]
    excluded_servers: frozenset[str] = frozenset()
    """Backend servers to which the bidder does not send requests at present."""


@dataclass(slots=True)
class PoolBids:
    """All bids for one pool, and the early charges that the bids do not include yet."""

    routers: dict[str, RouterBid] = field(default_factory=dict)
    early_charges: deque[tuple[float, str, float]] = field(default_factory=deque)
    """Expiry, workspace and virtual service units of recent early charges, oldest first."""
    floor_units: float = 0.0
    """Lowest virtual service among the workspaces when candidates were last listed."""


def record_bid(bids: PoolBids, sender: str, bid: Bid, deadline_s: float, now_s: float) -> bool:
    """Replace a router's bid; return False when the recorded one is newer."""
    known = bids.routers.get(sender)
    if known is not None and known.sent_at_s > bid.sent_at_s:
        return False
    workspace_bids = {row.workspace: _make_workspace_bid(row, now_s) for row in bid.rows}
    bids.routers[sender] = RouterBid(
        bid.sent_at_s, deadline_s, workspace_bids, frozenset(bid.excluded_servers)
    )
    return True


def record_bid_row(
    bids: PoolBids, sender: str, row: BidRow, sent_at_s: float, deadline_s: float, now_s: float
) -> None:
    """Update a router's bid with the one row that came with a released slot."""
    known = bids.routers.get(sender)
    if known is None:
        known = RouterBid(sent_at_s, deadline_s, {})
        bids.routers[sender] = known
    if sent_at_s < known.sent_at_s:
        return
    known.sent_at_s = sent_at_s
    known.deadline_s = deadline_s
    known.workspace_bids[row.workspace] = _make_workspace_bid(row, now_s)


def count_waiting_requests(bids: PoolBids, router: str) -> int:
    """Return how many requests of a router's bid have been granted no slot yet."""
    bid = bids.routers.get(router)
    if bid is None:
        return 0
    return sum(max(row.waiting_requests, 0) for row in bid.workspace_bids.values())


def expire_bids(bids: PoolBids, now_s: float) -> None:
    """Drop bids that were not refreshed in time, and early charges that bids now include."""
    expired = [router for router, bid in bids.routers.items() if now_s >= bid.deadline_s]
    for router in expired:
        del bids.routers[router]
    while bids.early_charges and now_s >= bids.early_charges[0][0]:
        bids.early_charges.popleft()


def list_candidates(
    bids: PoolBids,
    find_share: Callable[[str], float | None],
    backend_server: str,
    region: str = "",
) -> list[Candidate]:
    """Return every workspace with requests waiting, at its highest reported virtual service.

    :param backend_server: the server with the free slot; bids of routers that exclude it are
        left out.
    :param region: the server's region; empty if it is not known.
    """
    merged: dict[str, WorkspaceBid] = {}
    for bid in bids.routers.values():
        if backend_server in bid.excluded_servers:
            continue
        for workspace, workspace_bid in bid.workspace_bids.items():
            if not _may_use(workspace_bid, region):
                continue
            known = merged.get(workspace)
            if known is None or workspace_bid.virtual_service_units > known.virtual_service_units:
                merged[workspace] = workspace_bid
    if not merged:
        return []
    bids.floor_units = min(workspace_bid.virtual_service_units for workspace_bid in merged.values())
    early_units = _sum_early_charges(bids)
    candidates = []
    for workspace, workspace_bid in merged.items():
        share = find_share(workspace)
        if share is not None:
            units = workspace_bid.virtual_service_units + early_units.get(workspace, 0.0)
            candidates.append(Candidate(workspace, share, units, workspace_bid.mean_cost_units))
    return candidates


def pick_bidder(
    bids: PoolBids, workspace: str, backend_server: str, draw: Draw, region: str = ""
) -> str:
    """Pick the router that gets a workspace's slot: the one with the earliest goal.

    Among routers without a known goal the choice is random, weighted by the number of requests
    that wait at each.
    """
    waiting = {
        router: bid.workspace_bids[workspace].waiting_requests
        for router, bid in bids.routers.items()
        if backend_server not in bid.excluded_servers
        if workspace in bid.workspace_bids and _may_use(bid.workspace_bids[workspace], region)
    }
    goals_s = {router: bids.routers[router].workspace_bids[workspace].goal_s for router in waiting}
    earliest = min(goals_s, key=lambda router: (goals_s[router], router))
    if not math.isinf(goals_s[earliest]):
        return earliest
    threshold = draw() * sum(waiting.values())
    for router, count in waiting.items():
        threshold -= count
        if threshold < 0:
            return router
    return next(reversed(waiting))


def subtract_granted_request(bids: PoolBids, router: str, workspace: str) -> None:
    """Subtract a granted request from the router's bid; the goal of its next one is not known."""
    workspace_bid = bids.routers[router].workspace_bids[workspace]
    workspace_bid.waiting_requests -= 1
    workspace_bid.goal_s = math.inf


def record_early_charge(
    bids: PoolBids, workspace: str, virtual_units: float, expires_at_s: float
) -> None:
    """Charge a workspace for a grant until its bids include it."""
    bids.early_charges.append((expires_at_s, workspace, virtual_units))


def _make_workspace_bid(row: BidRow, now_s: float) -> WorkspaceBid:
    goal_s = math.inf if row.goal_left_ms is None else now_s + row.goal_left_ms / 1000.0
    regions = None if row.allowed_regions is None else frozenset(row.allowed_regions)
    return WorkspaceBid(
        row.waiting_requests, row.virtual_service_units, row.mean_cost_units, goal_s, regions
    )


def limits_choice(bids: PoolBids) -> bool:
    """Return whether some bid excludes servers or regions, so that one server's slot may be left
    and another's be used.
    """
    return any(
        bid.excluded_servers
        or any(row.allowed_regions is not None for row in bid.workspace_bids.values())
        for bid in bids.routers.values()
    )


def _may_use(workspace_bid: WorkspaceBid, region: str) -> bool:
    """Return whether a request waits there that may be served in a region."""
    if workspace_bid.waiting_requests <= 0:
        return False
    return workspace_bid.allowed_regions is None or region in workspace_bid.allowed_regions


def _sum_early_charges(bids: PoolBids) -> dict[str, float]:
    sums: dict[str, float] = {}
    for _, workspace, units in bids.early_charges:
        sums[workspace] = sums.get(workspace, 0.0) + units
    return sums
