"""The decision core of one router: it handles events and returns actions.

It does no I/O, reads no clock and generates no random numbers itself, so that a
test or benchmark can drive many routers in one process, in any order.
"""

import math
from collections.abc import Iterable

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import (
    Action,
    ActionList,
    MemberStateChanged,
    PauseDetected,
    Send,
)
from myrtlehook_core.process.admission_handover import announce_admissions, drop_removed_engines
from myrtlehook_core.process.admission_requests import AdmissionContext, Admissions
from myrtlehook_core.process.bidding import (
    send_holds_to_new_owners,
)
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.cold_engines import ColdEngines
from myrtlehook_core.process.cold_handlers import mark_cold_engines
from myrtlehook_core.process.ended_servers import (
    EndedServers,
    MixedPools,
    find_unobserved_servers,
)
from myrtlehook_core.process.engine_grants import find_next_grant_s
from myrtlehook_core.process.engine_loads import (
    EngineFigures,
    compute_window_tokens,
    count_late_streams,
    estimate_backlog_tokens,
    make_load_estimate,
)
from myrtlehook_core.process.engine_queues import clear_queues, set_owned_engines
from myrtlehook_core.process.event_handlers import EVENT_HANDLERS
from myrtlehook_core.process.held_off_servers import HoldoffNews, collect_holdoff_rows
from myrtlehook_core.process.ingress import (
    IngressContext,
    IngressState,
)
from myrtlehook_core.process.leaving_servers import LeavingServers, mark_leaving
from myrtlehook_core.process.ledgers import Ledger
from myrtlehook_core.process.members import (
    MemberState,
    MemberTable,
    RouterIdentity,
    add_candidate,
    find_zone,
    is_reachable,
)
from myrtlehook_core.process.message_handlers import MESSAGE_HANDLERS
from myrtlehook_core.process.messages import Message
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.process.owners import (
    GRANT_ID_SPACE,
    OwnerContext,
    SlotOwner,
    reset_owner_state,
    set_owned_servers,
)
from myrtlehook_core.process.placements import Placement, find_owned_servers, refresh_placement
from myrtlehook_core.process.probing import (
    ProbeContext,
    Prober,
)
from myrtlehook_core.process.quarantine import Quarantine, collect_quarantine_rows
from myrtlehook_core.process.quarantine_handlers import (
    hand_over_ends,
    refuse_quarantined_requests,
)
from myrtlehook_core.process.quarantine_messages import QuarantineRow
from myrtlehook_core.process.queue_contexts import EngineQueues, QueueContext
from myrtlehook_core.process.reading_gaps import sum_reading_s
from myrtlehook_core.process.refusals import refuse_unservable
from myrtlehook_core.process.regions import NO_REGIONS, Regions
from myrtlehook_core.process.request_quarantines import Quarantines
from myrtlehook_core.process.server_beliefs import (
    SendBelief,
    ServerBeliefs,
    find_send_belief,
    update_leaving_beliefs,
)
from myrtlehook_core.process.shares import Shares
from myrtlehook_core.process.source_messages import ReaderRow
from myrtlehook_core.process.source_outages import SourceOutages, forget_proofs, make_proof
from myrtlehook_core.process.source_readers import SourceReaders, collect_reader_rows
from myrtlehook_core.process.stream_origin_handlers import hand_over_origins
from myrtlehook_core.process.stream_origins import StreamOrigins
from myrtlehook_core.process.stream_pauses import count_recent_pauses
from myrtlehook_core.version.configurations import BackendServer, Configuration
from myrtlehook_core.version.discovery import Discovery, apply_discovery
from myrtlehook_core.version.exchange import (
    ConfigurationExchange,
    ConfigurationParser,
)


