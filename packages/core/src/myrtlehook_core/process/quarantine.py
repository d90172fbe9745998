"""Requests under which backend servers end again and again are kept from servers for a while.

A request is known by its fingerprint: caller, path and body. Each router that sees a server end
under a request reports it to the two collectors of that fingerprint, placed by rendezvous hash.
A collector counts the ends that follow one another: runs that were under way together count as
one, because one lost rack would end them all. At the second such end the request is held, and
all routers hear of it with their probes.

Who happened to run beside it is held up to the same count, and cleared by a run that ends well:
a request that ends servers never does. Such a run, at any router, lifts what was held.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TypeVar

from myrtlehook_core.process.quarantine_messages import QuarantineRow, ServerEndReport

ENDS_HELD = 2
"""Ends in a row until a request is held. One is chance: it happens to all that a server ran.
Each further one costs a whole server, with the up to 64 answers that it was giving."""

TOGETHER_S = 0.05
"""A run that began less than this after a server's end counts as under way then: what ends
several servers does so within some 10 ms, and messages take a few. A router waits as long
before it sends a request that has ended a server to another one."""

FIRST_HOLD_S = 60.0
"""How long a request is held first. Whoever ended servers then ends one a minute at most."""

LONGEST_HOLD_S = 3600.0
"""The hold doubles with each further end up to this; a mended server is tried within it."""

MEMORY_S = 2.0 * LONGEST_HOLD_S
"""Ends further apart than this say nothing about a request any more."""

LIFT_TOLD_S = 10.0
"""How long it is told that a hold was lifted: a probe reaches every router of 1,200 sooner."""

ROWS_TOLD = 8
"""Most requests that ride on one message, about 40 bytes each: with more than that held, those
told least often come first."""

SUSPECTS = 4096
"""Most requests that a collector counts ends of; the oldest give way. A lost server leaves up
to 64 of them, at two collectors each."""

VERDICTS = 1024
"""Most requests that a router keeps as held, or as held before."""

SOUND_RUNS = 4096
"""Most requests that a router remembers to have ended well: 100 s of them at 40 a second."""

Kept = TypeVar("Kept")


@dataclass(slots=True)
class Suspect:
    """What a collector has counted of one request."""

    ends: int
    first_end_s: float
    last_end_s: float


@dataclass(slots=True)
class Verdict:
    """What this router believes of one request."""

    serial: int
    ends: int
    """0 once the hold was lifted."""
    since_s: float
    """When the first of the servers ended."""
    held_until_s: float
    heard_at_s: float
    told: int = 0


@dataclass(slots=True)
class Quarantine:
    """What one router knows of requests that end servers, by fingerprint."""

    first_serial: int
    """Greater than that of any earlier process."""
    suspects: OrderedDict[bytes, Suspect] = field(default_factory=OrderedDict)
    """Counted here, the one that changed last at the end."""
    verdicts: OrderedDict[bytes, Verdict] = field(default_factory=OrderedDict)
    sound_runs: OrderedDict[bytes, float] = field(default_factory=OrderedDict)
    """When requests last ended well at this router."""
    is_news: bool = False
    """Something is held since waiting requests were looked through."""


def count_end(quarantine: Quarantine, report: ServerEndReport, now_s: float) -> Suspect | None:
    """Count a reported end; returns None when it says nothing new."""
    began_s = now_s - report.began_age_ms / 1000.0
    ended_s = now_s - report.ended_age_ms / 1000.0
    suspect = _find_suspect(quarantine, report.fingerprint, now_s)
    if suspect is None:
        suspect = Suspect(1, ended_s, ended_s)
    elif began_s < suspect.last_end_s + TOGETHER_S:
        # It was under way when the last server ended, and may have shared its fate.
        return None
    else:
        suspect.ends += 1
        suspect.last_end_s = ended_s
    _put_last(quarantine.suspects, report.fingerprint, suspect, SUSPECTS)
    return suspect


def hold(quarantine: Quarantine, fingerprint: bytes, suspect: Suspect, now_s: float) -> Verdict:
    """Hold a request of which enough ends were counted."""
    hold_s = FIRST_HOLD_S * 2.0 ** (suspect.ends - ENDS_HELD)
    verdict = Verdict(
        serial=_next_serial(quarantine, fingerprint),
        ends=suspect.ends,
        since_s=suspect.first_end_s,
        held_until_s=now_s + min(hold_s, LONGEST_HOLD_S),
        heard_at_s=now_s,
    )
    _put_last(quarantine.verdicts, fingerprint, verdict, VERDICTS)
    quarantine.is_news = True
    return verdict


def lift(quarantine: Quarantine, fingerprint: bytes, now_s: float) -> bool:
    """Forget the ends under a request that has ended well; True when others count them too.

    They do from its first hold on, also when that is over.
    """
    quarantine.suspects.pop(fingerprint, None)
    verdict = quarantine.verdicts.get(fingerprint)
    if verdict is None or not verdict.ends:
        return False
    serial = _next_serial(quarantine, fingerprint)
    lifted = Verdict(serial, ends=0, since_s=now_s, held_until_s=now_s, heard_at_s=now_s)
    _put_last(quarantine.verdicts, fingerprint, lifted, VERDICTS)
    return True


def note_sound_run(quarantine: Quarantine, fingerprint: bytes, now_s: float) -> None:
    """Remember that a request has ended well here."""
    _put_last(quarantine.sound_runs, fingerprint, now_s, SOUND_RUNS)


def is_cleared(quarantine: Quarantine, fingerprint: bytes) -> bool:
    """Tell whether a held request has ended well here since the first end counted against it."""
    verdict = quarantine.verdicts.get(fingerprint)
    sound_at_s = quarantine.sound_runs.get(fingerprint, -math.inf)
    return verdict is not None and verdict.ends > 0 and sound_at_s > verdict.since_s


def find_hold_s(quarantine: Quarantine, fingerprint: bytes, now_s: float) -> float:
    """Return how long a request is still refused, in seconds; 0 when it is not."""
    verdict = quarantine.verdicts.get(fingerprint)
    return 0.0 if verdict is None else max(verdict.held_until_s - now_s, 0.0)


def count_held(quarantine: Quarantine, now_s: float) -> int:
    """Return how many requests are refused at present."""
    return sum(now_s < verdict.held_until_s for verdict in quarantine.verdicts.values())


def collect_rows(quarantine: Quarantine, now_s: float) -> tuple[QuarantineRow, ...]:
    """Return what rides on the next message."""
    told = [
        (fingerprint, verdict)
        for fingerprint, verdict in quarantine.verdicts.items()
        if now_s < verdict.held_until_s or _is_lift_news(verdict, now_s)
    ]
    told.sort(key=lambda item: item[1].told)
    for _, verdict in told[:ROWS_TOLD]:
        verdict.told += 1
    return tuple(_make_row(*item, now_s) for item in told[:ROWS_TOLD])


def take_row(quarantine: Quarantine, row: QuarantineRow, now_s: float) -> Verdict | None:
    """Take what another router believes; returns it when it is news here."""
    known = quarantine.verdicts.get(row.fingerprint)
    if known is not None and row.serial <= known.serial:
        return None
    verdict = Verdict(
        serial=row.serial,
        ends=row.ends,
        since_s=now_s - row.since_ms / 1000.0,
        held_until_s=now_s + min(row.left_ms / 1000.0, LONGEST_HOLD_S),
        heard_at_s=now_s,
    )
    _put_last(quarantine.verdicts, row.fingerprint, verdict, VERDICTS)
    if verdict.ends:
        quarantine.is_news = True
    else:
        quarantine.suspects.pop(row.fingerprint, None)
    return verdict


def forget_old(quarantine: Quarantine, now_s: float) -> None:
    """Drop what says nothing any more."""
    for fingerprint, suspect in list(quarantine.suspects.items()):
        if now_s - suspect.last_end_s > MEMORY_S:
            del quarantine.suspects[fingerprint]
    for fingerprint, verdict in list(quarantine.verdicts.items()):
        if now_s - verdict.heard_at_s > MEMORY_S:
            del quarantine.verdicts[fingerprint]


def _find_suspect(quarantine: Quarantine, fingerprint: bytes, now_s: float) -> Suspect | None:
    """Return what was counted of a request, here or by a collector before."""
    suspect = quarantine.suspects.get(fingerprint)
    verdict = quarantine.verdicts.get(fingerprint)
    if verdict is not None and verdict.ends and (suspect is None or suspect.ends < verdict.ends):
        suspect = Suspect(verdict.ends, verdict.since_s, verdict.heard_at_s)
    if suspect is None or now_s - suspect.last_end_s > MEMORY_S:
        return None
    return suspect


def _next_serial(quarantine: Quarantine, fingerprint: bytes) -> int:
    known = quarantine.verdicts.get(fingerprint)
    return max(quarantine.first_serial, 0 if known is None else known.serial) + 1


def _is_lift_news(verdict: Verdict, now_s: float) -> bool:
    return verdict.ends == 0 and now_s < verdict.heard_at_s + LIFT_TOLD_S


def _make_row(fingerprint: bytes, verdict: Verdict, now_s: float) -> QuarantineRow:
    return QuarantineRow(
        fingerprint=fingerprint,
        serial=verdict.serial,
        ends=verdict.ends,
        left_ms=max(round((verdict.held_until_s - now_s) * 1000.0), 0),
        since_ms=max(round((now_s - verdict.since_s) * 1000.0), 0),
    )


def _put_last(kept: OrderedDict[bytes, Kept], fingerprint: bytes, item: Kept, most: int) -> None:
    kept[fingerprint] = item
    kept.move_to_end(fingerprint)
    while len(kept) > most:
        kept.popitem(last=False)
