"""Gaps in an engine's reading: when a prompt may be read without breaking the streams beside it.

An engine that reads prompts without a break makes one token for each stream with each piece that
it reads; without reading it makes many more in the same time. So a stream keeps its pace if no
stretch of time as long as its target is filled with reading alone.
"""

from collections.abc import Iterable, Reversible, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReadingSpan:
    """A time in which an engine reads prompts without a break."""

    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class ReadingBound:
    """How much an engine may read within any time of one length."""

    window_s: float
    """The length of that time."""
    reading_s: float
    """How much of it may be reading."""
    since_s: float
    """When the first stream began that the bound protects: earlier reading delays none."""


def find_reading_start_s(
    spans: Sequence[ReadingSpan],
    reading_s: float,
    bounds: Iterable[ReadingBound],
    earliest_s: float,
) -> float:
    """Return the earliest time at which a prompt's reading may start within all bounds.

    A prompt that is longer than a bound allows breaks it at any time. It starts after a gap, like
    the longest prompt within the bound, which leaves the streams the most time around it.

    :param spans: earlier reading, in the order of time, all of which ends by ``earliest_s``.
    :param reading_s: how long the engine reads the prompt.
    """
    return max(
        (_find_bounded_start_s(spans, reading_s, bound, earliest_s) for bound in bounds),
        default=earliest_s,
    )


def sum_reading_s(spans: Reversible[ReadingSpan], start_s: float, end_s: float) -> float:
    """Return how long an engine read between two times.

    :param spans: its reading, in the order of time.
    """
    reading_s = 0.0
    for span in reversed(spans):
        if span.end_s <= start_s:
            break
        reading_s += max(min(span.end_s, end_s) - max(span.start_s, start_s), 0.0)
    return reading_s


def _find_bounded_start_s(
    spans: Sequence[ReadingSpan], reading_s: float, bound: ReadingBound, earliest_s: float
) -> float:
    """Return when the reading may start within one bound.

    The window that ends with the prompt's reading holds most: the start of that window has to lie
    so late that earlier reading within it leaves room for the prompt.
    """
    reading_s = min(reading_s, bound.reading_s)
    left_s = bound.reading_s - reading_s
    for span in reversed(spans):
        length_s = span.end_s - max(span.start_s, bound.since_s)
        is_early = span.end_s - left_s + bound.window_s - reading_s <= earliest_s
        if length_s <= 0.0 or is_early:
            # No earlier reading lies within the window or delays a stream.
            break
        if length_s > left_s:
            window_start_s = span.end_s - left_s
            return max(earliest_s, window_start_s + bound.window_s - reading_s)
        left_s -= length_s
    return earliest_s
