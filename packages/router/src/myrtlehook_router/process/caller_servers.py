"""Serves callers: those that connect here, and those whose connections neighbours pass on."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import eventlet
from eventlet import hubs, wsgi

from myrtlehook_core import CoreOptions, EntryLimits, Listener, passes_on
from myrtlehook_router.connection.heads import make_strict_protocol
from myrtlehook_router.connection.ingress_listeners import IngressListener
from myrtlehook_router.connection.listeners import PacedListener, get_silent_logger, open_listener
from myrtlehook_router.connection.neighbour_protocols import make_neighbour_protocol
from myrtlehook_router.connection.passing import ConnectionPasser
from myrtlehook_router.process.busy_meters import BusyMeter
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.tasks import guard

CROWDED_PART = 0.5
"""Beyond this part of the connections that fit, each ends after its answer."""

DESCRIPTORS_PASSED = 2
"""Of a connection that a neighbour serves: the caller's, and the one to the neighbour."""

Application = Callable[..., Iterable[bytes]]


@dataclass(frozen=True, slots=True)
class CallerServices:
    """What serving callers needs from the process."""

    application: Application
    limits: Callable[[], EntryLimits]
    is_draining: Callable[[], bool]
    is_ready: Callable[[], bool]
    counters: Counters
    most_connections: int
    """That are served here."""
    descriptors: int
    """For connections that are served here, and two for each that a neighbour serves."""
    router_id: str
    fleet_key: str
    options: CoreOptions


class CallerServer:
    """The listeners for callers, and the bound on connections that they share."""

    def __init__(self, services: CallerServices, passer: ConnectionPasser | None) -> None:
        """Prepare to serve.

        :param passer: None where neighbours neither help nor are helped.
        """
        self._services = services
        self._passer = passer
        self._pool = eventlet.GreenPool(services.most_connections)
        self.meter = BusyMeter()

    def serve(self, listener: Any) -> None:
        """Serve callers at a listening socket; the loop of this task."""
        self.meter.watch(hubs.get_hub())
        entrance = IngressListener(
            PacedListener(listener), self._passer, self._passes_on, self._has_room
        )
        eventlet.spawn(guard, entrance.accept_forever)
        protocol = make_strict_protocol(
            self._services.limits, self._is_closing, self._services.counters
        )
        self._run(entrance, protocol)

    def serve_neighbours(self, listener: Listener) -> None:
        """Serve callers whose connections neighbours pass on; the loop of this task."""
        services = self._services
        one_request = make_strict_protocol(services.limits, lambda: True, services.counters)
        protocol = make_neighbour_protocol(
            one_request, services.router_id, services.fleet_key, self._takes, services.counters
        )
        self._run(PacedListener(open_listener(listener)), protocol)

    def _run(self, listener: Any, protocol: type) -> None:
        wsgi.server(
            listener,
            self._services.application,
            log=get_silent_logger(),
            log_output=False,
            debug=False,
            protocol=protocol,
            custom_pool=self._pool,
            capitalize_response_headers=False,
        )

    def _is_crowded(self) -> bool:
        # A full pool takes no callers: resting connections must not fill it.
        return self._pool.running() > CROWDED_PART * self._services.most_connections

    def _is_closing(self) -> bool:
        """Tell whether callers are to come back on new connections, which may be passed on."""
        busy = (
            self._passer is not None and self.meter.part >= self._services.options.passing_all_part
        )
        return self._services.is_draining() or self._is_crowded() or busy

    def _has_room(self) -> bool:
        """Tell whether the descriptors suffice for another connection, passed on or not."""
        passed = 0 if self._passer is None else self._passer.count_connections()
        used = self._pool.running() + DESCRIPTORS_PASSED * passed
        return used + DESCRIPTORS_PASSED <= self._services.descriptors

    def _passes_on(self) -> bool:
        if self._passer is None or self._services.is_draining():
            return False
        options = self._services.options
        return passes_on(self._passer.neighbours, options, self.meter.part, self._is_crowded())

    def _takes(self) -> bool:
        """Tell whether a neighbour may be helped."""
        if self._services.is_draining() or not self._services.is_ready():
            return False
        is_spare = self.meter.part < self._services.options.helping_limit_part
        return is_spare and not self._is_crowded()
