"""Failure detection by probes whose cost does not grow with the fleet (after SWIM)."""

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import ActionList, RenewLink, Send, ServerLeavingReported
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.leaving_servers import (
    LeavingServers,
    collect_rows,
    list_rows,
    note_leaving,
)
from myrtlehook_core.process.members import (
    Member,
    MemberState,
    MemberTable,
    StateCause,
    can_probe,
    change_state,
    collect_member_news,
    count_news,
    forget_member,
    member_row,
    own_row,
    take_row,
)
from myrtlehook_core.process.membership_messages import (
    Ack,
    Announcement,
    IndirectProbe,
    LeavingRow,
    MemberRow,
    MembersQuery,
    MembersReply,
    News,
    Probe,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.probe_targets import (
    ProbeTargets,
    next_target,
    note_doubts,
    shuffle,
)
from myrtlehook_core.process.quarantine_messages import QuarantineRow
from myrtlehook_core.process.source_messages import ReaderRow
from myrtlehook_core.version.configurations import ConfigurationVersion
from myrtlehook_core.version.source_orders import SourceOrder

FAR_ANNOUNCED = 3
"""Members of each other zone that hear of news at once: one may be gone, another slow."""

MISSES_RENEWED = 2
"""After so many direct probes in a row without an answer, the connection to a member is opened
anew, also while others vouch for it. One that went silent without a reset would stay so for
as long as the system retransmits, many minutes, while helpers hide it. One late answer is
common where a router is busy, and a renewed connection loses what waits on the old one."""

JOIN_QUERIES = 3
"""How many candidates a starting router asks for the member table at once."""

FORGET_DEAD_S = 3600.0
"""A dead member that the VM list does not name is forgotten after this long."""

FORGET_INTERVAL_S = 10.0


@dataclass(slots=True)
class PendingProbe:
    """A probe that waits for its acknowledgement."""

    target: str
    deadline_s: float
    indirect: bool = False
    requester: str = ""
    """The router for which this one probes, or empty."""
    requester_probe_id: int = 0


@dataclass(slots=True)
class Prober:
    """The state of failure detection."""

    pending: dict[int, PendingProbe] = field(default_factory=dict)
    targets: ProbeTargets = field(default_factory=ProbeTargets)
    missed: dict[str, int] = field(default_factory=dict)
    """By member, direct probes in a row that it did not answer itself."""
    last_probe_id: int = 0
    next_probe_s: float = 0.0
    next_join_s: float = 0.0
    next_forget_s: float = 0.0


@dataclass(slots=True)
class ProbeContext:
    """What the probing functions need besides their own state."""

    table: MemberTable
    leaving: LeavingServers
    options: CoreOptions
    draw: Draw
    version: ConfigurationVersion
    servers_order: SourceOrder
    readers: Callable[[], tuple[ReaderRow, ...]]
    """Returns the routers that read the source."""
    quarantine: Callable[[], tuple[QuarantineRow, ...]]
    """Returns the requests that are refused because servers ended under them."""
    out: ActionList


def tick_prober(prober: Prober, context: ProbeContext, now_s: float) -> None:
    """Send what is due, and judge the probes that went unanswered."""
    _judge_pending(prober, context, now_s)
    _expire_suspects(context, now_s)
    _forget_gone(prober, context, now_s)
    if now_s < prober.next_probe_s:
        return
    # A quarter of jitter keeps routers that started together from probing in step.
    interval_s = context.options.probe_interval_s * (0.875 + 0.25 * context.draw())
    note_doubts(prober.targets, context.table, now_s)
    if prober.targets.doubted_until_s:
        # One more probe in between, so that the own zone is probed as often as before.
        interval_s /= 2.0
    prober.next_probe_s = now_s + interval_s
    _ask_to_join(prober, context, now_s)
    target = next_target(prober.targets, context.table, context.draw)
    if target is not None:
        _send_probe(prober, context, target, now_s + context.options.probe_timeout_s)


def take_probe(context: ProbeContext, sender: str, probe: Probe, now_s: float) -> None:
    """Acknowledge a probe and take its news."""
    take_news(context, sender, probe.news, now_s)
    _send(
        context,
        sender,
        Ack(probe.probe_id, context.table.identity.router_id, _news_for(context, sender)),
    )


def take_ack(prober: Prober, context: ProbeContext, sender: str, ack: Ack, now_s: float) -> None:
    """Take an acknowledgement: its target is alive."""
    take_news(context, sender, ack.news, now_s)
    if sender == ack.target:
        prober.missed.pop(sender, None)
    pending = prober.pending.pop(ack.probe_id, None)
    if pending is None or pending.target != ack.target:
        return
    if pending.requester:
        answer = Ack(pending.requester_probe_id, ack.target, _news_for(context, pending.requester))
        _send(context, pending.requester, answer)


def take_indirect_probe(
    prober: Prober, context: ProbeContext, sender: str, message: IndirectProbe, now_s: float
) -> None:
    """Probe a router for another that gets no answer from it."""
    target = context.table.members.get(message.target)
    if target is None:
        return
    deadline_s = now_s + context.options.indirect_timeout_s
    probe_id = _send_probe(prober, context, target, deadline_s)
    pending = prober.pending[probe_id]
    pending.requester = sender
    pending.requester_probe_id = message.probe_id


def take_members_query(
    context: ProbeContext, sender: str, query: MembersQuery, now_s: float
) -> None:
    """Give a starting router the whole member table."""
    take_row(context.table, query.sender_row, now_s, context.options.suspicion_s)
    rows = [own_row(context.table)]
    rows += [member_row(member) for member in context.table.members.values() if not member.silent]
    news = _make_news(context, tuple(rows), list_rows(context.leaving))
    _send(context, sender, MembersReply(news))


def take_news(context: ProbeContext, sender: str, news: News, now_s: float) -> None:
    """Take the members and leaving servers that rode on a message."""
    for row in news.members:
        take_row(context.table, row, now_s, context.options.suspicion_s)
    for leaving in news.leaving:
        if note_leaving(context.leaving, leaving, count_news(context.table)):
            context.out.add(ServerLeavingReported(leaving.backend_server, sender))


def announce(context: ProbeContext) -> None:
    """Tell what is new at this router at once: all of its own zone, and a few of each other.

    Those of other zones tell their own zone in turn once they have learned what is new.
    """
    announce_near(context)
    far: dict[str, list[str]] = {}
    own_zone = context.table.identity.availability_zone
    for member in context.table.members.values():
        if can_probe(member) and member.availability_zone != own_zone:
            far.setdefault(member.availability_zone, []).append(member.router_id)
    for names in far.values():
        shuffle(names, context.draw)
        for router_id in names[:FAR_ANNOUNCED]:
            _send(context, router_id, Announcement(_news_for(context, router_id)))


def announce_near(context: ProbeContext) -> None:
    """Tell every reachable member of the own zone what is new at this router."""
    own_zone = context.table.identity.availability_zone
    for member in context.table.members.values():
        if can_probe(member) and member.availability_zone == own_zone:
            _send(context, member.router_id, Announcement(_news_for(context, member.router_id)))


def _ask_to_join(prober: Prober, context: ProbeContext, now_s: float) -> None:
    members = context.table.members.values()
    if now_s < prober.next_join_s or not all(member.silent for member in members):
        return
    silent = list(members)
    prober.next_join_s = now_s + 3 * context.options.probe_interval_s
    for _ in range(min(JOIN_QUERIES, len(silent))):
        member = silent.pop(int(context.draw() * len(silent)))
        _send(context, member.router_id, MembersQuery(own_row(context.table)))


def _send_probe(prober: Prober, context: ProbeContext, target: Member, deadline_s: float) -> int:
    prober.last_probe_id += 1
    probe_id = prober.last_probe_id
    prober.pending[probe_id] = PendingProbe(target.router_id, deadline_s)
    _send(context, target.router_id, Probe(probe_id, _news_for(context, target.router_id)))
    return probe_id


def _judge_pending(prober: Prober, context: ProbeContext, now_s: float) -> None:
    late = [key for key, pending in prober.pending.items() if now_s >= pending.deadline_s]
    for probe_id in late:
        pending = prober.pending.pop(probe_id)
        member = context.table.members.get(pending.target)
        if member is None or pending.requester:
            continue
        if not pending.indirect:
            _note_miss(prober, context, member)
        if member.state is MemberState.LEAVING:
            member.gone = True
        if member.state is not MemberState.ALIVE:
            continue
        helpers = _pick_helpers(context, pending.target)
        if pending.indirect or not helpers:
            options = context.options
            change_state(
                context.table,
                member,
                MemberState.SUSPECT,
                StateCause.UNANSWERED,
                now_s,
                options.suspicion_s,
            )
            continue
        pending.indirect = True
        pending.deadline_s = now_s + context.options.indirect_timeout_s
        prober.pending[probe_id] = pending
        for helper in helpers:
            _send(context, helper, IndirectProbe(probe_id, pending.target))


def _note_miss(prober: Prober, context: ProbeContext, member: Member) -> None:
    """Count a direct probe that its target did not answer in time."""
    missed = prober.missed.get(member.router_id, 0) + 1
    prober.missed[member.router_id] = missed
    if missed >= MISSES_RENEWED:
        del prober.missed[member.router_id]
        context.out.add(RenewLink(member.router_id, member.address))


def _pick_helpers(context: ProbeContext, target: str) -> list[str]:
    others = [
        member.router_id
        for member in context.table.members.values()
        if member.state is MemberState.ALIVE and member.router_id != target
    ]
    shuffle(others, context.draw)
    return others[: context.options.indirect_helpers]


def _expire_suspects(context: ProbeContext, now_s: float) -> None:
    table = context.table
    for member in list(table.suspects.values()):
        if now_s >= member.suspect_deadline_s:
            change_state(
                table,
                member,
                MemberState.DEAD,
                StateCause.UNREFUTED,
                now_s,
                context.options.suspicion_s,
            )


def _forget_gone(prober: Prober, context: ProbeContext, now_s: float) -> None:
    if now_s < prober.next_forget_s:
        return
    prober.next_forget_s = now_s + FORGET_INTERVAL_S
    for member in list(context.table.members.values()):
        gone = member.state in (MemberState.DEAD, MemberState.LEAVING) and not member.listed
        if gone and now_s - member.changed_at_s > FORGET_DEAD_S:
            forget_member(context.table, member.router_id)
            prober.missed.pop(member.router_id, None)


def _news_for(context: ProbeContext, receiver: str) -> News:
    members = collect_member_news(context.table, receiver)
    return _make_news(context, members, collect_rows(context.leaving))


def _make_news(
    context: ProbeContext, members: tuple[MemberRow, ...], leaving: tuple[LeavingRow, ...]
) -> News:
    return News(
        members=members,
        leaving=leaving,
        configuration_number=context.version.number,
        configuration_digest=context.version.digest,
        servers_order=context.servers_order,
        readers=context.readers(),
        quarantine=context.quarantine(),
    )


def _send(context: ProbeContext, router_id: str, message: object) -> None:
    member = context.table.members.get(router_id)
    if member is not None:
        context.out.add(Send(router_id, member.address, message))  # type: ignore[arg-type]
