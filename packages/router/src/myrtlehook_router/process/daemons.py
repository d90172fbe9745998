"""One router process: its tasks started, and stopped without cutting a request off."""

import random
import signal
import time
from collections.abc import Callable

import eventlet

from myrtlehook_core import MemberState, RouterCore, RouterIdentity, Settings, core_options, events
from myrtlehook_router.connection.listeners import serve_http
from myrtlehook_router.connection.platforms import PlatformClient
from myrtlehook_router.process import clocks
from myrtlehook_router.process.core_tasks import CoreTask
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.logs import get_logger, set_up_logs
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.process.operators import OperatorServices, make_operator_application
from myrtlehook_router.process.peers import PeerSockets
from myrtlehook_router.process.tasks import guard
from myrtlehook_router.request.applications import make_application
from myrtlehook_router.request.services import RequestServices
from myrtlehook_router.request.tickets import TicketRegistry

PEER_WAIT_S = 2.0
"""A starting router serves once a peer has answered, or after this long alone."""

DRAIN_CHECK_S = 0.05
DRAIN_LINGER_S = 0.3
"""Answers already handed to the kernel get this long to leave."""

_log = get_logger("daemon")


class Daemon:
    """All tasks of one router process."""

    def __init__(self, settings: Settings) -> None:
        set_up_logs(settings.vm)
        self._settings = settings
        self._started_at_s = clocks.now_s()
        self._draining = False
        incarnation = int(time.time() * 1000)
        self._counters = Counters(settings.statsd)
        self._mailbox = Mailbox()
        self._tickets = TicketRegistry()
        self._peers = PeerSockets(
            settings.vm, settings.peers, settings.fleet_key, incarnation, self._counters
        )
        self._platform = PlatformClient(settings.platform, self._counters)
        self._core_task = self._make_core_task(incarnation)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; returns once nothing is left."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        for task in self._tasks():
            eventlet.spawn(guard, task)
        _log.info("started", callers=self._settings.callers.port)
        self._wait_until_drained()
        self._peers.close()
        _log.info("stopped")

    def is_ready(self) -> bool:
        """Tell the balancer whether to send callers here."""
        core = self._core_task.core
        if self._draining or core.configuration.version.number == 0:
            return False
        members = core.table.members.values()
        if any(member.state is MemberState.ALIVE for member in members):
            return True
        # A restarted router asks its peers first, because the platform may be stale.
        return clocks.now_s() - self._started_at_s > PEER_WAIT_S

    def _make_core_task(self, incarnation: int) -> CoreTask:
        settings = self._settings
        address = f"{settings.peers.address}:{settings.peers.port}"
        identity = RouterIdentity(settings.vm, address, incarnation)
        core = RouterCore(identity, core_options(settings), random.random)
        core.add_seeds([(seed.vm, seed.address) for seed in settings.seeds], clocks.now_s())
        return CoreTask(
            core,
            self._mailbox,
            self._peers,
            self._platform.read_part,
            self._tickets,
            self._counters,
        )

    def _tasks(self) -> list[Callable[[], None]]:
        settings = self._settings
        limits = settings.limits
        callers = make_application(self._request_services())
        operators = make_operator_application(self._operator_services())
        return [
            self._core_task.run_forever,
            lambda: self._peers.receive_forever(self._mailbox),
            lambda: self._platform.watch_manifest(self._mailbox),
            lambda: self._platform.watch_vm_list(self._mailbox, self._note_listed),
            lambda: serve_http(settings.callers, callers, limits, self._counters),
            lambda: serve_http(settings.operators, operators, limits, self._counters),
        ]

    def _request_services(self) -> RequestServices:
        return RequestServices(
            mailbox=self._mailbox,
            tickets=self._tickets,
            counters=self._counters,
            configuration=lambda: self._core_task.configuration,
            is_draining=lambda: self._draining,
            body_limit_bytes=self._settings.limits.body_bytes,
        )

    def _operator_services(self) -> OperatorServices:
        return OperatorServices(
            core_task=self._core_task,
            counters=self._counters,
            peers=self._peers,
            platform=self._platform,
            is_ready=self.is_ready,
            cut_allowed=self._settings.test_hooks.cut,
        )

    def _note_listed(self, event: events.VmListRead) -> None:
        addresses = [vm.address for vm in event.vms]
        addresses += [seed.address for seed in self._settings.seeds]
        self._peers.listed_ips = frozenset(item.rpartition(":")[0] for item in addresses)

    def _on_signal(self, number: int, frame: object) -> None:
        self._draining = True

    def _wait_until_drained(self) -> None:
        while not self._draining:
            eventlet.sleep(DRAIN_CHECK_S)
        _log.info("draining", open_requests=len(self._tickets))
        self._mailbox.post(events.DrainStarted())
        while len(self._tickets) > 0:
            eventlet.sleep(DRAIN_CHECK_S)
        eventlet.sleep(DRAIN_LINGER_S)
