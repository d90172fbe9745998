"""Backend servers found by discovery, beside a configuration that does not list them.

A server that has once said it is leaving never comes back under the same name. After an
outage of the source, entries that lapsed meanwhile get a moment to return before they
count as gone. Lists come from the source or, as changes, from peers; each has the
source's order, and an older one never replaces a newer one.

A source that comes back from a copy has forgotten what it knew since. Servers that its copy
lacks write again in a moment, as after an outage. Servers that its copy has, and that were gone
by then, get nothing until the moment is over in which the entry of one that is gone goes again.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from myrtlehook_core.version.configurations import BackendServer, Configuration
from myrtlehook_core.version.source_orders import NO_ORDER, SourceOrder

RETURN_GRACE_S = 2.0
"""How long an entry that lapsed during an outage may take to come back."""

DOUBTED_S = 6.0
"""How long a server that was gone gets nothing once a copy has brought it back. The entry of one
that is gone goes after three heartbeats, of 1.2 s each on the users' platform; the rest is for
their writes and for the news of it."""

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
    """Moves whenever ``known`` or what is doubted of it does; this process's own."""
    source_order: SourceOrder = NO_ORDER
    """The source's order that ``known`` stands for."""
    changed_orders: dict[str, SourceOrder] = field(default_factory=dict)
    """By server, the source's order at which it changed last."""
    removed_orders: dict[str, SourceOrder] = field(default_factory=dict)
    """The same for servers that are gone, the oldest first."""
    complete_since_order: SourceOrder = NO_ORDER
    """Changes are remembered from this order of the source on."""
    doubted_deadlines_s: dict[str, float] = field(default_factory=dict)
    """Until when a server gets nothing that was gone and came back with a copy."""
    evacuated_zones: frozenset[str] = frozenset()
    """Availability zones whose servers get nothing until the operator takes them back."""
    active: bool = False
    """False while the configuration itself lists the backend servers."""


@dataclass(frozen=True, slots=True)
class ServerChanges:
    """What changed among the backend servers after some order of the source."""

    order: SourceOrder
    whole: bool
    """``servers`` are all of them; others are gone."""
    servers: tuple[BackendServer, ...]
    lapsed: frozenset[str]
    gone: tuple[str, ...]
    evacuated_zones: frozenset[str] = frozenset()
    """All of them."""


def take_servers(
    discovery: Discovery,
    servers: Iterable[BackendServer],
    after_outage: bool,
    now_s: float,
    order: SourceOrder = NO_ORDER,
    evacuated_zones: frozenset[str] = frozenset(),
) -> bool:
    """Take the source's whole list at an order; True when anything changed."""
    if order < discovery.source_order:
        return False
    listed = {server.name: _keep_known(discovery, server) for server in servers}
    after_outage = _note_era(discovery, order, listed.keys(), now_s) or after_outage
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
        discovery.complete_since_order = order
    _note_orders(discovery, listed, lapsed_before, order)
    return _replace_known(discovery, listed, evacuated_zones)


def collect_changes(discovery: Discovery, after: SourceOrder) -> ServerChanges:
    """Return what a peer lacks that knows the servers as of an order.

    What it knows of another era may be of a revision that this router never heard of.
    """
    is_other_era = after.era != discovery.source_order.era
    whole = is_other_era or after < discovery.complete_since_order or after == NO_ORDER
    changed = discovery.changed_orders
    names = [name for name in discovery.known if whole or changed[name] > after]
    removed = discovery.removed_orders.items()
    return ServerChanges(
        order=discovery.source_order,
        whole=whole,
        servers=tuple(discovery.known[name] for name in names),
        lapsed=frozenset(discovery.lapsed_deadlines_s).intersection(names),
        gone=tuple(name for name, order in removed if not is_other_era and order > after),
        evacuated_zones=discovery.evacuated_zones,
    )


def take_changes(
    discovery: Discovery, changes: ServerChanges, after_outage: bool, now_s: float
) -> bool:
    """Take what a peer knows that this router lacks; True when anything changed.

    :param after_outage: whether servers that a whole list lacks may still come back.
    """
    if changes.order <= discovery.source_order:
        return False
    told = {server.name: _keep_known(discovery, server) for server in changes.servers}
    after_outage = _note_era(discovery, changes.order, told.keys(), now_s) or after_outage
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
        discovery.complete_since_order = changes.order
    _note_orders(discovery, listed, lapsed_before, changes.order)
    return _replace_known(discovery, listed, changes.evacuated_zones)


