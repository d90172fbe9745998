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

Parts of prompts are handled alike, in a second state of the same kind, by the key of the part at
one software version. An end counts for each part of the prompts on which its server had not begun
to write, and an answer that a server writes on a part is a sound run of it. So what many requests
share is cleared all the time, and what remains under all ends is the part that causes them. At the
second end all routers hear of the suspicion, so that they can report sound runs; at the third the
part is quarantined. The first part of a prompt, which thousands of requests may share, needs one
end more than others: those of the same requests are quarantined before it.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from myrtlehook_core.process.hashing import Weight
from myrtlehook_core.process.quarantine_messages import QuarantineRow, ServerEndReport
from myrtlehook_core.process.server_ends import (
    EndKey,
    ServerEnd,
    drop_excess_ends,
    find_consecutive_ends,
    find_separate_ends,
    is_same_end,
)
from myrtlehook_core.request.part_keys import find_part_digest, is_part_key

ENDS_TO_QUARANTINE = 2
"""The number of consecutive ends at which a request is quarantined. A single end is no evidence,
since it happens to all requests that the server was running. Each further one costs a whole server
and up to 64 answers that it was producing."""

WRITTEN_ENDS_TO_QUARANTINE = 4
"""The same for requests on which the servers had written for some time. A long stream may well be
under way at two ends by chance, and what ends servers mostly does so before they write."""

PART_ENDS_TO_SUSPECT = 2
"""The number of ends at which all routers hear of a suspect part."""

PART_ENDS_TO_QUARANTINE = 3
"""The number of ends at which a part is quarantined. More requests share a part than a fingerprint,
so it needs more evidence than these."""

FIRST_PART_ENDS_TO_QUARANTINE = 4
"""The same for the first part of prompts."""

FIRST_QUARANTINE_S = 60.0
"""How long the first quarantine of a request lasts. From then on a harmful request ends at most one
server a minute."""

FIRST_PART_QUARANTINE_S = 300.0
"""How long the first quarantine of a part lasts. Requests with a harmful part keep coming from many
clients, so that each end of a quarantine costs a server or two."""

MAX_QUARANTINE_S = 3600.0
"""The quarantine doubles with each further end up to this limit, so that the request is tried again
within an hour after the servers were repaired."""

END_MEMORY_S = 2.0 * MAX_QUARANTINE_S
"""Ends further apart than this do not count as consecutive."""

NEWS_S = 10.0
"""How long the news that a quarantine was lifted, or that a part is suspect, is sent. Probes spread
it to all of 1,200 routers in less time."""

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
    """The server ends that a router holds for one request, or for one part of prompts."""

    ends: int = 0
    """The number of consecutive ends."""
    first_end_s: float = math.inf
    last_end_s: float = -math.inf
    kept_ends: dict[EndKey, ServerEnd] = field(default_factory=dict)
    collectors: tuple[Weight, ...] = ()
    """The collectors to which the kept ends were sent, as this router knows the fleet."""


@dataclass(slots=True)
class Verdict:
    """Whether one request or part is quarantined, as this router knows it."""

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
    """What one router knows of requests, or of parts of prompts, that end servers.

    The tables are keyed by the fingerprints of requests or by the keys of parts.
    """

    first_serial: int
    """Lower bound of the serials given here; greater than that of any earlier process."""
    suspects: OrderedDict[bytes, SuspectRequest] = field(default_factory=OrderedDict)
    """Requests whose ends this router has seen or received, the most recently changed one last."""
    verdicts: OrderedDict[bytes, Verdict] = field(default_factory=OrderedDict)
    sound_runs: OrderedDict[bytes, float] = field(default_factory=OrderedDict)
    """When each request last completed at this router, or each part was last shown to be sound."""
    last_end_serial: int = 0
    """Serial of the last server end that this router has seen itself."""
    part_verdicts: dict[bytes, set[bytes]] = field(default_factory=dict)
    """By the digest of a part: the keys under which there are verdicts on it."""
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
    if is_end_kept(quarantine, fingerprint, end.backend_server, end.ended_s):
        return None
    suspect.kept_ends[end.key] = end
    _store_last(quarantine.suspects, fingerprint, suspect, MAX_SUSPECTS)
    counted_before = _count_known_ends(suspect, verdict)
    _count_consecutive_ends(fingerprint, suspect, verdict)
    return suspect if suspect.ends > counted_before else None


def is_end_kept(
    quarantine: Quarantine, fingerprint: bytes, backend_server: str, ended_s: float
) -> bool:
    """Return whether this end of a server is kept for a part, as another run may have shown it.

    Ends under whole requests are told apart by their runs.
    """
    suspect = quarantine.suspects.get(fingerprint)
    if suspect is None or not is_part_key(fingerprint):
        return False
    return any(is_same_end(end, backend_server, ended_s) for end in suspect.kept_ends.values())


