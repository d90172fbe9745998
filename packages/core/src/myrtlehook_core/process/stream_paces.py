"""What an engine's owner believes of the time between events of the streams at it.

It is one function of the share of time in which the engine reads: the rate of events falls in
proportion from that of an engine that reads nothing to that of one that reads without a break.
Reports of pauses show the latter, the runs with the shortest pauses the former. Where uninterrupted
reading would break a target, the function says which share of the time has to stay free of it.

Reports may be lost, late or doubled: each one moves the belief a little, and none are needed for
long before the bound on reading is lifted again.
"""

import math
from collections import deque
from dataclasses import dataclass, field

import msgspec

from myrtlehook_core.process.admission_messages import EngineEstimate
from myrtlehook_core.process.reading_gaps import ReadingSpan, sum_reading_s
from myrtlehook_core.process.stream_pauses import ObservedPause

WINDOW_FRACTION = 0.85
"""Pauses are planned for this fraction of their target; the rest allows for errors of the forecast
and for the delivery of events to callers."""

ENTER_FRACTION = 0.95
LEAVE_FRACTION = 0.88
"""Reading is bounded for a target once an event under uninterrupted reading takes the first
fraction of it, and until it takes less than the second."""

MIN_LONG_PAUSES = 3
"""Reading is bounded for a target only after this many recent pauses of ``ENTER_FRACTION`` of it:
one late event may have other causes, and a belief alone may be wrong."""

STAY_FRACTION = 0.8
"""Reading stays bounded for a target while pauses still come to this fraction of it, which gaps
lead to where they are needed: a belief alone may stay too high after a slow spell."""

REPORT_MEMORY_S = 10.0
"""Reading is no longer bounded if no pause has come near its target for this long."""

RISE_WEIGHT = 0.1
FALL_WEIGHT = 0.01
"""Weights of one reported pause above and below the present belief in the moving average. It
follows the longer ones: pieces of short prompts take less time than those that break streams."""

MIN_READING_FRACTION = 0.5
"""A pause shows the time between events under reading if the engine read for this part of it."""

MAX_FREE_EVENTS = 0.5
"""The free part of a reported pause counts for at most this part of an event, since the time of
an event without reading is known only roughly."""

MAX_SAMPLE_FACTOR = 1.5
"""A reported pause counts for at most this multiple of its target or of the present belief: it may
have been lengthened on its way."""

IDLE_EVENT_FRACTION = 0.15
"""An event without reading takes at most this fraction of one under reading; a step without a
piece of a prompt is short."""

IDLE_EVENT_RISE = 1.01
"""With each run that ends, the shortest pause known is forgotten by this factor."""

MAX_FREE_FRACTION = 0.3
"""At most this fraction of the time stays free of reading: beyond that, too many first events would
be late instead."""

MAX_ADOPTED_TARGETS = 3.0
"""An earlier owner's belief above this many targets is not adopted: it makes no sense, or the
target cannot be kept."""

MAX_SPANS = 256
"""Some tens of seconds of reading at usual prompts: pauses are far shorter."""


@dataclass(slots=True)
class StreamPace:
    """The time between events of the streams at one engine."""

    is_on: bool = True
    """Whether reading is bounded at all."""
    reading_event_s: float = 0.0
    """While the engine reads without a break; 0 before the first report."""
    idle_event_s: float = math.inf
    """While it reads nothing; infinity before the first run has ended."""
    reports: int = 0
    """The number of reported pauses that the belief is based on."""
    reported_at_s: float = -math.inf
    """When the last of them arrived."""
    long_pauses_at_s: dict[float, deque[float]] = field(default_factory=dict)
    """When the last pauses near each target were reported."""
    near_pause_at_s: dict[float, float] = field(default_factory=dict)
    """When a pause of ``STAY_FRACTION`` of each target was last reported."""
    adopted_until_s: float = -math.inf
    """Until when an earlier owner's belief stands for reported pauses."""
    bounded_targets_s: set[float] = field(default_factory=set)
    """The targets that uninterrupted reading would break."""
    was_bounded: bool = False
    """Whether reading was bounded when this was last told to the operator."""
    spans: deque[ReadingSpan] = field(default_factory=lambda: deque(maxlen=MAX_SPANS))
    """When the engine has read, on the time scale of ``estimate_read_end_s``."""


def has_recent_reports(pace: StreamPace, now_s: float) -> bool:
    """Return whether the belief is recent."""
    return pace.is_on and now_s < pace.reported_at_s + REPORT_MEMORY_S


def may_bound_reading(pace: StreamPace, now_s: float) -> bool:
    """Return whether reading is bounded for any target, or an adopted belief may call for it."""
    may_bound = bool(pace.bounded_targets_s) or now_s < pace.adopted_until_s
    return may_bound and has_recent_reports(pace, now_s)


def is_reading_bounded(pace: StreamPace, now_s: float) -> bool:
    """Return whether reading is bounded for any target."""
    return bool(pace.bounded_targets_s) and has_recent_reports(pace, now_s)


def record_reading(pace: StreamPace, start_s: float, end_s: float) -> None:
    """Record that the engine has read between two times."""
    if pace.spans:
        start_s = max(start_s, pace.spans[-1].end_s)
    if end_s > start_s:
        pace.spans.append(ReadingSpan(start_s, end_s))


