"""The course of a request at its entry: queued, dispatched on a grant, ended or retried."""

from myrtlehook_core.process.actions import Dispatch, DropNoted, RetryNoted
from myrtlehook_core.process.backoffs import backs_off
from myrtlehook_core.process.bidding import bid_to
from myrtlehook_core.process.entries import (
    Entry,
    EntryContext,
    RunningRequest,
    account_of,
    count_queued,
    key_of,
    make_bid_row,
    virtual_service_units,
)
from myrtlehook_core.process.messages import Grant, Release
from myrtlehook_core.process.quarantine import find_hold_s
from myrtlehook_core.process.refusals import choose_last_refusal, find_refusal, refuse_request
from myrtlehook_core.request.charges import (
    ServiceAccount,
    cancel_charge,
    charge_early,
    grow_charge,
    settle_charge,
)
from myrtlehook_core.request.outcomes import DropReason, RetryReason
from myrtlehook_core.request.queues import (
    WorkspaceQueue,
    pop_request,
    push_request,
    push_request_first,
    remove_request,
)
from myrtlehook_core.request.requests import PoolKey, RequestSpecification
from myrtlehook_core.version.configurations import Workspace

SAFE_TO_REPEAT = frozenset({RetryReason.CONNECT_FAILED, RetryReason.LEASE_EXPIRED})
"""Retry reasons at which not even one byte was sent; only then is a request that
must not be repeated queued again."""

NO_FAILURES = frozenset({RetryReason.LEASE_EXPIRED, RetryReason.SERVER_BACKED_OFF})
"""Retry reasons that say nothing against the server. One that names when it takes requests
again has not failed; to eject it would keep others away, of whom it wanted nothing."""

UNSENT_ATTEMPTS = 4
"""Bounds how often a request is dispatched again that never reached a server."""


def accept_request(
    entry: Entry, context: EntryContext, request: RequestSpecification, now_s: float
) -> PoolKey | None:
    """Queue a request or refuse it; returns its queue's key when it was queued."""
    key = PoolKey(request.workspace, request.pool)
    reason = find_refusal(entry, context, key, request, now_s)
    if reason is not None:
        refuse_request(entry, context, request, reason, now_s)
        return None
    queue = entry.queues.setdefault(key, WorkspaceQueue())
    if not queue.waiting:
        entry.fresh_keys.add(key)
    push_request(queue, request, now_s)
    entry.attempts[request.request_id] = 0
    count_queued(entry, request, 1)
    return key


def abandon_request(entry: Entry, request_id: str) -> None:
    """Take a waiting request out because its caller has gone."""
    for queue in entry.queues.values():
        request = remove_request(queue, request_id)
        if request is not None:
            count_queued(entry, request, -1)
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
    # The last look before anything is sent there: its owner may not know what it told here.
    server = context.configuration.backend_servers.get(grant.backend_server)
    backs_off_here = backs_off(entry.backoffs, grant.backend_server, now_s)
    closed = backs_off_here or server is None or server.leaving
    if expired or closed or queue is None or not queue.waiting or workspace is None:
        if closed:
            # Ahead of the release, which would have the owner grant the same slot again.
            bid_to(entry, grant.pool, owner, context.post, now_s, grant.backend_server)
        reason = _name_drop(expired, closed)
        context.out.add(DropNoted(reason))
        release = _release_unused(entry, key, grant, now_s)
        entry.unconfirmed_releases.append(release)
        context.post.add(owner, release)
        return False
    request = pop_request(queue, now_s)
    count_queued(entry, request, -1)
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
    account = entry.accounts[key_of(running.request)]
    grow_charge(account, request_id, observed_units)


def end_run(
    entry: Entry, request_id: str, cost_units: float, now_s: float, failed: bool = False
) -> tuple[RunningRequest, Release] | None:
    """Settle an ended request and make the release of its slot."""
    running = entry.running.pop(request_id, None)
    if running is None:
        return None
    entry.attempts.pop(request_id, None)
    key = key_of(running.request)
    account = entry.accounts[key]
    settle_charge(account, request_id, cost_units)
    account.last_active_s = now_s
    return running, _release_running(entry, key, running, now_s, failed)


def retry_run(
    entry: Entry, context: EntryContext, request_id: str, reason: RetryReason, now_s: float
) -> tuple[RunningRequest, Release] | None:
    """Queue a request again that certainly was not run, or refuse it for good."""
    running = entry.running.pop(request_id, None)
    if running is None:
        return None
    request = running.request
    key = key_of(request)
    cancel_charge(entry.accounts[key], request_id)
    if may_retry(entry, context, request, reason, now_s):
        context.out.add(RetryNoted(request_id, reason))
        queue = entry.queues.setdefault(key, WorkspaceQueue())
        push_request_first(queue, request, now_s)
        count_queued(entry, request, 1)
    else:
        refusal = choose_last_refusal(context, request, now_s)
        refuse_request(entry, context, request, refusal, now_s)
    failed = reason not in NO_FAILURES
    return running, _release_running(entry, key, running, now_s, failed)


def _start(
    entry: Entry,
    context: EntryContext,
    workspace: Workspace,
    request: RequestSpecification,
    grant: Grant,
    lease_deadline_s: float,
) -> None:
    key = key_of(request)
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


def may_retry(
    entry: Entry,
    context: EntryContext,
    request: RequestSpecification,
    reason: RetryReason,
    now_s: float,
) -> bool:
    """Spend a retry on a request if its kind, deadline, attempts and the budget allow it."""
    if request.no_repeat and reason not in SAFE_TO_REPEAT:
        return False
    if reason is RetryReason.ANSWER_BROKEN and not request.repeatable:
        return False
    if request.deadline_s <= now_s or find_hold_s(context.quarantine, request.fingerprint, now_s):
        return False
    if entry.attempts.get(request.request_id, 0) >= _attempts_limit(context, request, reason):
        return False
    if entry.retry_budget < 1.0:
        return False
    entry.retry_budget -= 1.0
    return True


def _attempts_limit(
    context: EntryContext, request: RequestSpecification, reason: RetryReason
) -> int:
    if not request.attempts:
        return context.options.attempts
    if reason in SAFE_TO_REPEAT:
        return max(request.attempts, UNSENT_ATTEMPTS)
    return request.attempts


def _name_drop(expired: bool, closed: bool) -> DropReason:
    if expired:
        return DropReason.GRANT_EXPIRED
    return DropReason.GRANT_CLOSED if closed else DropReason.GRANT_UNUSED


def _release_running(
    entry: Entry, key: PoolKey, running: RunningRequest, now_s: float, failed: bool
) -> Release:
    row = make_bid_row(entry, key)
    release = Release(running.grant_id, running.backend_server, True, now_s, row, failed)
    entry.unconfirmed_releases.append(release)
    return release


def _release_unused(entry: Entry, key: PoolKey, grant: Grant, now_s: float) -> Release:
    row = make_bid_row(entry, key)
    return Release(grant.grant_id, grant.backend_server, False, now_s, row)