def count_needed_ends(quarantine: Quarantine, fingerprint: bytes, suspect: SuspectRequest) -> int:
    """Return the number of ends at which a request or part is quarantined."""
    ends = suspect.kept_ends.values()
    if is_part_key(fingerprint):
        is_first = any(end.is_weak for end in ends)
        return FIRST_PART_ENDS_TO_QUARANTINE if is_first else PART_ENDS_TO_QUARANTINE
    verdict = quarantine.verdicts.get(fingerprint)
    if verdict is not None and verdict.ends:
        # It was proved before; the ends that proved it may be kept no longer.
        return ENDS_TO_QUARANTINE
    strong = find_consecutive_ends((end for end in ends if not end.is_weak), -math.inf)
    is_proved = len(strong) >= ENDS_TO_QUARANTINE
    return ENDS_TO_QUARANTINE if is_proved else WRITTEN_ENDS_TO_QUARANTINE


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
            is_weak=end.is_weak,
            request_digest=end.request_digest,
        )
        for end in ends
    )


def has_enough_ends(quarantine: Quarantine, fingerprint: bytes, suspect: SuspectRequest) -> bool:
    """Return whether a request or part is to be quarantined, or a part to be suspected."""
    if is_part_key(fingerprint):
        return suspect.ends >= PART_ENDS_TO_SUSPECT
    return suspect.ends >= count_needed_ends(quarantine, fingerprint, suspect)


def quarantine_request(
    quarantine: Quarantine, fingerprint: bytes, suspect: SuspectRequest, now_s: float
) -> Verdict:
    """Quarantine a request or part for which enough ends were counted, or suspect a part.

    A suspicion is a verdict that quarantines nothing.
    """
    excess = suspect.ends - count_needed_ends(quarantine, fingerprint, suspect)
    first_s = FIRST_PART_QUARANTINE_S if is_part_key(fingerprint) else FIRST_QUARANTINE_S
    duration_s = first_s * 2.0**excess if excess >= 0 else 0.0
    verdict = Verdict(
        serial=_next_serial(quarantine, fingerprint),
        ends=suspect.ends,
        since_s=suspect.first_end_s,
        quarantined_until_s=now_s + min(duration_s, MAX_QUARANTINE_S),
        recorded_at_s=now_s,
    )
    _store_verdict(quarantine, fingerprint, verdict)
    quarantine.has_new_quarantines |= duration_s > 0.0
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
    _store_verdict(quarantine, fingerprint, lifted)
    return True


def record_sound_run(quarantine: Quarantine, fingerprint: bytes, now_s: float) -> None:
    """Record that a request has completed at this router."""
    _store_last(quarantine.sound_runs, fingerprint, now_s, MAX_SOUND_RUNS)


def has_run_since(quarantine: Quarantine, fingerprint: bytes, since_s: float) -> bool:
    """Return whether a sound run of a request or part was recorded here after a time."""
    return quarantine.sound_runs.get(fingerprint, -math.inf) > since_s


def is_cleared(quarantine: Quarantine, fingerprint: bytes) -> bool:
    """Return whether a quarantined request has completed here since its first counted end."""
    verdict = quarantine.verdicts.get(fingerprint)
    if verdict is None or not verdict.ends:
        return False
    return has_run_since(quarantine, fingerprint, verdict.since_s)


def find_remaining_quarantine_s(quarantine: Quarantine, fingerprint: bytes, now_s: float) -> float:
    """Return for how many seconds a request is still refused; 0 if it is not quarantined."""
    verdict = quarantine.verdicts.get(fingerprint)
    return 0.0 if verdict is None else max(verdict.quarantined_until_s - now_s, 0.0)


def find_parts_quarantine_s(
    quarantine: Quarantine, part_digests: Iterable[bytes], now_s: float
) -> float:
    """Return for how many seconds a prompt is still refused because of one of its parts.

    A part that is harmful at one software version is refused for servers of all.
    """
    if not quarantine.part_verdicts:
        return 0.0
    return max(
        (
            find_remaining_quarantine_s(quarantine, key, now_s)
            for part_digest in part_digests
            for key in quarantine.part_verdicts.get(part_digest, ())
        ),
        default=0.0,
    )


def count_quarantined(quarantine: Quarantine, now_s: float) -> int:
    """Return the number of requests that are quarantined at present."""
    return sum(now_s < verdict.quarantined_until_s for verdict in quarantine.verdicts.values())