def learn_reported_pause(pace: StreamPace, pause: ObservedPause, seen_at_s: float) -> None:
    """Update the time between events under reading from a reported pause.

    :param seen_at_s: when the pause ended, on the time scale of the reading.
    """
    if not pace.is_on or pause.pause_s <= 0.0 or pause.target_s <= 0.0:
        return
    reading_s = sum_reading_s(pace.spans, seen_at_s - pause.pause_s, seen_at_s)
    if reading_s < MIN_READING_FRACTION * pause.pause_s:
        return
    if not has_recent_reports(pace, pause.ended_at_s):
        _forget_reports(pace)
    free_events = 0.0
    if pace.reading_event_s:
        free_s = pause.pause_s - reading_s
        free_events = min(free_s / get_idle_event_s(pace), MAX_FREE_EVENTS)
    longest_s = MAX_SAMPLE_FACTOR * max(pause.target_s, pace.reading_event_s)
    event_s = min(reading_s / (1.0 - free_events), longest_s)
    weight = RISE_WEIGHT if event_s > pace.reading_event_s else FALL_WEIGHT
    if not pace.reading_event_s:
        weight = 1.0
    pace.reading_event_s += weight * (event_s - pace.reading_event_s)
    pace.reports += 1
    pace.reported_at_s = pause.ended_at_s
    if pause.pause_s >= STAY_FRACTION * pause.target_s:
        pace.near_pause_at_s[pause.target_s] = pause.ended_at_s
    if pause.pause_s >= ENTER_FRACTION * pause.target_s:
        empty: deque[float] = deque(maxlen=MIN_LONG_PAUSES)
        pace.long_pauses_at_s.setdefault(pause.target_s, empty).append(pause.ended_at_s)
    for target_s in pace.bounded_targets_s | {pause.target_s}:
        update_bounded_targets(pace, target_s, pause.ended_at_s)


def learn_longest_pause(pace: StreamPace, pause_s: float) -> None:
    """Update the time between events without reading from the longest pause of an ended run."""
    if pause_s > 0.0:
        pace.idle_event_s = min(pace.idle_event_s * IDLE_EVENT_RISE, pause_s)


def get_idle_event_s(pace: StreamPace) -> float:
    """Return the believed time between events without reading."""
    return min(pace.idle_event_s, IDLE_EVENT_FRACTION * pace.reading_event_s)


def update_bounded_targets(pace: StreamPace, target_s: float, now_s: float) -> None:
    """Decide whether reading is bounded for a target, with hysteresis."""
    near_at_s = pace.near_pause_at_s.get(target_s, -math.inf)
    is_near = now_s < max(near_at_s + REPORT_MEMORY_S, pace.adopted_until_s)
    if not is_near or pace.reading_event_s < LEAVE_FRACTION * target_s:
        pace.bounded_targets_s.discard(target_s)
    elif pace.reading_event_s >= ENTER_FRACTION * target_s and _is_shown(pace, target_s, now_s):
        pace.bounded_targets_s.add(target_s)


def compute_free_fraction(pace: StreamPace, window_s: float) -> float:
    """Return which fraction of a window has to stay free of reading for one event to fit in it."""
    if pace.reading_event_s <= window_s:
        return 0.0
    idle_event_s = get_idle_event_s(pace)
    if idle_event_s >= window_s:
        # Events come too late without any reading as well.
        return 0.0
    missing = 1.0 / window_s - 1.0 / pace.reading_event_s
    gained = 1.0 / idle_event_s - 1.0 / pace.reading_event_s
    return min(missing / gained, MAX_FREE_FRACTION)


def adopt_stream_pace(
    pace: StreamPace, estimate: EngineEstimate, longest_target_s: float, now_s: float
) -> None:
    """Adopt an earlier owner's belief if it makes sense and there are no own reports yet.

    :param longest_target_s: the longest target of the streams at the engine.
    """
    event_s = estimate.reading_event_ms / 1000.0
    if pace.reports or not 0.0 < event_s <= MAX_ADOPTED_TARGETS * longest_target_s:
        return
    pace.reading_event_s = event_s
    idle_event_s = estimate.idle_event_ms / 1000.0
    pace.idle_event_s = idle_event_s if idle_event_s > 0.0 else math.inf
    pace.reported_at_s = now_s
    pace.adopted_until_s = now_s + REPORT_MEMORY_S


def describe_stream_pace(
    pace: StreamPace, estimate: EngineEstimate, now_s: float
) -> EngineEstimate:
    """Add the belief to an estimate that other routers receive, while reading is bounded."""
    if not is_reading_bounded(pace, now_s):
        return estimate
    return msgspec.structs.replace(
        estimate,
        reading_event_ms=round(pace.reading_event_s * 1000.0),
        idle_event_ms=round(get_idle_event_s(pace) * 1000.0),
    )


def _is_shown(pace: StreamPace, target_s: float, now_s: float) -> bool:
    """Return whether pauses, and not the belief alone, show that reading breaks a target."""
    if now_s < pace.adopted_until_s:
        return True
    times_s = pace.long_pauses_at_s.get(target_s)
    if times_s is None or len(times_s) < MIN_LONG_PAUSES:
        return False
    return now_s < times_s[0] + REPORT_MEMORY_S


def _forget_reports(pace: StreamPace) -> None:
    """Drop a belief that is no longer recent, so that one report does not bring it back."""
    pace.reading_event_s = 0.0
    pace.reports = 0
    pace.long_pauses_at_s.clear()
    pace.near_pause_at_s.clear()
    pace.bounded_targets_s.clear()
