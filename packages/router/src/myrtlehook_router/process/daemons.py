"""The router process: starts its tasks, and drains open requests before it stops."""

import random
import signal
import time
from collections.abc import Callable

import eventlet

from myrtlehook_core import (
    MemberState,
    RouterCore,
    RouterIdentity,
    Settings,
    events,
    make_core_options,
)
from myrtlehook_router.connection.listeners import serve_http
from myrtlehook_router.connection.memory_gates import MemoryGate
from myrtlehook_router.connection.platforms import PlatformClient
from myrtlehook_router.connection.reading_turns import ReadingTurns
from myrtlehook_router.connection.request_bodies import ProcessBudgets
from myrtlehook_router.process import clocks
from myrtlehook_router.process.core_tasks import CoreTask
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.logs import get_logger, set_up_logs
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.process.operators import OperatorServices, make_operator_application
from myrtlehook_router.process.peers import PeerSockets
from myrtlehook_router.process.tasks import run_or_exit
from myrtlehook_router.request.applications import make_application
from myrtlehook_router.request.request_tallies import RequestTallies
from myrtlehook_router.request.services import RequestServices
from myrtlehook_router.request.tickets import TicketRegistry

PEER_WAIT_S = 2.0
"""A starting router becomes ready once a peer has answered, or after this time without one."""

DRAIN_CHECK_INTERVAL_S = 0.05
DRAIN_LINGER_S = 0.3
"""Time for responses that are already in the kernel's buffers to be sent."""

_log = get_logger("daemon")


class Daemon:
    """Owns all tasks of one router process."""

    def __init__(self, settings: Settings) -> None:
        set_up_logs(settings.vm)
        self._settings = settings
        self._started_at_s = clocks.now_s()
        self._draining = False
        incarnation = int(time.time() * 1000)
        self._counters = Counters(settings.statsd)
        self._mailbox = Mailbox()
        self._tickets = TicketRegistry()
        self._tallies = RequestTallies(make_core_options(settings).tallies_requests)
        self._peers = PeerSockets(
            settings.vm, settings.peers, settings.fleet_key, incarnation, self._counters
        )
        self._platform = PlatformClient(settings.platform, self._counters)
        self._core_task = self._make_core_task(incarnation)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; return once drained."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        for task in self._list_tasks():
            eventlet.spawn(run_or_exit, task)
        _log.info("started", callers=self._settings.callers.port)
        self._wait_until_drained()
        self._peers.close()
        _log.info("stopped")

    def is_ready(self) -> bool:
        """Return whether the load balancer should send clients here."""
        core = self._core_task.core
        if self._draining or core.configuration.version.number == 0:
            return False
        members = core.table.members.values()
        if any(member.state is MemberState.ALIVE for member in members):
            return True
        # After a restart, peers are asked first, because the platform's data may be stale.
        return clocks.now_s() - self._started_at_s > PEER_WAIT_S

    def _make_core_task(self, incarnation: int) -> CoreTask:
        settings = self._settings
        address = f"{settings.peers.address}:{settings.peers.port}"
        identity = RouterIdentity(settings.vm, address, incarnation)
        core = RouterCore(identity, make_core_options(settings), random.random)
        core.add_seeds([(seed.vm, seed.address) for seed in settings.seeds], clocks.now_s())
        return CoreTask(
            core,
            self._mailbox,
            self._peers,
            self._platform.read_part,
            self._tickets,
            self._counters,
        )

    def _list_tasks(self) -> list[Callable[[], None]]:
        settings = self._settings
        limits = settings.limits
        budgets = ProcessBudgets(
            MemoryGate(limits.client_memory_bytes, self._counters), ReadingTurns()
        )
        callers = make_application(self._make_request_services())
        operators = make_operator_application(self._make_operator_services())
        return [
            self._core_task.run_forever,
            lambda: self._peers.receive_forever(self._mailbox),
            lambda: self._platform.watch_manifest(self._mailbox),
            lambda: self._platform.watch_vm_list(self._mailbox, self._record_listed_ips),
            lambda: serve_http(settings.callers, callers, limits, self._counters, budgets),
            lambda: serve_http(settings.operators, operators, limits, self._counters, budgets),
        ]

    def _make_request_services(self) -> RequestServices:
        return RequestServices(
            mailbox=self._mailbox,
            tickets=self._tickets,
            counters=self._counters,
            configuration=lambda: self._core_task.configuration,
            is_draining=lambda: self._draining,
            body_limit_bytes=self._settings.limits.body_bytes,
            tallies=self._tallies,
        )

    def _make_operator_services(self) -> OperatorServices:
        return OperatorServices(
            core_task=self._core_task,
            counters=self._counters,
            peers=self._peers,
            platform=self._platform,
            is_ready=self.is_ready,
            tallies=self._tallies,
            cut_allowed=self._settings.test_hooks.cut,
        )

    def _record_listed_ips(self, event: events.VmListRead) -> None:
        addresses = [vm.address for vm in event.vms]
        addresses += [seed.address for seed in self._settings.seeds]
        self._peers.listed_ips = frozenset(address.rpartition(":")[0] for address in addresses)

    def _on_signal(self, number: int, frame: object) -> None:
        self._draining = True

    def _wait_until_drained(self) -> None:
        while not self._draining:
            eventlet.sleep(DRAIN_CHECK_INTERVAL_S)
        _log.info("draining", open_requests=len(self._tickets))
        self._mailbox.post(events.DrainStarted())
        while len(self._tickets) > 0:
            eventlet.sleep(DRAIN_CHECK_INTERVAL_S)
        eventlet.sleep(DRAIN_LINGER_S)
