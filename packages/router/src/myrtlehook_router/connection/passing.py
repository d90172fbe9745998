"""Passes clients' connections on to neighbouring routers while this one is short of CPU time.

A neighbour handles the requests as it does those of its own clients; this router only
relays the bytes. A connection that no neighbour accepts is served here.
"""

import errno
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from eventlet import hubs, patcher

from myrtlehook_core import (
    Member,
    MemberState,
    MemberTable,
    Neighbours,
    byte_budgets,
    choose_neighbour,
    record_closed,
    record_opened,
    record_short,
)
from myrtlehook_router.connection.introductions import (
    VERDICT_ACCEPTED,
    VERDICT_OTHER_CONFIGURATION,
    Introduction,
    write_introduction,
)
from myrtlehook_router.connection.memory_gates import MemoryGate
from myrtlehook_router.connection.splices import Splice
from myrtlehook_router.process import clocks
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.logs import get_logger

VERDICT_TIMEOUT_S = 0.15
"""A neighbour in the same zone replies within a few ms unless it is short of CPU time itself."""

NEIGHBOUR_MARGIN_S = 0.15
"""How long after a request's deadline its neighbour may still answer it. The neighbour knows better
why it is late, and its answer takes a moment to arrive."""

WAITING_BYTES_S = 0.05
"""A request whose bytes are read this soon after its neighbour has accepted the connection arrived
with the connection, and has waited since then."""

MAX_NEIGHBOURS_ASKED = 2
"""The number of neighbours asked to accept a connection before it is served here."""

UNACKNOWLEDGED_TIMEOUT_MS = 2000
"""A neighbour that has not acknowledged sent bytes for this long is considered gone."""

DEAD_ABORT_DELAY_S = 2.0
"""A passed connection is aborted once its neighbour has been considered dead for this long.

Members are considered dead after 0.55 s without an answer. A saturated link or a pause of the
process can last as long, and aborting at once would lose responses that still arrive. If the
neighbour is really gone, its clients find out through the kernel's keep-alive probes of the
connection, or after this delay.
"""

_socket = patcher.original("socket")
"""Unpatched, because eventlet's sockets wait in a task, and this code runs in loop callbacks."""

_log = get_logger("passing")

_KEEPALIVE_OPTIONS = (
    (_socket.SOL_SOCKET, _socket.SO_KEEPALIVE, 1),
    (_socket.IPPROTO_TCP, _socket.TCP_KEEPIDLE, 1),
    (_socket.IPPROTO_TCP, _socket.TCP_KEEPINTVL, 1),
    (_socket.IPPROTO_TCP, _socket.TCP_KEEPCNT, 2),
)
"""The kernel probes a silent neighbour's machine each second. While a response is awaited no
sent bytes are unacknowledged, so nothing else would detect that the neighbour is gone."""

Accepted = tuple[Any, Any]
"""A connection as accepted by eventlet, and the address of its peer."""


@dataclass(frozen=True, slots=True)
class PassingConfig:
    """The identity of the router that passes connections on, and its neighbours' port."""

    router_id: str
    fleet_key: str
    neighbour_port: int
    """The port at which every router accepts connections from its neighbours."""


class LimitedRequest(Protocol):
    """A passed request, which ends at its deadline even if its neighbour is silent."""

    @property
    def deadline_s(self) -> float:
        """Return the deadline."""

    @property
    def late_response(self) -> bytes:
        """Return the HTTP response if nothing has been answered by then."""


RequestReader = Callable[[bytes, float], LimitedRequest]


@dataclass(slots=True)
class PassedConnection:
    """A client's connection that a neighbour serves or is asked to serve."""

    accepted: Accepted
    serve_here: Callable[[Accepted], None]
    accepted_at_s: float
    tried_neighbours: set[str] = field(default_factory=set)
    neighbour_id: str = ""
    neighbour_socket: Any = None
    introduction_sent: bool = False
    """Whether the introduction has been sent to the neighbour."""
    hub_listener: Any = None
    verdict_timer: Any = None
    splice: Splice | None = None
    spliced_at_s: float = 0.0
    deadline_timer: Any = None


