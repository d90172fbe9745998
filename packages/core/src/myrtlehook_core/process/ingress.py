"""State of the ingress router: the requests of its clients and the service of their workspaces.

Only the ingress router dispatches its clients' requests. One process can therefore guarantee that
a request runs at most once, and knows for certain which requests were not run.
"""

import math
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import ActionList
from myrtlehook_core.process.backoffs import Backoffs
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.ended_servers import EndedServers
from myrtlehook_core.process.messages import BidRow, Release, TotalRow
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.process.regions import NO_REGIONS, Regions, unite_regions
from myrtlehook_core.process.request_quarantines import Quarantines
from myrtlehook_core.request.admission import TokenBucket
from myrtlehook_core.request.charges import ServiceAccount
from myrtlehook_core.request.goals import find_goal_s, find_most_urgent
from myrtlehook_core.request.queues import WorkspaceQueue
from myrtlehook_core.request.requests import PoolKey, RequestSpecification
from myrtlehook_core.version.configurations import Configuration

ROW_ID_SPACE = 1 << 32
"""Row ids of accounts are drawn at random from this range."""


@dataclass(slots=True)
class KnownTotal:
    """The last total that this router received from a ledger."""

    total_units: float
    own_row_units: float
    received_at_s: float


@dataclass(slots=True)
class RunningRequest:
    """A dispatched request, which holds a slot."""

    request: RequestSpecification
    grant_id: int
    backend_server: str
    bid_sent_at_s: float
    observed_units: float = 0.0
    started_at_s: float = 0.0


@dataclass(slots=True)
class IngressState:
    """All requests at this ingress router, and the known service of their workspaces."""

    retry_budget: float
    orders_by_goal: bool = True
    """Whether the waiting request with the earliest goal goes first, and not the oldest one."""
    queues: dict[PoolKey, WorkspaceQueue] = field(default_factory=dict)
    accounts: dict[PoolKey, ServiceAccount] = field(default_factory=dict)
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    running: dict[str, RunningRequest] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    """Number of dispatches so far of each queued or running request."""
    unsent_successors: set[str] = field(default_factory=set)
    """Successors of running requests for which a retry was claimed and that were not sent yet."""
    totals: dict[PoolKey, KnownTotal] = field(default_factory=dict)
    floors_units: dict[str, int] = field(default_factory=dict)
    first_owners: dict[PoolKey, str] = field(default_factory=dict)
    """The one owner that a newly non-empty queue was first advertised to."""
    advertised_requests: dict[str, dict[PoolKey, int]] = field(default_factory=dict)
    """Waiting requests last advertised, less those granted since, by owner and queue."""
    unreported_keys: set[PoolKey] = field(default_factory=set)
    """Queues that became non-empty and were not reported to their ledger yet."""
    closed_servers: dict[str, set[str]] = field(default_factory=dict)
    """By pool: servers whose grants could not be used since the last refresh; bids exclude them."""
    seen_grants: dict[int, float] = field(default_factory=dict)
    """When each received grant may be forgotten. Until then its duplicates are ignored."""
    unconfirmed_releases: list[Release] = field(default_factory=list)
    """Releases sent once; each is sent again at the next refresh, as a lost one idles a slot."""
    backoffs: Backoffs = field(default_factory=dict)
    """Back-offs that backend servers have requested from this router."""
    queued_requests: int = 0
    queued_bytes: int = 0
    next_refresh_s: float = 0.0
    next_bid_s: float = math.inf
    refreshes: int = 0
    handover_until_s: float = 0.0
    """Until then reports include known totals, which a new ledger may need."""
    next_hold_s: float = 0.0
    next_sweep_s: float = 0.0
    summarised_servers: frozenset[str] = frozenset()
    """Backend servers with held slots at the last hold summary."""


@dataclass(slots=True)
class IngressContext:
    """Dependencies of the ingress functions besides the ingress state."""

    options: CoreOptions
    configuration: Configuration
    draining: bool
    draw: Draw
    actions: ActionList
    outbox: MessageOutbox
    quarantines: Quarantines
    regions: Regions = NO_REGIONS
    ended_servers: EndedServers = field(default_factory=dict)


