"""The router process with the routed interface: starts its tasks, and drains before it stops."""

import random
import signal
import socket
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import eventlet

from myrtlehook_core import (
    Finding,
    IngressLimits,
    Listener,
    MemberState,
    RouterCore,
    RouterIdentity,
    Shedding,
    count_quarantined,
    events,
)
from myrtlehook_router.connection.connection_pools import (
    ConnectionPool,
    close_expired_connections,
    drop_idle_connections,
    find_closing_servers,
    open_idle_connection,
    renew_witnesses,
)
from myrtlehook_router.connection.listeners import (
    adopt_listener,
    open_listener,
    serve_internally,
)
from myrtlehook_router.connection.memory_gates import MemoryGate
from myrtlehook_router.connection.passing import ConnectionPasser, PassingConfig
from myrtlehook_router.connection.reading_turns import ReadingTurns
from myrtlehook_router.connection.request_bodies import ProcessBudgets
from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.connection.server_checks import ServerChecks, ServerState
from myrtlehook_router.process import clocks
from myrtlehook_router.process.caller_servers import CallerServer, CallerServices
from myrtlehook_router.process.core_tasks import MAX_LOGGED_FINDINGS, CoreTask
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.engine_gauges import list_engine_gauges
from myrtlehook_router.process.gateway_settings import GatewaySettings, ReloadedSettings
from myrtlehook_router.process.lags import watch_lag
from myrtlehook_router.process.log_streams import REPORT_INTERVAL_S, BoundedStream, KeptStream
from myrtlehook_router.process.logs import get_logger, set_up_logs
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.process.metrics import Metrics
from myrtlehook_router.process.peers import PeerSockets
from myrtlehook_router.process.read_switches import ReadSwitch
from myrtlehook_router.process.signals import Signal
from myrtlehook_router.process.tasks import run_or_exit
from myrtlehook_router.request.gateways import GatewayServices, make_gateway
from myrtlehook_router.request.passed_requests import make_request_reader
from myrtlehook_router.request.refusal_sums import RefusalSums, log_refusal_sums
from myrtlehook_router.request.request_tallies import RequestTallies
from myrtlehook_router.request.services import RequestServices
from myrtlehook_router.request.tickets import TicketRegistry

PEER_WAIT_S = 1.0
"""A starting router becomes ready once a peer has answered, or after this time without one."""

DRAIN_CHECK_INTERVAL_S = 0.05
DRAIN_LINGER_S = 0.2
"""Time for responses that are already in the kernel's buffers to be sent."""

IDLE_CONNECTION_CHECK_INTERVAL_S = 1.0
CLOSING_CHECK_INTERVAL_S = 0.25
"""Interval of the check for idle connections that servers have closed early."""

RELOAD_INTERVAL_S = 2.0
"""Settings may change without a signal, so their file is also read again at this interval."""

NEIGHBOUR_CHECK_INTERVAL_S = 0.2
"""Interval of the check that neighbours serving clients of this router are still alive."""

Source = Callable[[Mailbox], None]
"""A loop that posts published configuration and servers to the core; it never returns."""

_log = get_logger("daemon")


