"""The order in which an engine's owner serves waiting requests, and when answers will begin."""

import heapq
from dataclasses import dataclass

from myrtlehook_core.process.cold_engines import find_paced_grant_s
from myrtlehook_core.process.engine_loads import (
    EngineLoad,
    WaitingAdmission,
    estimate_read_end_s,
    estimate_unread_tokens,
)
from myrtlehook_core.process.reading_gaps import ReadingSpan
from myrtlehook_core.process.reading_plans import find_plan_start_s, plan_reading

LATE_YIELD_FRACTION = 0.25
"""Unavoidably late requests come after others for this fraction of the time to their deadline."""


@dataclass(frozen=True, slots=True)
class Forecast:
    """When the answer to a waiting request is expected to begin."""

    waiting: WaitingAdmission
    begin_s: float


def forecast_waiting(load: EngineLoad, slots: int, now_s: float) -> list[Forecast]:
    """Estimate when the answers to all waiting requests begin, in the order of service.

    :param slots: the number of requests that the engine runs at once.
    """
    model = load.model
    read_end_s = estimate_read_end_s(load, now_s)
    next_grant_s = find_paced_grant_s(load.pace, now_s)
    ends_s = _forecast_ends(load, read_end_s, now_s)
    found = []
    plan = plan_reading(load, now_s)
    for waiting in order_waiting(load, now_s):
        start_s = max(read_end_s, next_grant_s)
        if len(ends_s) >= slots > 0:
            start_s = max(start_s, heapq.heappop(ends_s))
        if start_s < load.pace.cold_until_s:
            next_grant_s = start_s + load.pace.grant_interval_s
        reading_s = estimate_unread_tokens(load, waiting) / model.rate_tokens_per_s
        start_s = find_plan_start_s(plan, reading_s, start_s)
        read_end_s = start_s + reading_s
        plan.spans.append(ReadingSpan(start_s, read_end_s))
        begin_s = read_end_s + model.delay_s
        heapq.heappush(ends_s, begin_s + waiting.output_tokens * model.token_s)
        found.append(Forecast(waiting, begin_s))
    return found


def order_waiting(load: EngineLoad, now_s: float) -> list[WaitingAdmission]:
    """Return the waiting requests in the order of service.

    Requests that exceed their workspace's share come later, the more they exceed it; within
    the shares, workspaces that request less than theirs come first, since they cannot crowd
    others out. Unavoidably late requests come after those that can be in time, until a
    fraction of their time has passed.
    """

    def rank(item: WaitingAdmission) -> tuple[tuple[int, bool], int, bool, bool, float]:
        yield_s = LATE_YIELD_FRACTION * (item.deadline_s - item.asked_at_s)
        yields = item.unavoidably_late and now_s < item.asked_at_s + yield_s
        return (item.rank, item.priority, yields, not item.is_client_retry, item.latest_start_s)

    return sorted(load.waiting.values(), key=rank)


def set_start_limit(
    load: EngineLoad, waiting: WaitingAdmission, aim_slack_part: float, now_s: float
) -> None:
    """Set the latest time to start reading a new request's prompt, and whether it can be in time.

    :param aim_slack_part: the fraction of the first-token target that forecasts may use.
    """
    model = load.model
    time_to_begin_s = (
        estimate_unread_tokens(load, waiting) / model.rate_tokens_per_s + model.delay_s
    )
    aim_s = waiting.aim_deadline_s - now_s
    waiting.latest_start_s = waiting.aim_deadline_s - time_to_begin_s
    waiting.oversized = time_to_begin_s > aim_slack_part * aim_s
    waiting.unavoidably_late = time_to_begin_s > aim_s


def _forecast_ends(load: EngineLoad, read_end_s: float, now_s: float) -> list[float]:
    """Return a heap of the times at which the granted requests are expected to end."""
    model = load.model
    ends_s = []
    for item in load.granted.values():
        begun_at_s = item.begun_at_s if item.begun else read_end_s + model.delay_s
        ends_s.append(max(begun_at_s + item.output_tokens * model.token_s, now_s))
    heapq.heapify(ends_s)
    return ends_s
