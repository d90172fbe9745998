"""Serves clients that connect here, and clients whose connections neighbours pass on."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import eventlet
from eventlet import hubs, wsgi

from myrtlehook_core import CoreOptions, IngressLimits, Listener, should_pass_on
from myrtlehook_router.connection.client_protocols import ClientConnections
from myrtlehook_router.connection.heads import make_strict_protocol
from myrtlehook_router.connection.ingress_listeners import IngressListener
from myrtlehook_router.connection.listeners import PacedListener, get_silent_logger, open_listener
from myrtlehook_router.connection.neighbour_protocols import make_neighbour_protocol
from myrtlehook_router.connection.passing import ConnectionPasser
from myrtlehook_router.connection.request_bodies import ProcessBudgets
from myrtlehook_router.process import clocks
from myrtlehook_router.process.busy_meters import BusyMeter
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.tasks import run_or_exit

CROWDED_FRACTION = 0.5
"""Above this fraction of the connection limit, connections close after each response."""

ACCEPT_CHECK_INTERVAL_S = 0.001
"""Interval of the check that no client waits, before the listening socket is closed."""

ROOM_CHECK_INTERVAL_S = 0.05
FREE_FRACTION = 0.05
"""Below this fraction of free places, connections that wait for their clients are closed."""

ROOM_WITHOUT_DESCRIPTORS = 8
"""The number of connections to close at a time while descriptors are short."""

DESCRIPTORS_PER_PASSED_CONNECTION = 2
"""Descriptors of a connection that a neighbour serves: the client's and the neighbour's."""

Application = Callable[..., Iterable[bytes]]


@dataclass(frozen=True, slots=True)
class CallerServices:
    """Dependencies of a caller server."""

    application: Application
    limits: Callable[[], IngressLimits]
    is_draining: Callable[[], bool]
    is_ready: Callable[[], bool]
    counters: Counters
    max_connections: int
    """Limit of the connections that are served here."""
    max_descriptors: int
    """Limit of file descriptors for clients' connections: one that is served here uses one,
    one that a neighbour serves uses two."""
    router_id: str
    fleet_key: str
    options: CoreOptions
    get_configuration_number: Callable[[], int]
    budgets: ProcessBudgets


class CallerServer:
    """The listeners for clients, and the connection limit that they share."""

    def __init__(self, services: CallerServices, passer: ConnectionPasser | None) -> None:
        """Prepare to serve.

        :param passer: None if connections are not passed between neighbours.
        """
        self._services = services
        self._passer = passer
        self._task_pool = eventlet.GreenPool(services.max_connections)
        self.busy_meter = BusyMeter()
        self._busy_connections: set[object] = set()
        self._connections = ClientConnections()
        self._listener: IngressListener | None = None
        self._accepting: Any = None

    def serve(self, listener: Any) -> None:
        """Serve clients on a listening socket; the main loop of a task."""
        self.busy_meter.watch(hubs.get_hub())
        ingress_listener = IngressListener(
            PacedListener(listener),
            self._passer,
            self._should_pass_on,
            self._has_free_descriptors,
            self._services.counters,
        )
        self._listener = ingress_listener
        self._accepting = eventlet.spawn(run_or_exit, ingress_listener.accept_forever)
        eventlet.spawn(run_or_exit, self._make_room_forever)
        protocol = make_strict_protocol(
            self._services.limits,
            self._should_close_connections,
            self._services.counters,
            self._busy_connections,
            self._services.budgets,
            self._connections,
        )
        self._run_server(ingress_listener, protocol)

    def serve_neighbours(self, listener: Listener) -> None:
        """Serve clients whose connections neighbours pass on; the main loop of a task."""
        services = self._services
        single_request = make_strict_protocol(
            services.limits,
            lambda: True,
            services.counters,
            self._busy_connections,
            services.budgets,
            self._connections,
        )
        protocol = make_neighbour_protocol(
            single_request,
            services.router_id,
            services.fleet_key,
            self._can_accept_passed_connections,
            services.get_configuration_number,
            services.counters,
        )
        self._run_server(PacedListener(open_listener(listener)), protocol)

    def _make_room_forever(self) -> None:
        """Close connections that wait for their clients while others have no place.

        The main loop of a task.
        """
        while True:
            eventlet.sleep(ROOM_CHECK_INTERVAL_S)
            missing = self._count_missing_places()
            while missing > 0 and self._close_waiting_connection():
                missing -= 1
                self._services.counters.add("connections.gave_way")

    def _count_missing_places(self) -> int:
        """Return how many places are to be made free for the next clients."""
        free = self._task_pool.free() - int(FREE_FRACTION * self._services.max_connections)
        if self._has_free_descriptors():
            return -free
        return max(-free, ROOM_WITHOUT_DESCRIPTORS)

    def _close_waiting_connection(self) -> bool:
        if self._connections.close_longest_waiting():
            return True
        return self._passer is not None and self._passer.close_silent_connection()

    def stop_accepting(self, limit_s: float) -> None:
        """Take the connections that wait, and have the kernel refuse later ones.

        :param limit_s: when to stop even if clients still wait.
        """
        listener = self._listener
        if listener is None:
            return
        while listener.has_waiting_connections() and clocks.now_s() < limit_s:
            eventlet.sleep(ACCEPT_CHECK_INTERVAL_S)
        # Nothing runs between the last check and the close, so no client's connection is dropped.
        listener.close()
        self._accepting.kill()

    def count_busy_connections(self) -> int:
        """Return the number of connections with a request that is being read or answered."""
        return len(self._busy_connections)

    def _run_server(self, listener: Any, protocol: type) -> None:
        wsgi.server(
            listener,
            self._services.application,
            log=get_silent_logger(),
            log_output=False,
            debug=False,
            protocol=protocol,
            custom_pool=self._task_pool,
            capitalize_response_headers=False,
        )

    def _is_crowded(self) -> bool:
        # A full task pool accepts no clients, so idle connections must not fill it.
        return self._task_pool.running() > CROWDED_FRACTION * self._services.max_connections

    def _should_close_connections(self) -> bool:
        """Return whether to close connections after the response.

        Clients then open new connections, which can be passed on.
        """
        busy = (
            self._passer is not None
            and self.busy_meter.busy_fraction >= self._services.options.passing_all_part
        )
        return self._services.is_draining() or self._is_crowded() or busy

    def _has_free_descriptors(self) -> bool:
        """Return whether there are descriptors for one more connection, passed on or not."""
        passed = 0 if self._passer is None else self._passer.count_connections()
        used = self._task_pool.running() + DESCRIPTORS_PER_PASSED_CONNECTION * passed
        return used + DESCRIPTORS_PER_PASSED_CONNECTION <= self._services.max_descriptors

    def _should_pass_on(self) -> bool:
        if self._passer is None or self._services.is_draining():
            return False
        options = self._services.options
        return should_pass_on(
            self._passer.neighbours, options, self.busy_meter.busy_fraction, self._is_crowded()
        )

    def _can_accept_passed_connections(self) -> bool:
        """Return whether to accept connections that neighbours pass on."""
        if self._services.is_draining() or not self._services.is_ready():
            return False
        has_capacity = self.busy_meter.busy_fraction < self._services.options.helping_limit_part
        return has_capacity and not self._is_crowded()