class ConnectionPasser:
    """Passes connections on to neighbours, and keeps those that they serve."""

    def __init__(
        self,
        config: PassingConfig,
        table: MemberTable,
        draw: Callable[[], float],
        counters: Counters,
        get_configuration_number: Callable[[], int],
        read_request: RequestReader,
        gate: MemoryGate | None = None,
    ) -> None:
        """Prepare to pass connections on.

        :param get_configuration_number: returns the version of this router's configuration.
        :param read_request: reads the first bytes of a request that arrived at a given time.
        """
        self._read_request = read_request
        self._gate = gate
        self._get_configuration_number = get_configuration_number
        self._config = config
        self._table = table
        self._draw = draw
        self._counters = counters
        self._passed: dict[int, PassedConnection] = {}
        self.neighbours = Neighbours()

    def pass_on(self, accepted: Accepted, serve_here: Callable[[Accepted], None]) -> bool:
        """Offer a client's connection to a neighbour; returns False if none can be asked.

        :param serve_here: called later with the connection if no neighbour accepts it.
        """
        passed = PassedConnection(accepted, serve_here, clocks.now_s())
        if not self._ask_next_neighbour(passed):
            return False
        self._passed[id(passed)] = passed
        return True

    def count_requests(self) -> int:
        """Return the number of connections that carry a request to a neighbour."""
        return sum(
            passed.splice is not None and passed.splice.carries_request
            for passed in self._passed.values()
        )

    def count_connections(self) -> int:
        """Return the number of connections that neighbours serve or are asked to serve."""
        return len(self._passed)

    def abort_dead_neighbours(self) -> None:
        """Abort connections whose neighbour stays dead or is not listed; clients may retry."""
        now_s = clocks.now_s()
        for passed in list(self._passed.values()):
            member = self._table.members.get(passed.neighbour_id)
            if member is not None and not _has_stayed_dead(member, now_s):
                continue
            if passed.splice is not None:
                self._counters.add("passed.neighbour_died")
                _log.warning("neighbour given up", neighbour=passed.neighbour_id)
                passed.splice.abort()

    def close_silent_connection(self) -> bool:
        """Close a connection whose client has sent nothing for long; returns False without one."""
        latest_s = clocks.now_s() - byte_budgets.STALL_S
        for passed in self._passed.values():
            splice = passed.splice
            if splice is not None and not splice.carries_request and passed.spliced_at_s < latest_s:
                splice.abort()
                return True
        return False

    def _ask_next_neighbour(self, passed: PassedConnection) -> bool:
        """Ask the next neighbour to serve the connection; returns False if none can be asked."""
        if len(passed.tried_neighbours) >= MAX_NEIGHBOURS_ASKED:
            return False
        now_s = clocks.now_s()
        tried = frozenset(passed.tried_neighbours)
        member = choose_neighbour(self.neighbours, self._table, now_s, self._draw, tried)
        if member is None:
            return False
        neighbour_socket = self._open_socket()
        if neighbour_socket is None:
            return False
        passed.neighbour_socket = neighbour_socket
        passed.introduction_sent = False
        passed.tried_neighbours.add(member.router_id)
        passed.neighbour_id = member.router_id
        record_opened(self.neighbours, member.router_id)
        self._connect(passed, neighbour_socket, member)
        return True

    def _open_socket(self) -> Any | None:
        """Return a new socket, or None if the process is out of file descriptors."""
        try:
            neighbour_socket = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
        except OSError:
            self._counters.add("passed.no_descriptor")
            return None
        neighbour_socket.setblocking(False)
        neighbour_socket.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
        neighbour_socket.setsockopt(
            _socket.IPPROTO_TCP, _socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        for option in _KEEPALIVE_OPTIONS:
            neighbour_socket.setsockopt(*option)
        return neighbour_socket

    def _connect(self, passed: PassedConnection, neighbour_socket: Any, member: Member) -> None:
        hub = hubs.get_hub()
        passed.verdict_timer = hub.schedule_call_global(
            VERDICT_TIMEOUT_S, lambda: self._handle_timeout(passed)
        )
        status = _connect(neighbour_socket, member.address, self._config.neighbour_port)
        if status not in (0, errno.EINPROGRESS):
            # Deferred, because pass_on() has not stored the connection yet.
            hub.schedule_call_global(0, lambda: self._give_up_neighbour(passed, "not_connected"))
            return
        self._add_listener(passed, neighbour_socket, hubs.hub.WRITE, self._send_introduction)

    def _send_introduction(self, passed: PassedConnection) -> None:
        neighbour_socket = passed.neighbour_socket
        if neighbour_socket is None:
            return
        self._remove_listener(passed)
        status = neighbour_socket.getsockopt(_socket.SOL_SOCKET, _socket.SO_ERROR)
        if status:
            self._give_up_neighbour(passed, "not_connected")
            return
        introduction = Introduction(
            self._config.router_id,
            passed.neighbour_id,
            self._get_configuration_number(),
            waited_ms=round((clocks.now_s() - passed.accepted_at_s) * 1000.0),
        )
        try:
            neighbour_socket.send(write_introduction(introduction, self._config.fleet_key))
        except OSError:
            self._give_up_neighbour(passed, "not_connected")
            return
        passed.introduction_sent = True
        self._add_listener(passed, neighbour_socket, hubs.hub.READ, self._receive_verdict)

    def _handle_timeout(self, passed: PassedConnection) -> None:
        """Give up on a neighbour without a verdict, unless one arrived while the loop was late."""
        asked_socket = passed.neighbour_socket
        if passed.introduction_sent:
            self._receive_verdict(passed)
        if passed.neighbour_socket is asked_socket:
            self._give_up_neighbour(passed, "no_answer")

    def _receive_verdict(self, passed: PassedConnection) -> None:
        neighbour_socket = passed.neighbour_socket
        if neighbour_socket is None:
            return
        try:
            verdict = neighbour_socket.recv(1)
        except BlockingIOError:
            return
        except OSError:
            verdict = b""
        if verdict == VERDICT_OTHER_CONFIGURATION:
            self._give_up_neighbour(passed, "neighbour_has_other_configuration")
            return
        if verdict != VERDICT_ACCEPTED:
            self._give_up_neighbour(passed, "neighbour_short")
            return
        self._remove_listener(passed)
        passed.verdict_timer.cancel()
        self._counters.add("passed.connections")
        connection = _detach_socket(passed.accepted)
        passed.spliced_at_s = clocks.now_s()
        passed.splice = Splice(
            connection,
            neighbour_socket,
            lambda: self._remove_connection(passed),
            lambda head: self._limit_request(passed, head),
            self._gate,
        )
        passed.splice.start()

    def _limit_request(self, passed: PassedConnection, head: bytes) -> None:
        """End the request some time after its deadline, unless its neighbour has by then."""
        now_s = clocks.now_s()
        waited = now_s - passed.spliced_at_s < WAITING_BYTES_S
        request = self._read_request(head, passed.accepted_at_s if waited else now_s)
        passed.deadline_timer = hubs.get_hub().schedule_call_global(
            max(request.deadline_s - now_s, 0.0) + NEIGHBOUR_MARGIN_S,
            lambda: self._end_late(passed, request),
        )

    def _end_late(self, passed: PassedConnection, request: LimitedRequest) -> None:
        passed.deadline_timer = None
        if passed.splice is None:
            return
        self._counters.add("passed.late")
        _log.warning("neighbour silent past a deadline", neighbour=passed.neighbour_id)
        passed.splice.end_late(request.late_response)

    def _give_up_neighbour(self, passed: PassedConnection, reason: str) -> None:
        """Ask another neighbour, or have this router serve the connection if none is left."""
        if passed.neighbour_socket is None or passed.splice is not None:
            return
        self._remove_listener(passed)
        passed.verdict_timer.cancel()
        passed.neighbour_socket.close()
        passed.neighbour_socket = None
        self._counters.add(f"passed.{reason}")
        record_closed(self.neighbours, passed.neighbour_id)
        record_short(self.neighbours, passed.neighbour_id, clocks.now_s())
        if self._ask_next_neighbour(passed):
            return
        self._passed.pop(id(passed), None)
        passed.serve_here(passed.accepted)

    def _add_listener(
        self,
        passed: PassedConnection,
        neighbour_socket: Any,
        event: str,
        callback: Callable[[PassedConnection], None],
    ) -> None:
        """Have the event loop call back once the neighbour's connection is ready.

        :param event: the event loop's constant for reading or writing.
        """
        passed.hub_listener = hubs.get_hub().add(
            event,
            neighbour_socket.fileno(),
            lambda _: callback(passed),
            lambda _: None,
            lambda: None,
        )

    def _remove_listener(self, passed: PassedConnection) -> None:
        if passed.hub_listener is not None:
            hubs.get_hub().remove(passed.hub_listener)
            passed.hub_listener = None

    def _remove_connection(self, passed: PassedConnection) -> None:
        if passed.deadline_timer is not None:
            passed.deadline_timer.cancel()
            passed.deadline_timer = None
        record_closed(self.neighbours, passed.neighbour_id)
        self._passed.pop(id(passed), None)


def _connect(neighbour_socket: Any, address: str, port: int) -> int:
    """Begin to connect to a port of a member's host; returns an error number, or 0."""
    ip = address.rpartition(":")[0]
    try:
        _socket.inet_pton(_socket.AF_INET, ip)
    except (OSError, ValueError):
        # Another router has told an address that is none.
        return errno.EINVAL
    status: int = neighbour_socket.connect_ex((ip, port))
    return status


def _has_stayed_dead(member: Member, now_s: float) -> bool:
    if member.state is not MemberState.DEAD:
        return False
    return now_s - member.changed_at_s >= DEAD_ABORT_DELAY_S


def _detach_socket(accepted: Accepted) -> Any:
    """Detach a client's connection from eventlet's socket object, as a plain non-blocking one."""
    connection = _socket.socket(fileno=accepted[0].fd.detach())
    connection.setblocking(False)
    return connection
