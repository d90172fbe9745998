"""Goals: when a waiting request has to start, so that its answer is still in time.

A request that can still begin its answer within its target has its target as goal; one that is
late for that has a later goal, a part of the way to its deadline. Where too few slots are free,
the earliest goal goes first: requests that are late anyway make fewer others late, and wait behind
those in time for a bounded time only.
"""

import math
from collections.abc import Iterable

from myrtlehook_core.request.requests import RequestSpecification

LATE_GOAL_PART = 0.5
"""Of the time from target to deadline: the goal of late requests. Half is left to be served in, as
their callers still wait."""


def find_goal_s(request: RequestSpecification, mean_run_s: float, now_s: float) -> float:
    """Return the latest time at which a request should start."""
    aim_goal_s = request.aim_deadline_s - mean_run_s
    if now_s <= aim_goal_s and not math.isinf(aim_goal_s):
        return aim_goal_s
    if math.isinf(request.aim_deadline_s):
        return request.deadline_s - mean_run_s
    left_s = request.deadline_s - request.aim_deadline_s
    return request.aim_deadline_s + LATE_GOAL_PART * left_s - mean_run_s


def find_most_urgent(
    requests: Iterable[RequestSpecification], mean_run_s: float, now_s: float
) -> RequestSpecification | None:
    """Return the request with the earliest goal, or None if there is none."""
    return min(requests, key=lambda request: find_goal_s(request, mean_run_s, now_s), default=None)