def record_totals(ingress: IngressState, rows: tuple[TotalRow, ...], now_s: float) -> None:
    """Record the totals of a ledger's answer."""
    for row in rows:
        key = PoolKey(row.workspace, row.pool)
        account = ingress.accounts.get(key)
        if account is not None and account.row_id == row.own_row_id:
            ingress.totals[key] = KnownTotal(row.total_units, row.own_row_units, now_s)


def compute_virtual_service_units(ingress: IngressState, key: PoolKey) -> float:
    """Return a workspace's virtual service, as far as this router knows it."""
    account = ingress.accounts.get(key)
    own_units = 0.0 if account is None else account.served_units
    total = ingress.totals.get(key)
    if total is None:
        return max(own_units, ingress.floors_units.get(key.pool, 0.0))
    return total.total_units - total.own_row_units + own_units


def get_account(ingress: IngressState, key: PoolKey, draw: Draw) -> ServiceAccount:
    """Return a workspace's account at this router, and open it if it does not exist."""
    account = ingress.accounts.get(key)
    if account is None:
        account = ServiceAccount(row_id=int(draw() * ROW_ID_SPACE))
        ingress.accounts[key] = account
    return account


def make_bid_row(ingress: IngressState, key: PoolKey, now_s: float) -> BidRow:
    """Return the bid row of one queue."""
    queue = ingress.queues.get(key)
    waiting = 0 if queue is None else len(queue.waiting)
    account = ingress.accounts.get(key)
    mean_units = ServiceAccount(0).cost.mean_units if account is None else account.cost.mean_units
    virtual_units = round(compute_virtual_service_units(ingress, key))
    goal_left_ms = None
    allowed_regions = None
    if queue is not None:
        allowed_regions = unite_regions(request.allowed_regions for request in queue.waiting)
    if queue is not None and ingress.orders_by_goal:
        urgent = find_most_urgent(queue.waiting, queue.mean_run_s, now_s)
        if urgent is not None:
            goal_left_s = find_goal_s(urgent, queue.mean_run_s, now_s) - now_s
            if math.isfinite(goal_left_s):
                goal_left_ms = round(goal_left_s * 1000.0)
    return BidRow(
        key.workspace,
        waiting,
        virtual_units,
        max(1, round(mean_units)),
        goal_left_ms,
        None if allowed_regions is None else tuple(sorted(allowed_regions)),
    )


def drop_idle_queues(ingress: IngressState, now_s: float, idle_drop_s: float) -> None:
    """Drop the accounts and queues of idle workspaces, and expired grant ids, to bound memory."""
    idle = [
        key
        for key, account in ingress.accounts.items()
        if not account.charges
        and now_s - account.last_active_s > idle_drop_s
        and not (key in ingress.queues and ingress.queues[key].waiting)
    ]
    expired = [grant_id for grant_id, end_s in ingress.seen_grants.items() if now_s >= end_s]
    for grant_id in expired:
        del ingress.seen_grants[grant_id]
    for key in idle:
        del ingress.accounts[key]
        ingress.totals.pop(key, None)
        ingress.queues.pop(key, None)
        ingress.first_owners.pop(key, None)


def update_queue_counts(ingress: IngressState, request: RequestSpecification, sign: int) -> None:
    """Add a request to the counts of queued requests (sign 1) or subtract it (sign -1)."""
    ingress.queued_requests += sign
    ingress.queued_bytes += sign * request.body_bytes


def find_waiting_keys(ingress: IngressState, pool: str) -> list[PoolKey]:
    """Return the queues of a pool in which requests wait."""
    return [key for key, queue in ingress.queues.items() if key.pool == pool and queue.waiting]


def make_pool_key(request: RequestSpecification) -> PoolKey:
    """Return the key of a request's queue and account."""
    return PoolKey(request.workspace, request.pool)
