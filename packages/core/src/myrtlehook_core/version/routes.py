"""Routes: which pool serves a request, by host and path, and what is promised on the way."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash


class RequestKind(StrEnum):
    """What may be done with a request whose outcome is not known."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class PoolWeight:
    """One pool's part of a split route."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RequestKind
    pools: tuple[PoolWeight, ...]
    timeout_s: float
    """The longest that a request may be held, from its arrival."""
    aim_s: float
    """An answer within this time is worth most; for a stream, its first event."""
    priority: int
    """0 is served first."""
    attempts: int
    """The most backend servers that one request may be sent to."""
    anonymous: bool = False
    resumable: bool = False
    pause_aim_s: float = 0.0

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
    """Index routes for :func:`find_route`."""
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
    """Return the route of a host with the longest prefix that begins the path."""
    for route in table.routes_by_host.get(host.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_pool(route: Route, key: str) -> str:
    """Return the pool for a request; the same key always finds the same pool."""
    if len(route.pools) == 1:
        return route.pools[0].pool
    total = sum(target.weight for target in route.pools)
    mark = xxhash.xxh3_64_intdigest(key.encode()) / 2.0**64 * total
    for target in route.pools:
        mark -= target.weight
        if mark < 0:
            return target.pool
    return route.pools[-1].pool
