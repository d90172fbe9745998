"""Backend servers that have announced that they are leaving, whichever way it was learned.

An entry of the source, a load report, the head of an answer or another router may report it, in
any order, and at times only one of them does. All of these reports are recorded here, and
``mark_leaving`` merges them into the configuration that every decision reads, so that no
decision has to look in two places.

Once a server has announced that it leaves, later reports to the contrary do not count: an entry
may be stale, or the source unreachable. The announcement holds for one incarnation of the server,
which its name shows or, where the name stays the same, its load reports do.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from myrtlehook_core.process.membership_messages import LeavingRow
from myrtlehook_core.version.configurations import Configuration

MAX_LEAVING_ROWS = 16
"""The greatest number of leaving servers that one message carries."""

LEAVING_MEMORY_S = 3600.0
"""How long a leaving server is remembered once the configuration no longer names it. Within this
time, neither a delayed list nor a source that was unreachable brings it back into use."""


@dataclass(slots=True)
class LeavingServer:
    """A backend server that has announced that it is leaving."""

    incarnation: int
    news_sends_left: int
    """On how many more messages it is sent."""
    forgotten_at_s: float = math.inf
    """When it is forgotten; set while the configuration does not name it."""


@dataclass(slots=True)
class LeavingServers:
    """All known leaving servers, and the incarnations of servers that send load reports."""

    servers: dict[str, LeavingServer] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    """By server, the greatest incarnation that its load reports have shown."""
    revision: int = 0
    """Increases whenever the set of servers to be marked may have changed."""


def record_leaving(leaving: LeavingServers, row: LeavingRow, news_sends: int) -> bool:
    """Record that a backend server is leaving; return True if that is new.

    :param news_sends: on how many messages this is to be sent.
    """
    known = leaving.servers.get(row.backend_server)
    if known is not None and known.incarnation >= row.incarnation:
        return False
    leaving.servers[row.backend_server] = LeavingServer(row.incarnation, news_sends)
    leaving.revision += 1
    return True


def record_incarnation(leaving: LeavingServers, backend_server: str, incarnation: int) -> None:
    """Record the incarnation in a load report; a later one ends the announcement of an earlier."""
    reported_incarnation = leaving.incarnations.get(backend_server, incarnation)
    leaving.incarnations[backend_server] = max(reported_incarnation, incarnation)
    known = leaving.servers.get(backend_server)
    if known is not None and incarnation > known.incarnation:
        del leaving.servers[backend_server]
        leaving.revision += 1


def make_leaving_row(leaving: LeavingServers, backend_server: str) -> LeavingRow:
    """Return the row for a server that has just announced itself that it leaves."""
    return LeavingRow(backend_server, leaving.incarnations.get(backend_server, 0))


def collect_leaving_rows(leaving: LeavingServers) -> tuple[LeavingRow, ...]:
    """Return the leaving backend servers to send with one message, and count them as sent."""
    rows: list[LeavingRow] = []
    for name, server in leaving.servers.items():
        if server.news_sends_left > 0 and len(rows) < MAX_LEAVING_ROWS:
            server.news_sends_left -= 1
            rows.append(LeavingRow(name, server.incarnation))
    return tuple(rows)


def list_leaving_rows(leaving: LeavingServers) -> tuple[LeavingRow, ...]:
    """Return all leaving servers that the configuration still names, for a starting router.

    They may no longer be sent as news, and the source may not report them for a long time.
    """
    return tuple(
        LeavingRow(name, server.incarnation)
        for name, server in leaving.servers.items()
        if math.isinf(server.forgotten_at_s)
    )


def mark_leaving(configuration: Configuration, leaving: LeavingServers) -> Configuration:
    """Return the configuration with the servers marked that have announced that they leave."""
    servers = configuration.backend_servers
    unmarked = [name for name in leaving.servers if name in servers and not servers[name].leaving]
    if not unmarked:
        return configuration
    marked = {name: replace(servers[name], leaving=True) for name in unmarked}
    return replace(configuration, backend_servers=servers | marked)


def forget_removed_servers(leaving: LeavingServers, named: Collection[str], now_s: float) -> None:
    """Forget servers after the configuration has not named them for a while."""
    for name, server in list(leaving.servers.items()):
        if name in named:
            server.forgotten_at_s = math.inf
        elif math.isinf(server.forgotten_at_s):
            server.forgotten_at_s = now_s + LEAVING_MEMORY_S
        elif now_s >= server.forgotten_at_s:
            del leaving.servers[name]
    for name in list(leaving.incarnations):
        if name not in named and name not in leaving.servers:
            del leaving.incarnations[name]
