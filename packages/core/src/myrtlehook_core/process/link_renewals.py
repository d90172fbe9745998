"""Connections to other routers that may have gone silent, and when they are opened anew.

A connection can go silent for good, without a reset, while new ones work. An unanswered probe
does not tell which of the two directions is silent, so both routers open theirs anew.
"""

import math
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import ActionList, RenewLink
from myrtlehook_core.process.members import Member, MemberState, MemberTable

MISSES_BEFORE_RENEWAL = 2
"""After this many consecutive direct probes without an answer, the connection to a member is
reopened, even while indirect probes show that it is alive. A connection that went silent without
a reset would otherwise stay so for as long as the operating system retransmits, many minutes, and
the indirect probes would hide it. A single late answer is common where a router is busy, and
reopening a connection loses the messages queued on the old one."""

SILENT_MEMBERS = 3
"""When this many members that are not considered dead have missed direct probes within
``SILENCE_WINDOW_S``, and no more have answered, this router's own connections are in doubt, and all
of them are reopened: probes go to one member at a time, so that they would find the other silent
ones too late. Where a few members have ended, most others answer."""

SILENCE_WINDOW_S = 1.0

SHORTEST_INTERVAL_S = 3.0
"""All connections are reopened at most this often, since members may be dead or slow instead. The
interval doubles each time that the doubt soon returns."""

LONGEST_INTERVAL_S = 24.0

RENEWALS_PER_TICK = 16
"""Of all connections, at most this many are reopened in one turn, since each takes a part of a
millisecond."""

RENEWAL_INTERVAL_S = 1.0
"""A connection that was reopened more recently counts as sound when its member is a suspect, or
considers this router one."""


@dataclass(slots=True)
class LinkRenewals:
    """What a router knows of the silence of its connections."""

    consecutive_misses: dict[str, int] = field(default_factory=dict)
    """By member, the number of consecutive direct probes that it did not answer itself."""
    missed_at_s: dict[str, float] = field(default_factory=dict)
    """By member that was not considered dead, when it last missed a direct probe."""
    answered_at_s: dict[str, float] = field(default_factory=dict)
    """By member, when it last answered a direct probe itself."""
    renewed_at_s: dict[str, float] = field(default_factory=dict)
    """By member, when the connection to it was last reopened."""
    waiting: list[str] = field(default_factory=list)
    """Members whose connections are still to be reopened, when all are."""
    all_renewed_at_s: float = -math.inf
    interval_s: float = SHORTEST_INTERVAL_S
    """From ``all_renewed_at_s`` until all connections may be reopened again."""


def record_answer(renewals: LinkRenewals, router_id: str, now_s: float) -> None:
    """Record that a member has answered a probe itself."""
    renewals.answered_at_s[router_id] = now_s
    renewals.consecutive_misses.pop(router_id, None)
    missed_at_s = renewals.missed_at_s.get(router_id, -math.inf)
    if renewals.renewed_at_s.get(router_id, -math.inf) < missed_at_s:
        # It was slow: an answer on the same connection shows that this one is not silent.
        renewals.missed_at_s.pop(router_id, None)


def record_miss(
    renewals: LinkRenewals, table: MemberTable, actions: ActionList, member: Member, now_s: float
) -> None:
    """Record a direct probe that was not answered in time, and reopen silent connections."""
    missed = renewals.consecutive_misses.get(member.router_id, 0) + 1
    renewals.consecutive_misses[member.router_id] = missed
    if missed >= MISSES_BEFORE_RENEWAL:
        _renew(renewals, actions, member, now_s)
    if member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
        return
    renewals.missed_at_s[member.router_id] = now_s
    age_s = now_s - renewals.all_renewed_at_s
    if age_s < renewals.interval_s or not _are_many_silent(renewals, now_s):
        return
    soon = age_s < 2.0 * renewals.interval_s
    interval_s = 2.0 * renewals.interval_s if soon else SHORTEST_INTERVAL_S
    renewals.interval_s = min(interval_s, LONGEST_INTERVAL_S)
    renewals.all_renewed_at_s = now_s
    renewals.waiting = [one.router_id for one in table.members.values() if not one.has_left]


def renew_doubtful_link(
    renewals: LinkRenewals, actions: ActionList, member: Member, now_s: float
) -> None:
    """Reopen the connection to a member, unless that was done a short time ago."""
    if now_s - renewals.renewed_at_s.get(member.router_id, -math.inf) >= RENEWAL_INTERVAL_S:
        _renew(renewals, actions, member, now_s)


def tick_renewals(
    renewals: LinkRenewals, table: MemberTable, actions: ActionList, now_s: float
) -> None:
    """Go on reopening all connections."""
    due = renewals.waiting[:RENEWALS_PER_TICK]
    del renewals.waiting[:RENEWALS_PER_TICK]
    for router_id in due:
        member = table.members.get(router_id)
        if member is not None:
            renew_doubtful_link(renewals, actions, member, now_s)


def forget_misses(renewals: LinkRenewals) -> None:
    """Forget all unanswered probes: this router was paused and may have missed the answers."""
    renewals.consecutive_misses.clear()
    renewals.missed_at_s.clear()
    renewals.answered_at_s.clear()
    renewals.waiting.clear()


def forget_link(renewals: LinkRenewals, router_id: str) -> None:
    """Forget a member that was removed from the table."""
    renewals.consecutive_misses.pop(router_id, None)
    renewals.missed_at_s.pop(router_id, None)
    renewals.answered_at_s.pop(router_id, None)
    renewals.renewed_at_s.pop(router_id, None)


def _renew(renewals: LinkRenewals, actions: ActionList, member: Member, now_s: float) -> None:
    renewals.consecutive_misses.pop(member.router_id, None)
    renewals.renewed_at_s[member.router_id] = now_s
    actions.add(RenewLink(member.router_id, member.address))


def _are_many_silent(renewals: LinkRenewals, now_s: float) -> bool:
    _forget_before(renewals.missed_at_s, now_s - SILENCE_WINDOW_S)
    _forget_before(renewals.answered_at_s, now_s - SILENCE_WINDOW_S)
    missed = len(renewals.missed_at_s)
    return missed >= SILENT_MEMBERS and missed >= len(renewals.answered_at_s)


def _forget_before(seen_at_s: dict[str, float], since_s: float) -> None:
    for router_id, at_s in list(seen_at_s.items()):
        if at_s < since_s:
            del seen_at_s[router_id]
