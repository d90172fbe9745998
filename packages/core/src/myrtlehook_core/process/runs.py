"""The course of a request at its ingress router: queued, dispatched, ended or retried."""

from myrtlehook_core.process.actions import Dispatch, MessageDropped, RequestRequeued
from myrtlehook_core.process.backoffs import is_backing_off
from myrtlehook_core.process.bid_spreading import spreads_bids, update_other_owners
from myrtlehook_core.process.bidding import send_bid
from myrtlehook_core.process.eligible_servers import exclude_server, may_serve
from myrtlehook_core.process.ended_servers import is_version_confirmed
from myrtlehook_core.process.ingress import (
    IngressContext,
    IngressState,
    RunningRequest,
    compute_virtual_service_units,
    get_account,
    make_bid_row,
    make_pool_key,
    update_queue_counts,
)
from myrtlehook_core.process.messages import Grant, Release
from myrtlehook_core.process.refusals import choose_last_refusal, find_refusal, refuse_request
from myrtlehook_core.process.request_quarantines import find_request_quarantine_s
from myrtlehook_core.request.charges import (
    ServiceAccount,
    cancel_charge,
    charge_early,
    grow_charge,
    settle_charge,
)
from myrtlehook_core.request.goals import find_most_urgent
from myrtlehook_core.request.outcomes import DropReason, RetryReason
from myrtlehook_core.request.queues import (
    WorkspaceQueue,
    pop_request,
    push_request,
    push_request_first,
    record_run,
    remove_request,
)
from myrtlehook_core.request.requests import PoolKey, RequestSpecification
from myrtlehook_core.version.configurations import BackendServer, Workspace

UNSENT_RETRY_REASONS = frozenset({RetryReason.CONNECT_FAILED, RetryReason.LEASE_EXPIRED})
"""Retry reasons that mean that no byte was sent. Only for these is a request that must not be
repeated queued again."""

BLAMELESS_RETRY_REASONS = frozenset({RetryReason.LEASE_EXPIRED, RetryReason.SERVER_BACKED_OFF})
"""Retry reasons that do not count as a failure of the server. A server that requests a back-off
has not failed; ejecting it would also keep away routers that it has not asked to back off."""

RUN_RETRY_REASONS = frozenset({RetryReason.ANSWER_BROKEN, RetryReason.SERVER_SILENT})
"""Retry reasons after which the request may have run."""

MIN_UNSENT_ATTEMPTS = 4
"""A request with a smaller attempts limit of its own may still be retried up to this many
dispatches in all, if the last one ended before any byte was sent to a server."""


def accept_request(
    ingress: IngressState, context: IngressContext, request: RequestSpecification, now_s: float
) -> PoolKey | None:
    """Queue a request or refuse it.

    :returns: the key of its queue, or None if it was refused.
    """
    key = PoolKey(request.workspace, request.pool)
    reason = find_refusal(ingress, context, key, request, now_s)
    if reason is not None:
        refuse_request(ingress, context, request, reason, now_s)
        return None
    queue = ingress.queues.setdefault(key, WorkspaceQueue())
    if not queue.waiting:
        ingress.unreported_keys.add(key)
    push_request(queue, request, now_s)
    ingress.attempts[request.request_id] = 0
    update_queue_counts(ingress, request, 1)
    return key


def abandon_request(ingress: IngressState, request_id: str) -> bool:
    """Remove a waiting request whose client has disconnected; False if it is not waiting."""
    for queue in ingress.queues.values():
        request = remove_request(queue, request_id)
        if request is not None:
            update_queue_counts(ingress, request, -1)
            ingress.attempts.pop(request_id, None)
            return True
    return False


