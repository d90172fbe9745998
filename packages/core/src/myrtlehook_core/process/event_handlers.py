"""The core's handlers of events; the table at the end maps each event type to its handler."""

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from myrtlehook_core.process import events
from myrtlehook_core.process.admission_ends import abandon_admission, end_admission
from myrtlehook_core.process.admissions import (
    record_progress,
    retry_admission,
    send_pause_report,
    tick_admissions,
)
from myrtlehook_core.process.backoffs import drop_ended_backoffs
from myrtlehook_core.process.bidding import (
    find_keys_to_report,
    repeat_releases,
    send_bids,
    send_hold_summaries,
    send_reports,
)
from myrtlehook_core.process.ended_servers import (
    drop_expired_ends,
    note_server_end,
    on_server_found_ended,
)
from myrtlehook_core.process.engine_grants import grant_due
from myrtlehook_core.process.engine_queues import tick_queues
from myrtlehook_core.process.ingress import (
    RunningRequest,
    drop_idle_queues,
)
from myrtlehook_core.process.leaving_servers import (
    forget_removed_servers,
    record_incarnation,
    record_leaving,
)
from myrtlehook_core.process.ledgers import drop_idle_accounts
from myrtlehook_core.process.members import (
    MemberState,
    StateCause,
    add_candidate,
    change_state,
    compute_news_sends,
)
from myrtlehook_core.process.membership_messages import LeavingRow
from myrtlehook_core.process.messages import Release
from myrtlehook_core.process.orders import find_order
from myrtlehook_core.process.owners import (
    handle_load,
    tick_owner,
)
from myrtlehook_core.process.probing import (
    announce_news,
    tick_prober,
)
from myrtlehook_core.process.quarantine import forget_old_evidence
from myrtlehook_core.process.quarantine_handlers import (
    on_server_ended,
    record_completed_request,
    record_sound_parts,
    resend_sound_run_reports,
)
from myrtlehook_core.process.refusals import refuse_unservable
from myrtlehook_core.process.request_placing import place_request
from myrtlehook_core.process.restarted_peers import hand_over_after_restart
from myrtlehook_core.process.runs import (
    abandon_request,
    end_run,
    record_observed_service,
    retry_run,
)
from myrtlehook_core.process.server_notice_handlers import on_server_noticed
from myrtlehook_core.process.shares import (
    Reporters,
    report_tallies,
    send_demand_reports,
    send_zone_reports,
)
from myrtlehook_core.process.source_handlers import (
    PLATFORM,
    on_configuration,
    on_servers,
    on_source_answered,
    on_source_failed,
    query_missing_documents,
    report_configuration,
    sweep_source,
    tick_source,
)
from myrtlehook_core.process.stream_origin_handlers import (
    abandon_lookup,
    look_up_origin,
    needs_origin,
    on_stream_begun,
    tick_lookups,
)
from myrtlehook_core.process.stream_origins import ResumedRequest, drop_expired_origins
from myrtlehook_core.process.successors import (
    on_run_handed_over,
    on_successor_dropped,
    on_successor_sought,
)
from myrtlehook_core.request.requests import RequestSpecification
from myrtlehook_core.version.exchange import (
    handle_document,
    handle_manifest,
)

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore

SWEEP_INTERVAL_S = 0.25
"""How often requests that cannot run in time are refused, and expired state is dropped."""

BID_DELAY_AFTER_REPORT_S = 0.01
"""Delay of bids after service reports, so that the bids use the totals of the ledgers' replies."""


def _on_request(core: "RouterCore", event: events.RequestArrived, now_s: float) -> None:
    if needs_origin(core, event.request):
        look_up_origin(core, ResumedRequest(event.request, event.standing), now_s)
    else:
        place_request(core, event.request, event.standing, now_s)


def _on_abandoned(core: "RouterCore", event: events.RequestAbandoned, now_s: float) -> None:
    if abandon_lookup(core, event.request_id):
        return
    if abandon_admission(core.admissions, core.admission_context(), event.request_id):
        return
    if not abandon_request(core.ingress, event.request_id):
        # A slot was granted just before. Nothing has been sent, and nothing else would release it.
        _send_release(core, end_run(core.ingress, event.request_id, 0.0, now_s))


def _on_service(core: "RouterCore", event: events.ServiceObserved, now_s: float) -> None:
    context = core.admission_context()
    if not record_progress(core.admissions, context, event.request_id, event.observed_units):
        record_observed_service(core.ingress, event.request_id, event.observed_units)


