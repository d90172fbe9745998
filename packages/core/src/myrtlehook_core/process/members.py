"""The member table: what this router believes of the others."""

import math
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from myrtlehook_core.process.membership_messages import MemberRow

NEWS_ROWS = 16
"""Most member rows that ride on one probe."""

NEWS_FACTOR = 3
"""Each piece of news rides on this many times log2(fleet) probes."""


class MemberState(IntEnum):
    """Order of precedence within one incarnation: a later state overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEAVING = 3
    """Draining: still an entry, but owns nothing; never reverts in its incarnation."""


class StateCause(StrEnum):
    """What a changed belief in a member rests on."""

    TOLD = "told"
    """News of it, from itself or from another router."""
    UNANSWERED = "unanswered"
    """It answered neither this router's probe nor those of others for this router."""
    UNREFUTED = "unrefuted"
    """It was suspected, and nothing said otherwise in time."""
    LISTED = "listed"
    """The platform's VM list says so."""


@dataclass(frozen=True, slots=True)
class MemberChange:
    """One changed belief in a member."""

    router_id: str
    before: MemberState
    state: MemberState
    cause: StateCause
    held_s: float
    """How long the earlier belief had lasted."""
    incarnation: int


@dataclass(frozen=True, slots=True)
class RouterIdentity:
    """Who this router is."""

    router_id: str
    address: str
    incarnation: int
    """Greater than that of any earlier process of this router."""
    availability_zone: str = ""


@dataclass(slots=True)
class Member:
    """One other router."""

    router_id: str
    address: str
    incarnation: int
    state: MemberState
    suspect_deadline_s: float = math.inf
    changed_at_s: float = 0.0
    listed: bool = False
    """The platform's VM list names it."""
    news_left: int = 0
    silent: bool = False
    """Never heard of but through the VM list."""
    gone: bool = False
    """Was leaving and answers no more: nothing is sent to it until it is news again."""
    availability_zone: str = ""


@dataclass(slots=True)
class MemberTable:
    """All members, with a version that moves whenever ownership may move."""

    identity: RouterIdentity
    incarnation: int
    members: dict[str, Member] = field(default_factory=dict)
    fresh: dict[str, Member] = field(default_factory=dict)
    """Members that are news; kept so that a probe need not search the whole table."""
    suspects: dict[str, Member] = field(default_factory=dict)
    changes: list[MemberChange] = field(default_factory=list)
    """Changed beliefs that the core has not told yet."""
    draining: bool = False
    version: int = 0
    cached_eligible: tuple[int, tuple[str, ...]] = (-1, ())


def eligible_routers(table: MemberTable) -> tuple[str, ...]:
    """Return the routers that may own backend servers and ledgers, in name order."""
    if table.cached_eligible[0] == table.version:
        return table.cached_eligible[1]
    alive = [
        member.router_id
        for member in table.members.values()
        if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    ]
    if not table.draining or not alive:
        alive.append(table.identity.router_id)
    eligible = tuple(sorted(alive))
    table.cached_eligible = (table.version, eligible)
    return eligible


def list_zones(table: MemberTable) -> dict[str, tuple[str, ...]]:
    """Return the routers that may own backend servers, by availability zone, in name order."""
    zones: dict[str, list[str]] = {}
    for router_id in eligible_routers(table):
        zones.setdefault(find_zone(table, router_id), []).append(router_id)
    return {zone: tuple(names) for zone, names in zones.items()}


def find_zone(table: MemberTable, router_id: str) -> str:
    """Return where a router stands; empty when that is not known."""
    if router_id == table.identity.router_id:
        return table.identity.availability_zone
    member = table.members.get(router_id)
    return "" if member is None else member.availability_zone


def find_state(table: MemberTable, router_id: str) -> MemberState | None:
    """Return what is believed of another router; None when it is not known."""
    member = table.members.get(router_id)
    return None if member is None else member.state


def is_reachable(table: MemberTable, router_id: str) -> bool:
    """Tell whether messages to a router are worth sending."""
    if router_id == table.identity.router_id:
        return True
    member = table.members.get(router_id)
    return member is not None and can_probe(member)


def can_probe(member: Member) -> bool:
    """Tell whether a member may still answer."""
    return member.state is not MemberState.DEAD and not member.gone


