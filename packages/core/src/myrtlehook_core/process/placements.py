"""Placement: which router owns each backend server and keeps each ledger, as this router sees it.

Ownership is updated incrementally: when a router leaves, only what it owned is reassigned; when
one joins, its rendezvous weight is compared with the present owner's. Computing everything anew
would take seconds with 10,000 backend servers and 1,200 routers.

A backend server is owned by a router of its own availability zone if there is one. Messages of
ingress routers in that zone then stay within it, and the server keeps its owner when the network
between zones is partitioned.

Routers on larger VMs own more, in proportion to the capacity that each states in its member row.
While one states none, as an earlier release does, all count as equal, so that routers of both
releases agree on every owner.
"""

from dataclasses import dataclass, field

from myrtlehook_core.process.hashing import (
    Capacities,
    Weight,
    rank_weights,
    weigh_router,
)
from myrtlehook_core.process.members import (
    MemberTable,
    collect_capacities,
    group_routers_by_zone,
    list_eligible_routers,
)
from myrtlehook_core.request.requests import PoolKey
from myrtlehook_core.version.configurations import NO_VERSION, Configuration, ConfigurationVersion


@dataclass(slots=True)
class Placement:
    """Ownership for one version of the member table and the configuration."""

    members_version: int = -1
    configuration_version: ConfigurationVersion = NO_VERSION
    servers_revision: int = -1
    server_owners: dict[str, str] = field(default_factory=dict)
    pool_owners: dict[str, tuple[str, ...]] = field(default_factory=dict)
    eligible: tuple[str, ...] = ()
    zones: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """Eligible routers by availability zone."""
    capacities: Capacities = field(default_factory=dict)
    """By eligible router; empty if all count as equal."""
    server_weights: dict[str, Weight] = field(default_factory=dict)
    ledgers: dict[PoolKey, tuple[Weight, ...]] = field(default_factory=dict)


def refresh_placement(
    placement: Placement, table: MemberTable, configuration: Configuration
) -> bool:
    """Update ownership if members or configuration changed; return whether it may have moved."""
    known = (
        placement.members_version,
        placement.configuration_version,
        placement.servers_revision,
    )
    if known == (table.version, configuration.version, configuration.servers_revision):
        return False
    eligible = list_eligible_routers(table)
    departed = set(placement.eligible) - set(eligible)
    joined = set(eligible) - set(placement.eligible)
    capacities = collect_capacities(table)
    changed = {
        router for router in eligible if capacities.get(router) != placement.capacities.get(router)
    }
    # A router whose capacity changed is weighed like one that departed and joined again.
    departed |= changed - joined
    joined |= changed
    placement.capacities = capacities
    same_servers = placement.server_weights.keys() == configuration.backend_servers.keys()
    same_configuration = placement.configuration_version == configuration.version
    placement.members_version = table.version
    placement.configuration_version = configuration.version
    placement.servers_revision = configuration.servers_revision
    placement.eligible = eligible
    placement.zones = group_routers_by_zone(table)
    if not departed and not joined and same_servers and same_configuration:
        return False
    _drop_outdated_ledgers(placement, departed, joined)
    _update_server_owners(placement, configuration, departed, joined)
    return True


def find_ledgers(placement: Placement, key: PoolKey, count: int) -> tuple[str, ...]:
    """Return the routers that keep a workspace's ledger, the one that answers reports first."""
    weights = placement.ledgers.get(key)
    if weights is None:
        weights = rank_weights(
            _make_ledger_key(key), placement.eligible, count, placement.capacities
        )
        placement.ledgers[key] = weights
    return tuple(router for _, router in weights)


def find_owned_servers(placement: Placement, router_id: str) -> set[str]:
    """Return the backend servers that a router owns."""
    return {name for name, owner in placement.server_owners.items() if owner == router_id}


def _update_server_owners(
    placement: Placement, configuration: Configuration, departed: set[str], joined: set[str]
) -> None:
    weights: dict[str, Weight] = {}
    for name, server in configuration.backend_servers.items():
        key = f"server/{name}"
        zone_routers = placement.zones.get(server.availability_zone, ())
        known = placement.server_weights.get(name)
        if known is None or known[1] in departed or (zone_routers and known[1] not in zone_routers):
            routers = zone_routers or placement.eligible
            weights[name] = rank_weights(key, routers, 1, placement.capacities)[0]
        else:
            claimants = [router for router in joined if not zone_routers or router in zone_routers]
            claims = [weigh_router(key, router, placement.capacities) for router in claimants]
            weights[name] = max([known, *claims])
    placement.server_weights = weights
    placement.server_owners = {name: weight[1] for name, weight in weights.items()}
    owners: dict[str, set[str]] = {}
    for name, server in configuration.backend_servers.items():
        owners.setdefault(server.pool, set()).add(placement.server_owners[name])
    placement.pool_owners = {pool: tuple(sorted(names)) for pool, names in owners.items()}


def _drop_outdated_ledgers(placement: Placement, departed: set[str], joined: set[str]) -> None:
    for key, weights in list(placement.ledgers.items()):
        if not weights or any(router in departed for _, router in weights):
            del placement.ledgers[key]
            continue
        name = _make_ledger_key(key)
        claims = [weigh_router(name, router, placement.capacities) for router in joined]
        if any(claim > weights[-1] for claim in claims):
            del placement.ledgers[key]


def _make_ledger_key(key: PoolKey) -> str:
    return f"ledger/{key.workspace}/{key.pool}"
