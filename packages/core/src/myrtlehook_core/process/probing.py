"""Failure detection after SWIM: the number of probes per router does not grow with the fleet."""

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import ActionList, RenewLink, Send, ServerLeavingReported
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.leaving_servers import (
    LeavingServers,
    collect_leaving_rows,
    list_leaving_rows,
    record_leaving,
)
from myrtlehook_core.process.members import (
    Member,
    MemberState,
    MemberTable,
    StateCause,
    apply_member_row,
    can_probe,
    change_state,
    collect_member_news,
    compute_news_sends,
    forget_member,
    make_member_row,
    make_own_row,
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
    choose_next_target,
    shuffle,
    update_suspected_zones,
)
from myrtlehook_core.process.quarantine_messages import QuarantineRow
from myrtlehook_core.process.source_messages import HeldOffRow, ReaderRow, SourceProof
from myrtlehook_core.version.configurations import ConfigurationVersion
from myrtlehook_core.version.source_orders import SourceOrder

ANNOUNCED_PER_FAR_ZONE = 3
"""The number of members in each other zone that receive an announcement directly. With fewer, a
failed and a slow one could keep it from the zone."""

MISSES_BEFORE_RECONNECT = 2
"""After this many consecutive direct probes without an answer, the connection to a member is
reopened, even while indirect probes show that it is alive. A connection that went silent without
a reset would otherwise stay so for as long as the operating system retransmits, many minutes, and
the indirect probes would hide it. A single late answer is common where a router is busy, and
reopening a connection loses the messages queued on the old one."""

JOIN_QUERIES = 3
"""The number of candidates that a starting router asks for the member table at once."""

FORGET_GONE_AFTER_S = 3600.0
"""A dead or leaving member that the VM list does not name is removed after this long."""

FORGET_INTERVAL_S = 10.0


@dataclass(slots=True)
class PendingProbe:
    """A probe that has not been acknowledged yet."""

    target: str
    deadline_s: float
    indirect: bool = False
    requester: str = ""
    """The router that asked for this indirect probe, or empty."""
    requester_probe_id: int = 0


@dataclass(slots=True)
class Prober:
    """The state of the failure detector, except for the member table."""

    pending: dict[int, PendingProbe] = field(default_factory=dict)
    targets: ProbeTargets = field(default_factory=ProbeTargets)
    consecutive_misses: dict[str, int] = field(default_factory=dict)
    """By member, the number of consecutive direct probes that it did not answer itself."""
    last_probe_id: int = 0
    next_probe_s: float = 0.0
    next_join_s: float = 0.0
    next_forget_s: float = 0.0


@dataclass(slots=True)
class ProbeContext:
    """Dependencies of the failure detector besides its own state."""

    table: MemberTable
    leaving: LeavingServers
    options: CoreOptions
    draw: Draw
    version: ConfigurationVersion
    servers_order: SourceOrder
    collect_reader_rows: Callable[[], tuple[ReaderRow, ...]]
    """Returns the routers that read the configuration source."""
    collect_quarantine_rows: Callable[[], tuple[QuarantineRow, ...]]
    """Returns the quarantine rows to send with the next message."""
    collect_holdoff_rows: Callable[[bool], tuple[HeldOffRow, ...]]
    """Returns the hold-offs to send with the next message, or all of them for a starting router."""
    make_source_proof: Callable[[], SourceProof | None]
    """Returns the latest proof that the configuration source was reachable."""
    actions: ActionList


def tick_prober(prober: Prober, context: ProbeContext, now_s: float) -> None:
    """Expire unanswered probes, suspects and old members, and send the next probe if it is due."""
    _expire_probes(prober, context, now_s)
    _expire_suspects(context, now_s)
    _forget_gone(prober, context, now_s)
    if now_s < prober.next_probe_s:
        return
    # Jitter over a quarter of the interval keeps routers that started together out of step.
    interval_s = context.options.probe_interval_s * (0.875 + 0.25 * context.draw())
    update_suspected_zones(prober.targets, context.table, now_s)
    if prober.targets.suspected_until_s:
        # Every second probe goes to a suspected zone, so the rate doubles: the own zone is still
        # probed as often as before.
        interval_s /= 2.0
    prober.next_probe_s = now_s + interval_s
    _ask_to_join(prober, context, now_s)
    target = choose_next_target(prober.targets, context.table, context.draw)
    if target is not None:
        _send_probe(prober, context, target, now_s + context.options.probe_timeout_s)


def handle_probe(context: ProbeContext, sender: str, probe: Probe, now_s: float) -> None:
    """Apply the news of a probe, and acknowledge it."""
    apply_news(context, sender, probe.news, now_s)
    _send(
        context,
        sender,
        Ack(probe.probe_id, context.table.identity.router_id, _collect_news(context, sender)),
    )


def handle_ack(prober: Prober, context: ProbeContext, sender: str, ack: Ack, now_s: float) -> None:
    """Apply an acknowledgement, and pass it on if the probe was sent for another router."""
    apply_news(context, sender, ack.news, now_s)
    if sender == ack.target:
        prober.consecutive_misses.pop(sender, None)
    pending = prober.pending.pop(ack.probe_id, None)
    if pending is None or pending.target != ack.target:
        return
    if pending.requester:
        answer = Ack(
            pending.requester_probe_id, ack.target, _collect_news(context, pending.requester)
        )
        _send(context, pending.requester, answer)


