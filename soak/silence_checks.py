"""Checks of runs whose only faults are silences of servers and planned work."""

from collections.abc import Iterable

from soak.callers import DEADLINE_S, AttemptRecord
from soak.checks import Violation
from soak.schedules import Fault

READING_MARGIN_S = 0.2


def check_kept_requests(attempts: Iterable[AttemptRecord]) -> list[Violation]:
    """Check that each request that was sent whole was answered or refused.

    No answer may break off before its caller's deadline. Neither a silence nor planned work
    excuses anything.
    """
    violations = []
    for attempt in attempts:
        promise = _find_broken_promise(attempt)
        if promise:
            violations.append(Violation(promise, _describe(attempt)))
    return violations


def was_read_late(server: str, at_s: float, faults: Iterable[Fault], start_s: float) -> bool:
    """Return whether a server read a request just after it had stood still.

    The request may have arrived at any time of the silence.
    """
    return any(
        fault.kind == "silence"
        and fault.target == server
        and fault.at_s + start_s <= at_s <= fault.until_s + start_s + READING_MARGIN_S
        for fault in faults
    )


def _find_broken_promise(attempt: AttemptRecord) -> str:
    if attempt.timed_out:
        return "a request is answered by its deadline, however silent its server"
    if attempt.broken and attempt.ended_s - attempt.started_s < DEADLINE_S:
        return "a silence breaks no answer off"
    if attempt.sent_whole and attempt.status == 0:
        return "a request that was sent whole gets an answer or a refusal"
    return ""


def _describe(attempt: AttemptRecord) -> str:
    connection = "a kept" if attempt.reused else "a new"
    return (
        f"{attempt.attempt_id} {attempt.path} at {attempt.router} on {connection} connection:"
        f" status {attempt.status}, events {attempt.event_ids},"
        f" from {attempt.started_s:.3f} to {attempt.ended_s:.3f} s"
    )
