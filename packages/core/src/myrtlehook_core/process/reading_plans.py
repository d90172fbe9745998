"""When an engine's owner may have the next prompt read, beside the streams that run there."""

import math
from dataclasses import dataclass

from myrtlehook_core.process.engine_loads import (
    EngineLoad,
    WaitingAdmission,
    estimate_unread_tokens,
)
from myrtlehook_core.process.reading_gaps import (
    ReadingBound,
    ReadingSpan,
    find_reading_start_s,
)
from myrtlehook_core.process.stream_paces import (
    WINDOW_FRACTION,
    compute_free_fraction,
    may_bound_reading,
    update_bounded_targets,
)

CONFIRM_FRACTION = 0.1
"""Before a gap, the owner waits for the begin of the last answer for at most this fraction of an
event's time under reading: its forecast may be wrong by a piece of a prompt, and a gap that is
planned too early is none."""

MAX_CONFIRM_TARGETS = 1.5
"""The wait counts at most this multiple of the target as an event's time: a belief may be wrong."""

DELAY_ERROR_FRACTION = 0.5
"""A gap is longer by this fraction of the engine's delay, which is known only roughly."""

MIN_HOLD_S = 1e-6
"""A start that differs from the end of earlier reading by less than this leaves no gap."""


@dataclass(frozen=True, slots=True)
class ReadingPlan:
    """An engine's reading, past and expected, and the bounds that its streams set on it."""

    spans: list[ReadingSpan]
    bounds: tuple[ReadingBound, ...]


def plan_reading(load: EngineLoad, now_s: float) -> ReadingPlan:
    """Return the reading of all granted prompts and the bounds on more of it.

    There are no bounds where the engine's reports do not call for any.
    """
    if not may_bound_reading(load.stream_pace, now_s):
        return ReadingPlan([], ())
    expected: list[ReadingSpan] = []
    begins_s = _append_expected_reading(load, expected, now_s)
    bounds = _list_bounds(load, begins_s, now_s)
    if not bounds:
        return ReadingPlan([], ())
    return ReadingPlan(_list_recent_spans(load, bounds) + expected, bounds)


def find_plan_start_s(plan: ReadingPlan, reading_s: float, earliest_s: float) -> float:
    """Return the earliest time at which a prompt's reading may start."""
    if not plan.bounds:
        return earliest_s
    return find_reading_start_s(plan.spans, reading_s, plan.bounds, earliest_s)


def find_grant_start_s(load: EngineLoad, waiting: WaitingAdmission, now_s: float) -> float:
    """Return when a prompt may be granted so that its reading keeps the streams' pace.

    Times of reading are on the scale of ``estimate_read_end_s``, on which an idle engine reads a
    prompt from its grant on. A prompt that may follow earlier reading at once is granted ahead.
    Others allow for an error: of the expected reading while there is any, or else of the delay.
    """
    plan = plan_reading(load, now_s)
    if not plan.bounds:
        return now_s
    reading_s = estimate_unread_tokens(load, waiting) / load.model.rate_tokens_per_s
    read_end_s = plan.spans[-1].end_s if plan.spans else now_s
    start_s = find_plan_start_s(plan, reading_s, read_end_s)
    if start_s <= read_end_s + MIN_HOLD_S:
        return now_s
    if load.reading:
        target_s = max(bound.window_s for bound in plan.bounds) / WINDOW_FRACTION
        event_s = min(load.stream_pace.reading_event_s, MAX_CONFIRM_TARGETS * target_s)
        return start_s + CONFIRM_FRACTION * event_s
    return start_s + DELAY_ERROR_FRACTION * load.model.delay_s


def _list_recent_spans(load: EngineLoad, bounds: tuple[ReadingBound, ...]) -> list[ReadingSpan]:
    """Return the earlier reading that may lie within a bound's window."""
    spans = load.stream_pace.spans
    since_s = spans[-1].end_s - max(bound.window_s for bound in bounds) if spans else 0.0
    recent = []
    for span in reversed(spans):
        if span.end_s < since_s:
            break
        recent.append(span)
    recent.reverse()
    return recent


def _append_expected_reading(
    load: EngineLoad, spans: list[ReadingSpan], now_s: float
) -> dict[str, float]:
    """Append the reading of the granted prompts; returns when each of them will be read."""
    begins_s = {}
    model = load.model
    end_s = load.read_until_s
    for request_id, item in load.reading.items():
        start_s = max(end_s, item.granted_at_s)
        end_s = start_s + item.unread_tokens / model.rate_tokens_per_s
        spans.append(ReadingSpan(start_s, end_s))
        begins_s[request_id] = end_s
    return begins_s


def _list_bounds(
    load: EngineLoad, begins_s: dict[str, float], now_s: float
) -> tuple[ReadingBound, ...]:
    """Return the bounds of all targets that running streams can still keep."""
    delay_s = load.model.delay_s
    since_s: dict[float, float] = {}
    for request_id, item in load.granted.items():
        target_s = item.pause_target_s
        if target_s <= 0.0 or item.is_late:
            continue
        if item.begun:
            begin_s = item.begun_at_s - delay_s
        else:
            begin_s = begins_s.get(request_id, load.read_until_s)
        if begin_s < since_s.get(target_s, math.inf):
            since_s[target_s] = begin_s
    bounds = []
    for target_s, first_s in since_s.items():
        update_bounded_targets(load.stream_pace, target_s, now_s)
        if target_s not in load.stream_pace.bounded_targets_s:
            continue
        window_s = WINDOW_FRACTION * target_s
        free = compute_free_fraction(load.stream_pace, window_s)
        if free > 0.0:
            bounds.append(ReadingBound(window_s, (1.0 - free) * window_s, first_s))
    return tuple(bounds)