def _on_stream_paused(core: "RouterCore", event: events.StreamPaused, now_s: float) -> None:
    send_pause_report(core.admissions, core.admission_context(), event.request_id, event.pause_s)


def _on_ended(core: "RouterCore", event: events.RunEnded, now_s: float) -> None:
    context = core.admission_context()
    request = _find_running_request(core, event.request_id)
    if event.completed and request is not None:
        record_completed_request(core, request, now_s)
    if end_admission(core.admissions, context, event, now_s):
        return
    ended = end_run(core.ingress, event.request_id, event.cost_units, now_s, event.failed)
    _send_release(core, ended)


def _on_server_ended(core: "RouterCore", event: events.ServerEndedInRun, now_s: float) -> None:
    note_server_end(core, event.backend_server, event.ended_s, now_s)
    on_server_ended(core, event, now_s)


def _on_parts_sound(core: "RouterCore", event: events.PartsShownSound, now_s: float) -> None:
    request = _find_running_request(core, event.request_id)
    if request is not None:
        record_sound_parts(core, request, event.software_version, now_s)


def _find_running_request(core: "RouterCore", request_id: str) -> RequestSpecification | None:
    admission = core.admissions.open.get(request_id)
    if admission is not None:
        return admission.request
    running = core.ingress.running.get(request_id)
    return None if running is None else running.request


def _on_not_started(core: "RouterCore", event: events.RunNotStarted, now_s: float) -> None:
    admission_context = core.admission_context()
    if retry_admission(core.admissions, admission_context, event.request_id, event.reason, now_s):
        return
    context = core.ingress_context()
    ended = retry_run(core.ingress, context, event.request_id, event.reason, now_s)
    _send_release(core, ended)


def _on_message(core: "RouterCore", event: events.MessageReceived, now_s: float) -> None:
    hand_over_after_restart(core, event.sender, event.incarnation, now_s)
    core.handle_message(event.sender, event.message, now_s)


def _on_load(core: "RouterCore", event: events.LoadReported, now_s: float) -> None:
    record_incarnation(core.leaving_servers, event.backend_server, event.incarnation)
    if event.leaving:
        row = LeavingRow(event.backend_server, event.incarnation)
        record_leaving(core.leaving_servers, row, compute_news_sends(core.table))
    handle_load(core.owner, core.owner_context(), event, now_s)
    order = find_order(core.configuration, event)
    if order is not None and event.backend_server in core.owner.servers:
        core.actions.add(order)


def _on_vm_list(core: "RouterCore", event: events.VmListRead, now_s: float) -> None:
    listed = {vm.vm for vm in event.vms}
    for member in core.table.members.values():
        member.listed = member.router_id in listed
    for vm in event.vms:
        add_candidate(core.table, vm.vm, vm.address, now_s)
        listed_member = core.table.members.get(vm.vm)
        if listed_member is None or vm.state != "leaving":
            continue
        if listed_member.state in (MemberState.ALIVE, MemberState.SUSPECT):
            change_state(
                core.table,
                listed_member,
                MemberState.LEAVING,
                StateCause.LISTED,
                now_s,
                core.options.suspicion_s,
            )


def _on_manifest(core: "RouterCore", event: events.ManifestRead, now_s: float) -> None:
    result = handle_manifest(core.exchange, event.text, PLATFORM)
    report_configuration(core, result)
    if result is None:
        query_missing_documents(core, now_s)


def _on_part(core: "RouterCore", event: events.PartRead, now_s: float) -> None:
    report_configuration(core, handle_document(core.exchange, event.text, PLATFORM))


def _on_seeds(core: "RouterCore", event: events.SeedsNamed, now_s: float) -> None:
    core.add_seeds([(address, address) for address in event.addresses], now_s)


def _on_drain(core: "RouterCore", event: events.DrainStarted, now_s: float) -> None:
    core.table.draining = True
    core.table.version += 1
    announce_news(core.probe_context())


def _on_grants_due(core: "RouterCore", event: events.GrantsDue, now_s: float) -> None:
    grant_due(core.engine_queues, core.queue_context(), now_s)


