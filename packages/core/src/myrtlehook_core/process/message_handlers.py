"""The core's handlers of messages between routers; the table at the end maps types to handlers."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from myrtlehook_core.process.accountants import describe_level, record_demand_report
from myrtlehook_core.process.actions import (
    ConfigurationSent,
    MessageDropped,
)
from myrtlehook_core.process.admission_messages import (
    AdmissionGrant,
    AdmissionProgress,
    AdmissionRefusal,
    AdmissionRelease,
    AdmissionRequest,
    DemandReport,
    HeldAdmissions,
    ShareLevel,
    StreamPauseReport,
)
from myrtlehook_core.process.admissions import handle_admission_grant, handle_admission_refusal
from myrtlehook_core.process.bid_spreading import spread_bids, spreads_bids
from myrtlehook_core.process.bidding import (
    send_bid,
    send_hold_list,
)
from myrtlehook_core.process.ended_server_messages import ServerEndedNotice
from myrtlehook_core.process.ended_servers import handle_ended_notice
from myrtlehook_core.process.engine_queues import (
    handle_admission_progress,
    handle_admission_release,
    handle_admission_request,
    handle_held_admissions,
    handle_pause_report,
)
from myrtlehook_core.process.ingress import (
    record_totals,
)
from myrtlehook_core.process.ledgers import merge_report
from myrtlehook_core.process.members import find_state
from myrtlehook_core.process.membership_messages import (
    Ack,
    Announcement,
    IndirectProbe,
    LeavingNotice,
    MembersQuery,
    MembersReply,
    Probe,
)
from myrtlehook_core.process.messages import (
    Bid,
    BidUpdate,
    ConfigurationQuery,
    ConfigurationReply,
    EarlyCharge,
    Grant,
    HoldList,
    HoldQuery,
    HoldSummary,
    NoFreeSlot,
    Release,
    Report,
    Totals,
)
from myrtlehook_core.process.owners import (
    handle_bid,
    handle_bid_update,
    handle_early_charge,
    handle_hold_list,
    handle_hold_summary,
    handle_release,
)
from myrtlehook_core.process.probing import (
    announce_news_in_zone,
    apply_news,
    handle_ack,
    handle_indirect_probe,
    handle_members_query,
    handle_probe,
)
from myrtlehook_core.process.quarantine_handlers import (
    apply_quarantine_news,
    handle_end_report,
    handle_sound_run_report,
    relay_quarantine_news,
)
from myrtlehook_core.process.quarantine_messages import ServerEndReport, SoundRunReport
from myrtlehook_core.process.runs import (
    handle_grant,
)
from myrtlehook_core.process.server_notice_handlers import handle_leaving_notice
from myrtlehook_core.process.shares import apply_level, record_zone_report
from myrtlehook_core.process.source_handlers import (
    apply_source_news,
    handle_servers_query,
    handle_servers_reply,
    query_missing_documents,
    report_configuration,
)
from myrtlehook_core.process.source_messages import ServersQuery, ServersReply
from myrtlehook_core.process.stream_origin_handlers import (
    handle_origin_notice,
    handle_origin_query,
    handle_origin_unknown,
)
from myrtlehook_core.process.stream_origin_messages import (
    StreamOriginNotice,
    StreamOriginQuery,
    StreamOriginUnknown,
)
from myrtlehook_core.request.outcomes import DropReason
from myrtlehook_core.version.exchange import handle_document

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore


def _handle_bid(core: "RouterCore", sender: str, message: Bid, now_s: float) -> None:
    if not handle_bid(core.owner, core.owner_context(), sender, message, now_s):
        core.actions.add(MessageDropped(DropReason.STALE_MESSAGE))


def _handle_early_charge(
    core: "RouterCore", sender: str, message: EarlyCharge, now_s: float
) -> None:
    handle_early_charge(core.owner, core.owner_context(), message, now_s)


def _handle_grant(core: "RouterCore", sender: str, message: Grant, now_s: float) -> None:
    bid_again = handle_grant(core.ingress, core.ingress_context(), sender, message, now_s)
    if bid_again:
        wants_answer = spreads_bids(core.options)
        send_bid(core.ingress, message.pool, sender, core.outbox, now_s, wants_answer=wants_answer)


def _handle_no_free_slot(
    core: "RouterCore", sender: str, message: NoFreeSlot, now_s: float
) -> None:
    owners = core.placement.pool_owners.get(message.pool, ())
    spread_bids(core.ingress, core.ingress_context(), message.pool, owners, sender, now_s)


def _handle_bid_update(core: "RouterCore", sender: str, message: BidUpdate, now_s: float) -> None:
    handle_bid_update(core.owner, core.owner_context(), sender, message, now_s)


def _handle_release(core: "RouterCore", sender: str, message: Release, now_s: float) -> None:
    handle_release(core.owner, core.owner_context(), sender, message, now_s)


def _handle_hold_summary(
    core: "RouterCore", sender: str, message: HoldSummary, now_s: float
) -> None:
    handle_hold_summary(core.owner, core.owner_context(), sender, message, now_s)


def _handle_hold_query(core: "RouterCore", sender: str, message: HoldQuery, now_s: float) -> None:
    send_hold_list(core.ingress, message.backend_server, sender, core.outbox)


def _handle_hold_list(core: "RouterCore", sender: str, message: HoldList, now_s: float) -> None:
    handle_hold_list(core.owner, core.owner_context(), sender, message, now_s)


def _handle_report(core: "RouterCore", sender: str, message: Report, now_s: float) -> None:
    rows = merge_report(core.ledger, sender, message, now_s, core.options, core.is_reachable)
    if message.wants_totals:
        core.outbox.add(sender, Totals(rows))


def _handle_totals(core: "RouterCore", sender: str, message: Totals, now_s: float) -> None:
    record_totals(core.ingress, message.rows, now_s)


def _handle_probe(core: "RouterCore", sender: str, message: Probe, now_s: float) -> None:
    handle_probe(core.probe_context(), sender, message, now_s)
    apply_source_news(core, sender, message.news, now_s)
    apply_quarantine_news(core, sender, message.news, now_s)


def _handle_ack(core: "RouterCore", sender: str, message: Ack, now_s: float) -> None:
    handle_ack(core.prober, core.probe_context(), sender, message, now_s)
    apply_source_news(core, sender, message.news, now_s)
    apply_quarantine_news(core, sender, message.news, now_s)


def _handle_announcement(
    core: "RouterCore", sender: str, message: Announcement, now_s: float
) -> None:
    previous_state = find_state(core.table, sender)
    apply_news(core.probe_context(), sender, message.news, now_s)
    apply_source_news(core, sender, message.news, now_s)
    relay_quarantine_news(core, sender, apply_quarantine_news(core, sender, message.news, now_s))
    if not core.is_in_own_zone(sender) and find_state(core.table, sender) is not previous_state:
        # A stopping router of another zone announces itself to only a few routers of this zone,
        # which therefore pass the change on. Probes carry all other changes.
        announce_news_in_zone(core.probe_context())


def _handle_indirect_probe(
    core: "RouterCore", sender: str, message: IndirectProbe, now_s: float
) -> None:
    handle_indirect_probe(core.prober, core.probe_context(), sender, message, now_s)


def _handle_members_query(
    core: "RouterCore", sender: str, message: MembersQuery, now_s: float
) -> None:
    handle_members_query(core.probe_context(), sender, message, now_s)


def _handle_members_reply(
    core: "RouterCore", sender: str, message: MembersReply, now_s: float
) -> None:
    apply_news(core.probe_context(), sender, message.news, now_s)
    apply_source_news(core, sender, message.news, now_s)
    apply_quarantine_news(core, sender, message.news, now_s)


def _handle_configuration_query(
    core: "RouterCore", sender: str, message: ConfigurationQuery, now_s: float
) -> None:
    documents = 0
    for digest in message.digests:
        text = core.exchange.texts.get(digest)
        if text is not None:
            core.outbox.add(sender, ConfigurationReply(digest, text))
            documents += 1
    number = core.exchange.current.version.number
    core.actions.add(ConfigurationSent(number, sender, documents))


def _handle_configuration_reply(
    core: "RouterCore", sender: str, message: ConfigurationReply, now_s: float
) -> None:
    report_configuration(core, handle_document(core.exchange, message.text, sender))
    offer = core.exchange.offer
    if offer is not None and offer.manifest_text and not offer.texts:
        offer.next_query_s = now_s
        query_missing_documents(core, now_s)


def _handle_admission_request(
    core: "RouterCore", sender: str, message: AdmissionRequest, now_s: float
) -> None:
    handle_admission_request(core.engine_queues, core.queue_context(), sender, message, now_s)


def _handle_admission_grant(
    core: "RouterCore", sender: str, message: AdmissionGrant, now_s: float
) -> None:
    handle_admission_grant(core.admissions, core.admission_context(), sender, message, now_s)


def _handle_admission_refusal(
    core: "RouterCore", sender: str, message: AdmissionRefusal, now_s: float
) -> None:
    handle_admission_refusal(core.admissions, core.admission_context(), message, now_s)


def _handle_admission_progress(
    core: "RouterCore", sender: str, message: AdmissionProgress, now_s: float
) -> None:
    handle_admission_progress(core.engine_queues, core.queue_context(), message, now_s)


def _handle_admission_release(
    core: "RouterCore", sender: str, message: AdmissionRelease, now_s: float
) -> None:
    handle_admission_release(core.engine_queues, core.queue_context(), message, now_s)


def _handle_pause_report(
    core: "RouterCore", sender: str, message: StreamPauseReport, now_s: float
) -> None:
    handle_pause_report(core.engine_queues, message, now_s)


def _handle_held_admissions(
    core: "RouterCore", sender: str, message: HeldAdmissions, now_s: float
) -> None:
    handle_held_admissions(core.engine_queues, core.queue_context(), sender, message, now_s)


def _handle_demand_report(
    core: "RouterCore", sender: str, message: DemandReport, now_s: float
) -> None:
    limits = core.configuration.limits
    options = core.options
    if limits.tokens_per_s <= 0:
        return
    if message.to_collector:
        level = record_zone_report(core.shares, sender, message, now_s)
        if level is not None:
            core.outbox.add(sender, level)
        return
    configured_tokens = limits.tokens_per_s * options.quota_window_s * options.capacity_factor
    level = record_demand_report(core.shares.accounts, sender, message, configured_tokens, now_s)
    core.outbox.add(sender, level)
    account = core.shares.accounts[message.pool]
    level_report = describe_level(account, level, configured_tokens, now_s)
    if level_report is not None:
        core.actions.add(level_report)


def _handle_share_level(core: "RouterCore", sender: str, message: ShareLevel, now_s: float) -> None:
    apply_level(core.shares, message, core.options.quota_window_s, now_s)


# The message parameter is `Any` here because each handler accepts its own message type.
MESSAGE_HANDLERS: dict[type, Callable[["RouterCore", str, Any, float], None]] = {
    DemandReport: _handle_demand_report,
    ShareLevel: _handle_share_level,
    AdmissionRequest: _handle_admission_request,
    AdmissionGrant: _handle_admission_grant,
    AdmissionRefusal: _handle_admission_refusal,
    AdmissionProgress: _handle_admission_progress,
    AdmissionRelease: _handle_admission_release,
    HeldAdmissions: _handle_held_admissions,
    StreamPauseReport: _handle_pause_report,
    Announcement: _handle_announcement,
    LeavingNotice: handle_leaving_notice,
    ServersQuery: handle_servers_query,
    ServersReply: handle_servers_reply,
    ServerEndReport: handle_end_report,
    SoundRunReport: handle_sound_run_report,
    ServerEndedNotice: handle_ended_notice,
    StreamOriginNotice: handle_origin_notice,
    StreamOriginQuery: handle_origin_query,
    StreamOriginUnknown: handle_origin_unknown,
    EarlyCharge: _handle_early_charge,
    Bid: _handle_bid,
    NoFreeSlot: _handle_no_free_slot,
    BidUpdate: _handle_bid_update,
    Grant: _handle_grant,
    Release: _handle_release,
    HoldSummary: _handle_hold_summary,
    HoldQuery: _handle_hold_query,
    HoldList: _handle_hold_list,
    Report: _handle_report,
    Totals: _handle_totals,
    Probe: _handle_probe,
    Ack: _handle_ack,
    IndirectProbe: _handle_indirect_probe,
    MembersQuery: _handle_members_query,
    MembersReply: _handle_members_reply,
    ConfigurationQuery: _handle_configuration_query,
    ConfigurationReply: _handle_configuration_reply,
}
