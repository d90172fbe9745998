"""One router process with the routed interface: its tasks started, and stopped without loss."""

import random
import signal
import socket
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import eventlet
from eventlet import wsgi

from myrtlehook_core import (
    EntryLimits,
    Listener,
    MemberState,
    RouterCore,
    RouterIdentity,
    Shedding,
    count_held,
    events,
)
from myrtlehook_router.connection.listeners import adopt_listener, get_silent_logger, open_listener
from myrtlehook_router.connection.passing import ConnectionPasser, PassingConfig
from myrtlehook_router.connection.server_connections import (
    ConnectionPool,
    close_expired_connections,
)
from myrtlehook_router.process import clocks
from myrtlehook_router.process.caller_servers import CallerServer, CallerServices
from myrtlehook_router.process.core_tasks import CoreTask
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.engine_gauges import list_engine_gauges
from myrtlehook_router.process.gateway_settings import GatewaySettings
from myrtlehook_router.process.lags import watch_lag
from myrtlehook_router.process.log_streams import TELL_INTERVAL_S, BoundedStream
from myrtlehook_router.process.logs import get_logger, set_up_logs
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.process.metrics import Metrics
from myrtlehook_router.process.peers import PeerSockets
from myrtlehook_router.process.read_switches import ReadSwitch
from myrtlehook_router.process.signals import Signal
from myrtlehook_router.process.tasks import guard
from myrtlehook_router.request.gateways import GatewayServices, make_gateway
from myrtlehook_router.request.refusal_sums import RefusalSums, log_refusal_sums
from myrtlehook_router.request.services import RequestServices
from myrtlehook_router.request.tickets import TicketRegistry

PEER_WAIT_S = 1.0
"""A starting router serves once a peer has answered, or after this long alone."""

DRAIN_CHECK_S = 0.05
DRAIN_LINGER_S = 0.2
"""Answers already handed to the kernel get this long to leave."""

SWEEP_INTERVAL_S = 1.0
RELOAD_LOOK_S = 2.0
"""Settings may change without a signal; the file is read again this often."""

NEIGHBOUR_CHECK_S = 0.2
"""How often it is looked whether neighbours that serve callers of this router still live."""

READY_PROTOCOL = wsgi.HttpProtocol

Source = Callable[[Mailbox], None]
"""A loop that tells the core what the outside publishes; it never returns."""

_log = get_logger("daemon")


