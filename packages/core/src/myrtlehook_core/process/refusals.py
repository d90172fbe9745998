"""Refusal of requests: when, for which reason, and with which retry-after time."""

from myrtlehook_core.process.actions import Refuse
from myrtlehook_core.process.backoffs import find_pool_backoff_s
from myrtlehook_core.process.eligible_servers import find_eligibility_refusal, may_serve
from myrtlehook_core.process.ingress import (
    IngressContext,
    IngressState,
    make_pool_key,
    update_queue_counts,
)
from myrtlehook_core.process.request_quarantines import find_request_quarantine_s
from myrtlehook_core.request.admission import (
    TokenBucket,
    can_meet_deadline,
    compute_retry_after_s,
    find_queue_refusal,
    take_token,
)
from myrtlehook_core.request.outcomes import RefusalReason
from myrtlehook_core.request.queues import WorkspaceQueue, remove_request
from myrtlehook_core.request.requests import PoolKey, RequestSpecification
from myrtlehook_core.version.configurations import Workspace

RETRY_SPREAD_S = 0.5
"""Span over which the retries of refused clients are spread after a back-off has ended. It equals
the time for which servers tolerate requests that were under way when they asked a router to back
off."""


def refuse_unservable(ingress: IngressState, context: IngressContext, now_s: float) -> None:
    """Refuse every waiting request that cannot be run in time or whose workspace was removed."""
    regions, configuration = context.regions, context.configuration
    for key, queue in list(ingress.queues.items()):
        removed = key.workspace not in context.configuration.workspaces
        refused: list[tuple[RequestSpecification, RefusalReason]] = []
        for position, request in enumerate(queue.waiting):
            if removed:
                refused.append((request, RefusalReason.CONFIGURATION_REMOVED))
            elif reason := find_eligibility_refusal(regions, configuration, request):
                refused.append((request, reason))
            elif request.deadline_s <= now_s:
                refused.append((request, RefusalReason.DEADLINE_PASSED))
            elif backoff_exceeds_target(ingress, context, request, now_s):
                refused.append((request, RefusalReason.BACKED_OFF))
            elif not can_meet_deadline(queue, position - len(refused), request.deadline_s, now_s):
                refused.append((request, RefusalReason.DEADLINE_UNREACHABLE))
        for request, reason in refused:
            remove_request(queue, request.request_id)
            update_queue_counts(ingress, request, -1)
            refuse_request(ingress, context, request, reason, now_s)


def find_backoff_s(
    ingress: IngressState, context: IngressContext, request: RequestSpecification, now_s: float
) -> float:
    """Return the time until a server that may serve the request accepts requests; 0 if one does."""
    return find_pool_backoff_s(
        ingress.backoffs,
        context.configuration,
        request.pool,
        now_s,
        lambda server: may_serve(context.regions, request, server),
    )


def backoff_exceeds_target(
    ingress: IngressState, context: IngressContext, request: RequestSpecification, now_s: float
) -> bool:
    """Return whether all servers that may serve it back off beyond its target or deadline."""
    wait_s = find_backoff_s(ingress, context, request, now_s)
    return wait_s > 0.0 and now_s + wait_s >= min(request.aim_deadline_s, request.deadline_s)


def find_retry_wait_s(
    ingress: IngressState, context: IngressContext, request: RequestSpecification, now_s: float
) -> float:
    """Return the time until a server of the pool accepts requests again; 0 if one does now.

    A random spread is added, so that clients that were refused at different times do not all
    retry at the same moment.
    """
    wait_s = find_backoff_s(ingress, context, request, now_s)
    return wait_s + context.draw() * RETRY_SPREAD_S if wait_s else 0.0


def find_refusal(
    ingress: IngressState,
    context: IngressContext,
    key: PoolKey,
    request: RequestSpecification,
    now_s: float,
) -> RefusalReason | None:
    """Return the reason to refuse a new request, or None if it may be queued."""
    if context.draining and not context.options.serves_while_draining:
        return RefusalReason.DRAINING
    workspace = context.configuration.workspaces.get(key.workspace)
    if workspace is None:
        return RefusalReason.CONFIGURATION_REMOVED
    if request.request_id in ingress.attempts:
        return RefusalReason.DUPLICATE_REQUEST_ID
    if find_request_quarantine_s(context.quarantines, request, now_s):
        return RefusalReason.QUARANTINED
    reason = find_eligibility_refusal(context.regions, context.configuration, request)
    if reason is not None:
        return reason
    if key.pool not in context.configuration.served_pools:
        return RefusalReason.NO_BACKEND_SERVER
    if backoff_exceeds_target(ingress, context, request, now_s):
        return RefusalReason.BACKED_OFF
    if ingress.queued_requests >= context.options.router_requests:
        return RefusalReason.ROUTER_FULL
    if ingress.queued_bytes + request.body_bytes > context.options.router_bytes:
        return RefusalReason.ROUTER_BYTES_FULL
    return _find_workspace_refusal(ingress, workspace, key, request, now_s)


def _find_workspace_refusal(
    ingress: IngressState,
    workspace: Workspace,
    key: PoolKey,
    request: RequestSpecification,
    now_s: float,
) -> RefusalReason | None:
    limits = workspace.limits
    bucket = ingress.buckets.get(key.workspace)
    if bucket is None:
        bucket = TokenBucket(float(limits.burst_requests), now_s)
        ingress.buckets[key.workspace] = bucket
    if not take_token(bucket, limits, now_s):
        return RefusalReason.RATE_LIMITED
    queue = ingress.queues.get(key) or WorkspaceQueue()
    reason = find_queue_refusal(queue, limits, request.body_bytes)
    if reason is not None:
        return reason
    if not can_meet_deadline(queue, len(queue.waiting), request.deadline_s, now_s):
        return RefusalReason.DEADLINE_UNREACHABLE
    return None


def choose_last_refusal(
    context: IngressContext, request: RequestSpecification, now_s: float
) -> RefusalReason:
    """Return the refusal reason of a request that was dispatched and is not retried."""
    if find_request_quarantine_s(context.quarantines, request, now_s):
        return RefusalReason.QUARANTINED
    if request.deadline_s <= now_s:
        return RefusalReason.DEADLINE_PASSED
    return RefusalReason.RETRIES_EXHAUSTED


def refuse_request(
    ingress: IngressState,
    context: IngressContext,
    request: RequestSpecification,
    reason: RefusalReason,
    now_s: float,
) -> None:
    """Refuse a request, with the time after which its client should retry."""
    if reason is not RefusalReason.DUPLICATE_REQUEST_ID:
        ingress.attempts.pop(request.request_id, None)
    wait_s = find_request_quarantine_s(context.quarantines, request, now_s)
    if not wait_s:
        backoff_s = find_retry_wait_s(ingress, context, request, now_s)
        wait_s = max(
            compute_retry_after_s(ingress.queues.get(make_pool_key(request)), now_s), backoff_s
        )
    context.actions.add(Refuse(request.request_id, reason, wait_s))


def refuse_with_wait(
    context: IngressContext,
    request: RequestSpecification,
    reason: RefusalReason,
    wait_s: float,
) -> None:
    """Refuse a request, with a given time after which its client should retry."""
    context.actions.add(Refuse(request.request_id, reason, wait_s))
