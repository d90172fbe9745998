"""Engines that have just started, or stood still, and take little until they are warm.

An engine that gets more than a few requests a second while it is cold falls over. Its entry in
the source tells how long it stays cold, but late, and at times nothing tells it at all. So an
engine is also held to be cold when it is new, when its zone is taken back after an evacuation,
and when it answers again after it had failed or was silent.

Its owner spaces what it grants meanwhile. The pace is under half of what the engine may get, so
that two routers which both believe to be its owner do not exceed that together.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.version.configurations import EMPTY_CONFIGURATION, ColdStart, Configuration

SILENCE_S = 1.0
"""An engine that owed an answer for this long may have been down meanwhile."""

OWNERS = 2
"""Routers that may act as an engine's owner at the same time, while ownership moves."""

SLOWEST_PART = 0.5
"""Of what a cold engine works off: no engine is paced below this."""


@dataclass(slots=True)
class ColdEngines:
    """Until when each engine is held to be cold, as the source's news show."""

    deadlines_s: dict[str, float] = field(default_factory=dict)
    followed: Configuration = EMPTY_CONFIGURATION
    """As of the last news."""
    evacuated_zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ColdNews:
    """An engine that is held to be cold from now on, or for longer than before."""

    backend_server: str
    until_s: float
    reason: str


@dataclass(slots=True)
class ColdPace:
    """How an owner spaces what it grants at one engine while that is cold."""

    gap_s: float = 0.0
    """Between two grants; 0 for engines that are never cold."""
    lasts_s: float = 0.0
    """How long an engine is cold of which nothing else is known."""
    until_s: float = -math.inf
    next_grant_s: float = -math.inf


def make_pace(options: CoreOptions, cold_start: ColdStart | None) -> ColdPace:
    """Return the pace of an engine that is warm."""
    if cold_start is None:
        return ColdPace()
    worked_off = cold_start.requests_per_s
    allowed = worked_off * options.cold_overshoot + options.cold_tolerance_requests
    # Grants a gap apart: a second has room for one more than it has gaps.
    safe = max(allowed / OWNERS - 1.0, SLOWEST_PART * worked_off)
    return ColdPace(gap_s=1.0 / min(safe, worked_off), lasts_s=cold_start.lasts_s)


def start_cold(pace: ColdPace, until_s: float, now_s: float) -> bool:
    """Hold an engine to be cold until a time; True when it was not."""
    if not pace.gap_s or until_s <= max(pace.until_s, now_s):
        return False
    was_cold = is_cold(pace, now_s)
    pace.until_s = until_s
    if not was_cold:
        # What was granted before this may arrive within the same second.
        pace.next_grant_s = now_s + pace.gap_s
    return not was_cold


def is_cold(pace: ColdPace, now_s: float) -> bool:
    """Tell whether an engine is held to be cold."""
    return now_s < pace.until_s


def find_opening(pace: ColdPace, now_s: float) -> float:
    """Return when the pace allows the next grant, now at the earliest."""
    return max(pace.next_grant_s, now_s) if is_cold(pace, now_s) else now_s


def note_grant(pace: ColdPace, now_s: float) -> None:
    """Count a grant."""
    pace.next_grant_s = now_s + pace.gap_s


def take_news(
    cold: ColdEngines,
    configuration: Configuration,
    evacuated_zones: frozenset[str],
    now_s: float,
) -> list[ColdNews]:
    """Take the backend servers as they are listed now; returns who is cold by that."""
    if not configuration.pools:
        # Which engines are ever cold is not known yet.
        return []
    listed = configuration.backend_servers
    returned = cold.evacuated_zones - evacuated_zones
    news = list(_collect(cold, configuration, returned, now_s))
    for item in news:
        cold.deadlines_s[item.backend_server] = item.until_s
    for name in cold.deadlines_s.keys() - listed.keys():
        del cold.deadlines_s[name]
    cold.followed = configuration
    cold.evacuated_zones = evacuated_zones
    return news


def _collect(
    cold: ColdEngines,
    configuration: Configuration,
    returned: Collection[str],
    now_s: float,
) -> Iterable[ColdNews]:
    listed = cold.followed.backend_servers
    for name, server in configuration.backend_servers.items():
        pool = configuration.pools.get(server.pool)
        if pool is None or pool.cold_start is None:
            continue
        whole_s = now_s + pool.cold_start.lasts_s
        known = listed.get(name)
        until_s = -math.inf
        reason = ""
        if known is None and listed:
            until_s, reason = whole_s, "new"
        if server.availability_zone in returned:
            until_s, reason = whole_s, "zone taken back"
        if server.cold_ms and (known is None or known.cold_ms != server.cold_ms):
            until_s, reason = max(until_s, now_s + server.cold_ms / 1000.0), "said so"
        if until_s > cold.deadlines_s.get(name, -math.inf):
            yield ColdNews(name, until_s, reason)
