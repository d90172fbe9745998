"""Selection of the few routers that read the configuration source for the whole fleet.

Each call to the source is costly, so only a few routers read it: the first ones of an order
that all routers agree on, by rendezvous hashing. What they read is announced to all routers at
once, and probes carry it as well. Probes also carry how long ago each reader reported that the
source answers it. A router reads the source itself while fewer than the wanted number of routers
before it in that order have reported so recently; thus readers that failed or were cut off are
replaced. A reader that the source no longer answers withdraws its reports, which tells all at once
that they need not wait until the last one is old.
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

STAGGER_PER_FAR_PLACE_S = 0.2
"""The same from the place on at which as many routers as are wanted have had their turn. They were
not answered either, so the source is more likely unavailable than out of the readers' reach."""

DECIDE_INTERVAL_S = 0.1

WITHDRAWN_AGE_MS = 3_600_000
"""The age in the row of a reader that withdraws its earlier reports. It is above any limit, so
routers that do not know its meaning ignore the row."""

RELAY_DELAY_S = 0.5
"""How long after a reader has withdrawn its reports other routers may still relay them."""


@dataclass(slots=True)
class SourceReaders:
    """The readers of the source that this router knows, and whether it is one itself."""

    reading: bool = True
    """Whether this router reads the source; a router that has just started does so once."""
    has_read: bool = False
    own_answer_at_s: float = -math.inf
    """When the source last answered this router."""
    is_reporting: bool = False
    """Whether this router, which reads the source, reports to others that it is answered."""
    withdrew_at_s: float = -math.inf
    """When this router last withdrew its reports, unless the source has answered it since."""
    answer_reported_at_s: dict[str, float] = field(default_factory=dict)
    """When each other router last reported that the source answers it, by this router's clock."""
    withdrawn_at_s: dict[str, float] = field(default_factory=dict)
    """When each other router withdrew its reports, unless it has reported again since."""
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


def record_answer(readers: SourceReaders, now_s: float) -> bool:
    """Record that the source has answered this router.

    :returns: whether this router had withdrawn its reports, and reports again.
    """
    readers.has_read = True
    readers.own_answer_at_s = now_s
    readers.is_reporting = readers.reading
    returned = math.isfinite(readers.withdrew_at_s)
    readers.withdrew_at_s = -math.inf
    return returned


def withdraw_if_silent(readers: SourceReaders, options: CoreOptions, now_s: float) -> bool:
    """Withdraw this router's reports if the source has become silent; return whether it has."""
    if not options.source_readers or not readers.is_reporting:
        return False
    if _is_answered(readers, options, now_s):
        return False
    readers.is_reporting = False
    readers.withdrew_at_s = now_s
    return True


def apply_reader_rows(
    readers: SourceReaders, own_id: str, sender: str, rows: tuple[ReaderRow, ...], now_s: float
) -> list[str]:
    """Apply the reader rows of a peer; return the readers that have withdrawn their reports now."""
    readers.last_news_at_s = now_s
    withdrawn = []
    for row in rows:
        if row.router_id == own_id:
            continue
        if row.age_ms >= WITHDRAWN_AGE_MS:
            if _apply_withdrawal(readers, row.router_id, now_s):
                withdrawn.append(row.router_id)
            continue
        _apply_report(readers, row, sender, now_s)
    return withdrawn


def _apply_withdrawal(readers: SourceReaders, router_id: str, now_s: float) -> bool:
    readers.withdrawn_at_s[router_id] = now_s
    return readers.answer_reported_at_s.pop(router_id, None) is not None


def _apply_report(readers: SourceReaders, row: ReaderRow, sender: str, now_s: float) -> None:
    reported_at_s = now_s - max(row.age_ms, 0) / 1000.0
    if row.router_id == sender:
        readers.withdrawn_at_s.pop(sender, None)
    elif reported_at_s <= readers.withdrawn_at_s.get(row.router_id, -math.inf) + RELAY_DELAY_S:
        return
    known_s = readers.answer_reported_at_s.get(row.router_id, -math.inf)
    readers.answer_reported_at_s[row.router_id] = max(reported_at_s, known_s)


def collect_reader_rows(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> tuple[ReaderRow, ...]:
    """Return the rows of the readers with a recent answer, in the agreed order.

    A row before them withdraws this router's own reports, for as long as others may remember them.
    """
    if not options.source_readers:
        return ()
    withdrawals = _make_own_withdrawal(readers, table, options, now_s)
    rows: list[ReaderRow] = []
    for router_id in _get_reader_order(readers, table):
        age_s = _find_answer_age_s(readers, table.identity.router_id, router_id, options, now_s)
        if age_s < options.reader_age_limit_s:
            rows.append(ReaderRow(router_id, round(age_s * 1000.0)))
        if len(rows) == options.source_readers:
            break
    return (*withdrawals, *rows)


def _make_own_withdrawal(
    readers: SourceReaders, table: MemberTable, options: CoreOptions, now_s: float
) -> tuple[ReaderRow, ...]:
    if now_s >= readers.withdrew_at_s + options.reader_age_limit_s:
        return ()
    return (ReaderRow(table.identity.router_id, WITHDRAWN_AGE_MS),)


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
    readers.is_reporting = readers.is_reporting and wanted
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
    turns_before = max(place - options.source_readers + 1, 0)
    near_turns = min(turns_before, options.source_readers)
    far_turns = turns_before - near_turns
    return near_turns * STAGGER_PER_PLACE_S + far_turns * STAGGER_PER_FAR_PLACE_S


def _find_answer_age_s(
    readers: SourceReaders, own_id: str, router_id: str, options: CoreOptions, now_s: float
) -> float:
    """Return how long ago a router last reported that the source answers it; infinity for never."""
    if router_id != own_id:
        return now_s - readers.answer_reported_at_s.get(router_id, -math.inf)
    return 0.0 if _is_answered(readers, options, now_s) else math.inf


def _is_answered(readers: SourceReaders, options: CoreOptions, now_s: float) -> bool:
    """Return whether the source answers this router, as far as it knows."""
    return now_s < readers.own_answer_at_s + options.source_silence_s


def _get_reader_order(readers: SourceReaders, table: MemberTable) -> tuple[str, ...]:
    """Return the eligible routers in the order that all routers agree on."""
    if readers.order_version != table.version:
        eligible = list_eligible_routers(table)
        readers.order = rank_routers(ORDER_KEY, eligible, len(eligible))
        readers.order_version = table.version
        for router_id in readers.answer_reported_at_s.keys() - set(eligible):
            del readers.answer_reported_at_s[router_id]
        for router_id in readers.withdrawn_at_s.keys() - set(eligible):
            del readers.withdrawn_at_s[router_id]
    return readers.order
