"""Cold engines: grants are paced for engines that have just started or may have been down.

A cold engine fails under more than a few requests a second. Its entry in the source states how
long it stays cold, but that arrives late and is sometimes missing. So an engine is also considered
cold when it is new, when its zone returns from an evacuation, and when it answers again after it
had failed or was silent.

Its owner spaces its grants meanwhile. The pace is below half of what the engine may get, so that
two routers that both act as its owner do not exceed the limit together.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.version.configurations import EMPTY_CONFIGURATION, ColdStart, Configuration

OVERDUE_ANSWER_S = 1.0
"""An engine whose answer was overdue for this long may have been down."""

MAX_CONCURRENT_OWNERS = 2
"""The number of routers that may act as an engine's owner at once while ownership moves."""

MIN_PACE_FRACTION = 0.5
"""The lowest pace, as a fraction of the rate that a cold engine can process."""


@dataclass(slots=True)
class ColdEngines:
    """Until when each engine is considered cold, according to the source's updates."""

    deadlines_s: dict[str, float] = field(default_factory=dict)
    last_configuration: Configuration = EMPTY_CONFIGURATION
    """The configuration at the last update."""
    evacuated_zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ColdEngineChange:
    """An engine that is now considered cold, or for longer than before."""

    backend_server: str
    until_s: float
    reason: str


@dataclass(slots=True)
class ColdPace:
    """How an owner spaces its grants at one engine while the engine is cold."""

    grant_interval_s: float = 0.0
    """Minimum time between two grants; 0 for engines that are never cold."""
    default_cold_s: float = 0.0
    """How long an engine stays cold if its entry in the source does not state it."""
    cold_until_s: float = -math.inf
    next_grant_s: float = -math.inf


def make_pace(options: CoreOptions, cold_start: ColdStart | None) -> ColdPace:
    """Return the pace of an engine that is warm."""
    if cold_start is None:
        return ColdPace()
    cold_rate_per_s = cold_start.requests_per_s
    limit_per_s = cold_rate_per_s * options.cold_overshoot + options.cold_tolerance_requests
    # One grant more than the number of intervals in a second can fall into that second.
    pace_per_s = max(limit_per_s / MAX_CONCURRENT_OWNERS - 1.0, MIN_PACE_FRACTION * cold_rate_per_s)
    return ColdPace(
        grant_interval_s=1.0 / min(pace_per_s, cold_rate_per_s),
        default_cold_s=cold_start.duration_s,
    )


def mark_cold(pace: ColdPace, until_s: float, now_s: float) -> bool:
    """Consider an engine cold until a time; True when it was not cold before."""
    if not pace.grant_interval_s or until_s <= max(pace.cold_until_s, now_s):
        return False
    was_cold = is_cold(pace, now_s)
    pace.cold_until_s = until_s
    if not was_cold:
        # Earlier grants may reach the engine within the same second.
        pace.next_grant_s = now_s + pace.grant_interval_s
    return not was_cold


def is_cold(pace: ColdPace, now_s: float) -> bool:
    """Return whether an engine is considered cold."""
    return now_s < pace.cold_until_s


def find_paced_grant_s(pace: ColdPace, now_s: float) -> float:
    """Return the earliest time, from now on, at which the pace allows a grant."""
    return max(pace.next_grant_s, now_s) if is_cold(pace, now_s) else now_s


def delay_next_grant(pace: ColdPace, now_s: float) -> None:
    """Delay the next grant by the pace's interval."""
    pace.next_grant_s = now_s + pace.grant_interval_s


def update_cold_engines(
    cold: ColdEngines,
    configuration: Configuration,
    evacuated_zones: frozenset[str],
    now_s: float,
) -> list[ColdEngineChange]:
    """Apply a new list of backend servers; returns the engines that are cold by it."""
    if not configuration.pools:
        # Without pools it is not known which engines have a cold start.
        return []
    listed = configuration.backend_servers
    returned = cold.evacuated_zones - evacuated_zones
    changes = list(_find_cold_changes(cold, configuration, returned, now_s))
    for item in changes:
        cold.deadlines_s[item.backend_server] = item.until_s
    for name in cold.deadlines_s.keys() - listed.keys():
        del cold.deadlines_s[name]
    cold.last_configuration = configuration
    cold.evacuated_zones = evacuated_zones
    return changes


def _find_cold_changes(
    cold: ColdEngines,
    configuration: Configuration,
    returned: Collection[str],
    now_s: float,
) -> Iterable[ColdEngineChange]:
    listed = cold.last_configuration.backend_servers
    for name, server in configuration.backend_servers.items():
        pool = configuration.pools.get(server.pool)
        if pool is None or pool.cold_start is None:
            continue
        default_until_s = now_s + pool.cold_start.duration_s
        known = listed.get(name)
        until_s = -math.inf
        reason = ""
        if known is None and listed:
            until_s, reason = default_until_s, "new"
        if server.availability_zone in returned:
            until_s, reason = default_until_s, "zone taken back"
        if server.cold_ms and (known is None or known.cold_ms != server.cold_ms):
            until_s, reason = max(until_s, now_s + server.cold_ms / 1000.0), "said so"
        if until_s > cold.deadlines_s.get(name, -math.inf):
            yield ColdEngineChange(name, until_s, reason)
