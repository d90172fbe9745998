"""Backend servers found by discovery, beside a configuration that does not list them.

A server that has once said it is leaving never comes back under the same name. After an
outage of the source, entries that lapsed meanwhile get a moment to return before they
count as gone.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from myrtlehook_core.version.configurations import BackendServer, Configuration

RETURN_GRACE_S = 2.0
"""How long an entry that lapsed during an outage may take to come back."""


@dataclass(slots=True)
class Discovery:
    """What is known of the backend servers, by name."""

    known: dict[str, BackendServer] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    lapsed_deadlines_s: dict[str, float] = field(default_factory=dict)
    """When a server whose entry was missing after an outage counts as gone."""
    revision: int = 0
    active: bool = False
    """False while the configuration itself lists the backend servers."""


def take_servers(
    discovery: Discovery, servers: Iterable[BackendServer], after_outage: bool, now_s: float
) -> bool:
    """Take the source's whole list; True when anything changed."""
    listed = {server.name: _keep_leaving(discovery, server) for server in servers}
    missing = discovery.known.keys() - listed.keys()
    for name in missing:
        if after_outage:
            discovery.lapsed_deadlines_s.setdefault(name, now_s + RETURN_GRACE_S)
        if name in discovery.lapsed_deadlines_s:
            listed[name] = discovery.known[name]
    for name in listed.keys() - missing:
        discovery.lapsed_deadlines_s.pop(name, None)
    return _replace_known(discovery, listed)


def expire_lapsed(discovery: Discovery, now_s: float) -> bool:
    """Drop the servers whose entries did not return in time; True when any was."""
    late = [name for name, end_s in discovery.lapsed_deadlines_s.items() if now_s >= end_s]
    if not late:
        return False
    for name in late:
        del discovery.lapsed_deadlines_s[name]
    kept = {name: server for name, server in discovery.known.items() if name not in late}
    return _replace_known(discovery, kept)


def apply_discovery(configuration: Configuration, discovery: Discovery) -> Configuration:
    """Return the configuration with the servers that discovery knows."""
    if not discovery.active:
        return configuration
    return replace(
        configuration,
        backend_servers=discovery.known,
        served_pools=frozenset(server.pool for server in discovery.known.values()),
        servers_revision=discovery.revision,
    )


def _keep_leaving(discovery: Discovery, server: BackendServer) -> BackendServer:
    if server.leaving:
        discovery.leaving.add(server.name)
    if server.name in discovery.leaving and not server.leaving:
        return replace(server, leaving=True)
    return server


def _replace_known(discovery: Discovery, servers: dict[str, BackendServer]) -> bool:
    discovery.active = True
    if servers == discovery.known:
        return False
    discovery.leaving &= servers.keys()
    discovery.known = servers
    discovery.revision += 1
    return True
