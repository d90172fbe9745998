"""Discovery of backend servers, for configurations that do not list them.

The router learns of the servers from the source's full lists and from the changes that
peers send. Each of them carries the source order (era and revision) that it reflects,
and an older one never replaces a newer one. A server that has announced that it is
leaving stays marked as leaving for as long as it is known by that name. Entries that
may have lapsed (expired) in an outage of the source have until a deadline to return,
before their servers count as removed. It follows from the end of the outage, and peers
are told how much of it is left, so that nothing begins it again.

A source that is restored from a backup has lost all changes since the backup. Servers
that are missing from the backup register again shortly, so they have as long to return
as after an outage. Servers that the backup lists although they had been removed get no
requests for a hold-off period, within which the entry of a dead server expires again.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from myrtlehook_core.version.configurations import BackendServer, Configuration
from myrtlehook_core.version.source_orders import NO_ORDER, SourceOrder
from myrtlehook_core.version.withheld_servers import find_withheld_missing

RETURN_GRACE_S = 2.0
"""How long after the end of an outage an entry that expired in it has to return."""

RESTORED_HOLDOFF_S = 6.0
"""How long a removed server gets no requests after a restored backup lists it again. The entry
of a dead server expires after three heartbeats of 1.2 s each on the users' platform; the rest
allows for their writes and for the change to reach the routers."""

MAX_REMEMBERED_REMOVALS = 1000
"""How many removed servers are remembered, so that peers can be sent their names. A peer whose
state is older than the oldest of them is sent the full list instead."""


@dataclass(slots=True)
class Discovery:
    """The known backend servers by name, and what is needed to update them."""

    known: dict[str, BackendServer] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    """Servers that have announced that they are leaving."""
    lapsed_deadlines_s: dict[str, float] = field(default_factory=dict)
    """When a server whose entry was missing after an outage counts as removed. Until then it gets
    requests only if the others of its pool are too few."""
    revision: int = 0
    """Incremented when ``known``, ``evacuated_zones``, the hold-offs or the set of servers with a
    missing entry change; local to this process, unlike ``source_order``."""
    source_order: SourceOrder = NO_ORDER
    """The source order that ``known`` reflects."""
    changed_orders: dict[str, SourceOrder] = field(default_factory=dict)
    """By server, the source order at which it changed last."""
    removed_orders: dict[str, SourceOrder] = field(default_factory=dict)
    """By removed server, the source order at which it was removed, the oldest first."""
    complete_since_order: SourceOrder = NO_ORDER
    """Changes after this source order are remembered completely; older ones may not be."""
    holdoff_deadlines_s: dict[str, float] = field(default_factory=dict)
    """Until when a removed server that a restored backup lists again gets no requests."""
    evacuated_zones: frozenset[str] = frozenset()
    """Availability zones whose servers get no requests until the operator ends the evacuation."""
    active: bool = False
    """False while the configuration itself lists the backend servers."""


@dataclass(frozen=True, slots=True)
class ServerChanges:
    """The changes of the backend servers since a source order."""

    order: SourceOrder
    whole: bool
    """``servers`` is the full list; servers that it lacks are removed."""
    servers: tuple[BackendServer, ...]
    lapsed_deadlines_s: dict[str, float]
    """When those of ``servers`` count as removed whose entry is missing and may still return."""
    gone: tuple[str, ...]
    evacuated_zones: frozenset[str] = frozenset()
    """All evacuated zones, not only changes."""


def apply_server_list(
    discovery: Discovery,
    servers: Iterable[BackendServer],
    return_deadline_s: float | None,
    now_s: float,
    order: SourceOrder = NO_ORDER,
    evacuated_zones: frozenset[str] = frozenset(),
) -> bool:
    """Apply the source's full list as of ``order``; return whether anything changed.

    :param return_deadline_s: until when entries that are missing may return; None if their
        servers have been removed.
    """
    if order < discovery.source_order:
        return False
    listed = {server.name: _merge_known_state(discovery, server) for server in servers}
    if _handle_new_era(discovery, order, listed.keys(), now_s):
        return_deadline_s = now_s + RETURN_GRACE_S
    missing = discovery.known.keys() - listed.keys()
    lapsed_before = set(discovery.lapsed_deadlines_s)
    instances = _collect_instances(listed)
    for name in missing:
        if discovery.known[name].instance in instances:
            discovery.lapsed_deadlines_s.pop(name, None)
            continue
        if return_deadline_s is not None:
            discovery.lapsed_deadlines_s.setdefault(name, return_deadline_s)
        if name in discovery.lapsed_deadlines_s:
            listed[name] = discovery.known[name]
    for name in listed.keys() - missing:
        discovery.lapsed_deadlines_s.pop(name, None)
    if not discovery.active:
        discovery.complete_since_order = order
    lapse_changed = _record_orders(discovery, listed, lapsed_before, order)
    return _replace_known(discovery, listed, evacuated_zones) or lapse_changed


def collect_server_changes(discovery: Discovery, after: SourceOrder) -> ServerChanges:
    """Return the changes that a peer lacks whose state is as of ``after``.

    A peer whose state is of another era gets the full list, because it may know revisions
    that this router never received.
    """
    is_other_era = after.era != discovery.source_order.era
    whole = is_other_era or after < discovery.complete_since_order or after == NO_ORDER
    changed = discovery.changed_orders
    names = {name: None for name in discovery.known if whole or changed[name] > after}
    removed = discovery.removed_orders.items()
    return ServerChanges(
        order=discovery.source_order,
        whole=whole,
        servers=tuple(discovery.known[name] for name in names),
        lapsed_deadlines_s={
            name: deadline_s
            for name, deadline_s in discovery.lapsed_deadlines_s.items()
            if name in names
        },
        gone=tuple(name for name, order in removed if not is_other_era and order > after),
        evacuated_zones=discovery.evacuated_zones,
    )


def apply_server_changes(
    discovery: Discovery, changes: ServerChanges, return_deadline_s: float | None, now_s: float
) -> bool:
    """Apply changes that a peer has sent; return whether anything changed.

    :param return_deadline_s: until when entries that are missing may return, by what this router
        knows of the source's outages; None if their servers have been removed.
    """
    if changes.order <= discovery.source_order:
        return False
    received = {server.name: _merge_known_state(discovery, server) for server in changes.servers}
    if _handle_new_era(discovery, changes.order, received.keys(), now_s):
        return_deadline_s = now_s + RETURN_GRACE_S
    listed = received if changes.whole else discovery.known | received
    listed = {name: server for name, server in listed.items() if name not in changes.gone}
    deadlines_s = discovery.lapsed_deadlines_s
    lapsed_before = set(deadlines_s)
    for name in received.keys() - changes.lapsed_deadlines_s.keys():
        deadlines_s.pop(name, None)
    for name, deadline_s in changes.lapsed_deadlines_s.items():
        deadlines_s[name] = min(deadlines_s.get(name, deadline_s), deadline_s)
    if return_deadline_s is not None:
        # The peer may have been unable to notice the outage, for instance because it was paused.
        instances = _collect_instances(received)
        for name in discovery.known.keys() - listed.keys():
            if discovery.known[name].instance not in instances:
                deadlines_s.setdefault(name, return_deadline_s)
                listed[name] = discovery.known[name]
    for name in deadlines_s.keys() - listed.keys():
        del deadlines_s[name]
    if not discovery.active:
        discovery.complete_since_order = changes.order
    lapse_changed = _record_orders(discovery, listed, lapsed_before, changes.order)
    return _replace_known(discovery, listed, changes.evacuated_zones) or lapse_changed


def hold_off_server(discovery: Discovery, name: str, left_s: float, now_s: float) -> None:
    """Start the hold-off of a server of which a peer has reported how much is left."""
    left_s = min(left_s, RESTORED_HOLDOFF_S)
    if left_s > 0.0 and name not in discovery.holdoff_deadlines_s:
        discovery.holdoff_deadlines_s[name] = now_s + left_s
        discovery.revision += 1


def expire_deadlines(discovery: Discovery, now_s: float) -> bool:
    """Drop servers that did not return in time, and end hold-offs; return whether any was due."""
    ended = [name for name, end_s in discovery.holdoff_deadlines_s.items() if now_s >= end_s]
    for name in ended:
        del discovery.holdoff_deadlines_s[name]
    discovery.revision += bool(ended)
    return _drop_lapsed(discovery, now_s) or bool(ended)


def _drop_lapsed(discovery: Discovery, now_s: float) -> bool:
    expired = [name for name, end_s in discovery.lapsed_deadlines_s.items() if now_s >= end_s]
    if not expired:
        return False
    lapsed_before = set(discovery.lapsed_deadlines_s)
    for name in expired:
        del discovery.lapsed_deadlines_s[name]
    kept = {name: server for name, server in discovery.known.items() if name not in expired}
    _record_orders(discovery, kept, lapsed_before, discovery.source_order)
    return _replace_known(discovery, kept, discovery.evacuated_zones)


def apply_discovery(
    configuration: Configuration, discovery: Discovery, leaving: Collection[str] = ()
) -> Configuration:
    """Return the configuration with the discovered servers.

    Servers that must get no requests, because of a hold-off or an evacuation, or because their
    entries are missing and others can stand in for them, are marked as leaving.

    :param leaving: servers that have announced otherwise than by their entries that they leave.
    """
    if not discovery.active:
        return configuration
    names = {
        name
        for name, server in discovery.known.items()
        if name in discovery.holdoff_deadlines_s
        or server.availability_zone in discovery.evacuated_zones
    }
    missing = discovery.lapsed_deadlines_s.keys()
    names |= find_withheld_missing(discovery.known, missing, names.union(leaving))
    withheld = {name: replace(discovery.known[name], leaving=True) for name in names}
    return replace(
        configuration,
        backend_servers=discovery.known | withheld if withheld else discovery.known,
        served_pools=frozenset(server.pool for server in discovery.known.values()),
        servers_revision=discovery.revision,
    )


def _handle_new_era(
    discovery: Discovery, order: SourceOrder, listed: Collection[str], now_s: float
) -> bool:
    """Start hold-offs if the source was restored from a backup; return whether it was.

    A restore is recognized by a new era. A router that has just started ignores it, because
    it knows nothing yet that the backup could lack.

    :param listed: the servers in the first list of the era. Servers that appear only in
        later lists get no hold-off, because they were not in the backup.
    """
    if not discovery.active or order.era == discovery.source_order.era:
        return False
    for name in discovery.removed_orders.keys() & set(listed):
        discovery.holdoff_deadlines_s[name] = now_s + RESTORED_HOLDOFF_S
    discovery.complete_since_order = order
    return True


def _collect_instances(servers: dict[str, BackendServer]) -> set[str]:
    """Return the identifiers of the listed servers.

    A missing entry with one of them belongs to an earlier start and will not return.
    """
    return {server.instance for server in servers.values() if server.instance}


def _merge_known_state(discovery: Discovery, server: BackendServer) -> BackendServer:
    """Return a listed server, with known state that the list must not revert.

    A lower remaining cold time is not applied: it only counts down to the deadline that
    follows from the first one. A server that was leaving stays so.
    """
    known = discovery.known.get(server.name)
    if known is not None and known.cold_ms > server.cold_ms > 0:
        server = replace(server, cold_ms=known.cold_ms)
    if server.leaving:
        discovery.leaving.add(server.name)
    if server.name in discovery.leaving and not server.leaving:
        return replace(server, leaving=True)
    return server


def _record_orders(
    discovery: Discovery,
    servers: dict[str, BackendServer],
    lapsed_before: set[str],
    order: SourceOrder,
) -> bool:
    """Record the source order at which each server changed or was removed.

    :returns: whether the set of servers with a missing entry has changed.
    """
    discovery.source_order = order
    lapse_changed = lapsed_before ^ discovery.lapsed_deadlines_s.keys()
    for name, server in servers.items():
        if discovery.known.get(name) != server or name in lapse_changed:
            discovery.changed_orders[name] = order
            discovery.removed_orders.pop(name, None)
    for name in discovery.known.keys() - servers.keys():
        discovery.changed_orders.pop(name, None)
        discovery.removed_orders[name] = order
    while len(discovery.removed_orders) > MAX_REMEMBERED_REMOVALS:
        oldest = next(iter(discovery.removed_orders))
        discovery.complete_since_order = discovery.removed_orders.pop(oldest)
    discovery.revision += bool(lapse_changed)
    return bool(lapse_changed)


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
