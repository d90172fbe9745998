"""Which routers read the source for all, and how the others know that someone does.

Each call to the source has its price, so that few routers read it: the first few of an
order that all routers agree on. What they hear goes to all at once, and rides on probes
as well. On probes rides, too, how long ago each reader said that the source answers it.
A router reads for itself while fewer than the wanted number of routers before it in that
order have said so lately, so that readers that are gone or cut off are replaced.
"""

import math
from dataclasses import dataclass, field

from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.members import MemberTable, eligible_routers
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.source_messages import ReaderRow

ORDER_KEY = "source-readers"

JOIN_WAIT_S = 0.7
"""A router that has started learns of the others for this long before it joins the readers."""

ISOLATION_S = 0.7
"""A router that hears nothing of any other for this long reads at once."""

STAGGER_S = 0.1
"""Replacements wait this much longer for each place in the order, so that few step in."""

DECIDE_INTERVAL_S = 0.1

OUTAGE_MEMORY_S = 1.0
"""How long after an outage of the source a first list may still lack entries by it. Longer
would keep servers that are really gone in use."""


@dataclass(slots=True)
class SourceReaders:
    """What this router knows of the routers that read the source."""

    reading: bool = True
    """Whether this router reads; a router that starts does so once."""
    has_read: bool = False
    own_answer_s: float = -math.inf
    """When the source last answered this router, unless a call has failed since."""
    said_s: dict[str, float] = field(default_factory=dict)
    """When each other router last said that the source answers it, by this clock."""
    heard_peer_s: float = -math.inf
    started_at_s: float = math.inf
    next_decision_s: float = -math.inf
    short_since_s: float = math.inf
    """Since when too few routers before this one read the source."""
    outage_until_s: float = 0.0
    next_query_s: float = 0.0
    """When a peer may be asked again for what changed among the backend servers."""
    order: tuple[str, ...] = ()
    order_version: int = -1
    """Of the member table that ``order`` was worked out from."""


def note_answer(readers: SourceReaders, now_s: float) -> None:
    """Note that the source has answered this router."""
    readers.has_read = True
    readers.own_answer_s = now_s


def note_failure(readers: SourceReaders) -> None:
    """Note that a call of this router to the source has failed."""
    readers.own_answer_s = -math.inf


def take_readers(
    readers: SourceReaders, own_id: str, rows: tuple[ReaderRow, ...], now_s: float
) -> None:
    """Take what a peer knows of the readers."""
    readers.heard_peer_s = now_s
    for row in rows:
        if row.router_id != own_id:
            said_s = now_s - max(row.age_ms, 0) / 1000.0
            readers.said_s[row.router_id] = max(
                said_s, readers.said_s.get(row.router_id, -math.inf)
            )


def collect_readers(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> tuple[ReaderRow, ...]:
    """Return the readers that count, the first in the order first."""
    if not options.source_readers:
        return ()
    rows: list[ReaderRow] = []
    for router_id in _order(readers, table):
        age_s = _age_s(readers, table.identity.router_id, router_id, options, now_s)
        if age_s < options.reader_age_limit_s:
            rows.append(ReaderRow(router_id, round(age_s * 1000.0)))
        if len(rows) == options.source_readers:
            break
    return tuple(rows)


def tick_readers(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> bool:
    """Decide anew whether this router reads; True when that has changed."""
    if not options.source_readers or now_s < readers.next_decision_s:
        return False
    readers.next_decision_s = now_s + DECIDE_INTERVAL_S
    readers.started_at_s = min(readers.started_at_s, now_s)
    _note_outage(readers, table, options, now_s)
    wanted = _wants_to_read(readers, table, options, now_s)
    changed = wanted != readers.reading
    readers.reading = wanted
    return changed


def knows_outage(readers: SourceReaders, now_s: float) -> bool:
    """Tell whether nobody could read the source a short while ago."""
    return now_s < readers.outage_until_s


def readers_before(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> tuple[str, ...]:
    """Return the routers before this one in the order that read the source."""
    found = []
    own_id = table.identity.router_id
    for router_id in _order(readers, table):
        if router_id == own_id:
            break
        if _age_s(readers, own_id, router_id, options, now_s) < options.reader_age_limit_s:
            found.append(router_id)
    return tuple(found)


def _wants_to_read(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> bool:
    wait_s = JOIN_WAIT_S if readers.has_read else options.first_read_delay_s
    if now_s < readers.started_at_s + wait_s:
        return False
    if now_s - readers.heard_peer_s > ISOLATION_S:
        return True
    if len(readers_before(readers, table, options, now_s)) >= options.source_readers:
        readers.short_since_s = math.inf
        return False
    reads_at_once = not readers.has_read and options.first_read_delay_s == 0.0
    if readers.reading or reads_at_once:
        return True
    readers.short_since_s = min(readers.short_since_s, now_s)
    return now_s >= readers.short_since_s + _stagger_s(readers, table, options)


def _stagger_s(readers: SourceReaders, table: MemberTable, options: CoreOptions) -> float:
    order = _order(readers, table)
    own_id = table.identity.router_id
    place = order.index(own_id) if own_id in order else len(order)
    return max(place - options.source_readers + 1, 0) * STAGGER_S


def _note_outage(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> None:
    own_id = table.identity.router_id
    ages_s = [_age_s(readers, own_id, router, options, now_s) for router in readers.said_s]
    ages_s.append(_age_s(readers, own_id, own_id, options, now_s))
    knew_readers = readers.has_read or bool(readers.said_s)
    if knew_readers and min(ages_s) >= options.reader_age_limit_s:
        readers.outage_until_s = now_s + OUTAGE_MEMORY_S


def _age_s(
    readers: SourceReaders, own_id: str, router_id: str, options: CoreOptions, now_s: float
) -> float:
    """Return how long ago a router could say that the source answers it."""
    if router_id != own_id:
        return now_s - readers.said_s.get(router_id, -math.inf)
    return max(now_s - readers.own_answer_s - options.source_silence_s, 0.0)


def _order(readers: SourceReaders, table: MemberTable) -> tuple[str, ...]:
    """Return the routers that may read, in the order that all of them agree on."""
    if readers.order_version != table.version:
        eligible = eligible_routers(table)
        readers.order = rank_routers(ORDER_KEY, eligible, len(eligible))
        readers.order_version = table.version
        for router_id in readers.said_s.keys() - set(eligible):
            del readers.said_s[router_id]
    return readers.order
