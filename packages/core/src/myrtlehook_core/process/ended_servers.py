"""Servers whose process has ended while their entry is still listed unchanged.

A server may start again under the same name with other software, before its entry tells so. Until
the entry changes, or a time has passed in which it would have, the listed software version of such
a server is not relied on: no stream goes on there, and a stream that begins there cannot go on
anywhere. The router that saw the end tells the server's owner, which tells all others with its
grants.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import VersionUnconfirmed
from myrtlehook_core.process.ended_server_messages import ServerEndedNotice
from myrtlehook_core.version.configurations import (
    EMPTY_CONFIGURATION,
    BackendServer,
    Configuration,
)

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore

UNCONFIRMED_S = 5.0
"""How long a version is not relied on after its server has ended. A server writes its entry as it
starts, and the entry of one that stays away lapses within about this time."""

UNKNOWN_VERSION = "\0unknown"
"""Stands for the version of a server whose listed version is not relied on; no server has it."""


@dataclass(frozen=True, slots=True)
class MixedPools:
    """The pools whose servers are of several software versions, as of one configuration."""

    configuration: Configuration = EMPTY_CONFIGURATION
    pools: frozenset[str] = frozenset()


EndedServers = dict[str, float]
"""By server that has ended, until when its listed version is not relied on."""


def record_ended(ended: EndedServers, backend_server: str, ended_at_s: float) -> None:
    """Record that a server's process has ended."""
    record_unconfirmed(ended, backend_server, ended_at_s + UNCONFIRMED_S)


def record_unconfirmed(ended: EndedServers, backend_server: str, until_s: float) -> None:
    """Record until when the listed version of a server is not relied on."""
    ended[backend_server] = max(until_s, ended.get(backend_server, until_s))


def is_version_confirmed(ended: EndedServers, backend_server: str, now_s: float) -> bool:
    """Return whether the listed software version of a server may be relied on."""
    until_s = ended.get(backend_server)
    return until_s is None or now_s >= until_s


def note_server_end(core: "RouterCore", backend_server: str, ended_s: float, now_s: float) -> None:
    """Record the end of a server that this router has seen, and tell the server's owner.

    One end breaks off many runs; the owner is told once.
    """
    is_known = not is_version_confirmed(core.ended_servers, backend_server, now_s)
    _record_and_report(core, backend_server, ended_s, core.identity.router_id, now_s)
    owner = core.placement.server_owners.get(backend_server)
    if owner is not None and owner != core.identity.router_id and not is_known:
        age_ms = round((now_s - ended_s) * 1000.0)
        core.outbox.add(owner, ServerEndedNotice(backend_server, age_ms))


def on_server_found_ended(core: "RouterCore", event: events.ServerFoundEnded, now_s: float) -> None:
    """Record the end of a server that is not about to leave."""
    server = core.configuration.backend_servers.get(event.backend_server)
    if server is not None and not server.leaving:
        note_server_end(core, event.backend_server, event.ended_s, now_s)


def handle_ended_notice(
    core: "RouterCore", sender: str, message: ServerEndedNotice, now_s: float
) -> None:
    """Record, as a server's owner, an end that another router has seen."""
    ended_s = now_s - message.age_ms / 1000.0
    _record_and_report(core, message.backend_server, ended_s, sender, now_s)


def _record_and_report(
    core: "RouterCore", backend_server: str, ended_s: float, source: str, now_s: float
) -> None:
    was_confirmed = is_version_confirmed(core.ended_servers, backend_server, now_s)
    record_ended(core.ended_servers, backend_server, ended_s)
    if was_confirmed and not is_version_confirmed(core.ended_servers, backend_server, now_s):
        until_s = core.ended_servers[backend_server]
        core.actions.add(VersionUnconfirmed(backend_server, until_s, source))


def find_unobserved_servers(core: "RouterCore") -> list[BackendServer]:
    """Return this router's own engines whose end would show in no run, and would matter.

    It matters where servers of several software versions serve one pool.
    """
    servers = core.configuration.backend_servers
    mixed_pools = _find_mixed_pools(core)
    return [
        servers[name]
        for name, load in core.engine_queues.loads.items()
        if name in servers
        and not servers[name].leaving
        and not load.granted
        and servers[name].pool in mixed_pools
    ]


def _find_mixed_pools(core: "RouterCore") -> frozenset[str]:
    """Return the pools whose servers are of several software versions."""
    configuration = core.configuration
    if core.mixed_pools.configuration is not configuration:
        versions: dict[str, set[str]] = {}
        for server in configuration.backend_servers.values():
            versions.setdefault(server.pool, set()).add(server.software_version)
        pools = frozenset(pool for pool, found in versions.items() if len(found) > 1)
        core.mixed_pools = MixedPools(configuration, pools)
    return core.mixed_pools.pools


def drop_expired_ends(ended: EndedServers, now_s: float) -> None:
    """Drop servers whose listed version may be relied on again."""
    for name in [name for name, until_s in ended.items() if now_s >= until_s]:
        del ended[name]
