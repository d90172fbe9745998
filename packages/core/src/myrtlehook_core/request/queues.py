"""The queue of one workspace's requests for one pool at this router."""

from collections import deque
from dataclasses import dataclass, field

from myrtlehook_core.request.requests import RequestSpecification

RATE_WEIGHT = 0.2
"""Weight of the newest gap between dispatches in the measured rate."""


@dataclass(slots=True)
class WorkspaceQueue:
    """Waiting requests, oldest first, with the rate at which they leave."""

    waiting: deque[RequestSpecification] = field(default_factory=deque)
    queued_bytes: int = 0
    busy_since_s: float = 0.0
    last_dispatch_s: float | None = None
    seconds_per_dispatch_s: float | None = None
    offered_s: float | None = None
    """When the queue last became non-empty; every owner hears of it soon after."""


def push_request(queue: WorkspaceQueue, request: RequestSpecification, now_s: float) -> None:
    """Put a request at the end of the queue."""
    if not queue.waiting:
        queue.offered_s = now_s
        queue.busy_since_s = now_s
        queue.last_dispatch_s = None
    queue.waiting.append(request)
    queue.queued_bytes += request.body_bytes


def push_request_first(queue: WorkspaceQueue, request: RequestSpecification, now_s: float) -> None:
    """Put a request that must be retried back at the head of the queue."""
    if not queue.waiting:
        queue.offered_s = now_s
    queue.waiting.appendleft(request)
    queue.queued_bytes += request.body_bytes


def pop_request(queue: WorkspaceQueue, now_s: float) -> RequestSpecification:
    """Take the oldest request and note the rate at which the queue moves."""
    request = queue.waiting.popleft()
    queue.queued_bytes -= request.body_bytes
    started_s = queue.busy_since_s if queue.last_dispatch_s is None else queue.last_dispatch_s
    _note_gap(queue, max(now_s - started_s, 0.0))
    queue.last_dispatch_s = now_s
    return request


def remove_request(queue: WorkspaceQueue, request_id: str) -> RequestSpecification | None:
    """Take one request out of the queue wherever it stands."""
    for request in queue.waiting:
        if request.request_id == request_id:
            queue.waiting.remove(request)
            queue.queued_bytes -= request.body_bytes
            return request
    return None


def expected_wait_s(queue: WorkspaceQueue, position: int, now_s: float) -> float | None:
    """Estimate the wait of the request at ``position`` from this queue's own rate.

    A queue that has stopped moving is judged by its present stall, not by the
    rate of better times.

    :returns: seconds, or None while no rate is known.
    """
    if queue.seconds_per_dispatch_s is None:
        return None
    gap_s = queue.seconds_per_dispatch_s
    if queue.waiting and queue.last_dispatch_s is not None:
        gap_s = max(gap_s, now_s - queue.last_dispatch_s)
    return gap_s * (position + 1)


def _note_gap(queue: WorkspaceQueue, gap_s: float) -> None:
    if queue.seconds_per_dispatch_s is None:
        queue.seconds_per_dispatch_s = gap_s
        return
    queue.seconds_per_dispatch_s += RATE_WEIGHT * (gap_s - queue.seconds_per_dispatch_s)