class GatewayDaemon:
    """Owns all tasks of one router process."""

    def __init__(
        self,
        settings: GatewaySettings,
        make_sources: Callable[[Counters, ReadSwitch], Iterable[Source]],
        reload_settings: Callable[[], ReloadedSettings],
        client_socket: socket.socket | None = None,
    ) -> None:
        """Prepare a router.

        :param reload_settings: reads the settings again.
        :param client_socket: the listening socket for clients, if it is open already.
        """
        self._client_socket = client_socket
        self._reload_settings = reload_settings
        self._findings: tuple[Finding, ...] = ()
        """What was unsound in the settings file when it was last read again."""
        self._stop_signal = Signal()
        self._reload_signal = Signal()
        self._log_stream = BoundedStream(sys.stdout.fileno())
        set_up_logs(settings.vm, self._log_stream, KeptStream(self._log_stream))  # type: ignore[arg-type]
        self._settings = settings
        self._started_at_s = clocks.now_s()
        self._draining = False
        self._refusing = False
        """True once the drain notice has passed, so that the load balancer should have noticed."""
        self._counters = Counters(None)
        self._budgets = ProcessBudgets(
            MemoryGate(settings.client_memory_bytes, self._counters), ReadingTurns()
        )
        self._server_checks = ServerChecks()
        self._tallies = RequestTallies(settings.options.tallies_requests)
        self._metrics = Metrics(
            self._counters,
            self._read_gauges,
            lambda: list_engine_gauges(self._core_task.core.describe_engines()),
            self._tallies,
            self._budgets.turns,
        )
        self._mailbox = Mailbox()
        self._tickets = TicketRegistry()
        self._connection_pool = ConnectionPool()
        self._shedding = Shedding()
        self._refusal_sums = RefusalSums()
        peers = settings.peers
        # The address serves as the router id, because seeds are listed by address only.
        self._router_id = f"{peers.address}:{peers.port}"
        incarnation = int(time.time() * 1000)
        self._peers = PeerSockets(
            self._router_id, peers, settings.fleet_key, incarnation, self._counters
        )
        self._read_switch = ReadSwitch(wanted=settings.options.first_read_delay_s == 0.0)
        self._core_task = self._make_core_task(incarnation)
        self._sources = list(make_sources(self._counters, self._read_switch))
        self._passer = self._make_passer()
        self._caller_server = self._make_caller_server()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; return once drained."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        for task in self._list_tasks():
            eventlet.spawn(run_or_exit, task)
        listener = eventlet.spawn(self._serve_callers)
        _log.info("started", router=self._router_id, seeds=self._settings.seeds)
        if not clocks.COUNTS_SUSPENSION:
            _log.warning("no clock counts the time of a suspended VM; the steady one is taken")
        self._wait_until_drained(listener)
        self._peers.close()
        self._log_sums()
        _log.info(
            "stopped",
            open_requests=len(self._tickets),
            unanswered_requests=self._count_unanswered(),
            counters=dict(self._counters.values),
        )
        self._log_stream.write_queued()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send clients here."""
        core = self._core_task.core
        if self._draining or core.configuration.version.number == 0:
            return False
        if not core.discovery.active:
            return False
        members = core.table.members.values()
        if any(member.state is MemberState.ALIVE for member in members):
            return True
        # After a restart, peers are asked first, because the platform's data may be stale.
        return clocks.now_s() - self._started_at_s > PEER_WAIT_S

    def _make_core_task(self, incarnation: int) -> CoreTask:
        identity = RouterIdentity(
            self._router_id,
            self._router_id,
            incarnation,
            self._settings.availability_zone,
            self._settings.capacity if self._settings.options.places_by_capacity else 0,
        )
        core = RouterCore(
            identity,
            self._settings.options,
            random.random,
            self._settings.parser,
            self._settings.regions,
        )
        core.add_seeds([(seed, seed) for seed in self._settings.seeds], clocks.now_s())
        return CoreTask(
            core,
            self._mailbox,
            self._peers,
            _read_no_part,
            self._tickets,
            self._counters,
            self._read_switch,
        )

    def _list_tasks(self) -> list[Callable[[], None]]:
        settings = self._settings
        tasks: list[Callable[[], None]] = [
            self._core_task.run_forever,
            self._log_stream.write_forever,
            self._close_idle_connections_forever,
            self._find_ended_servers_forever,
            self._log_sums_forever,
            self._reload_forever,
            lambda: self._peers.receive_forever(self._mailbox),
            lambda: self._serve_internally(settings.readiness, self._answer_readiness),
            lambda: self._serve_internally(settings.metrics, self._metrics.answer),
        ]
        if settings.neighbours is not None and self._passer is not None:
            neighbour_listener = settings.neighbours
            tasks.append(lambda: self._caller_server.serve_neighbours(neighbour_listener))
            tasks.append(self._abort_dead_neighbours_forever)
        if settings.options.sheds_overload:
            tasks.append(
                lambda: watch_lag(
                    self._shedding, lambda: self._caller_server.busy_meter.busy_fraction
                )
            )
        for source in self._sources:
            tasks.append(lambda source=source: source(self._mailbox))  # type: ignore[misc]
        return tasks

    def _make_caller_server(self) -> CallerServer:
        settings = self._settings
        requests = RequestServices(
            mailbox=self._mailbox,
            tickets=self._tickets,
            counters=self._counters,
            configuration=lambda: self._core_task.configuration,
            is_draining=lambda: self._draining,
            is_refusing=lambda: self._refusing,
            body_limit_bytes=0,
            shedding=self._shedding,
            shares=self._core_task.core.shares,
            refusal_sums=self._refusal_sums,
            tallies=self._tallies,
            server_checks=self._server_checks,
            find_send_belief=lambda backend_server: self._core_task.core.find_send_belief(
                backend_server, clocks.now_s()
            ),
        )
        services = CallerServices(
            application=make_gateway(
                GatewayServices(requests, settings.header_names, self._connection_pool)
            ),
            limits=self._get_limits,
            is_draining=lambda: self._draining,
            is_ready=self.is_ready,
            counters=self._counters,
            max_connections=settings.max_connections,
            max_descriptors=settings.max_caller_descriptors or settings.max_connections,
            router_id=self._router_id,
            fleet_key=settings.fleet_key,
            options=settings.options,
            get_configuration_number=self._get_configuration_number,
            budgets=self._budgets,
        )
        return CallerServer(services, self._passer)

    def _make_passer(self) -> ConnectionPasser | None:
        settings = self._settings
        if settings.neighbours is None or not settings.options.passes_connections:
            return None
        passing_config = PassingConfig(
            self._router_id, settings.fleet_key, settings.neighbours.port
        )
        return ConnectionPasser(
            passing_config,
            self._core_task.core.table,
            random.random,
            self._counters,
            self._get_configuration_number,
            make_request_reader(lambda: self._core_task.configuration, settings.header_names),
            self._budgets.gate,
        )

    def _serve_callers(self) -> None:
        client_socket = self._client_socket
        listener = (
            open_listener(self._settings.callers)
            if client_socket is None
            else adopt_listener(client_socket)
        )
        self._caller_server.serve(listener)

    def _serve_internally(
        self, address: Listener, application: Callable[..., Iterable[bytes]]
    ) -> None:
        serve_internally(address, application, self._budgets, self._counters)

    def _abort_dead_neighbours_forever(self) -> None:
        """Abort the connections that dead neighbours served; the main loop of a task."""
        while True:
            eventlet.sleep(NEIGHBOUR_CHECK_INTERVAL_S)
            if self._passer is not None:
                self._passer.abort_dead_neighbours()

    def _get_limits(self) -> IngressLimits:
        return self._core_task.configuration.limits

    def _get_configuration_number(self) -> int:
        return self._core_task.configuration.version.number

    def _answer_readiness(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        status = "200 OK" if self.is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []

    def _read_gauges(self) -> dict[str, float]:
        core = self._core_task.core
        return {
            "open_requests": len(self._tickets),
            "configuration_number": core.configuration.version.number,
            "backend_servers": len(core.configuration.backend_servers),
            "evacuated_zones": len(core.discovery.evacuated_zones),
            "routers_alive": sum(
                member.state is MemberState.ALIVE for member in core.table.members.values()
            ),
            "backend_connections_opened": self._connection_pool.opened_count,
            "shed_part": self._shedding.refused_fraction,
            "quarantined_requests": count_quarantined(core.quarantine, clocks.now_s()),
            "quarantined_parts": count_quarantined(core.part_quarantine, clocks.now_s()),
            "reads_source": float(self._read_switch.wanted),
            "log_lines_dropped": self._log_stream.dropped_lines,
            "client_memory_held_bytes": self._budgets.gate.budget.held_bytes,
            "client_memory_bytes": self._budgets.gate.budget.total_bytes,
            "busy_part": self._caller_server.busy_meter.busy_fraction,
            "passed_connections": 0 if self._passer is None else self._passer.count_connections(),
        }

    def _log_sums_forever(self) -> None:
        """Log the sums of refusals and of dropped log lines; the main loop of a task."""
        while True:
            eventlet.sleep(REPORT_INTERVAL_S)
            self._log_sums()

    def _log_sums(self) -> None:
        log_refusal_sums(self._refusal_sums)
        dropped_lines = self._log_stream.pop_unreported_drops()
        if dropped_lines:
            _log.warning("log lines dropped", lines=dropped_lines)

    def _close_idle_connections_forever(self) -> None:
        while True:
            eventlet.sleep(IDLE_CONNECTION_CHECK_INTERVAL_S)
            servers = self._core_task.configuration.backend_servers.values()
            addresses = {server.address for server in servers}
            close_expired_connections(self._connection_pool, addresses.__contains__)

    def _find_ended_servers_forever(self) -> None:
        """Check servers that close idle connections early, and renew witnesses.

        The main loop of a task.

        Otherwise the end of a server that runs no request might go unnoticed until it is back.
        """
        while True:
            eventlet.sleep(CLOSING_CHECK_INTERVAL_S)
            renew_witnesses(self._connection_pool)
            for address in find_closing_servers(self._connection_pool):
                drop_idle_connections(self._connection_pool, address)
                eventlet.spawn_n(self._check_closing_server, address)
            for server in self._core_task.core.find_unobserved_servers():
                eventlet.spawn_n(self._observe_server, server.address)

    def _check_closing_server(self, address: str) -> None:
        found_s = clocks.now_s()
        if self._server_checks.check(address) is ServerState.ENDED:
            self._report_ended_server(address, found_s)

    def _observe_server(self, address: str) -> None:
        """Keep a connection to an idle server, by which its end is noticed."""
        now_s = clocks.now_s()
        if open_idle_connection(self._connection_pool, address) is SendFailure.REFUSED:
            self._report_ended_server(address, now_s)

    def _report_ended_server(self, address: str, found_s: float) -> None:
        self._counters.add("backend.found_ended")
        for server in self._core_task.configuration.backend_servers.values():
            if server.address == address:
                self._mailbox.post(events.ServerFoundEnded(server.name, found_s))

    def _on_stop(self, number: int, frame: object) -> None:
        self._draining = True
        self._stop_signal.set()

    def _on_reload(self, number: int, frame: object) -> None:
        self._reload_signal.set()

    def _reload_forever(self) -> None:
        """Apply changed settings, on a signal and at intervals; the main loop of a task."""
        while True:
            self._reload_signal.wait(RELOAD_INTERVAL_S)
            self._reload_signal.clear()
            reloaded = self._reload_settings()
            self._report_findings(reloaded.findings)
            self._apply_settings(reloaded.settings)

    def _report_findings(self, findings: tuple[Finding, ...]) -> None:
        """Count and log what is unsound in a changed settings file, once until it changes."""
        if findings == self._findings:
            return
        self._findings = findings
        if not findings:
            _log.info("settings sound again")
            return
        self._counters.add("settings.rejected")
        _log.error(
            "settings rejected in part",
            count=len(findings),
            findings=[str(finding) for finding in findings[:MAX_LOGGED_FINDINGS]],
        )

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the settings that may change at run time; listening addresses may not."""
        if settings == self._settings:
            return
        new_seeds = [seed for seed in settings.seeds if seed not in self._settings.seeds]
        self._mailbox.post(events.SeedsNamed(tuple(new_seeds)))
        self._settings = replace(
            self._settings,
            seeds=settings.seeds,
            drain_notice_s=settings.drain_notice_s,
            drain_limit_s=settings.drain_limit_s,
        )
        self._counters.add("settings.reloaded")
        _log.info("settings reloaded", seeds=settings.seeds, new_seeds=new_seeds)

    def _count_open_requests(self) -> int:
        """Return the number of open requests of clients, here and at neighbours."""
        passed = 0 if self._passer is None else self._passer.count_requests()
        return len(self._tickets) + passed

    def _count_unanswered(self) -> int:
        """Return the number of requests that clients have begun to send and that have no answer."""
        return self._count_open_requests() + self._caller_server.count_busy_connections()

    def _wait_until_drained(self, listener: Any) -> None:
        self._stop_signal.wait(None)
        stopped_at_s = clocks.now_s()
        _log.info("draining", open_requests=len(self._tickets))
        self._mailbox.post(events.DrainStarted())
        eventlet.sleep(self._settings.drain_notice_s)
        # The listener stays open: a load balancer with too few routers left sends clients here
        # nevertheless, and after a refusal they can use another router at once.
        self._refusing = True
        limit_s = stopped_at_s + self._settings.drain_limit_s
        while self._count_open_requests() > 0 and clocks.now_s() < limit_s:
            eventlet.sleep(DRAIN_CHECK_INTERVAL_S)
        self._caller_server.stop_accepting(limit_s)
        # Requests that are on their way are read, and refused, before their connections end.
        eventlet.sleep(DRAIN_LINGER_S)
        while self._count_unanswered() > 0 and clocks.now_s() < limit_s:
            eventlet.sleep(DRAIN_CHECK_INTERVAL_S)
        listener.kill()


def _read_no_part(key: str) -> str | None:
    """Return None: with this daemon, configurations are published whole, not in parts."""
    return None