def expire_lapsed(discovery: Discovery, now_s: float) -> bool:
    """Drop the servers whose entries did not return in time, and end doubts; True for any."""
    trusted = [name for name, end_s in discovery.doubted_deadlines_s.items() if now_s >= end_s]
    for name in trusted:
        del discovery.doubted_deadlines_s[name]
    discovery.revision += bool(trusted)
    return _drop_lapsed(discovery, now_s) or bool(trusted)


def _drop_lapsed(discovery: Discovery, now_s: float) -> bool:
    late = [name for name, end_s in discovery.lapsed_deadlines_s.items() if now_s >= end_s]
    if not late:
        return False
    lapsed_before = set(discovery.lapsed_deadlines_s)
    for name in late:
        del discovery.lapsed_deadlines_s[name]
    kept = {name: server for name, server in discovery.known.items() if name not in late}
    _note_orders(discovery, kept, lapsed_before, discovery.source_order)
    return _replace_known(discovery, kept, discovery.evacuated_zones)


def apply_discovery(configuration: Configuration, discovery: Discovery) -> Configuration:
    """Return the configuration with the servers that discovery knows."""
    if not discovery.active:
        return configuration
    closed = {
        name: replace(server, leaving=True)
        for name, server in discovery.known.items()
        if name in discovery.doubted_deadlines_s
        or server.availability_zone in discovery.evacuated_zones
    }
    return replace(
        configuration,
        backend_servers=discovery.known | closed if closed else discovery.known,
        served_pools=frozenset(server.pool for server in discovery.known.values()),
        servers_revision=discovery.revision,
    )


def _note_era(
    discovery: Discovery, order: SourceOrder, listed: Collection[str], now_s: float
) -> bool:
    """Note that the source has come back from a copy; False while its era is the same.

    A router that starts knows nothing that a copy could have forgotten.

    :param listed: the servers that the first list of the era names; later ones are not of
        the copy.
    """
    if not discovery.active or order.era == discovery.source_order.era:
        return False
    for name in discovery.removed_orders.keys() & set(listed):
        discovery.doubted_deadlines_s[name] = now_s + DOUBTED_S
    discovery.complete_since_order = order
    return True


def _list_starts(servers: dict[str, BackendServer]) -> set[str]:
    """Return whose starts are listed: an earlier one of these does not come back."""
    return {server.instance for server in servers.values() if server.instance}


def _keep_known(discovery: Discovery, server: BackendServer) -> BackendServer:
    """Return a listed server with what is known of it that the list takes back.

    A lower figure of how long it stays cold is no news: the deadline of the first one stands.
    """
    known = discovery.known.get(server.name)
    if known is not None and known.cold_ms > server.cold_ms > 0:
        server = replace(server, cold_ms=known.cold_ms)
    if server.leaving:
        discovery.leaving.add(server.name)
    if server.name in discovery.leaving and not server.leaving:
        return replace(server, leaving=True)
    return server


def _note_orders(
    discovery: Discovery,
    servers: dict[str, BackendServer],
    lapsed_before: set[str],
    order: SourceOrder,
) -> None:
    """Remember at which order of the source each server changed or went."""
    discovery.source_order = order
    relapsed = lapsed_before ^ discovery.lapsed_deadlines_s.keys()
    for name, server in servers.items():
        if discovery.known.get(name) != server or name in relapsed:
            discovery.changed_orders[name] = order
            discovery.removed_orders.pop(name, None)
    for name in discovery.known.keys() - servers.keys():
        discovery.changed_orders.pop(name, None)
        discovery.removed_orders[name] = order
    while len(discovery.removed_orders) > REMEMBERED_REMOVALS:
        oldest = next(iter(discovery.removed_orders))
        discovery.complete_since_order = discovery.removed_orders.pop(oldest)


def _replace_known(
    discovery: Discovery, servers: dict[str, BackendServer], evacuated_zones: frozenset[str]
) -> bool:
    discovery.active = True
    if servers == discovery.known and evacuated_zones == discovery.evacuated_zones:
        return False
    discovery.leaving &= servers.keys()
    discovery.known = servers
    discovery.evacuated_zones = evacuated_zones
    discovery.revision += 1
    return True
