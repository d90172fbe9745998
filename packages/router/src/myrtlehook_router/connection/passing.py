"""Passes callers' connections on to a neighbour while this router is short of processor time.

The neighbour decides, sends and answers as for callers of its own; only bytes cross this
router. A connection is given back to be served here when no neighbour takes it.
"""

import errno
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from eventlet import hubs, patcher

from myrtlehook_core import (
    Member,
    MemberState,
    MemberTable,
    Neighbours,
    choose_neighbour,
    note_closed,
    note_opened,
    note_short,
)
from myrtlehook_router.connection.introductions import (
    TAKEN,
    Introduction,
    write_introduction,
)
from myrtlehook_router.connection.splices import Splice
from myrtlehook_router.process import clocks
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.logs import get_logger

VERDICT_TIMEOUT_S = 0.15
"""A neighbour in the own zone answers within a few milliseconds unless it is short itself."""

MOST_ASKED = 2
"""Neighbours asked for one connection before it is served here."""

UNSENT_TIMEOUT_MS = 2000
"""A neighbour that acknowledges nothing for this long is gone."""

DEAD_PATIENCE_S = 2.0
"""What a neighbour serves is broken off once it has counted as dead for this long.

Members are taken for dead after 0.55 s without an answer, which a full link or a pause
reaches as well; their answers would be lost for nothing. Callers of one that is really
gone learn it from the kernel's own probes of the connection, or this much later.
"""

_socket = patcher.original("socket")
"""eventlet's own sockets would wait in a task, and here are none."""

_log = get_logger("passing")

_KEEP_ALIVE = (
    (_socket.SOL_SOCKET, _socket.SO_KEEPALIVE, 1),
    (_socket.IPPROTO_TCP, _socket.TCP_KEEPIDLE, 1),
    (_socket.IPPROTO_TCP, _socket.TCP_KEEPINTVL, 1),
    (_socket.IPPROTO_TCP, _socket.TCP_KEEPCNT, 2),
)
"""The kernel asks a silent neighbour's machine each second whether it is still there. While
an answer is waited for nothing is unsent, so nothing else would tell that a connection has
gone silent for good."""

Accepted = tuple[Any, Any]
"""A connection as eventlet accepted it, with its other end's address."""


@dataclass(frozen=True, slots=True)
class PassingPlaces:
    """Who passes connections on, and where to."""

    router_id: str
    fleet_key: str
    port: int
    """At which every router takes connections from its neighbours."""


@dataclass(slots=True)
class PassedConnection:
    """One connection on its way to a neighbour."""

    accepted: Accepted
    give_back: Callable[[Accepted], None]
    tried: set[str] = field(default_factory=set)
    neighbour: str = ""
    helper: Any = None
    introduced: bool = False
    """Whether the neighbour has been told who asks."""
    listener: Any = None
    timer: Any = None
    splice: Splice | None = None


