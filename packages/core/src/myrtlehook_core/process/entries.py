"""The entry: holds callers' requests, bids for slots, and spends the grants.

It alone ever dispatches a request, so "at most once" and "was not run" are facts
that one process knows.
"""

import math
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import Dispatch, DropNoted, Outbox, Refuse, RetryNoted
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.messages import BidRow, Grant, Release, TotalRow
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.posts import Post
from myrtlehook_core.request.admission import (
    TokenBucket,
    can_meet_deadline,
    find_queue_refusal,
    retry_after_s,
    take_token,
)
from myrtlehook_core.request.charges import (
    ServiceAccount,
    cancel_charge,
    charge_early,
    grow_charge,
    settle_charge,
)
from myrtlehook_core.request.outcomes import DropReason, RefusalReason, RetryReason
from myrtlehook_core.request.queues import (
    WorkspaceQueue,
    pop_request,
    push_request,
    push_request_first,
    remove_request,
)
from myrtlehook_core.request.requests import PoolKey, RequestSpecification
from myrtlehook_core.version.configurations import Configuration, Workspace, servers_of_pool

ROW_ID_SPACE = 1 << 32

SAFE_TO_REPEAT = frozenset({RetryReason.CONNECT_FAILED, RetryReason.LEASE_EXPIRED})
"""Retry reasons at which not even one byte was sent; only then is a request that
must not be repeated queued again."""


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


def accept_request(
    entry: Entry, context: EntryContext, request: RequestSpecification, now_s: float
) -> PoolKey | None:
    """Queue a request or refuse it; returns its queue's key when it was queued."""
    key = PoolKey(request.workspace, request.pool)
    reason = _find_refusal(entry, context, key, request, now_s)
    if reason is not None:
        _refuse(entry, context, request, reason, now_s)
        return None
    queue = entry.queues.setdefault(key, WorkspaceQueue())
    if not queue.waiting:
        entry.fresh_keys.add(key)
    push_request(queue, request, now_s)
    entry.attempts[request.request_id] = 0
    _count_queued(entry, request, 1)
    return key


def abandon_request(entry: Entry, request_id: str) -> None:
    """Take a waiting request out because its caller has gone."""
    for queue in entry.queues.values():
        request = remove_request(queue, request_id)
        if request is not None:
            _count_queued(entry, request, -1)
            entry.attempts.pop(request_id, None)
            return


def spend_grant(
    entry: Entry, context: EntryContext, owner: str, grant: Grant, now_s: float
) -> bool:
    """Dispatch the oldest waiting request, or give the slot back at once.

    :returns: whether the owner now believes that nothing waits, though more does.
    """
    if grant.grant_id in entry.seen_grants:
        return False
    entry.seen_grants[grant.grant_id] = now_s + 2 * context.options.hold_lease_s
    floor_units = entry.floors_units.get(grant.pool, 0)
    entry.floors_units[grant.pool] = max(floor_units, grant.floor_units)
    key = PoolKey(grant.workspace, grant.pool)
    queue = entry.queues.get(key)
    # The lease counts from this router's own bid, so that no clocks are compared.
    lease_deadline_s = grant.bid_sent_at_s + context.options.grant_lease_s
    expired = now_s >= lease_deadline_s
    workspace = context.configuration.workspaces.get(grant.workspace)
    if expired or queue is None or not queue.waiting or workspace is None:
        reason = DropReason.GRANT_EXPIRED if expired else DropReason.GRANT_UNUSED
        context.out.add(DropNoted(reason))
        release = _release_unused(entry, key, grant, now_s)
        entry.unconfirmed_releases.append(release)
        context.post.add(owner, release)
        return False
    request = pop_request(queue, now_s)
    _count_queued(entry, request, -1)
    _start(entry, context, workspace, request, grant, lease_deadline_s)
    told = entry.told.setdefault(owner, {})
    told[key] = told.get(key, 0) - 1
    return told[key] <= 0 and bool(queue.waiting)


def observe_service(entry: Entry, request_id: str, observed_units: float) -> None:
    """Raise a running request's charge as its stream grows."""
    running = entry.running.get(request_id)
    if running is None:
        return
    running.observed_units = observed_units
    account = entry.accounts[_key_of(running.request)]
    grow_charge(account, request_id, observed_units)


def end_run(
    entry: Entry, request_id: str, cost_units: float, now_s: float
) -> tuple[RunningRequest, Release] | None:
    """Settle an ended request and make the release of its slot."""
    running = entry.running.pop(request_id, None)
    if running is None:
        return None
    entry.attempts.pop(request_id, None)
    key = _key_of(running.request)
    account = entry.accounts[key]
    settle_charge(account, request_id, cost_units)
    account.last_active_s = now_s
    return running, _release_running(entry, key, running, now_s)


def retry_run(
    entry: Entry, context: EntryContext, request_id: str, reason: RetryReason, now_s: float
) -> tuple[RunningRequest, Release] | None:
    """Queue a request again that certainly was not run, or refuse it for good."""
    running = entry.running.pop(request_id, None)
    if running is None:
        return None
    request = running.request
    key = _key_of(request)
    cancel_charge(entry.accounts[key], request_id)
    if _may_retry(entry, context, request, reason, now_s):
        context.out.add(RetryNoted(request_id, reason))
        queue = entry.queues.setdefault(key, WorkspaceQueue())
        push_request_first(queue, request, now_s)
        _count_queued(entry, request, 1)
    else:
        late = request.deadline_s <= now_s
        refusal = RefusalReason.DEADLINE_PASSED if late else RefusalReason.RETRIES_EXHAUSTED
        _refuse(entry, context, request, refusal, now_s)
    return running, _release_running(entry, key, running, now_s)


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


