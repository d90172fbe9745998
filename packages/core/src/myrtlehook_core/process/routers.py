"""The decision core of one router: events in, actions out.

It does no I/O, reads no clock and draws no random numbers of its own, so that a
test or a bench can drive many routers at once, in any order.
"""

from collections.abc import Iterable

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import (
    Action,
    MemberNoted,
    Outbox,
    PauseNoticed,
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
from myrtlehook_core.process.engine_decisions import (
    EngineQueues,
    QueueContext,
    find_next_grant,
)
from myrtlehook_core.process.engine_loads import (
    EngineFigures,
    compute_window_tokens,
    estimate_backlog_tokens,
)
from myrtlehook_core.process.engine_models import make_estimate
from myrtlehook_core.process.engine_queues import clear_queues, set_owned_engines
from myrtlehook_core.process.event_handlers import EVENT_HANDLERS
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
from myrtlehook_core.process.quarantine import Quarantine, collect_rows
from myrtlehook_core.process.quarantine_handlers import refuse_waiting
from myrtlehook_core.process.quarantine_messages import QuarantineRow
from myrtlehook_core.process.refusals import refuse_unservable
from myrtlehook_core.process.shares import Shares
from myrtlehook_core.process.source_messages import ReaderRow
from myrtlehook_core.process.source_readers import SourceReaders, collect_readers
from myrtlehook_core.version.configurations import Configuration
from myrtlehook_core.version.discovery import Discovery, apply_discovery
from myrtlehook_core.version.exchange import (
    ConfigurationExchange,
    ConfigurationParser,
)


class RouterCore:
    """All state of one router; ``handle`` is the only way in."""

    def __init__(
        self,
        identity: RouterIdentity,
        options: CoreOptions,
        draw: Draw,
        parser: ConfigurationParser | None = None,
    ) -> None:
        self.identity = identity
        self.options = options
        self.draw = draw
        self.table = MemberTable(identity, identity.incarnation)
        self.prober = Prober()
        self.placement = Placement()
        self.exchange = ConfigurationExchange(parser=parser)
        self.discovery = Discovery()
        self.leaving = LeavingServers()
        self.cold = ColdEngines()
        self._applied_revisions = (0, 0)
        self._applied_base = self.exchange.current
        self._configuration = self.exchange.current
        self.entry = IngressState(options.retry_burst)
        self.owner = SlotOwner(int(draw() * GRANT_ID_SPACE))
        self.ledger = Ledger()
        self.admissions = Admissions()
        self.queues = EngineQueues()
        self.shares = Shares()
        self.quarantine = Quarantine(first_serial=identity.incarnation)
        self.readers = SourceReaders(reading=options.first_read_delay_s == 0.0)
        self._now_s = 0.0
        self.last_tick_s: float | None = None
        self.out = Outbox()
        """The actions of the event being handled."""
        self.post = MessageOutbox()
        """The messages of the event being handled."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force, with the servers that discovery knows.

        Those that have said that they leave are marked, in whichever way it was heard.
        """
        base = self.exchange.current
        revisions = (self.discovery.revision, self.leaving.revision)
        if self._applied_base is not base or self._applied_revisions != revisions:
            self._applied_base = base
            self._applied_revisions = revisions
            discovered = apply_discovery(base, self.discovery)
            self._configuration = mark_leaving(discovered, self.leaving)
        return self._configuration

    def add_seeds(self, seeds: Iterable[tuple[str, str]], now_s: float) -> None:
        """Name routers, by id and address, that may be alive."""
        for router_id, address in seeds:
            add_candidate(self.table, router_id, address, now_s)

    def handle(self, event: events.Event, now_s: float) -> list[Action]:
        """Take one event and return the actions that it calls for, in order."""
        self.out = Outbox()
        self.post = MessageOutbox()
        self._now_s = now_s
        self._notice_pause(now_s)
        EVENT_HANDLERS[type(event)](self, event, now_s)
        self._settle(now_s)
        self._tell_changes()
        return self.out.actions

    def find_next_grant(self) -> float:
        """Return when ``GrantsDue`` is next of use; infinity while it is not."""
        return find_next_grant(self.queues, self.options, self._now_s)

    def describe_engines(self) -> list[EngineFigures]:
        """Return what is believed of each owned engine, for metrics."""
        return [
            EngineFigures(
                backend_server=name,
                estimate=make_estimate(load.model, self._now_s),
                window_tokens=compute_window_tokens(load, self.options),
                backlog_tokens=estimate_backlog_tokens(load, self._now_s),
                waiting_requests=len(load.waiting),
                granted_requests=len(load.granted),
                cold_until_s=load.pace.cold_until_s,
            )
            for name, load in sorted(self.queues.loads.items())
        ]

    def take_message(self, sender: str, message: Message, now_s: float) -> None:
        """Take a message, of another router or of this one."""
        MESSAGE_HANDLERS[type(message)](self, sender, message, now_s)

    # -- what the features need -------------------------------------------------

    def entry_context(self) -> IngressContext:
        """Return the entry's context for this event."""
        return IngressContext(
            options=self.options,
            configuration=self.configuration,
            draining=self.table.draining,
            draw=self.draw,
            actions=self.out,
            outbox=self.post,
            quarantine=self.quarantine,
        )

    def owner_context(self) -> OwnerContext:
        """Return the slot owner's context for this event."""
        return OwnerContext(
            options=self.options,
            configuration=self.configuration,
            other_owners=self._other_owners,
            backoffs=self.entry.backoffs,
            draw=self.draw,
            actions=self.out,
            outbox=self.post,
        )

    def admission_context(self) -> AdmissionContext:
        """Return the context of requests for model engines for this event."""
        return AdmissionContext(
            entry=self.entry,
            entry_context=self.entry_context(),
            shares=self.shares,
            find_owner=self.placement.server_owners.get,
            now_s=self._now_s,
            availability_zone=self.identity.availability_zone,
        )

    def queue_context(self) -> QueueContext:
        """Return the context of the owned engines' queues for this event."""
        return QueueContext(
            options=self.options,
            configuration=self.configuration,
            reachable=self.reachable,
            out=self.out,
            post=self.post,
        )

    def probe_context(self) -> ProbeContext:
        """Return the failure detector's context for this event."""
        return ProbeContext(
            table=self.table,
            leaving=self.leaving,
            options=self.options,
            draw=self.draw,
            version=self.configuration.version,
            servers_order=self.discovery.source_order,
            readers=self._reader_rows,
            quarantine=self._quarantine_rows,
            out=self.out,
        )

    def reachable(self, router_id: str) -> bool:
        """Tell whether a router is worth sending to."""
        return is_reachable(self.table, router_id)

    def is_near(self, router_id: str) -> bool:
        """Tell whether a router stands in this one's availability zone."""
        return find_zone(self.table, router_id) == self.identity.availability_zone

    def _reader_rows(self) -> tuple[ReaderRow, ...]:
        return collect_readers(self.readers, self.table, self.options, self._now_s)

    def _quarantine_rows(self) -> tuple[QuarantineRow, ...]:
        return collect_rows(self.quarantine, self._now_s)

    def _other_owners(self, pool: str) -> tuple[str, ...]:
        owners = self.placement.pool_owners.get(pool, ())
        return tuple(owner for owner in owners if owner != self.identity.router_id)

    # -- the end of every event ---------------------------------------------------

    def _settle(self, now_s: float) -> None:
        """Follow ownership, then deliver messages, this router's own included."""
        self._follow_ownership(now_s)
        mark_cold_engines(self, now_s)
        self._deliver(now_s)
        if self.quarantine.is_news:
            refuse_waiting(self, now_s)
            self._deliver(now_s)

    def _deliver(self, now_s: float) -> None:
        while self.post.messages:
            router_id, message = self.post.messages.pop(0)
            if router_id == self.identity.router_id:
                self.take_message(router_id, message, now_s)
                self._follow_ownership(now_s)
                continue
            member = self.table.members.get(router_id)
            if member is not None and member.state is not MemberState.DEAD:
                self.out.add(Send(router_id, member.address, message))

    def _follow_ownership(self, now_s: float) -> None:
        before = self.placement.server_owners
        if not refresh_placement(self.placement, self.table, self.configuration):
            return
        owned = find_owned_servers(self.placement, self.identity.router_id)
        set_owned_servers(self.owner, owned, now_s)
        set_owned_engines(
            self.queues, owned, self.configuration, now_s, self.options, self.cold.deadlines_s
        )
        owners = self.placement.server_owners
        moved = {name: owner for name, owner in owners.items() if before.get(name) != owner}
        announce_admissions(self.admissions, self.admission_context(), moved, now_s)
        drop_removed_engines(self.admissions, frozenset(owners))
        send_holds_to_new_owners(self.entry, before, self.placement, self.post)
        self.entry.handover_until_s = now_s + self.options.handover_s
        for account in self.entry.accounts.values():
            account.changed = True

    def _tell_changes(self) -> None:
        changes, self.table.changes = self.table.changes, []
        for change in changes:
            self.out.add(MemberNoted(change))

    def _notice_pause(self, now_s: float) -> None:
        last_tick_s = self.last_tick_s
        if last_tick_s is None:
            return
        late_s = now_s - last_tick_s
        if late_s <= self.options.pause_threshold_s:
            return
        # What was believed before the pause may have moved to other routers.
        self.last_tick_s = now_s
        self.out.add(PauseNoticed(late_s))
        reset_owner_state(self.owner, now_s)
        clear_queues(self.queues, now_s)
        self.entry.advertised_requests.clear()
        self.prober.pending.clear()
        self.prober.missed.clear()
        for member in self.table.members.values():
            if member.state is MemberState.SUSPECT:
                member.suspect_deadline_s = now_s + self.options.suspicion_s
        refuse_unservable(self.entry, self.entry_context(), now_s)