class Passer:
    """All connections that neighbours serve for this router."""

    def __init__(
        self,
        places: PassingPlaces,
        table: MemberTable,
        draw: Callable[[], float],
        counters: Counters,
    ) -> None:
        self._places = places
        self._table = table
        self._draw = draw
        self._counters = counters
        self._passed: dict[int, PassedConnection] = {}
        self.neighbours = Neighbours()

    def pass_on(self, accepted: Accepted, give_back: Callable[[Accepted], None]) -> bool:
        """Offer a caller's connection to a neighbour; False when there is none to ask.

        :param give_back: called later if no neighbour takes the connection.
        """
        passed = PassedConnection(accepted, give_back)
        if not self._ask(passed):
            return False
        self._passed[id(passed)] = passed
        return True

    def count_requests(self) -> int:
        """Return how many connections carry a request to a neighbour."""
        return sum(
            passed.splice is not None and passed.splice.carries_request
            for passed in self._passed.values()
        )

    def count_connections(self) -> int:
        """Return how many connections neighbours serve or are asked to."""
        return len(self._passed)

    def drop_dead(self) -> None:
        """Break off what routers serve that stay dead: their callers may ask again."""
        now_s = clocks.now_s()
        for passed in list(self._passed.values()):
            member = self._table.members.get(passed.neighbour)
            if member is not None and not _stays_dead(member, now_s):
                continue
            if passed.splice is not None:
                self._counters.add("passed.neighbour_died")
                _log.warning("neighbour given up", neighbour=passed.neighbour)
                passed.splice.abort()

    def _ask(self, passed: PassedConnection) -> bool:
        """Ask the next neighbour; False when none is left."""
        if len(passed.tried) >= MOST_ASKED:
            return False
        now_s = clocks.now_s()
        tried = frozenset(passed.tried)
        member = choose_neighbour(self.neighbours, self._table, now_s, self._draw, tried)
        if member is None:
            return False
        helper = self._open_socket()
        if helper is None:
            return False
        passed.helper = helper
        passed.introduced = False
        passed.tried.add(member.router_id)
        passed.neighbour = member.router_id
        note_opened(self.neighbours, member.router_id)
        self._connect(passed, helper, member)
        return True

    def _open_socket(self) -> Any | None:
        """Return a new socket; None for want of descriptors."""
        try:
            helper = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
        except OSError:
            self._counters.add("passed.no_descriptor")
            return None
        helper.setblocking(False)
        helper.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
        helper.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_USER_TIMEOUT, UNSENT_TIMEOUT_MS)
        for option in _KEEP_ALIVE:
            helper.setsockopt(*option)
        return helper

    def _connect(self, passed: PassedConnection, helper: Any, member: Member) -> None:
        hub = hubs.get_hub()
        passed.timer = hub.schedule_call_global(VERDICT_TIMEOUT_S, lambda: self._time_out(passed))
        ip = member.address.rpartition(":")[0]
        status = helper.connect_ex((ip, self._places.port))
        if status not in (0, errno.EINPROGRESS):
            # Not at once: the caller of this method has not stored the connection yet.
            hub.schedule_call_global(0, lambda: self._give_up(passed, "not_connected"))
            return
        self._listen(passed, helper, hubs.hub.WRITE, self._introduce)

    def _introduce(self, passed: PassedConnection) -> None:
        helper = passed.helper
        if helper is None:
            return
        self._stop_listening(passed)
        status = helper.getsockopt(_socket.SOL_SOCKET, _socket.SO_ERROR)
        if status:
            self._give_up(passed, "not_connected")
            return
        introduction = Introduction(self._places.router_id, passed.neighbour)
        try:
            helper.send(write_introduction(introduction, self._places.fleet_key))
        except OSError:
            self._give_up(passed, "not_connected")
            return
        passed.introduced = True
        self._listen(passed, helper, hubs.hub.READ, self._take_verdict)

    def _time_out(self, passed: PassedConnection) -> None:
        """Give a neighbour up whose verdict has not arrived, also not while the loop was late."""
        asked = passed.helper
        if passed.introduced:
            self._take_verdict(passed)
        if passed.helper is asked:
            self._give_up(passed, "no_answer")

    def _take_verdict(self, passed: PassedConnection) -> None:
        helper = passed.helper
        if helper is None:
            return
        try:
            verdict = helper.recv(1)
        except BlockingIOError:
            return
        except OSError:
            verdict = b""
        if verdict != TAKEN:
            self._give_up(passed, "neighbour_short")
            return
        self._stop_listening(passed)
        passed.timer.cancel()
        self._counters.add("passed.connections")
        connection = _take_over(passed.accepted)
        passed.splice = Splice(connection, helper, lambda: self._forget(passed))
        passed.splice.start()

    def _give_up(self, passed: PassedConnection, reason: str) -> None:
        """Ask another neighbour, or let this router serve the connection after all."""
        if passed.helper is None or passed.splice is not None:
            return
        self._stop_listening(passed)
        passed.timer.cancel()
        passed.helper.close()
        passed.helper = None
        self._counters.add(f"passed.{reason}")
        note_closed(self.neighbours, passed.neighbour)
        note_short(self.neighbours, passed.neighbour, clocks.now_s())
        if self._ask(passed):
            return
        self._passed.pop(id(passed), None)
        passed.give_back(passed.accepted)

    def _listen(
        self,
        passed: PassedConnection,
        helper: Any,
        event: str,
        call: Callable[[PassedConnection], None],
    ) -> None:
        """Have the event loop call back once the neighbour's connection is ready.

        :param event: the loop's word for reading or writing.
        """
        passed.listener = hubs.get_hub().add(
            event, helper.fileno(), lambda _: call(passed), lambda _: None, lambda: None
        )

    def _stop_listening(self, passed: PassedConnection) -> None:
        if passed.listener is not None:
            hubs.get_hub().remove(passed.listener)
            passed.listener = None

    def _forget(self, passed: PassedConnection) -> None:
        note_closed(self.neighbours, passed.neighbour)
        self._passed.pop(id(passed), None)


def _stays_dead(member: Member, now_s: float) -> bool:
    if member.state is not MemberState.DEAD:
        return False
    return now_s - member.changed_at_s >= DEAD_PATIENCE_S


def _take_over(accepted: Accepted) -> Any:
    """Return a caller's connection as one that eventlet's own object knows nothing of."""
    connection = _socket.socket(fileno=accepted[0].fd.detach())
    connection.setblocking(False)
    return connection
