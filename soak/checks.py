"""Checks of the promises made to users, against what clients and servers recorded."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from emulator.sites import HOST
from soak.callers import DEADLINE_S, LAST_EVENT_NUMBER, STREAMED, AttemptRecord
from soak.schedules import Fault

NOT_RUN_STATUSES = (408, 421, 429, 503)
NO_REPEAT_PATHS = ("/valve/a", "/summary/a")
DENIAL_STATUSES = (400, 401, 403, 404, 413, 431)
FAULT_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise, with what was seen."""

    promise: str
    detail: str


def check_answers(attempts: Iterable[AttemptRecord], servers: Iterable[str]) -> list[Violation]:
    """Check each answer on its own, without the servers' records."""
    names = list(servers)
    violations = []
    for attempt in attempts:
        if attempt.shown_id and attempt.shown_id != attempt.attempt_id:
            violations.append(_make_violation("an answer belongs to its request", attempt))
        if attempt.status in DENIAL_STATUSES:
            violations.append(_make_violation("a proper request is not denied", attempt))
        if attempt.status in NOT_RUN_STATUSES and not attempt.retry_after:
            violations.append(_make_violation("a refusal tells when to come back", attempt))
        # A client that timed out in the middle of an answer has not received all of it.
        if attempt.status == 200 and not attempt.broken and not attempt.timed_out:
            violations += _check_success(attempt, names)
    return violations


def check_versions(attempts: Iterable[AttemptRecord]) -> list[Violation]:
    """Check that each stream holds events of one software version, over all attempts at it."""
    versions: dict[str, set[str]] = {}
    last_attempts: dict[str, AttemptRecord] = {}
    for attempt in attempts:
        first_id = attempt.first_attempt_id or attempt.attempt_id
        versions.setdefault(first_id, set()).update(attempt.software_versions)
        last_attempts[first_id] = attempt
    return [
        _make_violation(f"a stream keeps to one version, not {sorted(found)}", last_attempts[name])
        for name, found in versions.items()
        if len(found) > 1
    ]


def check_runs(attempts: Iterable[AttemptRecord], runs: Mapping[str, int]) -> list[Violation]:
    """Check what clients saw against what all servers together ran.

    :param runs: how often each attempt was run, by attempt id.
    """
    attempts_by_id = {attempt.attempt_id: attempt for attempt in attempts}
    violations = []
    for attempt_id, count in runs.items():
        attempt = attempts_by_id.get(attempt_id)
        if attempt is None:
            violations.append(Violation("nothing runs that nobody sent", attempt_id))
        elif attempt.path in NO_REPEAT_PATHS and count > 1:
            violations.append(_make_violation(f"it runs once, not {count} times", attempt))
        elif attempt.path in NO_REPEAT_PATHS and attempt.status in NOT_RUN_STATUSES:
            violations.append(_make_violation("what was refused has not run", attempt))
    return violations


def check_deadlines(
    attempts: Iterable[AttemptRecord],
    faults: Iterable[Fault],
    routers: Mapping[str, str],
    start_s: float,
    silences: Iterable[Fault] = (),
) -> list[Violation]:
    """Check that requests were answered by their deadlines, and that a planned stop broke none.

    A late answer is excused if its router was paused, killed or stopped at that time; an answer
    broken during a planned stop is excused if another fault was active at that time. A server's
    silence excuses none, unless the deadline passed beside it.

    :param routers: router names by address.
    """
    all_faults = list(faults)
    all_silences = list(silences)
    violations = []
    for attempt in attempts:
        name = routers[attempt.router]
        router_faults = [
            fault for fault in all_faults if fault.target == name and fault.kind == "router"
        ]
        if attempt.timed_out and not is_fault_active(
            attempt, router_faults, start_s, ("pause", "kill", "stop")
        ):
            violations.append(_make_violation("it has an answer by its deadline", attempt))
        stopped = is_fault_active(attempt, router_faults, start_s, ("stop",))
        other_faults = [
            fault for fault in all_faults if fault not in router_faults or fault.how != "stop"
        ]
        disturbed = is_fault_active(attempt, other_faults, start_s, None)
        if attempt.ended_s - attempt.started_s >= DEADLINE_S:
            disturbed |= is_fault_active(attempt, all_silences, start_s, None)
        if stopped and not disturbed and attempt.broken:
            violations.append(_make_violation("a planned stop cuts nothing off", attempt))
    return violations


def _check_success(attempt: AttemptRecord, servers: list[str]) -> list[Violation]:
    seals = {make_seal(server, attempt.attempt_id) for server in servers}
    violations = []
    if attempt.seal not in seals:
        violations.append(_make_violation("a success carries a server's seal", attempt))
    expected_ids = list(range(attempt.last_event_id + 1, LAST_EVENT_NUMBER + 1))
    if attempt.path in STREAMED and attempt.event_ids != expected_ids:
        violations.append(_make_violation(f"a stream is whole, not {attempt.event_ids}", attempt))
    method = "GET" if attempt.path == "/setpoint/a" else "POST"
    body = "" if method == "GET" else attempt.attempt_id
    expected_digest = hashlib.sha256(f"{method} {attempt.path} {body}".encode()).hexdigest()
    if attempt.path not in STREAMED and attempt.content_digest != expected_digest:
        violations.append(_make_violation("a body is the server's whole body", attempt))
    return violations


def is_fault_active(
    attempt: AttemptRecord, faults: Iterable[Fault], start_s: float, kinds: tuple[str, ...] | None
) -> bool:
    """Return whether a fault was active while a request was open.

    :param kinds: the kinds of fault that count (their ``how``), or None for all.
    """
    began_s, ended_s = attempt.started_s - start_s, attempt.ended_s - start_s
    return any(
        fault.at_s - FAULT_MARGIN_S <= ended_s and began_s <= fault.until_s + FAULT_MARGIN_S
        for fault in faults
        if kinds is None or fault.how in kinds
    )


def make_seal(server: str, attempt_id: str) -> str:
    """Return the seal that an emulated server puts on its answer to an attempt."""
    return hashlib.sha256(f"{server}/{attempt_id}".encode()).hexdigest()[:16]


def _make_violation(promise: str, attempt: AttemptRecord) -> Violation:
    detail = (
        f"{attempt.attempt_id} {HOST}{attempt.path} at {attempt.router}: status {attempt.status}"
    )
    return Violation(promise, f"{detail}, from {attempt.started_s:.3f} to {attempt.ended_s:.3f} s")
