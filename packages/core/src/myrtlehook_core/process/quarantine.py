"""Quarantine of requests that repeatedly end the backend servers that run them.

A request is identified by its fingerprint: client, path and body. A router that sees a server end
while it runs a request reports this to the two collectors of the fingerprint, which are chosen by
rendezvous hashing. A collector counts consecutive ends: ends of runs that were under way at the
same time count as one, because a lost rack would end them all. At the second counted end the
request is quarantined: all routers refuse it. They learn of it with their probes.

The reporter and the collectors keep what they have seen or received, and send it to each router
that becomes a collector, so that the count survives restarts and false suspicions of routers.

Requests that merely ran beside the harmful one are counted and quarantined in the same way. A run
of theirs that completes (a sound run), at any router, clears them and lifts the quarantine; a
request that ends servers never completes.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TypeVar

from myrtlehook_core.process.hashing import Weight
from myrtlehook_core.process.quarantine_messages import QuarantineRow, ServerEndReport
from myrtlehook_core.process.server_ends import (
    EndKey,
    ServerEnd,
    drop_excess_ends,
    find_consecutive_ends,
)

ENDS_TO_QUARANTINE = 2
"""The number of consecutive ends at which a request is quarantined. A single end is no evidence,
since it happens to all requests that the server was running. Each further one costs a whole server
and up to 64 answers that it was producing."""

FIRST_QUARANTINE_S = 60.0
"""How long the first quarantine of a request lasts. From then on a harmful request ends at most one
server a minute."""

MAX_QUARANTINE_S = 3600.0
"""The quarantine doubles with each further end up to this limit, so that the request is tried again
within an hour after the servers were repaired."""

END_MEMORY_S = 2.0 * MAX_QUARANTINE_S
"""Ends further apart than this do not count as consecutive."""

LIFT_NEWS_S = 10.0
"""How long the news that a quarantine was lifted is sent. Probes spread it to all of 1,200
routers in less time."""

MAX_QUARANTINE_ROWS = 8
"""The greatest number of quarantine rows on one message, of about 40 bytes each. If more requests
are quarantined, those sent least often come first."""

MAX_SUSPECTS = 4096
"""The greatest number of requests whose ends a router keeps; the least recently counted are
evicted. A lost server adds up to 64 of them, at their reporter and two collectors each."""

MAX_VERDICTS = 1024
"""The greatest number of requests, quarantined now or earlier, whose verdicts a router keeps."""

MAX_SOUND_RUNS = 4096
"""The greatest number of completed requests that a router remembers: 100 s at 40 a second."""

Kept = TypeVar("Kept")


@dataclass(slots=True)
class SuspectRequest:
    """The server ends that a router holds for one request."""

    ends: int = 0
    """The number of consecutive ends."""
    first_end_s: float = math.inf
    last_end_s: float = -math.inf
    kept_ends: dict[EndKey, ServerEnd] = field(default_factory=dict)
    collectors: tuple[Weight, ...] = ()
    """The collectors to which the kept ends were sent, as this router knows the fleet."""


@dataclass(slots=True)
class Verdict:
    """Whether one request is quarantined, as this router knows it."""

    serial: int
    ends: int
    """How many server ends were counted; 0 once the quarantine was lifted."""
    since_s: float
    """When the first of these servers ended."""
    quarantined_until_s: float
    recorded_at_s: float
    """When this router made the verdict or received it."""
    times_sent: int = 0
    """How many messages have carried it."""


@dataclass(slots=True)
class Quarantine:
    """What one router knows of requests that end servers; all tables are keyed by fingerprint."""

    first_serial: int
    """Lower bound of the serials given here; greater than that of any earlier process."""
    suspects: OrderedDict[bytes, SuspectRequest] = field(default_factory=OrderedDict)
    """Requests whose ends this router has seen or received, the most recently changed one last."""
    verdicts: OrderedDict[bytes, Verdict] = field(default_factory=OrderedDict)
    sound_runs: OrderedDict[bytes, float] = field(default_factory=OrderedDict)
    """When each request last completed at this router."""
    last_end_serial: int = 0
    """Serial of the last server end that this router has seen itself."""
    known_routers: frozenset[str] = frozenset()
    """The routers from which the collectors were last chosen."""
    has_new_quarantines: bool = False
    """Whether a request was quarantined since the waiting requests were last checked."""


def count_end(
    quarantine: Quarantine, report: ServerEndReport, now_s: float
) -> SuspectRequest | None:
    """Keep a reported end; return None if the number of consecutive ends stays the same."""
    fingerprint = report.fingerprint
    verdict = quarantine.verdicts.get(fingerprint)
    end = _make_end(report, now_s)
    if now_s - end.ended_s > END_MEMORY_S or _is_before_lift(verdict, end):
        return None
    suspect = quarantine.suspects.get(fingerprint, SuspectRequest())
    if end.key in suspect.kept_ends:
        return None
    suspect.kept_ends[end.key] = end
    _store_last(quarantine.suspects, fingerprint, suspect, MAX_SUSPECTS)
    counted_before = _count_known_ends(suspect, verdict)
    _count_consecutive_ends(suspect, verdict)
    return suspect if suspect.ends > counted_before else None


def next_end_serial(quarantine: Quarantine) -> int:
    """Return the serial of a server end that this router has just seen itself."""
    quarantine.last_end_serial = max(quarantine.last_end_serial, quarantine.first_serial) + 1
    return quarantine.last_end_serial


def make_end_reports(
    quarantine: Quarantine, fingerprint: bytes, now_s: float
) -> tuple[ServerEndReport, ...]:
    """Return reports of all kept ends of a request, for another router."""
    suspect = quarantine.suspects.get(fingerprint)
    ends = () if suspect is None else suspect.kept_ends.values()
    return tuple(
        ServerEndReport(
            fingerprint=fingerprint,
            backend_server=end.backend_server,
            began_age_ms=round((now_s - end.began_s) * 1000.0),
            ended_age_ms=round((now_s - end.ended_s) * 1000.0),
            reporter=end.reporter,
            serial=end.serial,
        )
        for end in ends
    )


def quarantine_request(
    quarantine: Quarantine, fingerprint: bytes, suspect: SuspectRequest, now_s: float
) -> Verdict:
    """Quarantine a request for which enough ends were counted."""
    duration_s = FIRST_QUARANTINE_S * 2.0 ** (suspect.ends - ENDS_TO_QUARANTINE)
    verdict = Verdict(
        serial=_next_serial(quarantine, fingerprint),
        ends=suspect.ends,
        since_s=suspect.first_end_s,
        quarantined_until_s=now_s + min(duration_s, MAX_QUARANTINE_S),
        recorded_at_s=now_s,
    )
    _store_last(quarantine.verdicts, fingerprint, verdict, MAX_VERDICTS)
    quarantine.has_new_quarantines = True
    return verdict


def lift_quarantine(quarantine: Quarantine, fingerprint: bytes, now_s: float) -> bool:
    """Forget the counted ends of a request that has completed, and lift its quarantine.

    Returns True if other routers must be informed: they know of the ends from the first
    quarantine on, even when that is over.
    """
    quarantine.suspects.pop(fingerprint, None)
    verdict = quarantine.verdicts.get(fingerprint)
    if verdict is None or not verdict.ends:
        return False
    serial = _next_serial(quarantine, fingerprint)
    lifted = Verdict(serial, ends=0, since_s=now_s, quarantined_until_s=now_s, recorded_at_s=now_s)
    _store_last(quarantine.verdicts, fingerprint, lifted, MAX_VERDICTS)
    return True


def record_sound_run(quarantine: Quarantine, fingerprint: bytes, now_s: float) -> None:
    """Record that a request has completed at this router."""
    _store_last(quarantine.sound_runs, fingerprint, now_s, MAX_SOUND_RUNS)


def is_cleared(quarantine: Quarantine, fingerprint: bytes) -> bool:
    """Return whether a quarantined request has completed here since its first counted end."""
    verdict = quarantine.verdicts.get(fingerprint)
    sound_at_s = quarantine.sound_runs.get(fingerprint, -math.inf)
    return verdict is not None and verdict.ends > 0 and sound_at_s > verdict.since_s


def find_remaining_quarantine_s(quarantine: Quarantine, fingerprint: bytes, now_s: float) -> float:
    """Return for how many seconds a request is still refused; 0 if it is not quarantined."""
    verdict = quarantine.verdicts.get(fingerprint)
    return 0.0 if verdict is None else max(verdict.quarantined_until_s - now_s, 0.0)


def count_quarantined(quarantine: Quarantine, now_s: float) -> int:
    """Return the number of requests that are quarantined at present."""
    return sum(now_s < verdict.quarantined_until_s for verdict in quarantine.verdicts.values())


def collect_quarantine_rows(quarantine: Quarantine, now_s: float) -> tuple[QuarantineRow, ...]:
    """Return the rows to send with the next message, and count them as sent."""
    current = [
        (fingerprint, verdict)
        for fingerprint, verdict in quarantine.verdicts.items()
        if now_s < verdict.quarantined_until_s or _is_lift_news(verdict, now_s)
    ]
    current.sort(key=lambda item: item[1].times_sent)
    for _, verdict in current[:MAX_QUARANTINE_ROWS]:
        verdict.times_sent += 1
    return tuple(_make_row(*item, now_s) for item in current[:MAX_QUARANTINE_ROWS])


def apply_quarantine_row(
    quarantine: Quarantine, row: QuarantineRow, now_s: float
) -> Verdict | None:
    """Apply a row from another router; return the new verdict, or None if it was known."""
    known = quarantine.verdicts.get(row.fingerprint)
    if known is not None and row.serial <= known.serial:
        return None
    verdict = Verdict(
        serial=row.serial,
        ends=row.ends,
        since_s=now_s - row.since_ms / 1000.0,
        quarantined_until_s=now_s + min(row.left_ms / 1000.0, MAX_QUARANTINE_S),
        recorded_at_s=now_s,
    )
    _store_last(quarantine.verdicts, row.fingerprint, verdict, MAX_VERDICTS)
    if verdict.ends:
        quarantine.has_new_quarantines = True
    else:
        quarantine.suspects.pop(row.fingerprint, None)
    return verdict


def forget_old_evidence(quarantine: Quarantine, now_s: float) -> None:
    """Drop suspects and verdicts that are too old to matter."""
    for fingerprint, suspect in list(quarantine.suspects.items()):
        if now_s - suspect.last_end_s > END_MEMORY_S:
            del quarantine.suspects[fingerprint]
    for fingerprint, verdict in list(quarantine.verdicts.items()):
        if now_s - verdict.recorded_at_s > END_MEMORY_S:
            del quarantine.verdicts[fingerprint]


def _make_end(report: ServerEndReport, now_s: float) -> ServerEnd:
    return ServerEnd(
        reporter=report.reporter,
        serial=report.serial,
        backend_server=report.backend_server,
        began_s=now_s - report.began_age_ms / 1000.0,
        ended_s=now_s - report.ended_age_ms / 1000.0,
    )


def _is_before_lift(verdict: Verdict | None, end: ServerEnd) -> bool:
    """Return whether a request has completed since an end, so that the end proves nothing."""
    return verdict is not None and not verdict.ends and end.ended_s <= verdict.recorded_at_s


def _count_known_ends(suspect: SuspectRequest, verdict: Verdict | None) -> int:
    """Return how many ends are counted for a request, here or by its verdict."""
    return max(suspect.ends, 0 if verdict is None else verdict.ends)


def _count_consecutive_ends(suspect: SuspectRequest, verdict: Verdict | None) -> None:
    """Count the kept ends of a request again, and those after its verdict on top of that one."""
    series = find_consecutive_ends(suspect.kept_ends.values(), -math.inf)
    suspect.ends = max(suspect.ends, len(series))
    suspect.first_end_s = min(suspect.first_end_s, series[0].ended_s)
    suspect.last_end_s = max(suspect.last_end_s, series[-1].ended_s)
    if verdict is not None and verdict.ends:
        later = find_consecutive_ends(suspect.kept_ends.values(), verdict.recorded_at_s)
        suspect.ends = max(suspect.ends, verdict.ends + len(later))
        suspect.first_end_s = min(suspect.first_end_s, verdict.since_s)
    drop_excess_ends(suspect.kept_ends, series)


def _next_serial(quarantine: Quarantine, fingerprint: bytes) -> int:
    known = quarantine.verdicts.get(fingerprint)
    return max(quarantine.first_serial, 0 if known is None else known.serial) + 1


def _is_lift_news(verdict: Verdict, now_s: float) -> bool:
    return verdict.ends == 0 and now_s < verdict.recorded_at_s + LIFT_NEWS_S


def _make_row(fingerprint: bytes, verdict: Verdict, now_s: float) -> QuarantineRow:
    return QuarantineRow(
        fingerprint=fingerprint,
        serial=verdict.serial,
        ends=verdict.ends,
        left_ms=max(round((verdict.quarantined_until_s - now_s) * 1000.0), 0),
        since_ms=max(round((now_s - verdict.since_s) * 1000.0), 0),
    )


def _store_last(
    table: OrderedDict[bytes, Kept], fingerprint: bytes, item: Kept, limit: int
) -> None:
    table[fingerprint] = item
    table.move_to_end(fingerprint)
    while len(table) > limit:
        table.popitem(last=False)
