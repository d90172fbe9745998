"""The promises of the users' pages, checked from what callers and servers have seen."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from emulator.sites import HOST
from soak.callers import LAST_EVENT, STREAMED, Seen
from soak.schedules import Fault

PROMISES_NOT_RUN = (408, 421, 429, 503)
ONCE_ONLY = ("/valve/a", "/summary/a")
OWN_REFUSALS = (400, 401, 403, 404, 413, 431)
STOP_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class Violation:
    """One promise that was not kept."""

    promise: str
    detail: str


def check_answers(seen: Iterable[Seen], servers: Iterable[str]) -> list[Violation]:
    """Check what callers saw by itself."""
    names = list(servers)
    found = []
    for one in seen:
        if one.shown_id and one.shown_id != one.attempt_id:
            found.append(_violation("an answer belongs to its request", one))
        if one.status in OWN_REFUSALS:
            found.append(_violation("a proper request is not denied", one))
        if one.status in PROMISES_NOT_RUN and not one.retry_after:
            found.append(_violation("a refusal tells when to come back", one))
        # Who gave up in the middle of an answer has not seen one that looks whole.
        if one.status == 200 and not one.broken and not one.timed_out:
            found += _check_whole(one, names)
    return found


def check_runs(seen: Iterable[Seen], runs: Mapping[str, int]) -> list[Violation]:
    """Check what callers saw against what the servers ran, in all."""
    known = {one.attempt_id: one for one in seen}
    found = []
    for attempt_id, count in runs.items():
        one = known.get(attempt_id)
        if one is None:
            found.append(Violation("nothing runs that nobody sent", attempt_id))
        elif one.path in ONCE_ONLY and count > 1:
            found.append(_violation(f"it runs once, not {count} times", one))
        elif one.path in ONCE_ONLY and one.status in PROMISES_NOT_RUN:
            found.append(_violation("what was refused has not run", one))
    return found


def check_in_time(
    seen: Iterable[Seen], faults: Iterable[Fault], routers: Mapping[str, str], start_s: float
) -> list[Violation]:
    """Check that routers that were left alone held nothing, and that a stop cut nothing.

    :param routers: name by address.
    """
    struck = list(faults)
    found = []
    for one in seen:
        name = routers[one.router]
        mine = [fault for fault in struck if fault.target == name and fault.kind == "router"]
        if one.timed_out and not _overlaps(one, mine, start_s, ("pause", "kill", "stop")):
            found.append(_violation("it has an answer by its deadline", one))
        stopped = _overlaps(one, mine, start_s, ("stop",))
        others = [fault for fault in struck if fault not in mine or fault.how != "stop"]
        disturbed = _overlaps(one, others, start_s, None)
        if stopped and not disturbed and one.broken:
            found.append(_violation("a planned stop cuts nothing off", one))
    return found


def _check_whole(one: Seen, servers: list[str]) -> list[Violation]:
    seals = {make_seal(server, one.attempt_id) for server in servers}
    found = []
    if one.seal not in seals:
        found.append(_violation("a success carries a server's seal", one))
    if one.path in STREAMED and one.event_ids != list(range(1, LAST_EVENT + 1)):
        found.append(_violation(f"a stream is whole, not {one.event_ids}", one))
    method = "GET" if one.path == "/setpoint/a" else "POST"
    body = "" if method == "GET" else one.attempt_id
    whole = hashlib.sha256(f"{method} {one.path} {body}".encode()).hexdigest()
    if one.path not in STREAMED and one.content_digest != whole:
        found.append(_violation("a body is the server's whole body", one))
    return found


def _overlaps(
    one: Seen, faults: Iterable[Fault], start_s: float, kinds: tuple[str, ...] | None
) -> bool:
    """Tell whether faults struck while a request was open."""
    began_s, ended_s = one.started_s - start_s, one.ended_s - start_s
    return any(
        fault.at_s - STOP_MARGIN_S <= ended_s and began_s <= fault.until_s + STOP_MARGIN_S
        for fault in faults
        if kinds is None or fault.how in kinds
    )


def make_seal(server: str, attempt_id: str) -> str:
    """Return the seal that the emulator's servers give their answers."""
    return hashlib.sha256(f"{server}/{attempt_id}".encode()).hexdigest()[:16]


def _violation(promise: str, one: Seen) -> Violation:
    detail = f"{one.attempt_id} {HOST}{one.path} at {one.router}: status {one.status}"
    return Violation(promise, f"{detail}, from {one.started_s:.3f} to {one.ended_s:.3f} s")
