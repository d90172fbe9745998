"""Backend servers found by discovery, beside a configuration that does not list them.

A server that has once said it is leaving never comes back under the same name. After an
outage of the source, entries that lapsed meanwhile get a moment to return before they
count as gone. Lists come from the source or, as changes, from peers; each has the
source's revision, and an older one never replaces a newer one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from myrtlehook_core.version.configurations import BackendServer, Configuration

RETURN_GRACE_S = 2.0
"""How long an entry that lapsed during an outage may take to come back."""

REMEMBERED_REMOVALS = 1000
"""Servers that are gone are told to peers by name; those further back by a whole list."""


@dataclass(slots=True)
class Discovery:
    """What is known of the backend servers, by name."""

    known: dict[str, BackendServer] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    lapsed_deadlines_s: dict[str, float] = field(default_factory=dict)
    """When a server whose entry was missing after an outage counts as gone."""
    revision: int = 0
    """Moves whenever ``known`` does; this process's own."""
    source_revision: int = 0
    """The source's revision that ``known`` stands for."""
    changed_revisions: dict[str, int] = field(default_factory=dict)
    """By server, the source's revision at which it changed last."""
    removed_revisions: dict[str, int] = field(default_factory=dict)
    """The same for servers that are gone, the oldest first."""
    complete_since_revision: int = 0
    """Changes are remembered from this revision of the source on."""
    active: bool = False
    """False while the configuration itself lists the backend servers."""


@dataclass(frozen=True, slots=True)
class ServerChanges:
    """What changed among the backend servers after some revision of the source."""

    revision: int
    whole: bool
    """``servers`` are all of them; others are gone."""
    servers: tuple[BackendServer, ...]
    lapsed: frozenset[str]
    gone: tuple[str, ...]


def take_servers(
    discovery: Discovery,
    servers: Iterable[BackendServer],
    after_outage: bool,
    now_s: float,
    revision: int = 0,
) -> bool:
    """Take the source's whole list at a revision; True when anything changed."""
    if revision < discovery.source_revision:
        return False
    listed = {server.name: _keep_leaving(discovery, server) for server in servers}
    missing = discovery.known.keys() - listed.keys()
    lapsed_before = set(discovery.lapsed_deadlines_s)
    starts = _list_starts(listed)
    for name in missing:
        if discovery.known[name].instance in starts:
            discovery.lapsed_deadlines_s.pop(name, None)
            continue
        if after_outage:
            discovery.lapsed_deadlines_s.setdefault(name, now_s + RETURN_GRACE_S)
        if name in discovery.lapsed_deadlines_s:
            listed[name] = discovery.known[name]
    for name in listed.keys() - missing:
        discovery.lapsed_deadlines_s.pop(name, None)
    if not discovery.active:
        discovery.complete_since_revision = revision
    _note_revisions(discovery, listed, lapsed_before, revision)
    return _replace_known(discovery, listed)


def collect_changes(discovery: Discovery, after_revision: int) -> ServerChanges:
    """Return what a peer lacks that knows the servers as of a revision."""
    whole = after_revision < discovery.complete_since_revision or after_revision == 0
    changed = discovery.changed_revisions
    names = [name for name in discovery.known if whole or changed[name] > after_revision]
    removed = discovery.removed_revisions.items()
    return ServerChanges(
        revision=discovery.source_revision,
        whole=whole,
        servers=tuple(discovery.known[name] for name in names),
        lapsed=frozenset(discovery.lapsed_deadlines_s).intersection(names),
        gone=tuple(name for name, revision in removed if revision > after_revision),
    )


def take_changes(
    discovery: Discovery, changes: ServerChanges, after_outage: bool, now_s: float
) -> bool:
    """Take what a peer knows that this router lacks; True when anything changed.

    :param after_outage: whether servers that a whole list lacks may still come back.
    """
    if changes.revision <= discovery.source_revision:
        return False
    told = {server.name: _keep_leaving(discovery, server) for server in changes.servers}
    listed = told if changes.whole else discovery.known | told
    listed = {name: server for name, server in listed.items() if name not in changes.gone}
    deadlines_s = discovery.lapsed_deadlines_s
    lapsed_before = set(deadlines_s)
    for name in told.keys() - changes.lapsed:
        deadlines_s.pop(name, None)
    lapsed = set(changes.lapsed)
    if after_outage:
        starts = _list_starts(told)
        missing = discovery.known.keys() - listed.keys() - set(changes.gone)
        lapsed |= {name for name in missing if discovery.known[name].instance not in starts}
    for name in lapsed:
        deadlines_s.setdefault(name, now_s + RETURN_GRACE_S)
        if name not in listed:
            listed[name] = discovery.known[name]
    for name in deadlines_s.keys() - listed.keys():
        del deadlines_s[name]
    if not discovery.active:
        discovery.complete_since_revision = changes.revision
    _note_revisions(discovery, listed, lapsed_before, changes.revision)
    return _replace_known(discovery, listed)


def expire_lapsed(discovery: Discovery, now_s: float) -> bool:
    """Drop the servers whose entries did not return in time; True when any was."""
    late = [name for name, end_s in discovery.lapsed_deadlines_s.items() if now_s >= end_s]
    if not late:
        return False
    lapsed_before = set(discovery.lapsed_deadlines_s)
    for name in late:
        del discovery.lapsed_deadlines_s[name]
    kept = {name: server for name, server in discovery.known.items() if name not in late}
    _note_revisions(discovery, kept, lapsed_before, discovery.source_revision)
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


def _list_starts(servers: dict[str, BackendServer]) -> set[str]:
    """Return whose starts are listed: an earlier one of these does not come back."""
    return {server.instance for server in servers.values() if server.instance}


def _keep_leaving(discovery: Discovery, server: BackendServer) -> BackendServer:
    if server.leaving:
        discovery.leaving.add(server.name)
    if server.name in discovery.leaving and not server.leaving:
        return replace(server, leaving=True)
    return server


def _note_revisions(
    discovery: Discovery,
    servers: dict[str, BackendServer],
    lapsed_before: set[str],
    revision: int,
) -> None:
    """Remember at which revision of the source each server changed or went."""
    discovery.source_revision = revision
    relapsed = lapsed_before ^ discovery.lapsed_deadlines_s.keys()
    for name, server in servers.items():
        if discovery.known.get(name) != server or name in relapsed:
            discovery.changed_revisions[name] = revision
            discovery.removed_revisions.pop(name, None)
    for name in discovery.known.keys() - servers.keys():
        discovery.changed_revisions.pop(name, None)
        discovery.removed_revisions[name] = revision
    while len(discovery.removed_revisions) > REMEMBERED_REMOVALS:
        oldest = next(iter(discovery.removed_revisions))
        discovery.complete_since_revision = discovery.removed_revisions.pop(oldest)


def _replace_known(discovery: Discovery, servers: dict[str, BackendServer]) -> bool:
    discovery.active = True
    if servers == discovery.known:
        return False
    discovery.leaving &= servers.keys()
    discovery.known = servers
    discovery.revision += 1
    return True
