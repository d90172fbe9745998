"""Selection of the few routers that read the configuration source for the whole fleet.

Each call to the source is costly, so only a few routers read it: the first ones of an order
that all routers agree on, by rendezvous hashing. What they read is announced to all routers at
once, and probes carry it as well. Probes also carry how long ago each reader reported that the
source answers it. A router reads the source itself while fewer than the wanted number of routers
before it in that order have reported so recently; thus readers that failed or were cut off are
replaced.
"""

import math
from dataclasses import dataclass, field

from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.members import MemberTable, list_eligible_routers
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.source_messages import ReaderRow

ORDER_KEY = "source-readers"

JOIN_WAIT_S = 0.7
"""How long a router that has started learns of other routers before it may become a reader."""

ISOLATION_S = 0.7
"""A router that has received no news from any other for this long reads at once."""

STAGGER_PER_PLACE_S = 0.1
"""Each place further back in the order delays a replacement by this much, so that only a few
routers start to read."""

DECIDE_INTERVAL_S = 0.1


@dataclass(slots=True)
class SourceReaders:
    """The readers of the source that this router knows, and whether it is one itself."""

    reading: bool = True
    """Whether this router reads the source; a router that has just started does so once."""
    has_read: bool = False
    own_answer_at_s: float = -math.inf
    """When the source last answered this router, unless a call has failed since."""
    answer_reported_at_s: dict[str, float] = field(default_factory=dict)
    """When each other router last reported that the source answers it, by this router's clock."""
    last_news_at_s: float = -math.inf
    started_at_s: float = math.inf
    next_decision_s: float = -math.inf
    too_few_since_s: float = math.inf
    """Since when too few routers before this one in the order read the source."""
    next_query_s: float = 0.0
    """When a peer may be asked again for changes of backend servers."""
    order: tuple[str, ...] = ()
    order_version: int = -1
    """The version of the member table from which ``order`` was computed."""


def record_answer(readers: SourceReaders, now_s: float) -> None:
    """Record that the source has answered this router."""
    readers.has_read = True
    readers.own_answer_at_s = now_s


def record_failure(readers: SourceReaders) -> None:
    """Record that a call of this router to the source has failed."""
    readers.own_answer_at_s = -math.inf


def apply_reader_rows(
    readers: SourceReaders, own_id: str, rows: tuple[ReaderRow, ...], now_s: float
) -> None:
    """Apply the reader rows of a peer."""
    readers.last_news_at_s = now_s
    for row in rows:
        if row.router_id != own_id:
            reported_at_s = now_s - max(row.age_ms, 0) / 1000.0
            readers.answer_reported_at_s[row.router_id] = max(
                reported_at_s, readers.answer_reported_at_s.get(row.router_id, -math.inf)
            )


def collect_reader_rows(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> tuple[ReaderRow, ...]:
    """Return the rows of the readers with a recent answer, in the agreed order."""
    if not options.source_readers:
        return ()
    rows: list[ReaderRow] = []
    for router_id in _get_reader_order(readers, table):
        age_s = _find_answer_age_s(readers, table.identity.router_id, router_id, options, now_s)
        if age_s < options.reader_age_limit_s:
            rows.append(ReaderRow(router_id, round(age_s * 1000.0)))
        if len(rows) == options.source_readers:
            break
    return tuple(rows)


def update_reading(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> bool:
    """Decide again whether this router reads the source; return True if that has changed."""
    if not options.source_readers or now_s < readers.next_decision_s:
        return False
    readers.next_decision_s = now_s + DECIDE_INTERVAL_S
    readers.started_at_s = min(readers.started_at_s, now_s)
    wanted = _should_read(readers, table, options, now_s)
    changed = wanted != readers.reading
    readers.reading = wanted
    return changed


def find_readers_before(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> tuple[str, ...]:
    """Return the readers of the source that come before this router in the order."""
    found = []
    own_id = table.identity.router_id
    for router_id in _get_reader_order(readers, table):
        if router_id == own_id:
            break
        if (
            _find_answer_age_s(readers, own_id, router_id, options, now_s)
            < options.reader_age_limit_s
        ):
            found.append(router_id)
    return tuple(found)


def _should_read(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> bool:
    wait_s = JOIN_WAIT_S if readers.has_read else options.first_read_delay_s
    if now_s < readers.started_at_s + wait_s:
        return False
    if now_s - readers.last_news_at_s > ISOLATION_S:
        return True
    if len(find_readers_before(readers, table, options, now_s)) >= options.source_readers:
        readers.too_few_since_s = math.inf
        return False
    reads_at_once = not readers.has_read and options.first_read_delay_s == 0.0
    if readers.reading or reads_at_once:
        return True
    readers.too_few_since_s = min(readers.too_few_since_s, now_s)
    return now_s >= readers.too_few_since_s + _compute_stagger_s(readers, table, options)


def _compute_stagger_s(readers: SourceReaders, table: MemberTable, options: CoreOptions) -> float:
    order = _get_reader_order(readers, table)
    own_id = table.identity.router_id
    place = order.index(own_id) if own_id in order else len(order)
    return max(place - options.source_readers + 1, 0) * STAGGER_PER_PLACE_S


def _find_answer_age_s(
    readers: SourceReaders, own_id: str, router_id: str, options: CoreOptions, now_s: float
) -> float:
    """Return how long ago a router last reported, or could report, that the source answers it."""
    if router_id != own_id:
        return now_s - readers.answer_reported_at_s.get(router_id, -math.inf)
    return max(now_s - readers.own_answer_at_s - options.source_silence_s, 0.0)


def _get_reader_order(readers: SourceReaders, table: MemberTable) -> tuple[str, ...]:
    """Return the eligible routers in the order that all routers agree on."""
    if readers.order_version != table.version:
        eligible = list_eligible_routers(table)
        readers.order = rank_routers(ORDER_KEY, eligible, len(eligible))
        readers.order_version = table.version
        for router_id in readers.answer_reported_at_s.keys() - set(eligible):
            del readers.answer_reported_at_s[router_id]
    return readers.order