def forget_member(table: MemberTable, router_id: str) -> None:
    """Drop a member that is gone for good."""
    table.members.pop(router_id, None)
    table.fresh.pop(router_id, None)
    table.suspects.pop(router_id, None)


def own_row(table: MemberTable) -> MemberRow:
    """Return this router's news of itself."""
    state = MemberState.LEAVING if table.draining else MemberState.ALIVE
    identity = table.identity
    return _make_row(
        identity.router_id, identity.address, table.incarnation, state, identity.availability_zone
    )


def member_row(member: Member) -> MemberRow:
    """Return the news of one member."""
    return _make_row(
        member.router_id,
        member.address,
        member.incarnation,
        member.state,
        member.availability_zone,
    )


def add_candidate(table: MemberTable, router_id: str, address: str, now_s: float) -> None:
    """Note a router that the VM list or the settings name; it is probed before it counts."""
    if router_id == table.identity.router_id or router_id in table.members:
        return
    table.members[router_id] = Member(
        router_id, address, 0, MemberState.DEAD, changed_at_s=now_s, listed=True, silent=True
    )


def take_row(table: MemberTable, row: MemberRow, now_s: float, suspicion_s: float) -> None:
    """Take one row of news into the table.

    A row of this router that says anything but alive is refuted with a greater
    incarnation.
    """
    if row.router_id == table.identity.router_id:
        _refute(table, row)
        return
    try:
        state = MemberState(row.state)
    except ValueError:
        return
    member = table.members.get(row.router_id)
    address = row.address or row.router_id
    if member is None:
        member = Member(row.router_id, address, -1, MemberState.DEAD, changed_at_s=now_s)
        table.members[row.router_id] = member
    if (row.incarnation, state) <= (member.incarnation, member.state) and member.incarnation >= 0:
        return
    member.incarnation = row.incarnation
    member.address = address
    member.availability_zone = row.availability_zone
    member.silent = False
    member.gone = False
    change_state(table, member, state, StateCause.TOLD, now_s, suspicion_s)


def change_state(
    table: MemberTable,
    member: Member,
    state: MemberState,
    cause: StateCause,
    now_s: float,
    suspicion_s: float,
) -> None:
    """Set a member's state and queue the news of it."""
    if state is not member.state:
        held_s = now_s - member.changed_at_s
        change = MemberChange(
            member.router_id, member.state, state, cause, held_s, member.incarnation
        )
        table.changes.append(change)
    member.state = state
    member.changed_at_s = now_s
    member.suspect_deadline_s = math.inf
    table.suspects.pop(member.router_id, None)
    if state is MemberState.SUSPECT:
        member.suspect_deadline_s = now_s + suspicion_s
        table.suspects[member.router_id] = member
    member.news_left = count_news(table)
    table.fresh[member.router_id] = member
    table.version += 1


def collect_member_news(table: MemberTable, about: str) -> tuple[MemberRow, ...]:
    """Pick the rows for one probe: own row, the receiver's if it must refute, fresh news."""
    rows = [own_row(table)]
    receiver = table.members.get(about)
    if receiver is not None and receiver.state in (MemberState.SUSPECT, MemberState.DEAD):
        rows.append(member_row(receiver))
    fresh = sorted(table.fresh.values(), key=lambda member: -member.news_left)
    for member in fresh[:NEWS_ROWS]:
        member.news_left -= 1
        rows.append(member_row(member))
        if member.news_left <= 0:
            del table.fresh[member.router_id]
    return tuple(rows)


def _make_row(
    router_id: str, address: str, incarnation: int, state: MemberState, zone: str
) -> MemberRow:
    told_address = "" if address == router_id else address
    return MemberRow(router_id, told_address, incarnation, int(state), zone)


def _refute(table: MemberTable, row: MemberRow) -> None:
    mine = own_row(table)
    if (row.incarnation, row.state) > (mine.incarnation, mine.state):
        table.incarnation = row.incarnation + 1


def count_news(table: MemberTable) -> int:
    """Return on how many probes a piece of news rides, so that all are likely to hear it."""
    return NEWS_FACTOR * math.ceil(math.log2(len(table.members) + 2))
