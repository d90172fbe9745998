"""Which requests are refused, when, and with when to come back."""

from myrtlehook_core.process.actions import Refuse
from myrtlehook_core.process.backoffs import find_pool_wait_s
from myrtlehook_core.process.entries import Entry, EntryContext, count_queued, key_of
from myrtlehook_core.process.quarantine import find_hold_s
from myrtlehook_core.request.admission import (
    TokenBucket,
    can_meet_deadline,
    find_queue_refusal,
    retry_after_s,
    take_token,
)
from myrtlehook_core.request.outcomes import RefusalReason
from myrtlehook_core.request.queues import WorkspaceQueue, remove_request
from myrtlehook_core.request.requests import PoolKey, RequestSpecification
from myrtlehook_core.version.configurations import Workspace

RETURN_SPREAD_S = 0.5
"""Over so long callers come back once a server takes requests again: as long as a server leaves
for what was under way when it turned a router away."""


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
            elif misses_aim(entry, context, request, now_s):
                doomed.append((request, RefusalReason.BACKED_OFF))
            elif not can_meet_deadline(queue, position - len(doomed), request.deadline_s, now_s):
                doomed.append((request, RefusalReason.DEADLINE_UNREACHABLE))
        for request, reason in doomed:
            remove_request(queue, request.request_id)
            count_queued(entry, request, -1)
            refuse_request(entry, context, request, reason, now_s)


def misses_aim(
    entry: Entry, context: EntryContext, request: RequestSpecification, now_s: float
) -> bool:
    """Tell whether every server of a request's pool wants nothing of this router for too long."""
    wait_s = find_pool_wait_s(entry.backoffs, context.configuration, request.pool, now_s)
    return wait_s > 0.0 and now_s + wait_s >= min(request.aim_deadline_s, request.deadline_s)


def find_return_s(
    entry: Entry, context: EntryContext, request: RequestSpecification, now_s: float
) -> float:
    """Return when a server of the pool takes requests of this router again; 0 if one does.

    Spread, so that callers who were refused over a while do not come back at one moment.
    """
    wait_s = find_pool_wait_s(entry.backoffs, context.configuration, request.pool, now_s)
    return wait_s + context.draw() * RETURN_SPREAD_S if wait_s else 0.0


def find_refusal(
    entry: Entry,
    context: EntryContext,
    key: PoolKey,
    request: RequestSpecification,
    now_s: float,
) -> RefusalReason | None:
    """Return why a new request may not be queued, if so."""
    if context.draining and not context.options.serves_while_draining:
        return RefusalReason.DRAINING
    workspace = context.configuration.workspaces.get(key.workspace)
    if workspace is None:
        return RefusalReason.CONFIGURATION_REMOVED
    if request.request_id in entry.attempts:
        return RefusalReason.DUPLICATE_REQUEST_ID
    if find_hold_s(context.quarantine, request.fingerprint, now_s):
        return RefusalReason.QUARANTINED
    if key.pool not in context.configuration.served_pools:
        return RefusalReason.NO_BACKEND_SERVER
    if misses_aim(entry, context, request, now_s):
        return RefusalReason.BACKED_OFF
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


def choose_last_refusal(
    context: EntryContext, request: RequestSpecification, now_s: float
) -> RefusalReason:
    """Return why a request that was tried is not tried again."""
    if find_hold_s(context.quarantine, request.fingerprint, now_s):
        return RefusalReason.QUARANTINED
    if request.deadline_s <= now_s:
        return RefusalReason.DEADLINE_PASSED
    return RefusalReason.RETRIES_EXHAUSTED


def refuse_request(
    entry: Entry,
    context: EntryContext,
    request: RequestSpecification,
    reason: RefusalReason,
    now_s: float,
) -> None:
    """Give a request its final answer now, with when to come back."""
    if reason is not RefusalReason.DUPLICATE_REQUEST_ID:
        entry.attempts.pop(request.request_id, None)
    wait_s = find_hold_s(context.quarantine, request.fingerprint, now_s)
    if not wait_s:
        backoff_s = find_return_s(entry, context, request, now_s)
        wait_s = max(retry_after_s(entry.queues.get(key_of(request)), now_s), backoff_s)
    context.out.add(Refuse(request.request_id, reason, wait_s))


def refuse_with(
    context: EntryContext,
    request: RequestSpecification,
    reason: RefusalReason,
    wait_s: float,
) -> None:
    """Give a request its final answer now, with a known time to come back."""
    context.out.add(Refuse(request.request_id, reason, wait_s))
