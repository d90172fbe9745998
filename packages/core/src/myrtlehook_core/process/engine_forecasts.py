"""In which order an engine's owner serves what waits, and when each answer would begin."""

import heapq
from dataclasses import dataclass

from myrtlehook_core.process.cold_engines import find_opening
from myrtlehook_core.process.engine_loads import (
    EngineLoad,
    WaitingAdmission,
    estimate_unread,
    find_read_end,
)

PATIENT_PART = 0.25
"""Requests that can only be late give way to others for this part of their time."""


@dataclass(frozen=True, slots=True)
class Forecast:
    """When the answer to a waiting request is expected to begin."""

    waiting: WaitingAdmission
    begin_s: float


def forecast_waiting(load: EngineLoad, slots: int, now_s: float) -> list[Forecast]:
    """Estimate when the answers to all waiting requests begin, in their order.

    :param slots: how many requests the engine runs at once.
    """
    model = load.model
    read_end_s = find_read_end(load, now_s)
    opening_s = find_opening(load.pace, now_s)
    ends_s = _expect_ends(load, read_end_s, now_s)
    found = []
    for waiting in order_waiting(load, now_s):
        start_s = max(read_end_s, opening_s)
        if len(ends_s) >= slots > 0:
            start_s = max(start_s, heapq.heappop(ends_s))
        if start_s < load.pace.until_s:
            opening_s = start_s + load.pace.gap_s
        read_end_s = start_s + estimate_unread(load, waiting) / model.rate_tokens_per_s
        begin_s = read_end_s + model.delay_s
        heapq.heappush(ends_s, begin_s + waiting.output_tokens * model.token_s)
        found.append(Forecast(waiting, begin_s))
    return found


def order_waiting(load: EngineLoad, now_s: float) -> list[WaitingAdmission]:
    """Return the waiting requests, the next one first.

    What exceeds its workspace's share comes later, the more the later; within the shares,
    workspaces that ask for less than theirs come first, since they cannot crowd anyone out.
    Requests that can only be late come after those that can be in time, until a part of
    their time is over.
    """

    def rank(item: WaitingAdmission) -> tuple[tuple[int, bool], int, bool, bool, float]:
        patient_s = PATIENT_PART * (item.deadline_s - item.asked_at_s)
        patient = item.late_anyway and now_s < item.asked_at_s + patient_s
        return (item.rank, item.priority, patient, not item.returned, item.latest_start_s)

    return sorted(load.waiting.values(), key=rank)


def plan_start(
    load: EngineLoad, waiting: WaitingAdmission, aim_slack_part: float, now_s: float
) -> None:
    """Work out when a new request's prompt must be read for its answer to be in time.

    :param aim_slack_part: within which part of its aim an answer is expected to begin.
    """
    model = load.model
    alone_s = estimate_unread(load, waiting) / model.rate_tokens_per_s + model.delay_s
    aim_s = waiting.aim_deadline_s - now_s
    waiting.latest_start_s = waiting.aim_deadline_s - alone_s
    waiting.oversized = alone_s > aim_slack_part * aim_s
    waiting.late_anyway = alone_s > aim_s


def _expect_ends(load: EngineLoad, read_end_s: float, now_s: float) -> list[float]:
    """Return when the granted requests are expected to end, as a heap."""
    model = load.model
    ends_s = []
    for item in load.granted.values():
        begun_at_s = item.begun_at_s if item.begun else read_end_s + model.delay_s
        ends_s.append(max(begun_at_s + item.output_tokens * model.token_s, now_s))
    heapq.heapify(ends_s)
    return ends_s
