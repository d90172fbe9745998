"""The task that owns the decision core: feeds it events and executes the actions it returns."""

import time
from collections.abc import Callable
from typing import Any

import eventlet

from myrtlehook_core import (
    Configuration,
    DropReason,
    Event,
    RefusalReason,
    RouterCore,
    actions,
    events,
)
from myrtlehook_router.connection.engines import fetch_load, send_order
from myrtlehook_router.process import clocks
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.line_limits import LineLimit, may_log
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.process.peers import PeerSockets
from myrtlehook_router.process.read_switches import ReadSwitch
from myrtlehook_router.request.tickets import TicketRegistry

BUSY_TICK_S = 0.02
IDLE_TICK_S = 0.05
"""Applies while no request is queued here: only probes and leases then depend on the tick."""

MIN_GRANT_CHECK_INTERVAL_S = 0.002
"""Shortest time between two checks for due grants; a step of an engine takes longer."""

MAX_EVENTS_PER_TURN = 200
"""After this many events, the messages they produced are sent and other tasks get to run."""

FAULT_RETRY_AFTER_S = 1.0
"""Retry delay given to the client of a request whose event raised an exception in the core."""

MAX_LOGGED_FINDINGS = 20
"""Maximum number of findings of a rejected configuration in its log line."""

QUARANTINE_STATES = {
    "held": "quarantined",
    "suspect": "suspect",
    "lifted": "no longer quarantined",
}
"""How log lines call what is believed of a request, or of a part of prompts."""

INTERNAL_EVENTS = (events.Tick, events.GrantsDue)
"""Events without input from outside."""

MAX_INTERNAL_FAULTS = 200
"""After this many internal events in a row that raise an exception, the core is broken, and the
exception ends the process, which is then started again. A single one may be due to one value."""

_log = get_logger("core")
_belief_log = get_logger("core", is_kept=True)
"""For lines that an investigation of an overload needs; there are a few per second."""


