"""The queue of one workspace's requests for one pool at this router."""

from collections import deque
from dataclasses import dataclass, field

from myrtlehook_core.request.requests import RequestSpecification

DISPATCH_GAP_WEIGHT = 0.2
"""Weight of the newest gap between dispatches in the exponential average."""

RUN_WEIGHT = 0.1
"""Weight of the newest run in the exponential average of run times."""


@dataclass(slots=True)
class WorkspaceQueue:
    """Waiting requests, oldest first, and the measured rate of their dispatch."""

    waiting: deque[RequestSpecification] = field(default_factory=deque)
    queued_bytes: int = 0
    busy_since_s: float = 0.0
    """When a new request last found the queue empty; the next dispatch gap starts here."""
    last_dispatch_s: float | None = None
    """When a request was last dispatched; None if none was since ``busy_since_s``."""
    mean_dispatch_gap_s: float | None = None
    """Exponential average of the gaps; None until the first dispatch."""
    became_nonempty_s: float | None = None
    """When the queue last became non-empty; bids are sent to all owners soon after."""
    mean_run_s: float = 0.0
    """Exponential average of how long its requests ran at backend servers."""
    is_spread: bool = False
    """Whether it has been offered to several owners since it became non-empty."""


def push_request(queue: WorkspaceQueue, request: RequestSpecification, now_s: float) -> None:
    """Append a new request to the queue."""
    if not queue.waiting:
        queue.became_nonempty_s = now_s
        queue.is_spread = False
        queue.busy_since_s = now_s
        queue.last_dispatch_s = None
    queue.waiting.append(request)
    queue.queued_bytes += request.body_bytes


def push_request_first(queue: WorkspaceQueue, request: RequestSpecification, now_s: float) -> None:
    """Put a request that is retried back at the head of the queue."""
    if not queue.waiting:
        queue.became_nonempty_s = now_s
        queue.is_spread = False
    queue.waiting.appendleft(request)
    queue.queued_bytes += request.body_bytes


def pop_request(
    queue: WorkspaceQueue, now_s: float, request: RequestSpecification | None = None
) -> RequestSpecification:
    """Remove and return a request, the oldest if none is given, and update the dispatch rate."""
    if request is None or request is queue.waiting[0]:
        request = queue.waiting.popleft()
    else:
        queue.waiting.remove(request)
    queue.queued_bytes -= request.body_bytes
    started_s = queue.busy_since_s if queue.last_dispatch_s is None else queue.last_dispatch_s
    _record_dispatch_gap(queue, max(now_s - started_s, 0.0))
    queue.last_dispatch_s = now_s
    return request


def remove_request(queue: WorkspaceQueue, request_id: str) -> RequestSpecification | None:
    """Remove a request from any position; return it, or None if it is not queued."""
    for request in queue.waiting:
        if request.request_id == request_id:
            queue.waiting.remove(request)
            queue.queued_bytes -= request.body_bytes
            return request
    return None


def estimate_wait_s(queue: WorkspaceQueue, position: int, now_s: float) -> float | None:
    """Estimate the wait of the request at ``position`` from this queue's dispatch rate.

    If the time since the last dispatch already exceeds the average gap, it is used
    instead, so that a stalled queue is not judged by its earlier rate.

    :returns: seconds, or None while no rate is known.
    """
    if queue.mean_dispatch_gap_s is None:
        return None
    gap_s = queue.mean_dispatch_gap_s
    if queue.waiting and queue.last_dispatch_s is not None:
        gap_s = max(gap_s, now_s - queue.last_dispatch_s)
    return gap_s * (position + 1)


def record_run(queue: WorkspaceQueue, run_s: float) -> None:
    """Record how long a request ran at its backend server."""
    weight = RUN_WEIGHT if queue.mean_run_s else 1.0
    queue.mean_run_s += weight * (run_s - queue.mean_run_s)


def _record_dispatch_gap(queue: WorkspaceQueue, gap_s: float) -> None:
    if queue.mean_dispatch_gap_s is None:
        queue.mean_dispatch_gap_s = gap_s
        return
    queue.mean_dispatch_gap_s += DISPATCH_GAP_WEIGHT * (gap_s - queue.mean_dispatch_gap_s)
