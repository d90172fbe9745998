"""The connections of one process to backend servers: idle ones, active ones and witnesses.

A connection carries one request at a time. It is kept only after a complete response that
nothing followed. It is not reused if bytes arrive while it is idle, because they belong to
no request.

An open connection shows that the process that accepted it has not ended, because the end of a
process ends all of its connections. A witness is a connection that is kept for this only. One that
was not accepted yet shows nothing: it waits at the listening socket, which may belong to a
supervisor that outlives the process. Connections are accepted in the order of their opening, so a
witness that is opened before a request's own connection shows something from the first byte on.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import eventlet
from eventlet import patcher
from eventlet.event import Event
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from myrtlehook_router.connection.closed_connections import is_connection_closed, is_readable
from myrtlehook_router.connection.framing_memories import (
    FramingMemory,
    forget_expired,
    forget_server,
    has_been_unframed,
    list_addresses,
    may_be_unframed,
    record_framed,
    record_unframed,
)
from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.connection.server_sockets import (
    CONNECT_TIMEOUT_S,
    ServerConnection,
    open_connection,
)
from myrtlehook_router.process import clocks

IDLE_TIMEOUT_S = 8.0
"""An idle connection is closed after this long, or earlier if its server asks for that."""

LATE_END_S = 0.25
"""The end of a connection whose packet was lost once arrives within this time: the shortest
retransmission time-out of Linux, and a round trip between regions. A process that answers requests
accepts a connection sooner."""

WITNESS_WAIT_S = 0.2
"""A request waits at most this long for a witness to be opened; then it is sent without one."""

MAX_WITNESSES = 2
"""The number of witnesses to one server."""

RENEWAL_AGE_S = 1.0
"""A new witness is opened once the last one is idle for this long. Servers close idle connections
later."""

MAX_CONNECTIONS_BESIDE = 8
"""The number of other connections to a server that are looked at when a response ends."""

_select = patcher.original("select")
_CLOSING_EVENTS = _select.POLLIN | _select.POLLRDHUP | _select.POLLERR


@dataclass(slots=True)
class _KeptConnection:
    """A connection without a request, until it expires."""

    connection: ServerConnection
    kept_at_s: float
    """When its last response ended, or when it was opened."""
    deadline_s: float


@dataclass(slots=True, eq=False)
class ActiveConnection:
    """A connection that carries a request."""

    address: str
    connection: ServerConnection
    sock: Any
    """Kept separately: the connection drops it when the response has ``Connection: close``."""
    newest_beside: int
    """The number of the newest connection to the server that was opened while this one was known
    to be open."""
    may_be_unframed: bool = False
    """Whether its response is not known to be framed."""
    is_unframed: bool = False
    """Whether only the end of the connection will mark the end of its response."""


@dataclass(slots=True)
class ConnectionPool:
    """The connections of one process, by server address."""

    idle_by_address: dict[str, deque[_KeptConnection]] = field(default_factory=dict)
    active_by_address: dict[str, set[ActiveConnection]] = field(default_factory=dict)
    witnesses: dict[str, deque[_KeptConnection]] = field(default_factory=dict)
    opening_witnesses: dict[str, Event] = field(default_factory=dict)
    """Sent once the witness to an address is opened, or once that has failed."""
    framing_memory: FramingMemory = field(default_factory=FramingMemory)
    opened_count: int = 0
    """The number of connections opened so far."""


def acquire_connection(
    pool: ConnectionPool,
    address: str,
    kind: str,
    deadline_s: float,
    fresh_connection: bool,
    request_key: str = "",
) -> Result[ActiveConnection, SendFailure]:
    """Take an idle connection, or open one, for a request.

    If the response may be unframed, another connection that its process has accepted is open then.

    :param kind: the request's method and path.
    :param fresh_connection: open a new connection, as the server may be closing an idle one.
    :param request_key: what distinguishes the request; empty if nothing does. A connection that has
        just carried it is not taken: a second answer to the first attempt may still come there.
    """
    is_doubtful = may_be_unframed(pool.framing_memory, address, kind, clocks.now_s())
    connection = None
    if not fresh_connection:
        take = _take_witnessed_connection if is_doubtful else _take_idle_connection
        connection = take(pool, address)
    if connection is not None and request_key and connection.carried_request == request_key:
        connection.close()
        connection = None
    if connection is None:
        if is_doubtful:
            _wait_for_witness(pool, address)
        opened = _open_connection(pool, address, deadline_s)
        if isinstance(opened, Err):
            return opened
        connection = opened.ok_value
    connection.carried_request = request_key
    active = _make_active(pool, address, connection)
    active.may_be_unframed = is_doubtful
    pool.active_by_address.setdefault(address, set()).add(active)
    return Ok(active)


def close_connection(pool: ConnectionPool, active: ActiveConnection) -> None:
    """Close an active connection; safe to call again."""
    _deactivate(pool, active)
    active.connection.close()


def release_connection(
    pool: ConnectionPool, active: ActiveConnection, idle_timeout_s: float
) -> None:
    """Keep an active connection for the next request if it is reusable.

    :param idle_timeout_s: how long it may be idle; 0 if it must close.
    """
    if idle_timeout_s <= 0 or active.connection.sock is None or _is_readable(active.connection):
        close_connection(pool, active)
        return
    _deactivate(pool, active)
    idle = pool.idle_by_address.setdefault(active.address, deque())
    now_s = clocks.now_s()
    idle.append(_KeptConnection(active.connection, now_s, now_s + idle_timeout_s))


def expect_unframed_end(pool: ConnectionPool, active: ActiveConnection) -> None:
    """Open a witness for a response whose end only the end of its connection will mark."""
    active.is_unframed = True
    record_unframed(pool.framing_memory, active.address, clocks.now_s())
    eventlet.spawn_n(_ensure_witness, pool, active.address)


def expect_framed_end(
    pool: ConnectionPool, active: ActiveConnection, kind: str, is_success: bool
) -> None:
    """Remember how a response is framed; later requests may take witnesses that none needs.

    :param is_success: whether others of its kind are expected to be framed alike; errors may not.
    """
    active.may_be_unframed = False
    if is_success:
        record_framed(pool.framing_memory, active.address, kind)
    if has_been_unframed(pool.framing_memory, active.address, clocks.now_s()):
        return
    if active.address in pool.witnesses and not _needs_witness(pool, active.address):
        idle = pool.idle_by_address.setdefault(active.address, deque())
        idle.extendleft(reversed(pool.witnesses.pop(active.address)))


def renew_witnesses(pool: ConnectionPool) -> None:
    """Open new witnesses before servers close them, as they do with idle connections."""
    for address, connections in pool.active_by_address.items():
        if any(active.is_unframed for active in connections):
            eventlet.spawn_n(_ensure_witness, pool, address)


def list_sockets_beside(pool: ConnectionPool, active: ActiveConnection) -> list[Any]:
    """Return sockets of other connections that a process at the server's address has accepted.

    Those that are open were accepted by the same process as the active one. Witnesses come first,
    then idle connections, the newest first, then active ones.
    """
    address = active.address
    now_s = clocks.now_s()
    kept = [*pool.witnesses.get(address, ()), *reversed(pool.idle_by_address.get(address, ()))]
    sockets = [one.connection.sock for one in kept if _is_accepted(one.connection, active, now_s)]
    sockets += [
        other.sock
        for other in pool.active_by_address.get(address, ())
        if other is not active and _is_accepted(other.connection, active, now_s)
    ]
    return [sock for sock in sockets if sock is not None][:MAX_CONNECTIONS_BESIDE]


def close_expired_connections(pool: ConnectionPool, is_configured: Callable[[str], bool]) -> None:
    """Close connections without a request that have expired or whose server is not configured.

    Those to a server that still answers requests are kept until then: they show that it lives.
    """
    now_s = clocks.now_s()

    def is_wanted(address: str) -> bool:
        return is_configured(address) or address in pool.active_by_address

    for address, idle in list(pool.idle_by_address.items()):
        while idle and (now_s >= idle[0].deadline_s or not is_wanted(address)):
            idle.popleft().connection.close()
        if not idle:
            del pool.idle_by_address[address]
    for address, witnesses in list(pool.witnesses.items()):
        is_expired = now_s >= witnesses[-1].deadline_s and not _needs_witness(pool, address)
        if is_expired or not is_wanted(address):
            for witness in pool.witnesses.pop(address):
                witness.connection.close()
    forget_expired(pool.framing_memory, now_s)
    for address in list_addresses(pool.framing_memory):
        if not is_wanted(address):
            forget_server(pool.framing_memory, address)


def find_closing_servers(pool: ConnectionPool) -> list[str]:
    """Return the addresses whose servers have closed an idle connection before it expired.

    Looks at the most recently used connection of each address.
    """
    poller = _select.poll()
    addresses: dict[int, str] = {}
    now_s = clocks.now_s()
    for address, idle in pool.idle_by_address.items():
        if not idle or now_s >= idle[-1].deadline_s:
            continue
        sock: Any = idle[-1].connection.sock
        if sock is not None and sock.fileno() >= 0:
            addresses[sock.fileno()] = address
            poller.register(sock.fileno(), _CLOSING_EVENTS)
    return [addresses[descriptor] for descriptor, _ in poller.poll(0)]


def open_idle_connection(pool: ConnectionPool, address: str) -> SendFailure | None:
    """Open a connection for later requests, unless one is idle; return why that failed, if it did.

    While it is idle, it shows whether the server's process lives.
    """
    if pool.idle_by_address.get(address):
        return None
    now_s = clocks.now_s()
    opened = _open_connection(pool, address, now_s + CONNECT_TIMEOUT_S)
    if isinstance(opened, Err):
        return opened.err_value
    kept = _KeptConnection(opened.ok_value, now_s, now_s + IDLE_TIMEOUT_S)
    pool.idle_by_address.setdefault(address, deque()).append(kept)
    return None


def drop_idle_connections(pool: ConnectionPool, address: str) -> None:
    """Close all idle connections to an address."""
    for idle in pool.idle_by_address.pop(address, ()):
        idle.connection.close()


def _wait_for_witness(pool: ConnectionPool, address: str) -> None:
    """Have a witness before a connection is opened, as a short response ends before one is."""
    now_s = clocks.now_s()
    if any(_is_lasting(idle, now_s) for idle in pool.idle_by_address.get(address, ())):
        return
    if _extend_witness(pool, address, now_s):
        return
    opening = eventlet.spawn(_ensure_witness, pool, address)
    with eventlet.Timeout(WITNESS_WAIT_S, False):
        opening.wait()


def _ensure_witness(pool: ConnectionPool, address: str) -> None:
    """Open a witness to a server, unless there is one that its server will keep for some time."""
    now_s = clocks.now_s()
    if _extend_witness(pool, address, now_s):
        return
    if address in pool.opening_witnesses:
        pool.opening_witnesses[address].wait()
        return
    done = pool.opening_witnesses[address] = Event()
    opened = _open_connection(pool, address, now_s + CONNECT_TIMEOUT_S)
    if isinstance(opened, Ok):
        _keep_witness(pool, address, opened.ok_value)
    del pool.opening_witnesses[address]
    done.send()


def _extend_witness(pool: ConnectionPool, address: str, now_s: float) -> bool:
    """Keep the last witness for longer; returns whether its server will do so for some time."""
    known = pool.witnesses.get(address)
    if not known or not _is_lasting(known[-1], now_s):
        return False
    known[-1].deadline_s = now_s + IDLE_TIMEOUT_S
    return True


def _keep_witness(pool: ConnectionPool, address: str, connection: ServerConnection) -> None:
    # The older one is kept: it shows that the server lives until the new one is accepted.
    now_s = clocks.now_s()
    known = pool.witnesses.setdefault(address, deque())
    known.append(_KeptConnection(connection, now_s, now_s + IDLE_TIMEOUT_S))
    while len(known) > MAX_WITNESSES:
        known.popleft().connection.close()


def _is_lasting(kept: _KeptConnection, now_s: float) -> bool:
    """Return whether a connection without a request is open, and its server will keep it."""
    is_recent = now_s < kept.kept_at_s + RENEWAL_AGE_S
    sock = kept.connection.sock
    return is_recent and sock is not None and not is_connection_closed(sock)


def _needs_witness(pool: ConnectionPool, address: str) -> bool:
    return any(active.may_be_unframed for active in pool.active_by_address.get(address, ()))


def _open_connection(
    pool: ConnectionPool, address: str, deadline_s: float
) -> Result[ServerConnection, SendFailure]:
    opened_before = pool.opened_count
    opened = open_connection(address, deadline_s)
    if isinstance(opened, Err):
        return opened
    connection = opened.ok_value
    connection.opened_before = opened_before
    pool.opened_count += 1
    connection.opened_number = pool.opened_count
    connection.opened_at_s = clocks.now_s()
    for active in pool.active_by_address.get(address, ()):
        if not is_connection_closed(active.sock):
            active.newest_beside = connection.opened_number
    return opened


def _take_idle_connection(pool: ConnectionPool, address: str) -> ServerConnection | None:
    kept = _take_kept_connection(pool, address)
    return None if kept is None else kept.connection


def _take_kept_connection(pool: ConnectionPool, address: str) -> _KeptConnection | None:
    idle = pool.idle_by_address.get(address)
    while idle:
        # The most recently used one is the least likely to be closed by its server.
        candidate = idle.pop()
        usable = candidate.connection.sock is not None and clocks.now_s() < candidate.deadline_s
        if usable and not _is_readable(candidate.connection):
            return candidate
        candidate.connection.close()
    return None


def _take_witnessed_connection(pool: ConnectionPool, address: str) -> ServerConnection | None:
    """Take an idle connection if another one shows already that its process lives."""
    taken = _take_kept_connection(pool, address)
    if taken is None:
        return None
    active = _make_active(pool, address, taken.connection)
    now_s = clocks.now_s()
    kept = [*pool.witnesses.get(address, ()), *pool.idle_by_address.get(address, ())]
    if any(_is_lasting(one, now_s) and _is_accepted(one.connection, active, now_s) for one in kept):
        return taken.connection
    pool.idle_by_address[address].append(taken)
    return None


def _make_active(
    pool: ConnectionPool, address: str, connection: ServerConnection
) -> ActiveConnection:
    return ActiveConnection(address, connection, connection.sock, pool.opened_count)


def _is_accepted(other: ServerConnection, active: ActiveConnection, now_s: float) -> bool:
    """Return whether the process behind an active connection had accepted another open one."""
    if other.opened_number <= active.connection.opened_before:
        return True
    # If the end of the active one is late, a process started meanwhile may have accepted it.
    if now_s < other.opened_at_s + LATE_END_S:
        return False
    # Of two that were opened at once, it is not known which one waits first in the server's queue.
    return other.has_answered or other.opened_number <= active.newest_beside


def _deactivate(pool: ConnectionPool, active: ActiveConnection) -> None:
    connections = pool.active_by_address.get(active.address, set())
    connections.discard(active)
    if not connections:
        pool.active_by_address.pop(active.address, None)


def _is_readable(connection: HTTPConnection) -> bool:
    """Return whether bytes or an end of stream have arrived on an idle connection."""
    return connection.sock is None or is_readable(connection.sock)
