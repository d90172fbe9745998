"""Routes: the pool that serves a request, by host and path, and its retry and time limits."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash


class RequestKind(StrEnum):
    """Whether a request may be repeated or its stream resumed when its outcome is unknown."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class PoolWeight:
    """A pool and its weight in a route whose traffic is split."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are served."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RequestKind
    pools: tuple[PoolWeight, ...]
    timeout_s: float
    """The longest time that a request may last, counted from its arrival."""
    aim_s: float
    """Target for the time to the answer; for a stream, to its first event."""
    priority: int
    """0 is served first."""
    attempts: int
    """The most backend servers that one request may be sent to."""
    anonymous: bool = False
    """Requests need no API key."""
    resumable: bool = False
    """A broken stream may be resumed from its last event."""
    pause_target_s: float = 0.0
    """The longest pause between two events of a stream with which the answer is still in time;
    0 if the route states none."""
    allowed_regions: frozenset[str] | None = None
    """The regions in which its requests may be served; None if there is no limit."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run a second time after an unknown outcome."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes by host, the longest prefix first."""

    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)


def build_route_table(routes: Iterable[Route]) -> RouteTable:
    """Index routes by host for :func:`find_route`."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return RouteTable(
        {
            host: tuple(sorted(found, key=lambda route: -len(route.path_prefix)))
            for host, found in by_host.items()
        }
    )


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the host's route with the longest prefix that matches the path."""
    for route in table.routes_by_host.get(host.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_pool(route: Route, key: str) -> str:
    """Choose a pool by weight; the same key always gives the same pool."""
    if len(route.pools) == 1:
        return route.pools[0].pool
    total = sum(target.weight for target in route.pools)
    point = xxhash.xxh3_64_intdigest(key.encode()) / 2.0**64 * total
    for target in route.pools:
        point -= target.weight
        if point < 0:
            return target.pool
    return route.pools[-1].pool
