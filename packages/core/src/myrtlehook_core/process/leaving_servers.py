"""Which backend servers have said that they leave, in whichever way it was heard.

An entry of the source, a load report, the head of an answer or another router may tell it, in
any order, and at times only one of them does. All of them end here, and ``mark_leaving`` puts
it into the configuration that every decision reads: nothing has to ask in two places.

A server that has said so is believed, whatever is heard of it later in another way: an entry
may be old, or the source away. Its word ends with its start. A server's name tells its start,
or else its load reports do.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from myrtlehook_core.process.membership_messages import LeavingRow
from myrtlehook_core.version.configurations import Configuration

TOLD_ROWS = 16
"""Leaving servers that ride on one probe."""

REMEMBERED_S = 3600.0
"""How long a server that the configuration names no more is remembered. A list that was on its
way for longer, or a source that was away for longer, does not bring it back."""


@dataclass(slots=True)
class LeavingServer:
    """A backend server that said it is leaving."""

    incarnation: int
    news_left: int
    """On how many more probes it rides."""
    forgotten_at_s: float = math.inf
    """Set while the configuration does not name it."""


@dataclass(slots=True)
class LeavingServers:
    """All that are known, by name."""

    servers: dict[str, LeavingServer] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    """Of the servers that send load reports, as the last one told."""
    revision: int = 0
    """Moves whenever ``servers`` may mark others."""


def note_leaving(leaving: LeavingServers, row: LeavingRow, news_left: int) -> bool:
    """Note that a backend server is leaving; True when that is new.

    :param news_left: on how many probes this is to ride.
    """
    known = leaving.servers.get(row.backend_server)
    if known is not None and known.incarnation >= row.incarnation:
        return False
    leaving.servers[row.backend_server] = LeavingServer(row.incarnation, news_left)
    leaving.revision += 1
    return True


def note_incarnation(leaving: LeavingServers, backend_server: str, incarnation: int) -> None:
    """Forget that a server was leaving once a later incarnation of it reports."""
    heard = leaving.incarnations.get(backend_server, incarnation)
    leaving.incarnations[backend_server] = max(heard, incarnation)
    known = leaving.servers.get(backend_server)
    if known is not None and incarnation > known.incarnation:
        del leaving.servers[backend_server]
        leaving.revision += 1


def make_row(leaving: LeavingServers, backend_server: str) -> LeavingRow:
    """Return the news that a server leaves which has just said so itself."""
    return LeavingRow(backend_server, leaving.incarnations.get(backend_server, 0))


def collect_rows(leaving: LeavingServers) -> tuple[LeavingRow, ...]:
    """Pick the leaving backend servers that ride on one probe."""
    rows: list[LeavingRow] = []
    for name, server in leaving.servers.items():
        if server.news_left > 0 and len(rows) < TOLD_ROWS:
            server.news_left -= 1
            rows.append(LeavingRow(name, server.incarnation))
    return tuple(rows)


def list_rows(leaving: LeavingServers) -> tuple[LeavingRow, ...]:
    """Return all that leave and that the configuration still names, for a router that starts.

    The news of them may have run out, and the source may not tell it for long.
    """
    return tuple(
        LeavingRow(name, server.incarnation)
        for name, server in leaving.servers.items()
        if math.isinf(server.forgotten_at_s)
    )


def mark_leaving(configuration: Configuration, leaving: LeavingServers) -> Configuration:
    """Return the configuration with the servers marked that have said that they leave."""
    servers = configuration.backend_servers
    unmarked = [name for name in leaving.servers if name in servers and not servers[name].leaving]
    if not unmarked:
        return configuration
    marked = {name: replace(servers[name], leaving=True) for name in unmarked}
    return replace(configuration, backend_servers=servers | marked)


def forget_left(leaving: LeavingServers, named: Collection[str], now_s: float) -> None:
    """Forget, after a while, the servers that the configuration names no more."""
    for name, server in list(leaving.servers.items()):
        if name in named:
            server.forgotten_at_s = math.inf
        elif math.isinf(server.forgotten_at_s):
            server.forgotten_at_s = now_s + REMEMBERED_S
        elif now_s >= server.forgotten_at_s:
            del leaving.servers[name]
    for name in list(leaving.incarnations):
        if name not in named and name not in leaving.servers:
            del leaving.incarnations[name]