class RouterCore:
    """All state of one router; events enter through ``handle`` only."""

    def __init__(
        self,
        identity: RouterIdentity,
        options: CoreOptions,
        draw: Draw,
        parser: ConfigurationParser | None = None,
        regions: Regions = NO_REGIONS,
    ) -> None:
        self.identity = identity
        self.options = options
        self.draw = draw
        self.regions = regions
        self.table = MemberTable(identity, identity.incarnation)
        self.prober = Prober()
        self.placement = Placement()
        self.exchange = ConfigurationExchange(parser=parser)
        self.discovery = Discovery()
        self.leaving_servers = LeavingServers()
        self.cold_engines = ColdEngines()
        self._applied_revisions = (0, 0)
        self._applied_base = self.exchange.current
        self._configuration = self.exchange.current
        self.ingress = IngressState(options.retry_burst, options.earliest_goal_first)
        self.owner = SlotOwner(int(draw() * GRANT_ID_SPACE))
        self.ledger = Ledger()
        self.admissions = Admissions()
        self.engine_queues = EngineQueues()
        self.shares = Shares()
        self.quarantine = Quarantine(first_serial=identity.incarnation)
        self.part_quarantine = Quarantine(first_serial=identity.incarnation)
        self.stream_origins = StreamOrigins()
        self.ended_servers: EndedServers = {}
        self.mixed_pools = MixedPools()
        self.holdoff_news = HoldoffNews()
        self.source_outages = SourceOutages()
        self.server_beliefs = ServerBeliefs()
        self.source_readers = SourceReaders(reading=options.first_read_delay_s == 0.0)
        self._now_s = 0.0
        self.last_tick_s: float | None = None
        self.resumed_at_s = -math.inf
        """When this process noticed its last pause."""
        self.actions = ActionList()
        """The actions that the current event has produced."""
        self.outbox = MessageOutbox()
        """The messages that the current event has produced, this router's own included."""

    @property
    def configuration(self) -> Configuration:
        """The active configuration, with the backend servers from discovery.

        Servers that are known to be leaving, from any source, are marked as leaving.
        """
        base = self.exchange.current
        revisions = (self.discovery.revision, self.leaving_servers.revision)
        if self._applied_base is not base or self._applied_revisions != revisions:
            self._applied_base = base
            self._applied_revisions = revisions
            leaving = self.leaving_servers.servers.keys()
            discovered = apply_discovery(base, self.discovery, leaving)
            self._configuration = mark_leaving(discovered, self.leaving_servers)
        return self._configuration

    def add_seeds(self, seeds: Iterable[tuple[str, str]], now_s: float) -> None:
        """Add routers that may be alive, as pairs of id and address, as candidate members."""
        for router_id, address in seeds:
            add_candidate(self.table, router_id, address, now_s)

    def handle(self, event: events.Event, now_s: float) -> list[Action]:
        """Handle one event and return the resulting actions, in order."""
        self.actions = ActionList()
        self.outbox = MessageOutbox()
        self._now_s = now_s
        self._handle_pause(now_s)
        EVENT_HANDLERS[type(event)](self, event, now_s)
        self._finish_event(now_s)
        self._report_member_changes()
        return self.actions.actions

    def take_actions(self) -> list[Action]:
        """Return the actions of an event whose handling raised an exception, up to that point."""
        taken, self.actions = self.actions.actions, ActionList()
        return taken

    def find_next_grant_s(self) -> float:
        """Return when the core next needs a ``GrantsDue`` event; infinity if it needs none."""
        return find_next_grant_s(self.engine_queues, self.options, self._now_s)

    def describe_engines(self) -> list[EngineFigures]:
        """Return the estimated state of each owned engine, for metrics."""
        return [
            EngineFigures(
                backend_server=name,
                estimate=make_load_estimate(load, self._now_s),
                window_tokens=compute_window_tokens(load, self.options),
                backlog_tokens=estimate_backlog_tokens(load, self._now_s),
                waiting_requests=len(load.waiting),
                granted_requests=len(load.granted),
                cold_until_s=load.pace.cold_until_s,
                forecast_error_s=load.model.forecast_error_s,
                recent_pauses=count_recent_pauses(load.pauses, self._now_s),
                reading_fraction=sum_reading_s(
                    load.stream_pace.spans, self._now_s - 1.0, self._now_s
                ),
                late_streams=count_late_streams(load),
            )
            for name, load in sorted(self.engine_queues.loads.items())
        ]

    def find_unobserved_servers(self) -> list[BackendServer]:
        """Return this router's own engines whose end would show in no run, and would matter."""
        return find_unobserved_servers(self)

    def find_send_belief(self, backend_server: str, now_s: float) -> SendBelief | None:
        """Return what is believed of a server to which a request is sent now, for logs."""
        return find_send_belief(self, backend_server, now_s)

    def handle_message(self, sender: str, message: Message, now_s: float) -> None:
        """Handle a message from another router or from this one."""
        MESSAGE_HANDLERS[type(message)](self, sender, message, now_s)

    # -- contexts for the functions of each subsystem ------------------------------

    def ingress_context(self) -> IngressContext:
        """Return the ingress side's context for this event."""
        return IngressContext(
            options=self.options,
            configuration=self.configuration,
            draining=self.table.draining,
            draw=self.draw,
            actions=self.actions,
            outbox=self.outbox,
            quarantines=self.quarantines,
            regions=self.regions,
            ended_servers=self.ended_servers,
        )

    def owner_context(self) -> OwnerContext:
        """Return the slot owner's context for this event."""
        return OwnerContext(
            options=self.options,
            configuration=self.configuration,
            list_other_owners=self._list_other_owners,
            backoffs=self.ingress.backoffs,
            draw=self.draw,
            actions=self.actions,
            outbox=self.outbox,
            regions=self.regions,
        )

    def admission_context(self) -> AdmissionContext:
        """Return the context of admission to model engines for this event."""
        return AdmissionContext(
            ingress=self.ingress,
            ingress_context=self.ingress_context(),
            shares=self.shares,
            find_owner=self.placement.server_owners.get,
            now_s=self._now_s,
            availability_zone=self.identity.availability_zone,
        )

    def queue_context(self) -> QueueContext:
        """Return the context of the queues of owned engines for this event."""
        return QueueContext(
            options=self.options,
            configuration=self.configuration,
            is_reachable=self.is_reachable,
            actions=self.actions,
            outbox=self.outbox,
            ended_servers=self.ended_servers,
        )

    def probe_context(self) -> ProbeContext:
        """Return the failure detector's context for this event."""
        return ProbeContext(
            table=self.table,
            leaving=self.leaving_servers,
            options=self.options,
            draw=self.draw,
            version=self.configuration.version,
            servers_order=self.discovery.source_order,
            collect_reader_rows=self._collect_reader_rows,
            collect_holdoff_rows=lambda is_complete: collect_holdoff_rows(
                self, is_complete, self._now_s
            ),
            make_source_proof=lambda: make_proof(self.source_outages, self._now_s),
            collect_quarantine_rows=self._collect_quarantine_rows,
            actions=self.actions,
        )

    @property
    def quarantines(self) -> Quarantines:
        """The quarantines of requests and of parts of prompts."""
        return Quarantines(self.quarantine, self.part_quarantine)

    def is_reachable(self, router_id: str) -> bool:
        """Return whether a router may be alive, so that messages can be sent to it."""
        return is_reachable(self.table, router_id)

    def is_in_own_zone(self, router_id: str) -> bool:
        """Return whether a router is in the same availability zone as this one."""
        return find_zone(self.table, router_id) == self.identity.availability_zone

    def _collect_reader_rows(self) -> tuple[ReaderRow, ...]:
        return collect_reader_rows(self.source_readers, self.table, self.options, self._now_s)

    def _collect_quarantine_rows(self) -> tuple[QuarantineRow, ...]:
        return (
            *collect_quarantine_rows(self.quarantine, self._now_s),
            *collect_quarantine_rows(self.part_quarantine, self._now_s),
        )

    def _list_other_owners(self, pool: str) -> tuple[str, ...]:
        owners = self.placement.pool_owners.get(pool, ())
        return tuple(owner for owner in owners if owner != self.identity.router_id)

    # -- work after every event ----------------------------------------------------

    def _finish_event(self, now_s: float) -> None:
        """Update ownership, then deliver messages, including those to this router itself."""
        self._update_ownership(now_s)
        mark_cold_engines(self, now_s)
        self._deliver_messages(now_s)
        if self.quarantine.has_new_quarantines or self.part_quarantine.has_new_quarantines:
            refuse_quarantined_requests(self, now_s)
            self._deliver_messages(now_s)
        update_leaving_beliefs(self, now_s)

    def _deliver_messages(self, now_s: float) -> None:
        while self.outbox.messages:
            router_id, message = self.outbox.messages.pop(0)
            if router_id == self.identity.router_id:
                self.handle_message(router_id, message, now_s)
                self._update_ownership(now_s)
                continue
            member = self.table.members.get(router_id)
            if member is not None and member.state is not MemberState.DEAD:
                self.actions.add(Send(router_id, member.address, message))

    def _update_ownership(self, now_s: float) -> None:
        previous_owners = self.placement.server_owners
        if not refresh_placement(self.placement, self.table, self.configuration):
            return
        owned = find_owned_servers(self.placement, self.identity.router_id)
        set_owned_servers(self.owner, owned, now_s)
        set_owned_engines(
            self.engine_queues,
            owned,
            self.configuration,
            now_s,
            self.options,
            self.cold_engines.deadlines_s,
        )
        owners = self.placement.server_owners
        moved = {
            name: owner for name, owner in owners.items() if previous_owners.get(name) != owner
        }
        announce_admissions(self.admissions, self.admission_context(), moved, now_s)
        drop_removed_engines(self.admissions, frozenset(owners))
        send_holds_to_new_owners(self.ingress, previous_owners, self.placement, self.outbox)
        hand_over_ends(self, now_s)
        hand_over_origins(self, now_s)
        self.begin_ledger_handover(now_s)

    def begin_ledger_handover(self, now_s: float) -> None:
        """Report all accounts with their known totals, for ledgers that start without state."""
        self.ingress.handover_until_s = now_s + self.options.handover_s
        for account in self.ingress.accounts.values():
            account.changed = True

    def _report_member_changes(self) -> None:
        changes, self.table.unreported_changes = self.table.unreported_changes, []
        for change in changes:
            self.actions.add(MemberStateChanged(change))

    def _handle_pause(self, now_s: float) -> None:
        last_tick_s = self.last_tick_s
        if last_tick_s is None:
            return
        late_s = now_s - last_tick_s
        if late_s <= self.options.pause_threshold_s:
            return
        # Other routers may have become the owners of servers and leases during the pause, so state
        # from before it is no longer reliable.
        self.last_tick_s = now_s
        self.resumed_at_s = now_s
        forget_proofs(self.source_outages)
        self.actions.add(PauseDetected(late_s))
        reset_owner_state(self.owner, now_s)
        clear_queues(self.engine_queues, now_s)
        self.ingress.advertised_requests.clear()
        self.prober.pending.clear()
        self.prober.consecutive_misses.clear()
        for member in self.table.members.values():
            if member.state is MemberState.SUSPECT:
                member.suspect_deadline_s = now_s + self.options.suspicion_s
        refuse_unservable(self.ingress, self.ingress_context(), now_s)
