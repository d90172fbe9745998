"""Counts of what callers got, by workspace and by kind of work, at the router that served them.

The counts of the last minute are shown to operators, those since the start are metrics. Both are
bounded: names beyond a maximum are counted together.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from myrtlehook_core import RequestSpecification

SLICE_S = 5.0
MAX_SLICES = 12
"""The sliding window is a minute: long enough for a kind with a few requests a second, short enough
to show how things are now."""

MAX_SLICE_NAMES = 256
"""Names that are counted apart within one slice; the others are counted together."""

MAX_TOTAL_NAMES = 50
"""Names that are counted apart since the start. Each one is a label in the metrics."""

SHOWN_NAMES = 20
"""The busiest names that operators are shown; the others are summed up."""

OTHERS = "(others)"

MAX_REFUSED_KEYS = 4096
"""The last refused requests that are known again when their callers send them once more."""


class Dimension(StrEnum):
    """What requests are counted by."""

    WORKSPACE = "workspace"
    ROUTE = "route"
    """The kind of work; the pool, where requests have no routes."""


class Figure(StrEnum):
    """What is counted. Operators see the figures in this order."""

    ASKED = "asked"
    IN_TIME = "in_time"
    LATE_FIRST_EVENT = "late_first_event"
    """Answered whole, but begun after the first-token target."""
    LATE_PAUSE = "late_pause"
    """Answered whole and begun in time, but with a longer pause than the route allows."""
    REFUSED = "refused"
    RETURNED = "returned"
    """Sent again by a caller whom this router had refused; counted as asked as well."""
    UNFINISHED = "unfinished"
    """Broken off, or left by the caller."""


@dataclass(frozen=True, slots=True)
class TallyKey:
    """Which counts a request belongs to."""

    workspace: str
    route: str


NameCounts = dict[str, Counter[Figure]]
"""Counts by name."""


@dataclass(slots=True)
class TallyTable:
    """Counts by dimension and name."""

    max_names: int
    started_at_s: float = 0.0
    names: dict[Dimension, NameCounts] = field(
        default_factory=lambda: {dimension: {} for dimension in Dimension}
    )


@dataclass(slots=True)
class RequestTallies:
    """All counts of one router."""

    enabled: bool = True
    slices: deque[TallyTable] = field(default_factory=lambda: deque(maxlen=MAX_SLICES))
    """The newest last."""
    totals: TallyTable = field(default_factory=lambda: TallyTable(MAX_TOTAL_NAMES))
    refused_keys: OrderedDict[bytes, None] = field(default_factory=OrderedDict)


def tally_arrival(
    tallies: RequestTallies, specification: RequestSpecification, now_s: float
) -> None:
    """Count a request, and whether its caller has sent it before and was refused."""
    key = make_tally_key(specification)
    tally(tallies, key, Figure.ASKED, now_s)
    repeat_key = _make_repeat_key(specification)
    if repeat_key in tallies.refused_keys:
        del tallies.refused_keys[repeat_key]
        tally(tallies, key, Figure.RETURNED, now_s)


def tally_refusal(
    tallies: RequestTallies, specification: RequestSpecification, now_s: float
) -> None:
    """Count a refusal, and remember the request in case its caller sends it again."""
    tally(tallies, make_tally_key(specification), Figure.REFUSED, now_s)
    if not tallies.enabled:
        return
    tallies.refused_keys[_make_repeat_key(specification)] = None
    if len(tallies.refused_keys) > MAX_REFUSED_KEYS:
        tallies.refused_keys.popitem(last=False)


def tally(tallies: RequestTallies, key: TallyKey, figure: Figure, now_s: float) -> None:
    """Add one to a figure."""
    if not tallies.enabled:
        return
    for table in (_open_slice(tallies, now_s), tallies.totals):
        _add(table, Dimension.WORKSPACE, key.workspace, figure)
        _add(table, Dimension.ROUTE, key.route, figure)


def make_tally_key(specification: RequestSpecification) -> TallyKey:
    """Return which counts a request belongs to."""
    return TallyKey(specification.workspace, specification.route or specification.pool)


def describe_tallies(tallies: RequestTallies, now_s: float) -> dict[str, dict[str, dict[str, int]]]:
    """Return the counts within the window, by dimension, name and figure.

    The busiest names come first; the last one stands for all others.
    """
    recent = [table for table in tallies.slices if _is_recent(table, now_s)]
    return {
        str(dimension): _describe_names(table.names[dimension] for table in recent)
        for dimension in Dimension
    }


def _make_repeat_key(specification: RequestSpecification) -> bytes:
    """Return a key by which a request is known again.

    A caller may choose another id when it sends a request again. Requests without a body are all
    alike, and are known again by their ids only.
    """
    if specification.body_bytes and specification.fingerprint:
        return specification.fingerprint
    return specification.request_id.encode()


def _open_slice(tallies: RequestTallies, now_s: float) -> TallyTable:
    if not tallies.slices or now_s >= tallies.slices[-1].started_at_s + SLICE_S:
        tallies.slices.append(TallyTable(MAX_SLICE_NAMES, now_s))
    return tallies.slices[-1]


def _is_recent(table: TallyTable, now_s: float) -> bool:
    return now_s < table.started_at_s + MAX_SLICES * SLICE_S


def _add(table: TallyTable, dimension: Dimension, name: str, figure: Figure) -> None:
    names = table.names[dimension]
    counts = names.get(name)
    if counts is None:
        if len(names) >= table.max_names:
            name = OTHERS
        counts = names.setdefault(name, Counter())
    counts[figure] += 1


def _describe_names(slices: Iterable[NameCounts]) -> dict[str, dict[str, int]]:
    sums: NameCounts = {}
    for names in slices:
        for name, counts in names.items():
            sums.setdefault(name, Counter()).update(counts)
    others = sums.pop(OTHERS, Counter())
    busiest = sorted(sums, key=lambda name: (-sums[name][Figure.ASKED], name))
    for name in busiest[SHOWN_NAMES:]:
        others.update(sums[name])
    shown = {name: sums[name] for name in busiest[:SHOWN_NAMES]}
    if others:
        shown[OTHERS] = others
    return {
        name: {str(figure): counts[figure] for figure in Figure} for name, counts in shown.items()
    }
