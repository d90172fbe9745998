"""Who owns which backend server and who keeps which ledger, in this router's view.

Ownership is kept and only mended: when a router goes, what it owned is worked out
anew; when one comes, its claim is compared with the present owner's. Working all
of it out would take seconds at 10,000 backend servers and 1,200 routers.

A backend server is owned by a router of its own availability zone while there is one: what
entries near it ask then crosses no zone, and a cut between zones leaves it its owner.
"""

from dataclasses import dataclass, field

from myrtlehook_core.process.hashing import Weight, rank_weights, weigh_router
from myrtlehook_core.process.members import MemberTable, eligible_routers, list_zones
from myrtlehook_core.request.requests import PoolKey
from myrtlehook_core.version.configurations import NO_VERSION, Configuration, ConfigurationVersion


@dataclass(slots=True)
class Placement:
    """Ownership as of one member table and one configuration."""

    members_version: int = -1
    configuration_version: ConfigurationVersion = NO_VERSION
    servers_revision: int = -1
    server_owners: dict[str, str] = field(default_factory=dict)
    pool_owners: dict[str, tuple[str, ...]] = field(default_factory=dict)
    eligible: tuple[str, ...] = ()
    zones: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """The eligible routers by availability zone."""
    server_weights: dict[str, Weight] = field(default_factory=dict)
    ledgers: dict[PoolKey, tuple[Weight, ...]] = field(default_factory=dict)


def refresh_placement(
    placement: Placement, table: MemberTable, configuration: Configuration
) -> bool:
    """Mend ownership if members or configuration changed; True when it may have moved."""
    known = (
        placement.members_version,
        placement.configuration_version,
        placement.servers_revision,
    )
    if known == (table.version, configuration.version, configuration.servers_revision):
        return False
    eligible = eligible_routers(table)
    gone = set(placement.eligible) - set(eligible)
    come = set(eligible) - set(placement.eligible)
    same_servers = placement.server_weights.keys() == configuration.backend_servers.keys()
    same_configuration = placement.configuration_version == configuration.version
    placement.members_version = table.version
    placement.configuration_version = configuration.version
    placement.servers_revision = configuration.servers_revision
    placement.eligible = eligible
    placement.zones = list_zones(table)
    if not gone and not come and same_servers and same_configuration:
        return False
    _mend_ledgers(placement, gone, come)
    _mend_servers(placement, configuration, gone, come)
    return True


def find_ledgers(placement: Placement, key: PoolKey, count: int) -> tuple[str, ...]:
    """Return the routers that keep a workspace's ledger, the answering one first."""
    weights = placement.ledgers.get(key)
    if weights is None:
        weights = rank_weights(_ledger_key(key), placement.eligible, count)
        placement.ledgers[key] = weights
    return tuple(router for _, router in weights)


def owned_servers(placement: Placement, router_id: str) -> set[str]:
    """Return the backend servers that a router owns."""
    return {name for name, owner in placement.server_owners.items() if owner == router_id}


def _mend_servers(
    placement: Placement, configuration: Configuration, gone: set[str], come: set[str]
) -> None:
    weights: dict[str, Weight] = {}
    for name, server in configuration.backend_servers.items():
        key = f"server/{name}"
        near = placement.zones.get(server.availability_zone, ())
        known = placement.server_weights.get(name)
        if known is None or known[1] in gone or (near and known[1] not in near):
            weights[name] = rank_weights(key, near or placement.eligible, 1)[0]
        else:
            comers = [router for router in come if not near or router in near]
            weights[name] = max([known, *(weigh_router(key, router) for router in comers)])
    placement.server_weights = weights
    placement.server_owners = {name: weight[1] for name, weight in weights.items()}
    owners: dict[str, set[str]] = {}
    for name, server in configuration.backend_servers.items():
        owners.setdefault(server.pool, set()).add(placement.server_owners[name])
    placement.pool_owners = {pool: tuple(sorted(names)) for pool, names in owners.items()}


def _mend_ledgers(placement: Placement, gone: set[str], come: set[str]) -> None:
    for key, weights in list(placement.ledgers.items()):
        if not weights or any(router in gone for _, router in weights):
            del placement.ledgers[key]
            continue
        name = _ledger_key(key)
        if any(weigh_router(name, router) > weights[-1] for router in come):
            del placement.ledgers[key]


def _ledger_key(key: PoolKey) -> str:
    return f"ledger/{key.workspace}/{key.pool}"