def handle_indirect_probe(
    prober: Prober, context: ProbeContext, sender: str, message: IndirectProbe, now_s: float
) -> None:
    """Probe a router for the sender, which got no answer from it."""
    target = context.table.members.get(message.target)
    if target is None:
        return
    deadline_s = now_s + context.options.indirect_timeout_s
    probe_id = _send_probe(prober, context, target, deadline_s)
    pending = prober.pending[probe_id]
    pending.requester = sender
    pending.requester_probe_id = message.probe_id


def handle_members_query(
    context: ProbeContext, sender: str, query: MembersQuery, now_s: float
) -> None:
    """Add a starting router to the member table, and send it the whole table."""
    apply_member_row(context.table, query.sender_row, now_s, context.options.suspicion_s)
    rows = [make_own_row(context.table)]
    rows += [
        make_member_row(member)
        for member in context.table.members.values()
        if not member.unconfirmed
    ]
    news = _make_news(
        context,
        tuple(rows),
        list_leaving_rows(context.leaving),
        context.collect_holdoff_rows(True),
    )
    _send(context, sender, MembersReply(news))


def apply_news(context: ProbeContext, sender: str, news: News, now_s: float) -> None:
    """Apply the news of members and leaving servers that a message carried."""
    for row in news.members:
        apply_member_row(context.table, row, now_s, context.options.suspicion_s)
    for leaving in news.leaving:
        if record_leaving(context.leaving, leaving, compute_news_sends(context.table)):
            context.actions.add(ServerLeavingReported(leaving.backend_server, sender))


def announce_news(context: ProbeContext) -> None:
    """Announce this router's news at once to all of its own zone and a few of each other zone.

    Members of other zones announce it to their own zone once they have learned it.
    """
    announce_news_in_zone(context)
    far: dict[str, list[str]] = {}
    own_zone = context.table.identity.availability_zone
    for member in context.table.members.values():
        if can_probe(member) and member.availability_zone != own_zone:
            far.setdefault(member.availability_zone, []).append(member.router_id)
    for names in far.values():
        shuffle(names, context.draw)
        for router_id in names[:ANNOUNCED_PER_FAR_ZONE]:
            _send(context, router_id, Announcement(_collect_news(context, router_id)))


def announce_news_in_zone(context: ProbeContext) -> None:
    """Announce this router's news at once to every reachable member of its own zone."""
    own_zone = context.table.identity.availability_zone
    for member in context.table.members.values():
        if can_probe(member) and member.availability_zone == own_zone:
            _send(context, member.router_id, Announcement(_collect_news(context, member.router_id)))


def _ask_to_join(prober: Prober, context: ProbeContext, now_s: float) -> None:
    members = context.table.members.values()
    if now_s < prober.next_join_s or not all(member.unconfirmed for member in members):
        return
    candidates = list(members)
    prober.next_join_s = now_s + 3 * context.options.probe_interval_s
    for _ in range(min(JOIN_QUERIES, len(candidates))):
        member = candidates.pop(int(context.draw() * len(candidates)))
        _send(context, member.router_id, MembersQuery(make_own_row(context.table)))


def _send_probe(prober: Prober, context: ProbeContext, target: Member, deadline_s: float) -> int:
    prober.last_probe_id += 1
    probe_id = prober.last_probe_id
    prober.pending[probe_id] = PendingProbe(target.router_id, deadline_s)
    _send(context, target.router_id, Probe(probe_id, _collect_news(context, target.router_id)))
    return probe_id


def _expire_probes(prober: Prober, context: ProbeContext, now_s: float) -> None:
    late = [key for key, pending in prober.pending.items() if now_s >= pending.deadline_s]
    for probe_id in late:
        pending = prober.pending.pop(probe_id)
        member = context.table.members.get(pending.target)
        if member is None or pending.requester:
            continue
        if not pending.indirect:
            _record_miss(prober, context, member)
        if member.state is MemberState.LEAVING:
            member.has_left = True
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


def _record_miss(prober: Prober, context: ProbeContext, member: Member) -> None:
    """Count a direct probe that was not answered in time, and reopen a silent connection."""
    missed = prober.consecutive_misses.get(member.router_id, 0) + 1
    prober.consecutive_misses[member.router_id] = missed
    if missed >= MISSES_BEFORE_RECONNECT:
        del prober.consecutive_misses[member.router_id]
        context.actions.add(RenewLink(member.router_id, member.address))


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
        if gone and now_s - member.changed_at_s > FORGET_GONE_AFTER_S:
            forget_member(context.table, member.router_id)
            prober.consecutive_misses.pop(member.router_id, None)


def _collect_news(context: ProbeContext, receiver: str) -> News:
    members = collect_member_news(context.table, receiver)
    leaving = collect_leaving_rows(context.leaving)
    return _make_news(context, members, leaving, context.collect_holdoff_rows(False))


def _make_news(
    context: ProbeContext,
    members: tuple[MemberRow, ...],
    leaving: tuple[LeavingRow, ...],
    held_off: tuple[HeldOffRow, ...],
) -> News:
    return News(
        members=members,
        leaving=leaving,
        configuration_number=context.version.number,
        configuration_digest=context.version.digest,
        servers_order=context.servers_order,
        readers=context.collect_reader_rows(),
        quarantine=context.collect_quarantine_rows(),
        proof=context.make_source_proof(),
        held_off=held_off,
    )


def _send(context: ProbeContext, router_id: str, message: object) -> None:
    member = context.table.members.get(router_id)
    if member is not None:
        context.actions.add(Send(router_id, member.address, message))  # type: ignore[arg-type]
