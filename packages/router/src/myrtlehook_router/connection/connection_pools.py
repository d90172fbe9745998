"""The connections of one process to backend servers: idle ones, leased ones and witnesses.

A connection carries one request at a time. It is kept only after a complete response that
nothing followed. It is not reused if bytes arrive while it is idle, because they belong to
no request.

A connection shows that its server's process has not ended: the end of a process ends all of its
connections. A witness is one that is kept for this only. It counts once that process has accepted
it: a supervisor's listening socket outlives the process, and with it what was not accepted yet.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import eventlet
from eventlet import patcher
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from myrtlehook_router.connection.closed_connections import is_connection_closed
from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.connection.server_sockets import CONNECT_TIMEOUT_S, open_connection
from myrtlehook_router.process import clocks

IDLE_TIMEOUT_S = 8.0
"""An idle connection is closed after this long, or earlier if its server asks for that."""

UNFRAMED_MEMORY_S = 60.0
"""A server that has sent a response without length or chunks gets witnesses for this long."""

ACCEPT_TIME_S = 0.1
"""A process that answers requests accepts a connection within this time."""

WITNESS_WAIT_S = 0.05
"""A request waits at most this long for a witness to be opened; then it is sent without one."""

MAX_CONNECTIONS_BESIDE = 8
"""The number of other connections to a server that are looked at when a response ends."""

_select = patcher.original("select")
_CLOSING_EVENTS = _select.POLLIN | _select.POLLRDHUP | _select.POLLERR


@dataclass(slots=True)
class _KeptConnection:
    connection: HTTPConnection
    opened_number: int
    opened_at_s: float
    deadline_s: float
    has_answered: bool = False
    """Whether it has carried a response, so that a process has accepted it."""


@dataclass(slots=True, eq=False)
class Lease:
    """A connection that carries a request."""

    address: str
    connection: HTTPConnection
    sock: Any
    """Kept separately: the connection drops it when the response has ``Connection: close``."""
    opened_number: int
    opened_at_s: float
    newest_beside: int
    """The number of the newest connection to the server that was opened while this one was known
    to be open."""
    has_answered: bool = False


@dataclass(slots=True)
class ConnectionPool:
    """The connections of one process, by server address."""

    idle_by_address: dict[str, deque[_KeptConnection]] = field(default_factory=dict)
    leases_by_address: dict[str, set[Lease]] = field(default_factory=dict)
    witnesses: dict[str, _KeptConnection] = field(default_factory=dict)
    opening_witnesses: set[str] = field(default_factory=set)
    unframed_until_s: dict[str, float] = field(default_factory=dict)
    """Until when a server gets witnesses, because it has sent a response without framing."""
    opened_count: int = 0
    """The number of connections opened so far."""


def lease_connection(
    pool: ConnectionPool, address: str, deadline_s: float, fresh_connection: bool
) -> Result[Lease, SendFailure]:
    """Take an idle connection, or open one, for a request.

    :param fresh_connection: open a new connection, as the server may be closing an idle one.
    """
    kept = None if fresh_connection else _take_idle_connection(pool, address)
    if clocks.now_s() < pool.unframed_until_s.get(address, 0.0):
        # Connections are accepted in the order of their opening, so a witness comes first.
        _wait_for_witness(pool, address)
    if kept is None:
        opened = _open_connection(pool, address, deadline_s)
        if isinstance(opened, Err):
            return opened
        kept = opened.ok_value
    lease = Lease(
        address,
        kept.connection,
        kept.connection.sock,
        kept.opened_number,
        kept.opened_at_s,
        pool.opened_count,
        kept.has_answered,
    )
    pool.leases_by_address.setdefault(address, set()).add(lease)
    return Ok(lease)


def close_lease(pool: ConnectionPool, lease: Lease) -> None:
    """Close a leased connection; safe to call again."""
    _end_lease(pool, lease)
    lease.connection.close()


def return_connection(pool: ConnectionPool, lease: Lease, idle_timeout_s: float) -> None:
    """Keep a leased connection for the next request if it is reusable.

    :param idle_timeout_s: how long it may be idle; 0 if it must close.
    """
    if idle_timeout_s <= 0 or lease.connection.sock is None or _is_readable(lease.connection):
        close_lease(pool, lease)
        return
    _end_lease(pool, lease)
    idle = pool.idle_by_address.setdefault(lease.address, deque())
    deadline_s = clocks.now_s() + idle_timeout_s
    idle.append(
        _KeptConnection(
            lease.connection, lease.opened_number, lease.opened_at_s, deadline_s, has_answered=True
        )
    )


def expect_unframed_end(pool: ConnectionPool, address: str) -> None:
    """Open a witness for a response whose end only the end of its connection will mark."""
    pool.unframed_until_s[address] = clocks.now_s() + UNFRAMED_MEMORY_S
    eventlet.spawn_n(_ensure_witness, pool, address)


def list_sockets_beside(pool: ConnectionPool, lease: Lease) -> list[Any]:
    """Return sockets of other connections that a process at the server's address has accepted.

    Of those that are open, it is the process that has accepted the leased one.

    Witnesses come first, then idle connections, the newest first, then leased ones.
    """
    address = lease.address
    now_s = clocks.now_s()
    kept = [pool.witnesses[address]] if address in pool.witnesses else []
    kept += reversed(pool.idle_by_address.get(address, ()))
    sockets = [one.connection.sock for one in kept if _is_accepted(one, lease, now_s)]
    sockets += [
        other.sock
        for other in pool.leases_by_address.get(address, ())
        if other is not lease and _is_accepted(other, lease, now_s)
    ]
    return [sock for sock in sockets if sock is not None][:MAX_CONNECTIONS_BESIDE]


def close_expired_connections(pool: ConnectionPool, is_configured: Callable[[str], bool]) -> None:
    """Close connections without a request that have expired or whose server is not configured.

    Those to a server that still answers requests are kept until then: they show that it lives.
    """
    now_s = clocks.now_s()

    def is_wanted(address: str) -> bool:
        return is_configured(address) or address in pool.leases_by_address

    for address, idle in list(pool.idle_by_address.items()):
        while idle and (now_s >= idle[0].deadline_s or not is_wanted(address)):
            idle.popleft().connection.close()
        if not idle:
            del pool.idle_by_address[address]
    for address, witness in list(pool.witnesses.items()):
        if (now_s >= witness.deadline_s and address not in pool.leases_by_address) or not is_wanted(
            address
        ):
            pool.witnesses.pop(address).connection.close()
    for address, until_s in list(pool.unframed_until_s.items()):
        if now_s >= until_s:
            del pool.unframed_until_s[address]


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
    opened = _open_connection(pool, address, clocks.now_s() + CONNECT_TIMEOUT_S)
    if isinstance(opened, Err):
        return opened.err_value
    pool.idle_by_address.setdefault(address, deque()).append(opened.ok_value)
    return None


def drop_idle_connections(pool: ConnectionPool, address: str) -> None:
    """Close all idle connections to an address."""
    for idle in pool.idle_by_address.pop(address, ()):
        idle.connection.close()


def _wait_for_witness(pool: ConnectionPool, address: str) -> None:
    """Have a witness before a request is sent, as a short response ends before one is opened."""
    opening = eventlet.spawn(_ensure_witness, pool, address)
    with eventlet.Timeout(WITNESS_WAIT_S, False):
        opening.wait()


def _ensure_witness(pool: ConnectionPool, address: str) -> None:
    """Keep a witness to a server, unless an idle connection serves as one."""
    now_s = clocks.now_s()
    known = pool.witnesses.get(address)
    if known is not None and not is_connection_closed(known.connection.sock):
        known.deadline_s = now_s + IDLE_TIMEOUT_S
        return
    if pool.idle_by_address.get(address) or address in pool.opening_witnesses:
        return
    pool.opening_witnesses.add(address)
    opened = _open_connection(pool, address, now_s + CONNECT_TIMEOUT_S)
    pool.opening_witnesses.discard(address)
    if isinstance(opened, Err):
        return
    if known is not None:
        known.connection.close()
    pool.witnesses[address] = opened.ok_value


def _open_connection(
    pool: ConnectionPool, address: str, deadline_s: float
) -> Result[_KeptConnection, SendFailure]:
    opened = open_connection(address, deadline_s)
    if isinstance(opened, Err):
        return opened
    pool.opened_count += 1
    number = pool.opened_count
    for lease in pool.leases_by_address.get(address, ()):
        if not is_connection_closed(lease.sock):
            lease.newest_beside = number
    now_s = clocks.now_s()
    return Ok(_KeptConnection(opened.ok_value, number, now_s, now_s + IDLE_TIMEOUT_S))


def _take_idle_connection(pool: ConnectionPool, address: str) -> _KeptConnection | None:
    idle = pool.idle_by_address.get(address)
    while idle:
        # The most recently used one is the least likely to be closed by its server.
        candidate = idle.pop()
        usable = candidate.connection.sock is not None and clocks.now_s() < candidate.deadline_s
        if usable and not _is_readable(candidate.connection):
            return candidate
        candidate.connection.close()
    return None


def _is_accepted(other: _KeptConnection | Lease, lease: Lease, now_s: float) -> bool:
    """Return whether a process has accepted another connection by now, before the lease's end."""
    if other.has_answered or other.opened_number < lease.opened_number:
        return True
    had_time = now_s >= other.opened_at_s + ACCEPT_TIME_S
    return other.opened_number <= lease.newest_beside and had_time


def _end_lease(pool: ConnectionPool, lease: Lease) -> None:
    leases = pool.leases_by_address.get(lease.address, set())
    leases.discard(lease)
    if not leases:
        pool.leases_by_address.pop(lease.address, None)


def _is_readable(connection: HTTPConnection) -> bool:
    """Return whether bytes or an end of stream have arrived on an idle connection."""
    sock: Any = connection.sock
    if sock is None:
        return True
    poller = _select.poll()
    poller.register(sock.fileno(), _CLOSING_EVENTS)
    return bool(poller.poll(0))