class GatewayDaemon:
    """All tasks of one router process."""

    def __init__(
        self,
        settings: GatewaySettings,
        make_sources: Callable[[Counters, ReadSwitch], Iterable[Source]],
        reload: Callable[[], GatewaySettings | None],
        opened: socket.socket | None = None,
    ) -> None:
        """Prepare a router.

        :param reload: returns the settings as they are now, or None while they are bad.
        :param opened: the callers' listener, where it was opened before.
        """
        self._opened = opened
        self._reload = reload
        self._stop_wanted = Signal()
        self._reload_wanted = Signal()
        self._log_stream = BoundedStream(sys.stdout.fileno())
        set_up_logs(settings.vm, self._log_stream)  # type: ignore[arg-type]
        self._settings = settings
        self._started_at_s = clocks.now_s()
        self._draining = False
        self._refusing = False
        """From the time on when the balancer surely sends nobody here any more."""
        self._counters = Counters(None)
        self._metrics = Metrics(
            self._counters,
            self._gauges,
            lambda: list_engine_gauges(self._core_task.core.describe_engines()),
        )
        self._mailbox = Mailbox()
        self._tickets = TicketRegistry()
        self._clients = ConnectionPool()
        self._shedding = Shedding()
        self._refusal_sums = RefusalSums()
        peers = settings.peers
        # A router is known by its address: nobody lists names for seeds.
        self._router_id = f"{peers.address}:{peers.port}"
        incarnation = int(time.time() * 1000)
        self._peers = PeerSockets(
            self._router_id, peers, settings.fleet_key, incarnation, self._counters
        )
        self._reading = ReadSwitch(wanted=settings.options.first_read_delay_s == 0.0)
        self._core_task = self._make_core_task(incarnation)
        self._sources = list(make_sources(self._counters, self._reading))
        self._passer = self._make_passer()
        self._callers = self._make_caller_server()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; returns once nothing is left."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        for task in self._tasks():
            eventlet.spawn(guard, task)
        listener = eventlet.spawn(self._serve_callers)
        _log.info("started", router=self._router_id, seeds=self._settings.seeds)
        if not clocks.COUNTS_SUSPENSION:
            _log.warning("no clock counts the time of a suspended VM; the steady one is taken")
        self._wait_until_drained(listener)
        self._peers.close()
        self._tell_sums()
        _log.info(
            "stopped",
            open_requests=len(self._tickets),
            counters=dict(self._counters.values),
        )
        self._log_stream.write_queued()

    def is_ready(self) -> bool:
        """Tell the balancer whether to send callers here."""
        core = self._core_task.core
        if self._draining or core.configuration.version.number == 0:
            return False
        if not core.discovery.active:
            return False
        members = core.table.members.values()
        if any(member.state is MemberState.ALIVE for member in members):
            return True
        # A restarted router asks its peers first, because the platform may be stale.
        return clocks.now_s() - self._started_at_s > PEER_WAIT_S

    def _make_core_task(self, incarnation: int) -> CoreTask:
        identity = RouterIdentity(
            self._router_id, self._router_id, incarnation, self._settings.availability_zone
        )
        core = RouterCore(identity, self._settings.options, random.random, self._settings.parser)
        core.add_seeds([(seed, seed) for seed in self._settings.seeds], clocks.now_s())
        return CoreTask(
            core,
            self._mailbox,
            self._peers,
            _read_no_part,
            self._tickets,
            self._counters,
            self._reading,
        )

    def _tasks(self) -> list[Callable[[], None]]:
        settings = self._settings
        tasks: list[Callable[[], None]] = [
            self._core_task.run_forever,
            self._log_stream.write_forever,
            self._sweep_forever,
            self._tell_sums_forever,
            self._reload_forever,
            lambda: self._peers.receive_forever(self._mailbox),
            lambda: _serve(settings.readiness, self._answer_readiness),
            lambda: _serve(settings.metrics, self._metrics.answer),
        ]
        if settings.helping is not None and self._passer is not None:
            helping = settings.helping
            tasks.append(lambda: self._callers.serve_neighbours(helping))
            tasks.append(self._follow_neighbours)
        if settings.options.sheds_overload:
            tasks.append(lambda: watch_lag(self._shedding, lambda: self._callers.meter.part))
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
        )
        services = CallerServices(
            application=make_gateway(GatewayServices(requests, settings.names, self._clients)),
            limits=self._limits,
            is_draining=lambda: self._draining,
            is_ready=self.is_ready,
            counters=self._counters,
            most_connections=settings.connections,
            descriptors=settings.caller_descriptors or settings.connections,
            router_id=self._router_id,
            fleet_key=settings.fleet_key,
            options=settings.options,
        )
        return CallerServer(services, self._passer)

    def _make_passer(self) -> ConnectionPasser | None:
        settings = self._settings
        if settings.helping is None or not settings.options.passes_connections:
            return None
        places = PassingConfig(self._router_id, settings.fleet_key, settings.helping.port)
        return ConnectionPasser(places, self._core_task.core.table, random.random, self._counters)

    def _serve_callers(self) -> None:
        opened = self._opened
        listener = (
            open_listener(self._settings.callers) if opened is None else adopt_listener(opened)
        )
        self._callers.serve(listener)

    def _follow_neighbours(self) -> None:
        """Break off what dead neighbours served; the loop of this task."""
        while True:
            eventlet.sleep(NEIGHBOUR_CHECK_S)
            if self._passer is not None:
                self._passer.abort_dead_neighbours()

    def _limits(self) -> EntryLimits:
        return self._core_task.configuration.limits

    def _answer_readiness(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        status = "200 OK" if self.is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []

    def _gauges(self) -> dict[str, float]:
        core = self._core_task.core
        return {
            "open_requests": len(self._tickets),
            "configuration_number": core.configuration.version.number,
            "backend_servers": len(core.configuration.backend_servers),
            "evacuated_zones": len(core.discovery.evacuated_zones),
            "routers_alive": sum(
                member.state is MemberState.ALIVE for member in core.table.members.values()
            ),
            "backend_connections_opened": self._clients.opened_count,
            "shed_part": self._shedding.refused_fraction,
            "quarantined_requests": count_held(core.quarantine, clocks.now_s()),
            "reads_source": float(self._reading.wanted),
            "log_lines_dropped": self._log_stream.dropped_lines,
            "busy_part": self._callers.meter.part,
            "passed_connections": 0 if self._passer is None else self._passer.count_connections(),
        }

    def _tell_sums_forever(self) -> None:
        """Log what was too much for single lines; the loop of this task."""
        while True:
            eventlet.sleep(TELL_INTERVAL_S)
            self._tell_sums()

    def _tell_sums(self) -> None:
        log_refusal_sums(self._refusal_sums)
        untold = self._log_stream.take_untold()
        if untold:
            _log.warning("log lines dropped", lines=untold)

    def _sweep_forever(self) -> None:
        while True:
            eventlet.sleep(SWEEP_INTERVAL_S)
            servers = self._core_task.configuration.backend_servers.values()
            known = {server.address for server in servers}
            close_expired_connections(self._clients, known.__contains__)

    def _on_stop(self, number: int, frame: object) -> None:
        self._draining = True
        self._stop_wanted.set()

    def _on_reload(self, number: int, frame: object) -> None:
        self._reload_wanted.set()

    def _reload_forever(self) -> None:
        """Follow changed settings, told by a signal or not; the loop of this task."""
        while True:
            self._reload_wanted.wait(RELOAD_LOOK_S)
            self._reload_wanted.clear()
            self._take_settings(self._reload())

    def _take_settings(self, settings: GatewaySettings | None) -> None:
        """Take what may change while running; addresses to listen on may not."""
        if settings is None or settings == self._settings:
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

    def _count_open(self) -> int:
        """Return how many requests of callers are under way, here or at neighbours."""
        passed = 0 if self._passer is None else self._passer.count_requests()
        return len(self._tickets) + passed

    def _wait_until_drained(self, listener: Any) -> None:
        self._stop_wanted.wait(None)
        stopped_at_s = clocks.now_s()
        _log.info("draining", open_requests=len(self._tickets))
        self._mailbox.post(events.DrainStarted())
        eventlet.sleep(self._settings.drain_notice_s)
        # The listener stays: a balancer with too few routers left sends callers here all
        # the same, and they are to hear at once that another router has to serve them.
        self._refusing = True
        limit_s = stopped_at_s + self._settings.drain_limit_s
        while self._count_open() > 0 and clocks.now_s() < limit_s:
            eventlet.sleep(DRAIN_CHECK_S)
        eventlet.sleep(DRAIN_LINGER_S)
        # Ending the server closes its resting connections and takes no new ones.
        listener.kill()


def _serve(address: Listener, application: Callable[..., Iterable[bytes]]) -> None:
    wsgi.server(
        open_listener(address),
        application,
        log=get_silent_logger(),
        log_output=False,
        debug=False,
        protocol=READY_PROTOCOL,
    )


def _read_no_part(key: str) -> str | None:
    """Configurations are published whole here."""
    return None
