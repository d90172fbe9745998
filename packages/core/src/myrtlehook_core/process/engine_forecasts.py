"""In which order an engine's owner serves what waits, and when each answer would begin."""

from dataclasses import dataclass

from myrtlehook_core.process.engine_loads import (
    EngineLoad,
    WaitingAdmission,
    estimate_unread,
    unread_tokens,
)

PATIENT_PART = 0.25
"""Requests that can only be late give way to others for this part of their time."""


@dataclass(frozen=True, slots=True)
class Forecast:
    """When the answer to a waiting request is expected to begin."""

    waiting: WaitingAdmission
    begin_s: float


def forecast_waiting(load: EngineLoad, now_s: float) -> list[Forecast]:
    """Estimate when the answers to all waiting requests begin, in their order."""
    found = []
    ahead = unread_tokens(load)
    for waiting in order_waiting(load, now_s):
        ahead += estimate_unread(load, waiting)
        begin_s = now_s + load.answer_delay_s + ahead / load.rate_tokens_per_s
        found.append(Forecast(waiting, begin_s))
    return found


def order_waiting(load: EngineLoad, now_s: float) -> list[WaitingAdmission]:
    """Return the waiting requests, the next one first.

    What exceeds its workspace's share comes later, the more the later; requests that can
    only be late come after those that can be in time, until a part of their time is over.
    """

    def rank(item: WaitingAdmission) -> tuple[int, int, bool, bool, float]:
        patient_s = PATIENT_PART * (item.deadline_s - item.asked_at_s)
        patient = item.oversized and now_s < item.asked_at_s + patient_s
        return (item.tier, item.priority, patient, not item.returned, item.latest_start_s)

    return sorted(load.waiting.values(), key=rank)


def plan_start(load: EngineLoad, waiting: WaitingAdmission, now_s: float) -> None:
    """Work out when a new request's prompt must be read for its answer to be in time."""
    read_s = estimate_unread(load, waiting) / load.rate_tokens_per_s
    waiting.latest_start_s = waiting.aim_deadline_s - read_s - load.answer_delay_s
    waiting.oversized = waiting.latest_start_s < now_s
