"""The entry's state: callers' requests at this router, and what it knows of their service.

The entry alone ever dispatches a request, so "at most once" and "was not run" are
facts that one process knows.
"""

import math
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import Outbox
from myrtlehook_core.process.backoffs import Backoffs
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.messages import BidRow, Release, TotalRow
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.posts import Post
from myrtlehook_core.process.quarantine import Quarantine
from myrtlehook_core.request.admission import TokenBucket
from myrtlehook_core.request.charges import ServiceAccount
from myrtlehook_core.request.queues import WorkspaceQueue
from myrtlehook_core.request.requests import PoolKey, RequestSpecification
from myrtlehook_core.version.configurations import Configuration

ROW_ID_SPACE = 1 << 32


@dataclass(slots=True)
class KnownTotal:
    """The last total that a ledger told this entry."""

    total_units: float
    own_row_units: float
    heard_at_s: float


@dataclass(slots=True)
class RunningRequest:
    """A request that holds a slot."""

    request: RequestSpecification
    grant_id: int
    backend_server: str
    bid_sent_at_s: float
    observed_units: float = 0.0


@dataclass(slots=True)
class Entry:
    """All requests at this router, with what it knows of their workspaces' service."""

    retry_budget: float
    queues: dict[PoolKey, WorkspaceQueue] = field(default_factory=dict)
    accounts: dict[PoolKey, ServiceAccount] = field(default_factory=dict)
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    running: dict[str, RunningRequest] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    """Dispatches so far of every request that is queued or running."""
    totals: dict[PoolKey, KnownTotal] = field(default_factory=dict)
    floors_units: dict[str, int] = field(default_factory=dict)
    first_offers: dict[PoolKey, str] = field(default_factory=dict)
    """The one owner that a young queue was offered to."""
    told: dict[str, dict[PoolKey, int]] = field(default_factory=dict)
    """What each owner believes is waiting here, by owner and queue."""
    fresh_keys: set[PoolKey] = field(default_factory=set)
    """Queues that became non-empty and whose ledger has not been asked yet."""
    seen_grants: dict[int, float] = field(default_factory=dict)
    """When each grant that was taken may be forgotten: a doubled one starts nothing."""
    unconfirmed_releases: list[Release] = field(default_factory=list)
    """Sent once; sent again at the next refresh, because a lost one idles a slot."""
    backoffs: Backoffs = field(default_factory=dict)
    """The backend servers that want nothing of this router for now."""
    queued_requests: int = 0
    queued_bytes: int = 0
    next_refresh_s: float = 0.0
    next_bid_s: float = math.inf
    refreshes: int = 0
    handover_until_s: float = 0.0
    """Until then reports carry the totals that a new ledger may need."""
    next_hold_s: float = 0.0
    next_sweep_s: float = 0.0
    summarised: frozenset[str] = frozenset()


@dataclass(slots=True)
class EntryContext:
    """What the entry's functions need besides their own state."""

    options: CoreOptions
    configuration: Configuration
    draining: bool
    draw: Draw
    out: Outbox
    post: Post
    quarantine: Quarantine


def take_totals(entry: Entry, rows: tuple[TotalRow, ...], now_s: float) -> None:
    """Remember the totals that a ledger answered with."""
    for row in rows:
        key = PoolKey(row.workspace, row.pool)
        account = entry.accounts.get(key)
        if account is not None and account.row_id == row.own_row_id:
            entry.totals[key] = KnownTotal(row.total_units, row.own_row_units, now_s)


def virtual_service_units(entry: Entry, key: PoolKey) -> float:
    """Return the workspace's virtual service as this entry knows it now."""
    account = entry.accounts.get(key)
    own_units = 0.0 if account is None else account.served_units
    total = entry.totals.get(key)
    if total is None:
        return max(own_units, entry.floors_units.get(key.pool, 0.0))
    return total.total_units - total.own_row_units + own_units


def account_of(entry: Entry, key: PoolKey, draw: Draw) -> ServiceAccount:
    """Return a workspace's account at this router, opened if need be."""
    account = entry.accounts.get(key)
    if account is None:
        account = ServiceAccount(row_id=int(draw() * ROW_ID_SPACE))
        entry.accounts[key] = account
    return account


def make_bid_row(entry: Entry, key: PoolKey) -> BidRow:
    """Say what waits in one queue."""
    queue = entry.queues.get(key)
    waiting = 0 if queue is None else len(queue.waiting)
    account = entry.accounts.get(key)
    mean_units = ServiceAccount(0).cost.mean_units if account is None else account.cost.mean_units
    virtual_units = round(virtual_service_units(entry, key))
    return BidRow(key.workspace, waiting, virtual_units, max(1, round(mean_units)))


def drop_idle_queues(entry: Entry, now_s: float, idle_drop_s: float) -> None:
    """Forget accounts that nothing has touched for a while, to bound memory."""
    idle = [
        key
        for key, account in entry.accounts.items()
        if not account.charges
        and now_s - account.last_active_s > idle_drop_s
        and not (key in entry.queues and entry.queues[key].waiting)
    ]
    forgotten = [grant_id for grant_id, end_s in entry.seen_grants.items() if now_s >= end_s]
    for grant_id in forgotten:
        del entry.seen_grants[grant_id]
    for key in idle:
        del entry.accounts[key]
        entry.totals.pop(key, None)
        entry.queues.pop(key, None)
        entry.first_offers.pop(key, None)


def count_queued(entry: Entry, request: RequestSpecification, sign: int) -> None:
    """Count a request in (1) or out (-1) of this router's queues."""
    entry.queued_requests += sign
    entry.queued_bytes += sign * request.body_bytes


def key_of(request: RequestSpecification) -> PoolKey:
    """Return the account key of a request."""
    return PoolKey(request.workspace, request.pool)
