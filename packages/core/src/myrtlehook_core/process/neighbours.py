"""Which other router takes a connection that this one has no processor time for.

A router cannot know how busy each of hundreds of others is. Of two drawn from the own
availability zone it chooses the one that it has given less, and one that is short of
processor time itself says so at once and is left alone for a while. Bytes between zones are
dear, so those of other zones are asked only while the whole own zone is short. Two workspaces
that flood, one from a zone of three of eight routers: worth 0.68 of the callers' credit, 0.58
without other zones' help (one play each, processor time charged).
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.members import Member, MemberState, MemberTable
from myrtlehook_core.process.options import CoreOptions

SHORT_S = 1.0
"""A neighbour that was short itself is not asked again for this long."""

FAR_DRAWS = 8
"""Routers of other zones drawn to find candidates that are not known to be short. If half of them
are, none is found in 1 of 256 cases."""

CANDIDATES = 2
"""Two drawn at random spread load nearly as well as knowing all of them."""


@dataclass(slots=True)
class Neighbours:
    """The routers that may help this one, and what it has given them."""

    members_version: int = -1
    near: tuple[str, ...] = ()
    """Ids, those of the own availability zone."""
    far: tuple[str, ...] = ()
    """Ids, those of all others."""
    open_connections: dict[str, int] = field(default_factory=dict)
    """By router, connections that it serves for this one."""
    short_until_s: dict[str, float] = field(default_factory=dict)
    owed: float = 0.0
    """Connections due to be passed on; one is at each whole number."""


def passes_on(
    neighbours: Neighbours, options: CoreOptions, busy_part: float, is_crowded: bool
) -> bool:
    """Count a new connection, and tell whether another router is to serve it.

    :param busy_part: the part of its processor time that this router uses.
    :param is_crowded: callers' connections nearly fill what this router may hold.
    """
    neighbours.owed += 1.0 if is_crowded else _passed_part(options, busy_part)
    if neighbours.owed < 1.0:
        return False
    neighbours.owed -= 1.0
    return True


def _passed_part(options: CoreOptions, busy_part: float) -> float:
    """Return the part of the new connections to pass on, rising between the thresholds."""
    if busy_part >= options.passing_all_part:
        return 1.0
    if busy_part <= options.passing_starts_part:
        return 0.0
    span_part = options.passing_all_part - options.passing_starts_part
    return (busy_part - options.passing_starts_part) / span_part


def choose_neighbour(
    neighbours: Neighbours, table: MemberTable, now_s: float, draw: Draw, tried: frozenset[str]
) -> Member | None:
    """Return the router to pass a connection on to; None when nobody can be asked."""
    _follow_members(neighbours, table)

    def is_free(name: str) -> bool:
        return name not in tried and now_s >= neighbours.short_until_s.get(name, 0.0)

    drawn = _draw_near(neighbours.near, is_free, draw) or _draw_far(neighbours.far, is_free, draw)
    if not drawn:
        return None
    chosen = min(drawn, key=lambda name: neighbours.open_connections.get(name, 0))
    return table.members[chosen]


def note_opened(neighbours: Neighbours, router_id: str) -> None:
    """Count a connection that a neighbour was asked to serve."""
    count = neighbours.open_connections.get(router_id, 0)
    neighbours.open_connections[router_id] = count + 1


def note_closed(neighbours: Neighbours, router_id: str) -> None:
    """Count a connection that a neighbour serves no more."""
    count = neighbours.open_connections.get(router_id, 0) - 1
    if count > 0:
        neighbours.open_connections[router_id] = count
    else:
        neighbours.open_connections.pop(router_id, None)


def note_short(neighbours: Neighbours, router_id: str, now_s: float) -> None:
    """Leave a neighbour alone for a while that took no connection."""
    neighbours.short_until_s[router_id] = now_s + SHORT_S


def _draw_near(near: tuple[str, ...], is_free: Callable[[str], bool], draw: Draw) -> list[str]:
    """Draw candidates of the own zone; any that is free is found."""
    free = [name for name in near if is_free(name)]
    return [free[int(draw() * len(free))] for _ in range(CANDIDATES)] if free else []


def _draw_far(far: tuple[str, ...], is_free: Callable[[str], bool], draw: Draw) -> list[str]:
    """Draw candidates of other zones, which are too many to look at all of them."""
    drawn = [far[int(draw() * len(far))] for _ in range(FAR_DRAWS)] if far else []
    return [name for name in drawn if is_free(name)][:CANDIDATES]


def _follow_members(neighbours: Neighbours, table: MemberTable) -> None:
    if neighbours.members_version == table.version:
        return
    neighbours.members_version = table.version
    alive = [member for member in table.members.values() if member.state is MemberState.ALIVE]
    zone = table.identity.availability_zone
    near = [member.router_id for member in alive if member.availability_zone == zone]
    far = [member.router_id for member in alive if member.availability_zone != zone]
    neighbours.near = tuple(sorted(near))
    neighbours.far = tuple(sorted(far))
    for name in neighbours.short_until_s.keys() - set(near) - set(far):
        del neighbours.short_until_s[name]
