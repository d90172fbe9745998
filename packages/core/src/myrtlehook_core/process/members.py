"""The member table: the known state of every other router."""

import math
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from myrtlehook_core.process.hashing import EQUAL_CAPACITIES, Capacities
from myrtlehook_core.process.membership_messages import MemberRow

MAX_NEWS_ROWS = 16
"""The greatest number of rows of fresh member news that one message carries."""

NEWS_SENDS_FACTOR = 3
"""Each member's news is sent on this factor times log2(fleet size) messages."""


class MemberState(IntEnum):
    """States of a member; within one incarnation a greater value overrides a lesser one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEAVING = 3
    """Draining: still an ingress router, but owns nothing. Final for this incarnation."""


class StateCause(StrEnum):
    """Why a member's state changed."""

    TOLD = "told"
    """The member itself or another router reported the new state."""
    UNANSWERED = "unanswered"
    """It answered neither this router's probe nor the indirect probes through helpers."""
    UNREFUTED = "unrefuted"
    """It was a suspect, and no refutation arrived before the suspicion timed out."""
    LISTED = "listed"
    """The platform's VM list reports the new state."""


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of one member's state."""

    router_id: str
    previous_state: MemberState
    state: MemberState
    cause: StateCause
    previous_state_age_s: float
    """How long the member had been in the earlier state."""
    incarnation: int


@dataclass(frozen=True, slots=True)
class RouterIdentity:
    """The id, address and incarnation under which this router joins the fleet."""

    router_id: str
    address: str
    incarnation: int
    """Greater than that of any earlier process of this router."""
    availability_zone: str = ""
    capacity: int = 0
    """Processor time of its VM in quarters of a core; 0 if not known."""


@dataclass(slots=True)
class Member:
    """One other router, as this router knows it."""

    router_id: str
    address: str
    incarnation: int
    state: MemberState
    suspect_deadline_s: float = math.inf
    changed_at_s: float = 0.0
    listed: bool = False
    """The platform's VM list names it."""
    news_sends_left: int = 0
    unconfirmed: bool = False
    """Known only from the VM list or the settings; no router has reported it yet."""
    has_left: bool = False
    """It was leaving and no longer answers; it receives nothing until newer news of it arrives."""
    availability_zone: str = ""
    capacity: int = 0
    """Processor time of its VM in quarters of a core; 0 if not known."""
    process_incarnation: int = 0
    """Incarnation with which its present process started, by its messages; 0 before the first."""


@dataclass(slots=True)
class MemberTable:
    """All other members, with a version that increases whenever ownership may change."""

    identity: RouterIdentity
    incarnation: int
    members: dict[str, Member] = field(default_factory=dict)
    members_with_news: dict[str, Member] = field(default_factory=dict)
    """Members whose news is still to be sent, so that a probe need not search the whole table."""
    suspects: dict[str, Member] = field(default_factory=dict)
    unreported_changes: list[MemberChange] = field(default_factory=list)
    """State changes that the core has not reported as actions yet."""
    draining: bool = False
    version: int = 0
    cached_eligible: tuple[int, tuple[str, ...]] = (-1, ())
    cached_capacities: tuple[int, Capacities] = (-1, EQUAL_CAPACITIES)


def list_eligible_routers(table: MemberTable) -> tuple[str, ...]:
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


def collect_capacities(table: MemberTable) -> Capacities:
    """Return the capacity of each router that may own something; nothing if one is not known."""
    if table.cached_capacities[0] != table.version:
        known = {router: _find_capacity(table, router) for router in list_eligible_routers(table)}
        capacities = known if all(known.values()) else EQUAL_CAPACITIES
        table.cached_capacities = (table.version, capacities)
    return table.cached_capacities[1]


def _find_capacity(table: MemberTable, router_id: str) -> int:
    if router_id == table.identity.router_id:
        return table.identity.capacity
    return table.members[router_id].capacity


def group_routers_by_zone(table: MemberTable) -> dict[str, tuple[str, ...]]:
    """Return the routers that may own backend servers, by availability zone, in name order."""
    zones: dict[str, list[str]] = {}
    for router_id in list_eligible_routers(table):
        zones.setdefault(find_zone(table, router_id), []).append(router_id)
    return {zone: tuple(names) for zone, names in zones.items()}


def find_zone(table: MemberTable, router_id: str) -> str:
    """Return a router's availability zone, or an empty string when it is not known."""
    if router_id == table.identity.router_id:
        return table.identity.availability_zone
    member = table.members.get(router_id)
    return "" if member is None else member.availability_zone


def find_state(table: MemberTable, router_id: str) -> MemberState | None:
    """Return the state of another router, or None when the router is not known."""
    member = table.members.get(router_id)
    return None if member is None else member.state


def is_reachable(table: MemberTable, router_id: str) -> bool:
    """Return whether a router may receive messages: itself, or a member that may answer."""
    if router_id == table.identity.router_id:
        return True
    member = table.members.get(router_id)
    return member is not None and can_probe(member)


