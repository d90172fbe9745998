"""Checks that routers break no stream, and that their logs tell the pauses that clients saw."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from soak.callers import DEADLINE_S, STREAMED, AttemptRecord
from soak.checks import Violation, is_fault_active
from soak.schedules import Fault

MAX_DIFFERENCE_S = 0.1
"""A logged pause may differ by this much from what the client saw: less than half of the shortest
pause that a route allows, so that a log tells whether the client was served in time."""

MIN_AGREEING_PART = 0.9
"""The part of the streams of a run for which this has to hold. Client and router are processes of
one busy machine, and each may be held up for a moment."""

MIN_COMPARED = 10
"""With fewer streams, nothing is said of the part."""


def check_unbroken_streams(
    attempts: Iterable[AttemptRecord], faults: Iterable[Fault], start_s: float
) -> list[Violation]:
    """Check that no stream breaks off before its deadline while no fault is active.

    :param faults: when they really began and ended; without slow engines, which are no reason to
        break a stream off.
    """
    known = list(faults)
    return [
        Violation("no stream is broken without a fault", f"{attempt.attempt_id}: {attempt.path}")
        for attempt in attempts
        if attempt.path in STREAMED and attempt.broken
        if attempt.ended_s - attempt.started_s < DEADLINE_S
        if not is_fault_active(attempt, known, start_s, None)
    ]


def check_logged_pauses(attempts: Iterable[AttemptRecord], logs: Iterable[str]) -> list[Violation]:
    """Check that the longest pauses in routers' logs are those that clients saw."""
    logged_s = _read_logged_pauses(logs)
    seen_s = {
        attempt.attempt_id: attempt.longest_pause_s
        for attempt in attempts
        if attempt.path in STREAMED and attempt.status == 200 and not attempt.broken
    }
    differences_s = _compare(seen_s, logged_s)
    if len(seen_s) >= MIN_COMPARED and len(differences_s) < MIN_COMPARED:
        detail = f"{len(differences_s)} of {len(seen_s)} streams are in the logs"
        return [Violation("logs tell the pauses of streams", detail)]
    agreeing = sum(difference_s <= MAX_DIFFERENCE_S for difference_s in differences_s.values())
    if len(differences_s) < MIN_COMPARED or agreeing >= MIN_AGREEING_PART * len(differences_s):
        return []
    farthest = max(differences_s, key=lambda name: differences_s[name])
    detail = (
        f"{agreeing} of {len(differences_s)} streams agree; {farthest}: the client saw"
        f" {seen_s[farthest]:.3f} s, the log has {logged_s[farthest]:.3f} s"
    )
    return [Violation("logs tell the pauses that clients saw", detail)]


def _compare(seen_s: Mapping[str, float], logged_s: Mapping[str, float]) -> dict[str, float]:
    """Return the differences by attempt; one whose router lost its log line has none."""
    return {
        name: abs(pause_s - logged_s[name]) for name, pause_s in seen_s.items() if name in logged_s
    }


def _read_logged_pauses(logs: Iterable[str]) -> dict[str, float]:
    """Return the longest pause of each completed stream in the logs, by attempt."""
    pauses_s = {}
    for log in logs:
        for line in log.splitlines():
            content = _parse(line)
            if content.get("event") == "request ended" and content.get("outcome") == "completed":
                pauses_s[content["request_id"]] = content["longest_pause_ms"] / 1000.0
    return pauses_s


def _parse(line: str) -> dict[str, Any]:
    try:
        content = json.loads(line)
    except ValueError:
        # The router was killed while it wrote the line.
        return {}
    return content if isinstance(content, dict) else {}
