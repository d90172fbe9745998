"""Limits on joining a workspace's queue, and the retry delay of refused clients."""

from dataclasses import dataclass

from myrtlehook_core.request.outcomes import RefusalReason
from myrtlehook_core.request.queues import WorkspaceQueue, estimate_wait_s

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 600.0

GIVE_UP_FACTOR = 2.0
"""A queued request is refused only when its expected wait exceeds the time to its
deadline by this factor, because the measured rate of a queue is noisy."""


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """The bounds of one workspace's queues at one router."""

    queued_requests: int
    queued_bytes: int
    requests_per_s: float
    burst_requests: int


@dataclass(slots=True)
class TokenBucket:
    """The token bucket that limits one workspace's request rate at one router."""

    level_requests: float
    filled_at_s: float


def take_token(bucket: TokenBucket, limits: QueueLimits, now_s: float) -> bool:
    """Take one request's token; False when the workspace exceeds its rate."""
    refill = max(now_s - bucket.filled_at_s, 0.0) * limits.requests_per_s
    bucket.level_requests = min(float(limits.burst_requests), bucket.level_requests + refill)
    bucket.filled_at_s = now_s
    if bucket.level_requests < 1.0:
        return False
    bucket.level_requests -= 1.0
    return True


def find_queue_refusal(
    queue: WorkspaceQueue, limits: QueueLimits, body_bytes: int
) -> RefusalReason | None:
    """Return the refusal for the limit that one more request would exceed, if any."""
    if len(queue.waiting) >= limits.queued_requests:
        return RefusalReason.QUEUE_FULL
    if queue.queued_bytes + body_bytes > limits.queued_bytes:
        return RefusalReason.QUEUE_BYTES_FULL
    return None


def can_meet_deadline(
    queue: WorkspaceQueue, position: int, deadline_s: float, now_s: float
) -> bool:
    """Return whether the request at ``position`` may still be dispatched before its deadline."""
    if deadline_s <= now_s:
        return False
    wait_s = estimate_wait_s(queue, position, now_s)
    return wait_s is None or wait_s <= GIVE_UP_FACTOR * (deadline_s - now_s)


def compute_retry_after_s(queue: WorkspaceQueue | None, now_s: float) -> float:
    """Return the retry delay for a client, from its workspace's own backlog and rate."""
    if queue is None:
        return MIN_RETRY_AFTER_S
    wait_s = estimate_wait_s(queue, len(queue.waiting), now_s)
    if wait_s is None:
        return MIN_RETRY_AFTER_S
    return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