def handle_grant(
    ingress: IngressState, context: IngressContext, owner: str, grant: Grant, now_s: float
) -> bool:
    """Dispatch the next waiting request that may use a granted slot, or release the slot.

    :returns: whether the owner has granted all requests advertised to it while more are waiting,
        so that it needs a new bid.
    """
    if grant.grant_id in ingress.seen_grants:
        return False
    ingress.seen_grants[grant.grant_id] = now_s + 2 * context.options.hold_lease_s
    floor_units = ingress.floors_units.get(grant.pool, 0)
    ingress.floors_units[grant.pool] = max(floor_units, grant.floor_units)
    key = PoolKey(grant.workspace, grant.pool)
    queue = ingress.queues.get(key)
    # The lease starts when this router sent its bid, so that no clocks are compared across routers.
    lease_deadline_s = grant.bid_sent_at_s + context.options.grant_lease_s
    expired = now_s >= lease_deadline_s
    workspace = context.configuration.workspaces.get(grant.workspace)
    server = _find_open_server(ingress, context, grant, now_s)
    request = None
    if server is not None and queue is not None:
        request = _find_servable(ingress, context, queue, server, now_s)
    if expired or queue is None or request is None or workspace is None:
        # A server that may serve no waiting request is closed to this router.
        waits = queue is not None and bool(queue.waiting)
        closed = server is None or (request is None and waits)
        _return_slot(ingress, context, owner, grant, expired, closed, now_s)
        return False
    request = pop_request(queue, now_s, request)
    update_queue_counts(ingress, request, -1)
    _start_run(ingress, context, workspace, request, grant, lease_deadline_s, now_s)
    advertised = ingress.advertised_requests.setdefault(owner, {})
    advertised[key] = advertised.get(key, 0) - 1
    update_other_owners(ingress, context, key, owner, now_s)
    return advertised[key] <= 0 and bool(queue.waiting)


def _find_open_server(
    ingress: IngressState, context: IngressContext, grant: Grant, now_s: float
) -> BackendServer | None:
    """Return the granted server if requests may be sent to it.

    Its owner may not know that it is leaving, or has requested a back-off.
    """
    server = context.configuration.backend_servers.get(grant.backend_server)
    if server is None or server.leaving:
        return None
    return None if is_backing_off(ingress.backoffs, server.name, now_s) else server


def _return_slot(
    ingress: IngressState,
    context: IngressContext,
    owner: str,
    grant: Grant,
    expired: bool,
    closed: bool,
    now_s: float,
) -> None:
    """Release a granted slot that is not used.

    :param closed: whether no waiting request may be sent to the server.
    """
    if closed:
        ingress.closed_servers.setdefault(grant.pool, set()).add(grant.backend_server)
        # Sent before the release: otherwise the owner would grant the same slot again.
        wants_answer = spreads_bids(context.options)
        send_bid(ingress, grant.pool, owner, context.outbox, now_s, wants_answer=wants_answer)
    context.actions.add(MessageDropped(_choose_drop_reason(expired, closed)))
    key = PoolKey(grant.workspace, grant.pool)
    release = _release_unused(ingress, key, grant, now_s)
    ingress.unconfirmed_releases.append(release)
    context.outbox.add(owner, release)


def _find_servable(
    ingress: IngressState,
    context: IngressContext,
    queue: WorkspaceQueue,
    server: BackendServer,
    now_s: float,
) -> RequestSpecification | None:
    """Return the next waiting request that the server may serve."""
    confirmed = is_version_confirmed(context.ended_servers, server.name, now_s)
    servable = (
        item
        for item in queue.waiting
        if may_serve(context.regions, item, server) and (confirmed or item.software_version is None)
    )
    if ingress.orders_by_goal:
        return find_most_urgent(servable, queue.mean_run_s, now_s)
    return next(servable, None)


def record_observed_service(ingress: IngressState, request_id: str, observed_units: float) -> None:
    """Raise the charge of a running request as its stream grows."""
    running = ingress.running.get(request_id)
    if running is None:
        return
    running.observed_units = observed_units
    account = ingress.accounts[make_pool_key(running.request)]
    grow_charge(account, request_id, observed_units)


def end_run(
    ingress: IngressState, request_id: str, cost_units: float, now_s: float, failed: bool = False
) -> tuple[RunningRequest, Release] | None:
    """Settle the charge of an ended request and return it with the release of its slot."""
    running = ingress.running.pop(request_id, None)
    if running is None:
        return None
    ingress.attempts.pop(request_id, None)
    key = make_pool_key(running.request)
    account = ingress.accounts[key]
    settle_charge(account, request_id, cost_units)
    if key in ingress.queues:
        record_run(ingress.queues[key], now_s - running.started_at_s)
    account.last_active_s = now_s
    return running, release_run(ingress, key, running, now_s, failed)