def refuse_hopeless(entry: Entry, context: EntryContext, now_s: float) -> None:
    """Give a final answer now to every request that cannot be run in time."""
    for key, queue in list(entry.queues.items()):
        removed = key.workspace not in context.configuration.workspaces
        doomed: list[tuple[RequestSpecification, RefusalReason]] = []
        for position, request in enumerate(queue.waiting):
            if removed:
                doomed.append((request, RefusalReason.CONFIGURATION_REMOVED))
            elif request.deadline_s <= now_s:
                doomed.append((request, RefusalReason.DEADLINE_PASSED))
            elif not can_meet_deadline(queue, position - len(doomed), request.deadline_s, now_s):
                doomed.append((request, RefusalReason.DEADLINE_UNREACHABLE))
        for request, reason in doomed:
            remove_request(queue, request.request_id)
            _count_queued(entry, request, -1)
            _refuse(entry, context, request, reason, now_s)


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


def _find_refusal(
    entry: Entry,
    context: EntryContext,
    key: PoolKey,
    request: RequestSpecification,
    now_s: float,
) -> RefusalReason | None:
    if context.draining:
        return RefusalReason.DRAINING
    workspace = context.configuration.workspaces.get(key.workspace)
    if workspace is None:
        return RefusalReason.CONFIGURATION_REMOVED
    if request.request_id in entry.attempts:
        return RefusalReason.DUPLICATE_REQUEST_ID
    if not servers_of_pool(context.configuration, key.pool):
        return RefusalReason.NO_BACKEND_SERVER
    if entry.queued_requests >= context.options.router_requests:
        return RefusalReason.ROUTER_FULL
    if entry.queued_bytes + request.body_bytes > context.options.router_bytes:
        return RefusalReason.ROUTER_BYTES_FULL
    return _find_workspace_refusal(entry, workspace, key, request, now_s)


def _find_workspace_refusal(
    entry: Entry, workspace: Workspace, key: PoolKey, request: RequestSpecification, now_s: float
) -> RefusalReason | None:
    limits = workspace.limits
    bucket = entry.buckets.get(key.workspace)
    if bucket is None:
        bucket = TokenBucket(float(limits.burst_requests), now_s)
        entry.buckets[key.workspace] = bucket
    if not take_token(bucket, limits, now_s):
        return RefusalReason.RATE_LIMITED
    queue = entry.queues.get(key) or WorkspaceQueue()
    reason = find_queue_refusal(queue, limits, request.body_bytes)
    if reason is not None:
        return reason
    if not can_meet_deadline(queue, len(queue.waiting), request.deadline_s, now_s):
        return RefusalReason.DEADLINE_UNREACHABLE
    return None


def _refuse(
    entry: Entry,
    context: EntryContext,
    request: RequestSpecification,
    reason: RefusalReason,
    now_s: float,
) -> None:
    if reason is not RefusalReason.DUPLICATE_REQUEST_ID:
        entry.attempts.pop(request.request_id, None)
    wait_s = retry_after_s(entry.queues.get(_key_of(request)), now_s)
    context.out.add(Refuse(request.request_id, reason, wait_s))


def _start(
    entry: Entry,
    context: EntryContext,
    workspace: Workspace,
    request: RequestSpecification,
    grant: Grant,
    lease_deadline_s: float,
) -> None:
    key = _key_of(request)
    account = account_of(entry, key, context.draw)
    priority_units = virtual_service_units(entry, key)
    if context.options.early_charge:
        charge_early(account, request.request_id, workspace.share)
    else:
        _open_charge(account, request.request_id, workspace.share)
    entry.running[request.request_id] = RunningRequest(
        request, grant.grant_id, grant.backend_server, grant.bid_sent_at_s
    )
    attempt = entry.attempts.get(request.request_id, 0) + 1
    entry.attempts[request.request_id] = attempt
    budget = entry.retry_budget + context.options.retry_ratio
    entry.retry_budget = min(budget, context.options.retry_burst)
    context.out.add(
        Dispatch(
            request.request_id, grant.backend_server, attempt, priority_units, lease_deadline_s
        )
    )


def _open_charge(account: ServiceAccount, request_id: str, share: float) -> None:
    """Open an empty charge: the bench's trial without the early charge."""
    charge_early(account, request_id, share)
    charge = account.charges[request_id]
    account.served_units -= charge.charged_units / share
    charge.charged_units = 0.0


def _may_retry(
    entry: Entry,
    context: EntryContext,
    request: RequestSpecification,
    reason: RetryReason,
    now_s: float,
) -> bool:
    if request.no_repeat and reason not in SAFE_TO_REPEAT:
        return False
    if request.deadline_s <= now_s:
        return False
    if entry.attempts.get(request.request_id, 0) >= context.options.attempts:
        return False
    if entry.retry_budget < 1.0:
        return False
    entry.retry_budget -= 1.0
    return True


def _release_running(entry: Entry, key: PoolKey, running: RunningRequest, now_s: float) -> Release:
    row = make_bid_row(entry, key)
    release = Release(running.grant_id, running.backend_server, True, now_s, row)
    entry.unconfirmed_releases.append(release)
    return release


def _release_unused(entry: Entry, key: PoolKey, grant: Grant, now_s: float) -> Release:
    row = make_bid_row(entry, key)
    return Release(grant.grant_id, grant.backend_server, False, now_s, row)


def _count_queued(entry: Entry, request: RequestSpecification, sign: int) -> None:
    entry.queued_requests += sign
    entry.queued_bytes += sign * request.body_bytes


def _key_of(request: RequestSpecification) -> PoolKey:
    return PoolKey(request.workspace, request.pool)
