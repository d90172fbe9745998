"""Which router is probed next: mostly those of the own availability zone, where bytes are cheap."""

from dataclasses import dataclass, field

from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.members import Member, MemberState, MemberTable, can_probe

FAR_EVERY = 8
"""Of so many probes one goes to another availability zone, where bytes are dear. News that
every router of a zone hears then still crosses several times a second, and a zone in doubt
is probed as often as the own one."""

DOUBT_S = 1.5
"""A zone of which bad news came is probed as often as the own one for this long: the end of
a whole zone comes as many pieces of news."""

FEWEST_NEAR = 4
"""With fewer routers in the own zone all are probed alike."""

REJOIN_EVERY = 4
"""Every so many probes one goes to a dead member, so that a healed cut is noticed."""


@dataclass(slots=True)
class ProbeTargets:
    """Whom this router probes in the present round, and which zones it doubts."""

    near: list[str] = field(default_factory=list)
    """Members still to be probed: those of the own zone, or all where these are too few."""
    far: list[str] = field(default_factory=list)
    """The same of other zones."""
    doubted_until_s: dict[str, float] = field(default_factory=dict)
    """Other zones of which bad news has come lately."""
    chosen: int = 0
    """Targets chosen so far."""


def next_target(targets: ProbeTargets, table: MemberTable, draw: Draw) -> Member | None:
    """Return the member to probe now; None when there is none."""
    targets.chosen += 1
    if targets.chosen % REJOIN_EVERY == 0:
        dead = [member for member in table.members.values() if member.state is MemberState.DEAD]
        if dead:
            return _pick(dead, draw)
    if targets.doubted_until_s and targets.chosen % 2:
        doubted = _pick(_list_doubted(targets, table), draw)
        if doubted is not None:
            return doubted
    if targets.chosen % FAR_EVERY == 1:
        member = _take_next(targets.far, table)
        if member is not None:
            return member
        targets.far = _list_probed(table, draw, near=False)
    member = _take_next(targets.near, table)
    if member is None:
        targets.near = _list_probed(table, draw, near=True)
        member = _take_next(targets.near, table)
    return member


def note_doubts(targets: ProbeTargets, table: MemberTable, now_s: float) -> None:
    """Follow the news of other zones."""
    own_zone = table.identity.availability_zone
    for member in table.fresh.values():
        is_bad = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        if is_bad and member.availability_zone != own_zone:
            targets.doubted_until_s[member.availability_zone] = now_s + DOUBT_S
    for zone, until_s in list(targets.doubted_until_s.items()):
        if now_s >= until_s:
            del targets.doubted_until_s[zone]


def shuffle(names: list[str], draw: Draw) -> None:
    """Bring names into an order drawn anew."""
    for index in range(len(names) - 1, 0, -1):
        other = int(draw() * (index + 1))
        names[index], names[other] = names[other], names[index]


def _list_doubted(targets: ProbeTargets, table: MemberTable) -> list[Member]:
    """Return the members of zones in doubt that still count as alive."""
    return [
        member
        for member in table.members.values()
        if member.availability_zone in targets.doubted_until_s and member.state is MemberState.ALIVE
    ]


def _pick(members: list[Member], draw: Draw) -> Member | None:
    return members[int(draw() * len(members))] if members else None


def _take_next(names: list[str], table: MemberTable) -> Member | None:
    while names:
        member = table.members.get(names.pop())
        if member is not None and can_probe(member):
            return member
    return None


def _list_probed(table: MemberTable, draw: Draw, near: bool) -> list[str]:
    """Return the members of the own zone, or those of the others, in an order drawn anew.

    All of them count as near where the own zone has too few.
    """
    zone = table.identity.availability_zone
    alive = [member for member in table.members.values() if can_probe(member)]
    own = [member.router_id for member in alive if member.availability_zone == zone]
    others = [member.router_id for member in alive if member.availability_zone != zone]
    if len(own) < FEWEST_NEAR:
        own, others = own + others, []
    names = own if near else others
    shuffle(names, draw)
    return names