def _on_tick(core: "RouterCore", event: events.Tick, now_s: float) -> None:
    core.last_tick_s = now_s
    tick_prober(core.prober, core.probe_context(), now_s)
    tick_source(core, now_s)
    tick_owner(core.owner, core.owner_context(), now_s)
    tick_queues(core.engine_queues, core.queue_context(), now_s)
    tick_admissions(core.admissions, core.admission_context(), now_s)
    tick_lookups(core, now_s)
    if now_s >= core.shares.next_report_s:
        core.shares.next_report_s = now_s + core.options.demand_interval_s
        near = core.placement.zones.get(core.identity.availability_zone, ())
        placement = core.placement
        reporters = Reporters(
            core.identity.router_id, placement.eligible, near, placement.capacities
        )
        send_demand_reports(core.shares, reporters, core.options.quota_window_s, core.outbox, now_s)
        send_zone_reports(core.shares, reporters, core.outbox, now_s)
        report_tallies(core.shares, core.actions, now_s)
    ingress = core.ingress
    if now_s >= ingress.next_refresh_s:
        ingress.next_refresh_s = now_s + core.options.refresh_interval_s
        ingress.next_bid_s = now_s + BID_DELAY_AFTER_REPORT_S
        _send_service_reports(core, now_s)
    if now_s >= ingress.next_bid_s:
        ingress.next_bid_s = math.inf
        repeat_releases(ingress, core.placement, core.outbox)
        send_bids(ingress, core.placement, core.options, core.outbox, now_s)
    if now_s >= ingress.next_hold_s:
        ingress.next_hold_s = now_s + core.options.hold_interval_s
        send_hold_summaries(ingress, core.placement, core.outbox)
    if now_s >= ingress.next_sweep_s:
        ingress.next_sweep_s = now_s + SWEEP_INTERVAL_S
        _clean_up(core, now_s)


def _send_release(core: "RouterCore", ended: tuple[RunningRequest, Release] | None) -> None:
    if ended is None:
        return
    running, release = ended
    owner = core.placement.server_owners.get(running.backend_server)
    if owner is not None:
        core.outbox.add(owner, release)


def _send_service_reports(core: "RouterCore", now_s: float) -> None:
    if core.options.exchange_totals:
        pools = core.configuration.pools
        # Accountants compute the shares of pools whose admission counts tokens.
        token_pools = {name for name, pool in pools.items() if pool.engine_capacity is not None}
        keys = {key for key in find_keys_to_report(core.ingress) if key.pool not in token_pools}
        send_reports(
            core.ingress, core.placement, core.options, core.draw, core.outbox, keys, now_s
        )


def _clean_up(core: "RouterCore", now_s: float) -> None:
    refuse_unservable(core.ingress, core.ingress_context(), now_s)
    drop_idle_queues(core.ingress, now_s, core.options.idle_drop_s)
    drop_idle_accounts(core.ledger, now_s, core.options)
    forget_old_evidence(core.quarantine, now_s)
    forget_old_evidence(core.part_quarantine, now_s)
    drop_expired_origins(core.stream_origins, now_s)
    forget_removed_servers(core.leaving_servers, core.configuration.backend_servers, now_s)
    drop_ended_backoffs(core.ingress.backoffs, now_s)
    drop_expired_ends(core.ended_servers, now_s)
    resend_sound_run_reports(core, now_s)
    sweep_source(core, now_s)


# The event parameter is `Any` here because each handler accepts its own event type.
EVENT_HANDLERS: dict[type, Callable[["RouterCore", Any, float], None]] = {
    events.RequestArrived: _on_request,
    events.RequestAbandoned: _on_abandoned,
    events.ServiceObserved: _on_service,
    events.StreamBegun: on_stream_begun,
    events.RunEnded: _on_ended,
    events.StreamPaused: _on_stream_paused,
    events.ServerEndedInRun: _on_server_ended,
    events.ServerFoundEnded: on_server_found_ended,
    events.PartsShownSound: _on_parts_sound,
    events.ServerNoticed: on_server_noticed,
    events.RunNotStarted: _on_not_started,
    events.SuccessorSought: on_successor_sought,
    events.RunHandedOver: on_run_handed_over,
    events.SuccessorDropped: on_successor_dropped,
    events.MessageReceived: _on_message,
    events.LoadReported: _on_load,
    events.VmListRead: _on_vm_list,
    events.ManifestRead: _on_manifest,
    events.PartRead: _on_part,
    events.ConfigurationRead: on_configuration,
    events.BackendServersRead: on_servers,
    events.SourceAnswered: on_source_answered,
    events.SourceFailed: on_source_failed,
    events.SeedsNamed: _on_seeds,
    events.DrainStarted: _on_drain,
    events.GrantsDue: _on_grants_due,
    events.Tick: _on_tick,
}