def collect_quarantine_rows(quarantine: Quarantine, now_s: float) -> tuple[QuarantineRow, ...]:
    """Return the rows to send with the next message, and count them as sent."""
    current = [
        (fingerprint, verdict)
        for fingerprint, verdict in quarantine.verdicts.items()
        if now_s < verdict.quarantined_until_s or _is_news(verdict, now_s)
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
    _store_verdict(quarantine, row.fingerprint, verdict)
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
            _forget_part_verdict(quarantine, fingerprint)


def _make_end(report: ServerEndReport, now_s: float) -> ServerEnd:
    return ServerEnd(
        reporter=report.reporter,
        serial=report.serial,
        backend_server=report.backend_server,
        began_s=now_s - report.began_age_ms / 1000.0,
        ended_s=now_s - report.ended_age_ms / 1000.0,
        is_weak=report.is_weak,
        request_digest=report.request_digest,
    )


def _is_before_lift(verdict: Verdict | None, end: ServerEnd) -> bool:
    """Return whether a request has completed since an end, so that the end proves nothing."""
    return verdict is not None and not verdict.ends and end.ended_s <= verdict.recorded_at_s


def _count_known_ends(suspect: SuspectRequest, verdict: Verdict | None) -> int:
    """Return how many ends are counted for a request, here or by its verdict."""
    return max(suspect.ends, 0 if verdict is None else verdict.ends)


def _count_consecutive_ends(
    fingerprint: bytes, suspect: SuspectRequest, verdict: Verdict | None
) -> None:
    """Count the kept ends of a request or part again, and those after its verdict on top of it."""
    if is_part_key(fingerprint):
        series = find_separate_ends(suspect.kept_ends.values())
    else:
        series = find_consecutive_ends(suspect.kept_ends.values(), -math.inf)
    suspect.ends = max(suspect.ends, len(series))
    suspect.first_end_s = min(suspect.first_end_s, series[0].ended_s)
    suspect.last_end_s = max(suspect.last_end_s, series[-1].ended_s)
    if verdict is not None and verdict.ends and not _is_suspicion(verdict):
        later = find_consecutive_ends(
            series if is_part_key(fingerprint) else suspect.kept_ends.values(),
            verdict.recorded_at_s,
        )
        suspect.ends = max(suspect.ends, verdict.ends + len(later))
        suspect.first_end_s = min(suspect.first_end_s, verdict.since_s)
    drop_excess_ends(suspect.kept_ends, series)


def _next_serial(quarantine: Quarantine, fingerprint: bytes) -> int:
    known = quarantine.verdicts.get(fingerprint)
    return max(quarantine.first_serial, 0 if known is None else known.serial) + 1


def _is_suspicion(verdict: Verdict) -> bool:
    """Return whether a verdict only tells that a part is suspect.

    No ends are counted on top of it: who knows it without the ends that it rests on cannot tell
    whether a later one came under a request of its own.
    """
    return verdict.ends > 0 and verdict.quarantined_until_s <= verdict.recorded_at_s


def _is_news(verdict: Verdict, now_s: float) -> bool:
    """Return whether a verdict that quarantines nothing is to be told to other routers."""
    is_unheld = _is_suspicion(verdict) or not verdict.ends
    return is_unheld and now_s < verdict.recorded_at_s + NEWS_S


def _make_row(fingerprint: bytes, verdict: Verdict, now_s: float) -> QuarantineRow:
    return QuarantineRow(
        fingerprint=fingerprint,
        serial=verdict.serial,
        ends=verdict.ends,
        left_ms=max(round((verdict.quarantined_until_s - now_s) * 1000.0), 0),
        since_ms=max(round((now_s - verdict.since_s) * 1000.0), 0),
    )


def _store_verdict(quarantine: Quarantine, fingerprint: bytes, verdict: Verdict) -> None:
    evicted = _store_last(quarantine.verdicts, fingerprint, verdict, MAX_VERDICTS)
    for dropped in evicted:
        _forget_part_verdict(quarantine, dropped)
    if is_part_key(fingerprint):
        keys = quarantine.part_verdicts.setdefault(find_part_digest(fingerprint), set())
        keys.add(fingerprint)


def _forget_part_verdict(quarantine: Quarantine, fingerprint: bytes) -> None:
    """Remove a key whose verdict was dropped from the index of parts."""
    part_digest = find_part_digest(fingerprint)
    keys = quarantine.part_verdicts.get(part_digest)
    if keys is None:
        return
    keys.discard(fingerprint)
    if not keys:
        del quarantine.part_verdicts[part_digest]


def _store_last(
    table: OrderedDict[bytes, Kept], fingerprint: bytes, item: Kept, limit: int
) -> list[bytes]:
    """Store an item as the most recent one; return the keys of those evicted for it."""
    table[fingerprint] = item
    table.move_to_end(fingerprint)
    evicted = []
    while len(table) > limit:
        key, _ = table.popitem(last=False)
        evicted.append(key)
    return evicted