class CoreTask:
    """Feeds events to the core, one at a time, and executes the actions that it returns."""

    def __init__(
        self,
        core: RouterCore,
        mailbox: Mailbox,
        peers: PeerSockets,
        read_part: Callable[[str], str | None],
        tickets: TicketRegistry,
        counters: Counters,
        read_switch: ReadSwitch | None = None,
    ) -> None:
        self.core = core
        self._mailbox = mailbox
        self._peers = peers
        self._read_part = read_part
        self._tickets = tickets
        self._counters = counters
        self._read_switch = read_switch or ReadSwitch()
        self._unsent_messages: dict[tuple[str, str], list[actions.Message]] = {}
        self._polled_servers: set[str] = set()
        self._internal_faults = 0
        """The number of internal events in a row that have raised an exception."""
        self._fault_lines: dict[str, LineLimit] = {}
        self.cpu_s = 0.0
        """Processor time spent in the core and on encoding messages, in seconds."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.core.configuration

    def run_forever(self) -> None:
        """Handle events until the process ends; the main loop of a task."""
        next_tick_s = clocks.now_s()
        while True:
            now_s = clocks.now_s()
            grants_due_s = max(self.core.find_next_grant_s(), now_s + MIN_GRANT_CHECK_INTERVAL_S)
            event = self._mailbox.receive(max(min(next_tick_s, grants_due_s) - now_s, 0.0))
            started_s = time.thread_time()
            self._run_turn(event)
            now_s = clocks.now_s()
            if now_s >= grants_due_s:
                self._handle(events.GrantsDue())
            if now_s >= next_tick_s:
                waiting = self.core.ingress.queued_requests > 0
                next_tick_s = now_s + (BUSY_TICK_S if waiting else IDLE_TICK_S)
                self._handle(events.Tick())
            self._send_unsent_messages()
            self.cpu_s += time.thread_time() - started_s
            eventlet.sleep(0)

    def _run_turn(self, event: Event | None) -> None:
        handled_count = 0
        while event is not None:
            self._handle(event)
            handled_count += 1
            if handled_count >= MAX_EVENTS_PER_TURN:
                return
            event = self._mailbox.receive(0.0)

    def _handle(self, event: Event) -> None:
        try:
            returned = self.core.handle(event, clocks.now_s())
        except Exception:
            # If one event ended the process, the same input would end every router that receives
            # it, one after another. What it had decided before it raised an exception holds.
            returned = self.core.take_actions()
            self._drop_event(event)
        else:
            if isinstance(event, INTERNAL_EVENTS):
                self._internal_faults = 0
        for action in returned:
            self._execute(action)

    def _execute(self, action: actions.Action) -> None:
        """Execute an action; one that raises an exception is dropped, and the others are not."""
        try:
            _ACTION_HANDLERS[type(action)](self, action)
        except Exception:
            kind = type(action).__name__
            self._counters.add(f"action.fault.{kind}")
            if self._may_log_fault(kind):
                _belief_log.exception("action dropped", kind=kind)

    def _drop_event(self, event: Event) -> None:
        """Skip an event on which the core raised an exception; refuse it if it is a request.

        :raises Exception: the same one if too many internal events in a row have raised one.
        """
        kind = type(event).__name__
        source = None
        if isinstance(event, events.MessageReceived):
            kind = type(event.message).__name__
            source = event.sender
        self._counters.add(f"core.fault.{kind}")
        if self._may_log_fault(kind):
            _belief_log.exception("event dropped", kind=kind, source=source)
        if isinstance(event, INTERNAL_EVENTS):
            self._internal_faults += 1
            if self._internal_faults > MAX_INTERNAL_FAULTS:
                raise
        if isinstance(event, events.RequestArrived):
            reason = RefusalReason.ROUTER_FAULT
            self._deliver_decision(
                actions.Refuse(event.request.request_id, reason, FAULT_RETRY_AFTER_S)
            )

    def _may_log_fault(self, kind: str) -> bool:
        """Return whether to log a fault in an event or action of a kind; each has its own limit."""
        return may_log(self._fault_lines.setdefault(kind, LineLimit()), clocks.now_s())

    def _send_unsent_messages(self) -> None:
        unsent, self._unsent_messages = self._unsent_messages, {}
        for (router_id, address), messages in unsent.items():
            self._peers.send(
                router_id, address, tuple(messages), self.core.is_in_own_zone(router_id)
            )

    # -- actions --------------------------------------------------------------------

    def _deliver_decision(self, action: actions.Dispatch | actions.Refuse) -> None:
        ticket = self._tickets.find(action.request_id)
        if ticket is not None:
            ticket.add_decision(action)

    def _queue_message(self, action: actions.Send) -> None:
        self._unsent_messages.setdefault((action.router_id, action.address), []).append(
            action.message
        )

    def _renew_link(self, action: actions.RenewLink) -> None:
        self._counters.add("control.renewed_links")
        _log.info("link renewed", member=action.router_id)
        self._peers.renew_connection(action.address)

    def _poll_load(self, action: actions.PollLoad) -> None:
        if action.backend_server in self._polled_servers:
            return
        self._polled_servers.add(action.backend_server)
        eventlet.spawn_n(self._fetch_load, action)

    def _fetch_load(self, action: actions.PollLoad) -> None:
        try:
            report = fetch_load(action.backend_server, action.address)
            if report is None:
                self._counters.add("backend.load_unreadable")
            else:
                self._mailbox.post(report)
        finally:
            self._polled_servers.discard(action.backend_server)

    def _send_order(self, action: actions.SendOrder) -> None:
        eventlet.spawn_n(self._deliver_order, action)

    def _deliver_order(self, action: actions.SendOrder) -> None:
        outcome = send_order(action)
        self._counters.add(f"order.{outcome}")
        _log.info(
            "order", backend_server=action.backend_server, fence=action.fence, outcome=outcome
        )

    def _fetch_part(self, action: actions.FetchPart) -> None:
        eventlet.spawn_n(self._fetch_and_post_part, action)

    def _fetch_and_post_part(self, action: actions.FetchPart) -> None:
        text = self._read_part(action.key)
        if text is not None:
            self._mailbox.post(events.PartRead(action.digest, text))

    def _record_configuration(self, action: actions.ConfigurationChanged) -> None:
        version = action.configuration.version
        self._counters.add("configuration.accepted")
        _belief_log.info(
            "configuration accepted",
            number=version.number,
            digest=version.digest,
            source=action.source,
        )

    def _record_heard_configuration(self, action: actions.ConfigurationHeard) -> None:
        _belief_log.info(
            "configuration heard of",
            number=action.version.number,
            digest=action.version.digest,
            source=action.source,
            current_number=action.current_number,
        )

    def _record_sent_configuration(self, action: actions.ConfigurationSent) -> None:
        self._counters.add("configuration.sent")
        _belief_log.info(
            "configuration sent",
            number=action.number,
            receiver=action.receiver,
            documents=action.documents,
        )

    def _record_servers(self, action: actions.BackendServersChanged) -> None:
        self._counters.add("discovery.changed")
        _log.info(
            "backend servers changed",
            servers=action.servers,
            leaving=action.leaving,
            evacuated_zones=action.evacuated_zones,
            era=action.source_order.era,
            revision=action.source_order.revision,
            source=action.source,
        )

    def _record_cold_engine(self, action: actions.ColdEngineDetected) -> None:
        self._counters.add(f"engines.cold.{action.reason.replace(' ', '_')}")
        _log.info(
            "engine is cold",
            backend_server=action.backend_server,
            left_s=round(action.until_s - clocks.now_s(), 3),
            reason=action.reason,
        )

    def _record_reading_bound(self, action: actions.ReadingBoundChanged) -> None:
        outcome = "bounded" if action.is_bounded else "unbounded"
        self._counters.add(f"engines.reading_{outcome}")
        _log.info(
            f"engine reading {outcome}",
            backend_server=action.backend_server,
            reading_event_ms=round(action.reading_event_s * 1000.0, 1),
            idle_event_ms=round(action.idle_event_s * 1000.0, 1),
            reports=action.reports,
        )

    def _record_leaving_server(self, action: actions.ServerLeavingReported) -> None:
        self._counters.add("backend.leaving")
        _log.info(
            "backend server leaves",
            backend_server=action.backend_server,
            source=action.source,
            request_id=action.request_id or None,
        )

    def _record_server_belief(self, action: actions.ServerBeliefChanged) -> None:
        self._counters.add(f"backend.believed.{action.state}.{action.learned_by}")
        left_s = None if action.until_s is None else action.until_s - clocks.now_s()
        _belief_log.info(
            "backend server believed",
            backend_server=action.backend_server,
            before=action.state_before or None,
            state=action.state,
            learned_by=action.learned_by,
            source=action.source,
            gone_in_s=None if left_s is None else round(left_s, 3),
            era=action.order.era,
            revision=action.order.revision,
        )

    def _record_omitted_beliefs(self, action: actions.ServerBeliefsOmitted) -> None:
        self._counters.add("backend.believed.omitted", action.count)
        _belief_log.info("backend servers believed, omitted", count=action.count)

    def _record_holdoff(self, action: actions.ServerHeldOff) -> None:
        self._counters.add("backend.held_off")
        _belief_log.info(
            "backend server held off",
            backend_server=action.backend_server,
            for_s=round(action.until_s - clocks.now_s(), 3),
            source=action.source,
        )

    def _record_backoff(self, action: actions.ServerBackoffReported) -> None:
        self._counters.add("backend.backoff")
        left_s = action.until_s - clocks.now_s()
        _log.info(
            "backend server backs off",
            backend_server=action.backend_server,
            for_s=round(left_s, 2),
            request_id=action.request_id,
        )

    def _switch_source_reading(self, action: actions.ReadSource) -> None:
        self._counters.add(f"source.{'read' if action.wanted else 'left_to_others'}")
        self._read_switch.set(action.wanted)
        _log.info("reading the source", wanted=action.wanted, readers_before=action.readers_before)

    def _record_source_reader(self, action: actions.SourceReaderChanged) -> None:
        self._counters.add(f"source.reader_{'returned' if action.is_answered else 'withdrew'}")
        _belief_log.info(
            "source reader changed",
            reader=action.router_id,
            answered=action.is_answered,
            source=action.source,
        )

    def _record_rejected_configuration(self, action: actions.ConfigurationRejected) -> None:
        self._counters.add("configuration.rejected")
        _belief_log.error(
            "configuration rejected",
            number=action.number,
            source=action.source,
            count=len(action.findings),
            findings=[str(finding) for finding in action.findings[:MAX_LOGGED_FINDINGS]],
        )

    def _record_admission(self, action: actions.AdmissionDecided) -> None:
        granted = action.retry_after_ms is None
        outcome = "granted" if granted else "refused"
        self._counters.add(f"admission.{outcome}")
        if action.held_s > 0.0:
            self._counters.add("admission.held")
        band = _find_share_band(action)
        self._counters.add(f"shares.{outcome}_tokens.{band}", action.asked_tokens)
        estimate = action.estimate
        _log.info(
            f"admission {outcome}",
            request_id=action.request_id,
            backend_server=action.backend_server,
            waited_ms=round(action.waited_s * 1000.0, 1),
            unread_tokens=action.unread_tokens,
            backlog_tokens=round(action.backlog_tokens),
            window_tokens=round(action.window_tokens),
            waiting=action.waiting_requests,
            granted=action.granted_requests,
            tier=action.tier,
            above_share=action.above_share,
            eager=action.eager,
            retry_after_ms=action.retry_after_ms,
            rate_tokens_per_s=round(estimate.rate_tokens_per_s),
            delay_ms=estimate.delay_ms,
            samples=estimate.samples,
            estimate_age_ms=estimate.age_ms,
            reading_event_ms=estimate.reading_event_ms,
            idle_event_ms=estimate.idle_event_ms,
            held_ms=round(action.held_s * 1000.0, 1),
        )

    def _record_early_refusal(self, action: actions.EarlyBeginningRefused) -> None:
        self._counters.add("admission.not_early")
        waits_ms = {name: round(wait_s * 1000.0) for name, wait_s in action.waits_s.items()}
        _log.info("no early beginning", request_id=action.request_id, waits_ms=waits_ms)

    def _record_engine_weights(self, action: actions.EngineWeightsChanged) -> None:
        self._counters.add("engines.weights_changed")
        _log.info(
            "engine weights changed",
            pool=action.pool,
            reference_tokens_per_s=round(action.reference_tokens_per_s),
            steps=action.steps,
        )

    def _record_share_level(self, action: actions.ShareLevelReported) -> None:
        _belief_log.info(
            "share level",
            pool=action.pool,
            level_tokens=action.level_tokens,
            configured_tokens=round(action.configured_tokens),
            shared_tokens=round(action.shared_tokens),
            asked_tokens=action.asked_tokens,
            refused_tokens=action.refused_tokens,
            reports=action.reports,
            above={
                row.workspace: {
                    "asked_tokens": row.asked_tokens,
                    "received_tokens": row.granted_tokens,
                }
                for row in action.above
            },
        )

    def _record_share_tallies(self, action: actions.ShareTalliesReported) -> None:
        _belief_log.info(
            "share tallies",
            pool=action.pool,
            level_tokens=action.level_tokens,
            level_age_ms=round(action.level_age_s * 1000.0),
            workspaces={
                name: {
                    "asked_tokens": tally.asked_tokens,
                    "granted_tokens": tally.granted_tokens,
                    "refused_tokens": tally.refused_tokens,
                    "tier_tokens": {
                        str(tier): tally.tier_tokens[tier] for tier in sorted(tally.tier_tokens)
                    },
                }
                for name, tally in action.tallies.items()
            },
        )

    def _record_member_change(self, action: actions.MemberStateChanged) -> None:
        change = action.change
        self._counters.add(f"members.{change.state.name.lower()}")
        _log.info(
            "member changed",
            member=change.router_id,
            before=change.previous_state.name.lower(),
            state=change.state.name.lower(),
            cause=change.cause,
            held_s=round(change.previous_state_age_s, 3),
            incarnation=change.incarnation,
        )

    def _record_retry(self, action: actions.RequestRequeued) -> None:
        self._counters.add(f"retry.{action.reason}")
        _log.info("retry", request_id=action.request_id, reason=action.reason)

    def _record_dropped_message(self, action: actions.MessageDropped) -> None:
        self._counters.add(f"drop.{DropReason(action.reason)}")

    def _record_spread_bids(self, action: actions.BidsSpread) -> None:
        self._counters.add("bids.spread")
        self._counters.add("bids.spread_owners", len(action.owners))
        _log.info(
            "bids spread",
            pool=action.pool,
            full_owner=action.full_owner,
            owners=action.owners,
            waiting=action.waiting_requests,
            longest_wait_ms=round(action.longest_wait_s * 1000.0, 1),
        )

    def _record_updated_bids(self, action: actions.BidsUpdated) -> None:
        self._counters.add("bids.updated_owners", action.owners)

    def _record_ejection(self, action: actions.ServerEjected) -> None:
        self._counters.add("backend.ejected")
        left_s = action.until_s - clocks.now_s()
        _log.warning("ejected", backend_server=action.backend_server, for_s=round(left_s, 2))

    def _record_server_end(self, action: actions.ServerEndCounted) -> None:
        self._counters.add("quarantine.ends")
        _belief_log.warning(
            "backend server ended under a request",
            fingerprint=action.fingerprint.hex(),
            backend_server=action.backend_server,
            ends=action.ends,
            reporter=action.reporter,
            told_by=action.told_by,
            age_s=round(action.age_s, 3),
        )

    def _record_unconfirmed_version(self, action: actions.VersionUnconfirmed) -> None:
        self._counters.add("backend.version_unconfirmed")
        _belief_log.info(
            "software version unconfirmed",
            backend_server=action.backend_server,
            for_s=round(action.until_s - clocks.now_s(), 3),
            source=action.source,
        )

    def _record_stream_origin(self, action: actions.StreamOriginFound) -> None:
        found = action.software_version is not None
        self._counters.add("stream.origin_found" if found else "stream.origin_unknown")
        _belief_log.info(
            "stream origin found" if found else "stream origin unknown",
            request_id=action.request_id,
            software_version=action.software_version,
            source=action.source or None,
            asked=action.asked,
            answers=action.answers,
        )

    def _record_restart(self, action: actions.RestartNoticed) -> None:
        self._counters.add("members.restart_noticed")
        _log.warning("router has restarted unnoticed", member=action.router_id)

    def _record_quarantine(self, action: actions.QuarantineChanged) -> None:
        left_s = action.quarantined_until_s - clocks.now_s()
        kind = "part" if action.is_part else "request"
        state = "held" if left_s > 0.0 else "suspect" if action.ends else "lifted"
        self._counters.add(f"quarantine.{state}" + (".parts" if action.is_part else ""))
        _belief_log.warning(
            f"{kind} {QUARANTINE_STATES[state]}",
            fingerprint=action.fingerprint.hex(),
            ends=action.ends,
            for_s=round(max(left_s, 0.0), 2),
            cause=action.cause,
            told_by=action.told_by,
        )

    def _record_pause(self, action: actions.PauseDetected) -> None:
        self._counters.add("process.paused")
        _log.warning("woke late", late_s=round(action.late_s, 3))


def _find_share_band(action: actions.AdmissionDecided) -> str:
    """Return how a request stands to its workspace's share, as it appears in counter names."""
    if action.tier > 0:
        return "excess"
    return "share" if action.above_share else "below_share"


