"""The choice of the router that gets a connection for which this one lacks processor time.

A router cannot know how busy each of hundreds of others is. It draws two from its own
availability zone and chooses the one to which it has passed fewer open connections. A router
that is short of processor time itself refuses at once and is not asked again for a while.
Traffic between zones is expensive, so routers of other zones are asked only while all of the
own zone are short.

With two workspaces that flood the fleet, one of them through a zone with three of its eight
routers, clients got 0.68 of the possible credit, against 0.58 without help from other zones
(one simulation each, with processor time charged).
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.members import Member, MemberState, MemberTable
from myrtlehook_core.process.options import CoreOptions

SHORT_BACKOFF_S = 1.0
"""A neighbour that refused a connection is not asked again for this long."""

FAR_DRAWS = 8
"""The number of routers drawn in other zones to find candidates that are not known to be short
of processor time. If half of all routers are, no candidate is found in 1 of 256 cases."""

CANDIDATE_COUNT = 2
"""The least loaded of two random candidates spreads load nearly as well as that of all routers."""


@dataclass(slots=True)
class Neighbours:
    """The routers to which this one may pass connections, and the connections passed so far."""

    members_version: int = -1
    near_ids: tuple[str, ...] = ()
    """Ids of the alive routers in the own availability zone."""
    far_ids: tuple[str, ...] = ()
    """Ids of the alive routers in all other zones."""
    open_connections: dict[str, int] = field(default_factory=dict)
    """By router, the number of open connections that it serves for this one."""
    short_until_s: dict[str, float] = field(default_factory=dict)
    passing_credit: float = 0.0
    """Accumulated fraction of connections to pass on; at each whole number one is passed."""


def should_pass_on(
    neighbours: Neighbours, options: CoreOptions, busy_fraction: float, is_crowded: bool
) -> bool:
    """Count a new connection, and return whether to pass it to another router.

    :param busy_fraction: the fraction of its processor time that this router uses.
    :param is_crowded: whether client connections nearly reach this router's limit.
    """
    neighbours.passing_credit += (
        1.0 if is_crowded else _compute_passed_fraction(options, busy_fraction)
    )
    if neighbours.passing_credit < 1.0:
        return False
    neighbours.passing_credit -= 1.0
    return True


def _compute_passed_fraction(options: CoreOptions, busy_fraction: float) -> float:
    """Return the fraction of new connections to pass on; it rises between the two thresholds."""
    if busy_fraction >= options.passing_all_part:
        return 1.0
    if busy_fraction <= options.passing_starts_part:
        return 0.0
    span_fraction = options.passing_all_part - options.passing_starts_part
    return (busy_fraction - options.passing_starts_part) / span_fraction


def choose_neighbour(
    neighbours: Neighbours, table: MemberTable, now_s: float, draw: Draw, tried: frozenset[str]
) -> Member | None:
    """Return the router to pass a connection to, or None when there is no candidate."""
    _update_members(neighbours, table)

    def is_free(name: str) -> bool:
        return name not in tried and now_s >= neighbours.short_until_s.get(name, 0.0)

    drawn = _draw_near(neighbours.near_ids, is_free, draw) or _draw_far(
        neighbours.far_ids, is_free, draw
    )
    if not drawn:
        return None
    chosen = min(drawn, key=lambda name: neighbours.open_connections.get(name, 0))
    return table.members[chosen]


def record_opened(neighbours: Neighbours, router_id: str) -> None:
    """Count a connection that was passed to a neighbour."""
    count = neighbours.open_connections.get(router_id, 0)
    neighbours.open_connections[router_id] = count + 1


def record_closed(neighbours: Neighbours, router_id: str) -> None:
    """Count a passed connection as closed."""
    count = neighbours.open_connections.get(router_id, 0) - 1
    if count > 0:
        neighbours.open_connections[router_id] = count
    else:
        neighbours.open_connections.pop(router_id, None)


def record_short(neighbours: Neighbours, router_id: str, now_s: float) -> None:
    """Record that a neighbour refused a connection, so that it is not asked again for a while."""
    neighbours.short_until_s[router_id] = now_s + SHORT_BACKOFF_S


def _draw_near(near: tuple[str, ...], is_free: Callable[[str], bool], draw: Draw) -> list[str]:
    """Draw candidates among the routers of the own zone that are free."""
    free = [name for name in near if is_free(name)]
    return [free[int(draw() * len(free))] for _ in range(CANDIDATE_COUNT)] if free else []


def _draw_far(far: tuple[str, ...], is_free: Callable[[str], bool], draw: Draw) -> list[str]:
    """Draw candidates in other zones, whose routers are too many to examine each of them."""
    drawn = [far[int(draw() * len(far))] for _ in range(FAR_DRAWS)] if far else []
    return [name for name in drawn if is_free(name)][:CANDIDATE_COUNT]


def _update_members(neighbours: Neighbours, table: MemberTable) -> None:
    if neighbours.members_version == table.version:
        return
    neighbours.members_version = table.version
    alive = [member for member in table.members.values() if member.state is MemberState.ALIVE]
    zone = table.identity.availability_zone
    near = [member.router_id for member in alive if member.availability_zone == zone]
    far = [member.router_id for member in alive if member.availability_zone != zone]
    neighbours.near_ids = tuple(sorted(near))
    neighbours.far_ids = tuple(sorted(far))
    for name in neighbours.short_until_s.keys() - set(near) - set(far):
        del neighbours.short_until_s[name]
