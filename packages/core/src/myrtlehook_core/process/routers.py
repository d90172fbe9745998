"""The decision core of one router: events in, actions out.

It does no I/O, reads no clock and draws no random numbers of its own, so that a
test or a bench can drive many routers at once, in any order.
"""

import math
from collections.abc import Callable, Iterable
from typing import Any

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import (
    Action,
    ConfigurationChanged,
    ConfigurationRejected,
    DropNoted,
    FetchPart,
    Outbox,
    PauseNoticed,
    Send,
)
from myrtlehook_core.process.bidding import (
    bid_to,
    keys_to_report,
    offer_first,
    repeat_releases,
    send_bids,
    send_hold_list,
    send_hold_summaries,
    send_holds_to_new_owners,
    send_reports,
)
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.entries import (
    Entry,
    EntryContext,
    RunningRequest,
    abandon_request,
    accept_request,
    drop_idle_queues,
    end_run,
    observe_service,
    refuse_hopeless,
    retry_run,
    spend_grant,
    take_totals,
)
from myrtlehook_core.process.ledgers import Ledger, drop_idle_accounts, take_report
from myrtlehook_core.process.members import (
    MemberState,
    MemberTable,
    RouterIdentity,
    add_candidate,
    change_state,
    is_reachable,
    note_leaving_server,
    note_server_incarnation,
)
from myrtlehook_core.process.messages import (
    Ack,
    Bid,
    ConfigurationQuery,
    ConfigurationReply,
    EarlyCharge,
    Grant,
    HoldList,
    HoldQuery,
    HoldSummary,
    IndirectProbe,
    LeavingRow,
    MembersQuery,
    MembersReply,
    News,
    Probe,
    Release,
    Report,
    Totals,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.orders import find_order
from myrtlehook_core.process.owners import (
    GRANT_ID_SPACE,
    OwnerContext,
    SlotOwner,
    count_free_in_pool,
    drop_beliefs,
    receive_bid,
    receive_early_charge,
    receive_hold_list,
    receive_hold_summary,
    receive_load,
    receive_release,
    set_owned_servers,
    tick_owner,
)
from myrtlehook_core.process.placements import Placement, owned_servers, refresh_placement
from myrtlehook_core.process.posts import Post
from myrtlehook_core.process.probing import (
    ProbeContext,
    Prober,
    announce,
    take_ack,
    take_indirect_probe,
    take_members_query,
    take_news,
    take_probe,
    tick_prober,
)
from myrtlehook_core.request.outcomes import DropReason
from myrtlehook_core.version.configurations import Configuration, ConfigurationVersion
from myrtlehook_core.version.exchange import (
    Accepted,
    ConfigurationExchange,
    Rejected,
    hear_version,
    missing_digests,
    missing_parts,
    take_document,
    take_manifest,
)

SWEEP_INTERVAL_S = 0.25
"""How often queues are searched for requests that cannot be run in time."""

BID_AFTER_REPORT_S = 0.01
"""Bids follow reports by this much, so that they carry the totals of the answers."""

QUERY_INTERVAL_S = 0.5
"""How often a peer is asked again for documents that have not come."""

PLATFORM = "platform"
"""The source of a configuration that did not come from a peer."""


class RouterCore:
    """All state of one router; ``handle`` is the only way in."""

    def __init__(self, identity: RouterIdentity, options: CoreOptions, draw: Draw) -> None:
        self.identity = identity
        self.options = options
        self.draw = draw
        self.table = MemberTable(identity, identity.incarnation)
        self.prober = Prober()
        self.placement = Placement()
        self.exchange = ConfigurationExchange()
        self.entry = Entry(options.retry_burst)
        self.owner = SlotOwner(int(draw() * GRANT_ID_SPACE))
        self.ledger = Ledger()
        self.last_tick_s: float | None = None
        self._out = Outbox()
        self._post = Post()

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.exchange.current

    def add_seeds(self, seeds: Iterable[tuple[str, str]], now_s: float) -> None:
        """Name routers, by id and address, that may be alive."""
        for router_id, address in seeds:
            add_candidate(self.table, router_id, address, now_s)

    def handle(self, event: events.Event, now_s: float) -> list[Action]:
        """Take one event and return the actions that it calls for, in order."""
        self._out = Outbox()
        self._post = Post()
        self._notice_pause(now_s)
        _EVENT_HANDLERS[type(event)](self, event, now_s)
        self._settle(now_s)
        return self._out.actions

    # -- what the features need -------------------------------------------------

    def entry_context(self) -> EntryContext:
        """Return the entry's context for this event."""
        return EntryContext(
            options=self.options,
            configuration=self.configuration,
            draining=self.table.draining,
            draw=self.draw,
            out=self._out,
            post=self._post,
        )

    def owner_context(self) -> OwnerContext:
        """Return the slot owner's context for this event."""
        return OwnerContext(
            options=self.options,
            configuration=self.configuration,
            other_owners=self._other_owners,
            leaving=frozenset(self.table.leaving_servers),
            draw=self.draw,
            out=self._out,
            post=self._post,
        )

    def probe_context(self) -> ProbeContext:
        """Return the failure detector's context for this event."""
        return ProbeContext(
            table=self.table,
            options=self.options,
            draw=self.draw,
            version=self.configuration.version,
            out=self._out,
        )

    def reachable(self, router_id: str) -> bool:
        """Tell whether a router is worth sending to."""
        return is_reachable(self.table, router_id)

    def _other_owners(self, pool: str) -> tuple[str, ...]:
        owners = self.placement.pool_owners.get(pool, ())
        return tuple(owner for owner in owners if owner != self.identity.router_id)

    # -- the end of every event ---------------------------------------------------

    def _settle(self, now_s: float) -> None:
        """Follow ownership, then deliver messages, this router's own included."""
        self._follow_ownership(now_s)
        while self._post.messages:
            router_id, message = self._post.messages.pop(0)
            if router_id == self.identity.router_id:
                _MESSAGE_HANDLERS[type(message)](self, router_id, message, now_s)
                self._follow_ownership(now_s)
                continue
            member = self.table.members.get(router_id)
            if member is not None and member.state is not MemberState.DEAD:
                self._out.add(Send(router_id, member.address, message))

    def _follow_ownership(self, now_s: float) -> None:
        before = self.placement.server_owners
        if not refresh_placement(self.placement, self.table, self.configuration):
            return
        owned = owned_servers(self.placement, self.identity.router_id)
        set_owned_servers(self.owner, owned, now_s)
        send_holds_to_new_owners(self.entry, before, self.placement, self._post)
        self.entry.handover_until_s = now_s + self.options.handover_s
        for account in self.entry.accounts.values():
            account.changed = True

    def _notice_pause(self, now_s: float) -> None:
        last_tick_s = self.last_tick_s
        if last_tick_s is None:
            return
        late_s = now_s - last_tick_s
        if late_s <= self.options.pause_threshold_s:
            return
        # What was believed before the pause may have moved to other routers.
        self.last_tick_s = now_s
        self._out.add(PauseNoticed(late_s))
        drop_beliefs(self.owner, now_s)
        self.entry.told.clear()
        self.prober.pending.clear()
        for member in self.table.members.values():
            if member.state is MemberState.SUSPECT:
                member.suspect_deadline_s = now_s + self.options.suspicion_s
        refuse_hopeless(self.entry, self.entry_context(), now_s)

    # -- events -------------------------------------------------------------------

    def _on_request(self, event: events.RequestArrived, now_s: float) -> None:
        entry = self.entry
        key = accept_request(entry, self.entry_context(), event.request, now_s)
        if key is None or key not in entry.fresh_keys:
            return
        entry.fresh_keys.discard(key)
        if self.options.exchange_totals:
            # The ledger lifts a workspace that returns from idle before it is served.
            send_reports(entry, self.placement, self.options, self.draw, self._post, {key}, now_s)
        context = self.owner_context()
        free = count_free_in_pool(self.owner, context, key.pool, now_s)
        preferred = self.identity.router_id if free > 0 else None
        offer_first(entry, self.placement, event.request, preferred, self.draw, self._post, now_s)

    def _on_abandoned(self, event: events.RequestAbandoned, now_s: float) -> None:
        abandon_request(self.entry, event.request_id)

    def _on_service(self, event: events.ServiceObserved, now_s: float) -> None:
        observe_service(self.entry, event.request_id, event.observed_units)

    def _on_ended(self, event: events.RunEnded, now_s: float) -> None:
        ended = end_run(self.entry, event.request_id, event.cost_units, now_s)
        self._send_release(ended)

    def _on_not_started(self, event: events.RunNotStarted, now_s: float) -> None:
        context = self.entry_context()
        ended = retry_run(self.entry, context, event.request_id, event.reason, now_s)
        self._send_release(ended)

    def _send_release(self, ended: tuple[RunningRequest, Release] | None) -> None:
        if ended is None:
            return
        running, release = ended
        owner = self.placement.server_owners.get(running.backend_server)
        if owner is not None:
            self._post.add(owner, release)

    def _on_message(self, event: events.MessageReceived, now_s: float) -> None:
        handler = _MESSAGE_HANDLERS.get(type(event.message))
        if handler is not None:
            handler(self, event.sender, event.message, now_s)

    def _on_load(self, event: events.LoadReported, now_s: float) -> None:
        note_server_incarnation(self.table, event.backend_server, event.incarnation)
        if event.leaving:
            note_leaving_server(self.table, LeavingRow(event.backend_server, event.incarnation))
        receive_load(self.owner, self.owner_context(), event, now_s)
        order = find_order(self.configuration, event)
        if order is not None and event.backend_server in self.owner.servers:
            self._out.add(order)

    def _on_vm_list(self, event: events.VmListRead, now_s: float) -> None:
        listed = {vm.vm for vm in event.vms}
        for member in self.table.members.values():
            member.listed = member.router_id in listed
        for vm in event.vms:
            add_candidate(self.table, vm.vm, vm.address, now_s)
            member_or_none = self.table.members.get(vm.vm)
            if member_or_none is None or vm.state != "leaving":
                continue
            if member_or_none.state in (MemberState.ALIVE, MemberState.SUSPECT):
                suspicion_s = self.options.suspicion_s
                change_state(self.table, member_or_none, MemberState.LEAVING, now_s, suspicion_s)

    def _on_manifest(self, event: events.ManifestRead, now_s: float) -> None:
        result = take_manifest(self.exchange, event.text, PLATFORM)
        self._take_configuration(result)
        if result is None and self.exchange.offer is not None:
            for part in missing_parts(self.exchange):
                self._out.add(FetchPart(part.key, part.digest))

    def _on_part(self, event: events.PartRead, now_s: float) -> None:
        self._take_configuration(take_document(self.exchange, event.text, PLATFORM))

    def _on_drain(self, event: events.DrainStarted, now_s: float) -> None:
        self.table.draining = True
        self.table.version += 1
        announce(self.probe_context())

    def _on_tick(self, event: events.Tick, now_s: float) -> None:
        self.last_tick_s = now_s
        tick_prober(self.prober, self.probe_context(), now_s)
        tick_owner(self.owner, self.owner_context(), now_s)
        entry = self.entry
        if now_s >= entry.next_refresh_s:
            entry.next_refresh_s = now_s + self.options.refresh_interval_s
            entry.next_bid_s = now_s + BID_AFTER_REPORT_S
            self._report(now_s)
        if now_s >= entry.next_bid_s:
            entry.next_bid_s = math.inf
            repeat_releases(entry, self.placement, self._post)
            send_bids(entry, self.placement, self.options, self._post, now_s)
        if now_s >= entry.next_hold_s:
            entry.next_hold_s = now_s + self.options.hold_interval_s
            send_hold_summaries(entry, self.placement, self._post)
        if now_s >= entry.next_sweep_s:
            entry.next_sweep_s = now_s + SWEEP_INTERVAL_S
            self._sweep(now_s)

    def _report(self, now_s: float) -> None:
        if self.options.exchange_totals:
            keys = keys_to_report(self.entry)
            send_reports(
                self.entry, self.placement, self.options, self.draw, self._post, keys, now_s
            )

    def _sweep(self, now_s: float) -> None:
        refuse_hopeless(self.entry, self.entry_context(), now_s)
        drop_idle_queues(self.entry, now_s, self.options.idle_drop_s)
        drop_idle_accounts(self.ledger, now_s, self.options)
        self._query_documents(now_s)

    # -- configuration ------------------------------------------------------------

    def _take_configuration(self, result: Accepted | Rejected | None) -> None:
        if isinstance(result, Accepted):
            self._out.add(ConfigurationChanged(result.configuration, result.source))
        if isinstance(result, Rejected):
            self._out.add(ConfigurationRejected(result.number, result.findings))

    def _hear_configuration(self, sender: str, news: News, now_s: float) -> None:
        version = ConfigurationVersion(news.configuration_number, news.configuration_digest)
        if hear_version(self.exchange, version, sender):
            self._query_documents(now_s)

    def _query_documents(self, now_s: float) -> None:
        offer = self.exchange.offer
        if offer is None or offer.source == PLATFORM or now_s < offer.next_query_s:
            return
        offer.next_query_s = now_s + QUERY_INTERVAL_S
        self._post.add(offer.source, ConfigurationQuery(missing_digests(self.exchange)))

    # -- messages -----------------------------------------------------------------

    def _take_bid(self, sender: str, message: Bid, now_s: float) -> None:
        if not receive_bid(self.owner, self.owner_context(), sender, message, now_s):
            self._out.add(DropNoted(DropReason.STALE_MESSAGE))

    def _take_early_charge(self, sender: str, message: EarlyCharge, now_s: float) -> None:
        receive_early_charge(self.owner, self.owner_context(), message, now_s)

    def _take_grant(self, sender: str, message: Grant, now_s: float) -> None:
        hungry = spend_grant(self.entry, self.entry_context(), sender, message, now_s)
        if hungry:
            bid_to(self.entry, message.pool, sender, self._post, now_s)

    def _take_release(self, sender: str, message: Release, now_s: float) -> None:
        receive_release(self.owner, self.owner_context(), sender, message, now_s)

    def _take_hold_summary(self, sender: str, message: HoldSummary, now_s: float) -> None:
        receive_hold_summary(self.owner, self.owner_context(), sender, message, now_s)

    def _take_hold_query(self, sender: str, message: HoldQuery, now_s: float) -> None:
        send_hold_list(self.entry, message.backend_server, sender, self._post)

    def _take_hold_list(self, sender: str, message: HoldList, now_s: float) -> None:
        receive_hold_list(self.owner, self.owner_context(), sender, message, now_s)

    def _take_report(self, sender: str, message: Report, now_s: float) -> None:
        rows = take_report(self.ledger, sender, message, now_s, self.options, self.reachable)
        if message.wants_totals:
            self._post.add(sender, Totals(rows))

    def _take_totals(self, sender: str, message: Totals, now_s: float) -> None:
        take_totals(self.entry, message.rows, now_s)

    def _take_probe(self, sender: str, message: Probe, now_s: float) -> None:
        take_probe(self.probe_context(), sender, message, now_s)
        self._hear_configuration(sender, message.news, now_s)

    def _take_ack(self, sender: str, message: Ack, now_s: float) -> None:
        take_ack(self.prober, self.probe_context(), message, now_s)
        self._hear_configuration(sender, message.news, now_s)

    def _take_indirect(self, sender: str, message: IndirectProbe, now_s: float) -> None:
        take_indirect_probe(self.prober, self.probe_context(), sender, message, now_s)

    def _take_members_query(self, sender: str, message: MembersQuery, now_s: float) -> None:
        take_members_query(self.probe_context(), sender, message, now_s)

    def _take_members_reply(self, sender: str, message: MembersReply, now_s: float) -> None:
        take_news(self.probe_context(), message.news, now_s)
        self._hear_configuration(sender, message.news, now_s)

    def _take_configuration_query(
        self, sender: str, message: ConfigurationQuery, now_s: float
    ) -> None:
        for digest in message.digests:
            text = self.exchange.texts.get(digest)
            if text is not None:
                self._post.add(sender, ConfigurationReply(digest, text))

    def _take_configuration_reply(
        self, sender: str, message: ConfigurationReply, now_s: float
    ) -> None:
        self._take_configuration(take_document(self.exchange, message.text, sender))
        offer = self.exchange.offer
        if offer is not None and offer.manifest_text and not offer.texts:
            offer.next_query_s = now_s
            self._query_documents(now_s)


# Typed per handler by its own signature; the tables only pair each type with its handler.
_EVENT_HANDLERS: dict[type, Callable[[RouterCore, Any, float], None]] = {
    events.RequestArrived: RouterCore._on_request,
    events.RequestAbandoned: RouterCore._on_abandoned,
    events.ServiceObserved: RouterCore._on_service,
    events.RunEnded: RouterCore._on_ended,
    events.RunNotStarted: RouterCore._on_not_started,
    events.MessageReceived: RouterCore._on_message,
    events.LoadReported: RouterCore._on_load,
    events.VmListRead: RouterCore._on_vm_list,
    events.ManifestRead: RouterCore._on_manifest,
    events.PartRead: RouterCore._on_part,
    events.DrainStarted: RouterCore._on_drain,
    events.Tick: RouterCore._on_tick,
}

_MESSAGE_HANDLERS: dict[type, Callable[[RouterCore, str, Any, float], None]] = {
    EarlyCharge: RouterCore._take_early_charge,
    Bid: RouterCore._take_bid,
    Grant: RouterCore._take_grant,
    Release: RouterCore._take_release,
    HoldSummary: RouterCore._take_hold_summary,
    HoldQuery: RouterCore._take_hold_query,
    HoldList: RouterCore._take_hold_list,
    Report: RouterCore._take_report,
    Totals: RouterCore._take_totals,
    Probe: RouterCore._take_probe,
    Ack: RouterCore._take_ack,
    IndirectProbe: RouterCore._take_indirect,
    MembersQuery: RouterCore._take_members_query,
    MembersReply: RouterCore._take_members_reply,
    ConfigurationQuery: RouterCore._take_configuration_query,
    ConfigurationReply: RouterCore._take_configuration_reply,
}