# The values are typed Any here; each method's signature gives the type of its action.
_ACTION_HANDLERS: dict[type, Callable[[CoreTask, Any], None]] = {
    actions.Dispatch: CoreTask._deliver_decision,
    actions.Refuse: CoreTask._deliver_decision,
    actions.Send: CoreTask._queue_message,
    actions.RenewLink: CoreTask._renew_link,
    actions.PollLoad: CoreTask._poll_load,
    actions.SendOrder: CoreTask._send_order,
    actions.FetchPart: CoreTask._fetch_part,
    actions.ConfigurationChanged: CoreTask._record_configuration,
    actions.ConfigurationHeard: CoreTask._record_heard_configuration,
    actions.ConfigurationSent: CoreTask._record_sent_configuration,
    actions.BackendServersChanged: CoreTask._record_servers,
    actions.ColdEngineDetected: CoreTask._record_cold_engine,
    actions.ReadingBoundChanged: CoreTask._record_reading_bound,
    actions.ServerLeavingReported: CoreTask._record_leaving_server,
    actions.ServerBeliefChanged: CoreTask._record_server_belief,
    actions.ServerBeliefsOmitted: CoreTask._record_omitted_beliefs,
    actions.ServerHeldOff: CoreTask._record_holdoff,
    actions.ServerBackoffReported: CoreTask._record_backoff,
    actions.ReadSource: CoreTask._switch_source_reading,
    actions.SourceReaderChanged: CoreTask._record_source_reader,
    actions.ConfigurationRejected: CoreTask._record_rejected_configuration,
    actions.AdmissionDecided: CoreTask._record_admission,
    actions.EarlyBeginningRefused: CoreTask._record_early_refusal,
    actions.EngineWeightsChanged: CoreTask._record_engine_weights,
    actions.ShareLevelReported: CoreTask._record_share_level,
    actions.ShareTalliesReported: CoreTask._record_share_tallies,
    actions.MemberStateChanged: CoreTask._record_member_change,
    actions.RequestRequeued: CoreTask._record_retry,
    actions.MessageDropped: CoreTask._record_dropped_message,
    actions.BidsSpread: CoreTask._record_spread_bids,
    actions.BidsUpdated: CoreTask._record_updated_bids,
    actions.ServerEjected: CoreTask._record_ejection,
    actions.ServerEndCounted: CoreTask._record_server_end,
    actions.RestartNoticed: CoreTask._record_restart,
    actions.VersionUnconfirmed: CoreTask._record_unconfirmed_version,
    actions.StreamOriginFound: CoreTask._record_stream_origin,
    actions.QuarantineChanged: CoreTask._record_quarantine,
    actions.PauseDetected: CoreTask._record_pause,
}