def retry_run(
    ingress: IngressState,
    context: IngressContext,
    request_id: str,
    reason: RetryReason,
    now_s: float,
) -> tuple[RunningRequest, Release] | None:
    """Queue a request again that may be retried, or refuse it; return it and its release."""
    running = ingress.running.pop(request_id, None)
    if running is None:
        return None
    request = running.request
    key = make_pool_key(request)
    cancel_charge(ingress.accounts[key], request_id)
    if claim_retry(ingress, context, request, reason, now_s):
        context.actions.add(RequestRequeued(request_id, reason))
        if reason in RUN_RETRY_REASONS:
            request = exclude_server(
                context.regions, context.configuration, request, running.backend_server
            )
        queue = ingress.queues.setdefault(key, WorkspaceQueue())
        push_request_first(queue, request, now_s)
        update_queue_counts(ingress, request, 1)
    else:
        refusal = choose_last_refusal(context, request, now_s)
        refuse_request(ingress, context, request, refusal, now_s)
    failed = reason not in BLAMELESS_RETRY_REASONS
    return running, release_run(ingress, key, running, now_s, failed)


def _start_run(
    ingress: IngressState,
    context: IngressContext,
    workspace: Workspace,
    request: RequestSpecification,
    grant: Grant,
    lease_deadline_s: float,
    now_s: float,
) -> None:
    key = make_pool_key(request)
    account = get_account(ingress, key, context.draw)
    priority_units = compute_virtual_service_units(ingress, key)
    if context.options.early_charge:
        charge_early(account, request.request_id, workspace.share)
    else:
        _open_empty_charge(account, request.request_id, workspace.share)
    ingress.running[request.request_id] = RunningRequest(
        request, grant.grant_id, grant.backend_server, grant.bid_sent_at_s, started_at_s=now_s
    )
    attempt = ingress.attempts.get(request.request_id, 0) + 1
    ingress.attempts[request.request_id] = attempt
    budget = ingress.retry_budget + context.options.retry_ratio
    ingress.retry_budget = min(budget, context.options.retry_burst)
    context.actions.add(
        Dispatch(
            request.request_id,
            grant.backend_server,
            attempt,
            priority_units,
            lease_deadline_s,
            software_version=request.software_version,
        )
    )


def _open_empty_charge(account: ServiceAccount, request_id: str, share: float) -> None:
    """Open a charge of 0 units, for benchmarks without the early charge."""
    charge_early(account, request_id, share)
    charge = account.charges[request_id]
    account.served_units -= charge.charged_units / share
    charge.charged_units = 0.0


def claim_retry(
    ingress: IngressState,
    context: IngressContext,
    request: RequestSpecification,
    reason: RetryReason,
    now_s: float,
) -> bool:
    """Spend a retry from the budget if kind, deadline, attempts and budget allow it."""
    if request.no_repeat and reason not in UNSENT_RETRY_REASONS:
        return False
    if reason in RUN_RETRY_REASONS and not request.repeatable:
        return False
    if request.deadline_s <= now_s:
        return False
    if find_request_quarantine_s(context.quarantines, request, now_s):
        return False
    if ingress.attempts.get(request.request_id, 0) >= _find_attempts_limit(
        context, request, reason
    ):
        return False
    if ingress.retry_budget < 1.0:
        return False
    ingress.retry_budget -= 1.0
    return True


def _find_attempts_limit(
    context: IngressContext, request: RequestSpecification, reason: RetryReason
) -> int:
    if not request.attempts:
        return context.options.attempts
    if reason in UNSENT_RETRY_REASONS:
        return max(request.attempts, MIN_UNSENT_ATTEMPTS)
    return request.attempts


def _choose_drop_reason(expired: bool, closed: bool) -> DropReason:
    if expired:
        return DropReason.GRANT_EXPIRED
    return DropReason.GRANT_CLOSED if closed else DropReason.GRANT_UNUSED


def release_run(
    ingress: IngressState, key: PoolKey, running: RunningRequest, now_s: float, failed: bool
) -> Release:
    """Return the release of a run's slot; it is sent again until it is confirmed."""
    row = make_bid_row(ingress, key, now_s)
    release = Release(running.grant_id, running.backend_server, True, now_s, row, failed)
    ingress.unconfirmed_releases.append(release)
    return release


def _release_unused(ingress: IngressState, key: PoolKey, grant: Grant, now_s: float) -> Release:
    row = make_bid_row(ingress, key, now_s)
    return Release(grant.grant_id, grant.backend_server, False, now_s, row)