def can_probe(member: Member) -> bool:
    """Return whether a member may still answer."""
    return member.state is not MemberState.DEAD and not member.has_left


def forget_member(table: MemberTable, router_id: str) -> None:
    """Remove a member from the table."""
    table.members.pop(router_id, None)
    table.members_with_news.pop(router_id, None)
    table.suspects.pop(router_id, None)


def make_own_row(table: MemberTable) -> MemberRow:
    """Return this router's row about itself."""
    state = MemberState.LEAVING if table.draining else MemberState.ALIVE
    identity = table.identity
    return MemberRow(
        identity.router_id,
        _shorten_address(identity.router_id, identity.address),
        table.incarnation,
        int(state),
        identity.availability_zone,
        identity.capacity,
    )


def make_member_row(member: Member) -> MemberRow:
    """Return the row about one member."""
    return MemberRow(
        member.router_id,
        _shorten_address(member.router_id, member.address),
        member.incarnation,
        int(member.state),
        member.availability_zone,
        member.capacity,
    )


def add_candidate(table: MemberTable, router_id: str, address: str, now_s: float) -> None:
    """Add a router that the VM list or the settings name; it is dead until reported alive."""
    if router_id == table.identity.router_id or router_id in table.members:
        return
    table.members[router_id] = Member(
        router_id, address, 0, MemberState.DEAD, changed_at_s=now_s, listed=True, unconfirmed=True
    )


def apply_member_row(table: MemberTable, row: MemberRow, now_s: float, suspicion_s: float) -> None:
    """Apply a received member row to the table, unless it is no newer than the known state.

    A row about this router that overrides its own state is refuted by an incarnation
    greater than that of the row.
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
    _apply_capacity(table, member, row)
    if (row.incarnation, state) <= (member.incarnation, member.state) and member.incarnation >= 0:
        return
    member.incarnation = row.incarnation
    member.address = address
    member.availability_zone = row.availability_zone
    member.unconfirmed = False
    member.has_left = False
    change_state(table, member, state, StateCause.TOLD, now_s, suspicion_s)


def _apply_capacity(table: MemberTable, member: Member, row: MemberRow) -> None:
    """Apply the capacity of a received row, which a router that does not know it leaves out.

    One that is known stays until a newer incarnation, so that all routers end with the same.
    """
    if row.incarnation < member.incarnation:
        return
    if row.incarnation == member.incarnation and member.capacity:
        return
    capacity = max(row.capacity, 0)
    if capacity != member.capacity:
        member.capacity = capacity
        table.version += 1


def change_state(
    table: MemberTable,
    member: Member,
    state: MemberState,
    cause: StateCause,
    now_s: float,
    suspicion_s: float,
) -> None:
    """Set a member's state, and queue the change to be sent with later messages."""
    if state is not member.state:
        previous_state_age_s = now_s - member.changed_at_s
        change = MemberChange(
            member.router_id, member.state, state, cause, previous_state_age_s, member.incarnation
        )
        table.unreported_changes.append(change)
    member.state = state
    member.changed_at_s = now_s
    member.suspect_deadline_s = math.inf
    table.suspects.pop(member.router_id, None)
    if state is MemberState.SUSPECT:
        member.suspect_deadline_s = now_s + suspicion_s
        table.suspects[member.router_id] = member
    member.news_sends_left = compute_news_sends(table)
    table.members_with_news[member.router_id] = member
    table.version += 1


def collect_member_news(table: MemberTable, receiver_id: str) -> tuple[MemberRow, ...]:
    """Return the rows for one message, and count them as sent.

    These are this router's own row, the receiver's row if it is considered suspect or dead, so
    that it can refute that, and the freshest news.
    """
    rows = [make_own_row(table)]
    receiver = table.members.get(receiver_id)
    if receiver is not None and receiver.state in (MemberState.SUSPECT, MemberState.DEAD):
        rows.append(make_member_row(receiver))
    fresh = sorted(table.members_with_news.values(), key=lambda member: -member.news_sends_left)
    for member in fresh[:MAX_NEWS_ROWS]:
        member.news_sends_left -= 1
        rows.append(make_member_row(member))
        if member.news_sends_left <= 0:
            del table.members_with_news[member.router_id]
    return tuple(rows)


def _shorten_address(router_id: str, address: str) -> str:
    return "" if address == router_id else address


def _refute(table: MemberTable, row: MemberRow) -> None:
    own_row = make_own_row(table)
    if (row.incarnation, row.state) > (own_row.incarnation, own_row.state):
        table.incarnation = row.incarnation + 1


def compute_news_sends(table: MemberTable) -> int:
    """Return on how many messages a change is sent, so that it is likely to reach all routers."""
    return NEWS_SENDS_FACTOR * math.ceil(math.log2(len(table.members) + 2))
