"""The protocol of the listener for connections that neighbouring routers pass on."""

from collections.abc import Callable
from typing import Any

import eventlet

from myrtlehook_router.connection.heads import WAITED_KEY
from myrtlehook_router.connection.introductions import (
    MAX_INTRODUCTION_BYTES,
    VERDICT_ACCEPTED,
    VERDICT_DECLINED,
    VERDICT_OTHER_CONFIGURATION,
    read_introduction,
)
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.logs import get_logger

INTRODUCTION_TIMEOUT_S = 1.0
MAX_WAITED_S = 1.0
"""Limit of the wait that a neighbour may state; it asks no router for longer."""

_log = get_logger("passed")


def make_neighbour_protocol(
    protocol: type,
    router_id: str,
    fleet_key: str,
    can_accept: Callable[[], bool],
    get_configuration_number: Callable[[], int],
    counters: Counters,
) -> type:
    """Make the protocol class of the listener for neighbours' connections.

    :param protocol: the protocol class for clients; it closes a connection after one response,
        so that a neighbour that stops has no idle connections of its clients here.
    :param can_accept: returns whether this router can serve other routers' clients now.
    :param get_configuration_number: returns the version of this router's configuration. A client
        of a router must not meet an older version than before, wherever it is served, so only
        routers with the same version serve each other's clients.
    """

    class NeighbourProtocol(protocol):
        """A connection that a neighbour passes on."""

        _waited_s = 0.0

        def handle(self) -> None:
            """Serve the client of a neighbour, unless this router has no capacity to spare."""
            line = self._read_introduction()
            introduction = read_introduction(line, router_id, fleet_key)
            if introduction is None:
                counters.add("passed.not_introduced")
                _log.warning("connection not introduced", line=repr(line[:40]))
                return
            if not can_accept():
                counters.add("passed.not_taken")
                self._send_verdict(VERDICT_DECLINED)
                return
            number = get_configuration_number()
            if introduction.configuration_number != number:
                counters.add("passed.other_configuration")
                _log.info(
                    "connection declined",
                    sender=introduction.sender,
                    sender_configuration=introduction.configuration_number,
                    configuration=number,
                )
                self._send_verdict(VERDICT_OTHER_CONFIGURATION)
                return
            self._waited_s = min(max(introduction.waited_ms / 1000.0, 0.0), MAX_WAITED_S)
            counters.add("passed.taken")
            _log.info("connection taken", sender=introduction.sender, configuration=number)
            if self._send_verdict(VERDICT_ACCEPTED):
                super().handle()

        def get_environ(self) -> dict[str, Any]:
            """Return the environ, with the time that the request had waited at the neighbour."""
            environ: dict[str, Any] = super().get_environ()
            environ[WAITED_KEY] = self._waited_s
            return environ

        def _send_verdict(self, verdict: bytes) -> bool:
            """Send the verdict; returns False if the neighbour is gone or asked another router."""
            try:
                self.connection.sendall(verdict)
            except OSError:
                counters.add("passed.neighbour_gone")
                return False
            return True

        def _read_introduction(self) -> bytes:
            try:
                with eventlet.Timeout(INTRODUCTION_TIMEOUT_S):
                    line: bytes = self.rfile.readline(MAX_INTRODUCTION_BYTES)
            except (eventlet.Timeout, OSError):
                return b""
            return line

    return NeighbourProtocol
