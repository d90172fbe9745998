"""The listener for connections that neighbours pass on: each is served for one request."""

from collections.abc import Callable

import eventlet

from myrtlehook_router.connection.introductions import (
    LONGEST_BYTES,
    NOT_TAKEN,
    TAKEN,
    read_introduction,
)
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.logs import get_logger

INTRODUCTION_TIMEOUT_S = 1.0

_log = get_logger("passed")


def make_passed_protocol(
    protocol: type, router_id: str, fleet_key: str, takes: Callable[[], bool], counters: Counters
) -> type:
    """Make the protocol class of the listener for neighbours' connections.

    :param protocol: how callers are spoken to; it ends a connection after one answer, so
        that a neighbour that stops has no resting connections of its callers here.
    :param takes: whether this router has processor time to spare.
    """

    class PassedProtocol(protocol):
        """One connection that a neighbour passes on."""

        def handle(self) -> None:
            """Serve the caller behind a neighbour, unless this router is short itself."""
            line = self._read_introduction()
            introduction = read_introduction(line, router_id, fleet_key)
            if introduction is None:
                counters.add("passed.not_introduced")
                _log.warning("connection not introduced", line=repr(line[:40]))
                return
            if not takes():
                counters.add("passed.not_taken")
                self._answer(NOT_TAKEN)
                return
            counters.add("passed.taken")
            _log.info("connection taken", sender=introduction.sender)
            if self._answer(TAKEN):
                super().handle()

        def _answer(self, verdict: bytes) -> bool:
            """Tell the neighbour; False when it has gone, or asked another router."""
            try:
                self.connection.sendall(verdict)
            except OSError:
                counters.add("passed.neighbour_gone")
                return False
            return True

        def _read_introduction(self) -> bytes:
            try:
                with eventlet.Timeout(INTRODUCTION_TIMEOUT_S):
                    line: bytes = self.rfile.readline(LONGEST_BYTES)
            except (eventlet.Timeout, OSError):
                return b""
            return line

    return PassedProtocol
