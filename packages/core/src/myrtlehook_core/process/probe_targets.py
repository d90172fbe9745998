"""The choice of the next probe target.

Most targets are in this router's own availability zone, where traffic is cheap.
"""

from dataclasses import dataclass, field

from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.members import Member, MemberState, MemberTable, can_probe

FAR_PROBE_ONE_IN = 8
"""One probe in this many goes to another availability zone, where traffic is expensive. News
that all routers of a zone know still crosses zones several times a second at this rate, and a
suspected zone is probed as often as the own zone."""

ZONE_SUSPICION_S = 1.5
"""For this long after news of a suspect or dead member, its zone is probed as often as the own
zone: the failure of a whole zone shows as many such pieces of news."""

MIN_NEAR_ROUTERS = 4
"""With fewer other routers in the own zone, those of all zones are probed alike."""

DEAD_PROBE_ONE_IN = 4
"""One probe in this many goes to a dead member, to detect that a network partition has healed."""


@dataclass(slots=True)
class ProbeTargets:
    """The members still to be probed in the present round, and the suspected zones."""

    near_ids: list[str] = field(default_factory=list)
    """Ids of members still to be probed: of the own zone, or of all where it has too few."""
    far_ids: list[str] = field(default_factory=list)
    """Ids of members still to be probed in other zones."""
    suspected_until_s: dict[str, float] = field(default_factory=dict)
    """By other zone, until when it is suspected because of news of suspect or dead members."""
    chosen_count: int = 0
    """The number of targets chosen so far."""


def choose_next_target(targets: ProbeTargets, table: MemberTable, draw: Draw) -> Member | None:
    """Return the member to probe now; None when there is none."""
    targets.chosen_count += 1
    if targets.chosen_count % DEAD_PROBE_ONE_IN == 0:
        dead = [member for member in table.members.values() if member.state is MemberState.DEAD]
        if dead:
            return _draw_member(dead, draw)
    if targets.suspected_until_s and targets.chosen_count % 2:
        suspected = _draw_member(_list_suspected_zone_members(targets, table), draw)
        if suspected is not None:
            return suspected
    if targets.chosen_count % FAR_PROBE_ONE_IN == 1:
        member = _pop_next_member(targets.far_ids, table)
        if member is not None:
            return member
        targets.far_ids = _list_shuffled_targets(table, draw, near=False)
    member = _pop_next_member(targets.near_ids, table)
    if member is None:
        targets.near_ids = _list_shuffled_targets(table, draw, near=True)
        member = _pop_next_member(targets.near_ids, table)
    return member


def update_suspected_zones(targets: ProbeTargets, table: MemberTable, now_s: float) -> None:
    """Suspect other zones with new reports of suspect or dead members, and end old suspicions."""
    own_zone = table.identity.availability_zone
    for member in table.members_with_news.values():
        is_bad = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        if is_bad and member.availability_zone != own_zone:
            targets.suspected_until_s[member.availability_zone] = now_s + ZONE_SUSPICION_S
    for zone, until_s in list(targets.suspected_until_s.items()):
        if now_s >= until_s:
            del targets.suspected_until_s[zone]


def shuffle(names: list[str], draw: Draw) -> None:
    """Shuffle names in place."""
    for index in range(len(names) - 1, 0, -1):
        other = int(draw() * (index + 1))
        names[index], names[other] = names[other], names[index]


def _list_suspected_zone_members(targets: ProbeTargets, table: MemberTable) -> list[Member]:
    """Return the members of suspected zones that are still considered alive."""
    return [
        member
        for member in table.members.values()
        if member.availability_zone in targets.suspected_until_s
        and member.state is MemberState.ALIVE
    ]


def _draw_member(members: list[Member], draw: Draw) -> Member | None:
    return members[int(draw() * len(members))] if members else None


def _pop_next_member(names: list[str], table: MemberTable) -> Member | None:
    while names:
        member = table.members.get(names.pop())
        if member is not None and can_probe(member):
            return member
    return None


def _list_shuffled_targets(table: MemberTable, draw: Draw, near: bool) -> list[str]:
    """Return the members of the own zone, or those of other zones, in random order.

    Where the own zone has too few routers, all members count as near.
    """
    zone = table.identity.availability_zone
    alive = [member for member in table.members.values() if can_probe(member)]
    own = [member.router_id for member in alive if member.availability_zone == zone]
    others = [member.router_id for member in alive if member.availability_zone != zone]
    if len(own) < MIN_NEAR_ROUTERS:
        own, others = own + others, []
    names = own if near else others
    shuffle(names, draw)
    return names
