"""Limits the rate of log lines of one kind."""

from dataclasses import dataclass

MAX_LINES_PER_SECOND = 20
"""The number of lines of one kind that are logged in one second."""


@dataclass(slots=True)
class LineLimit:
    """State of the limit of one kind of line."""

    second_ends_s: float = 0.0
    lines: int = 0
    """Asked for within the current second."""


def may_log(limit: LineLimit, now_s: float) -> bool:
    """Count a line, and return whether to log it."""
    if now_s >= limit.second_ends_s:
        limit.second_ends_s = now_s + 1.0
        limit.lines = 0
    limit.lines += 1
    return limit.lines <= MAX_LINES_PER_SECOND
