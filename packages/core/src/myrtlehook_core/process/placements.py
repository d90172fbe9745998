"""Who owns which backend server and who keeps which ledger, in this router's view."""

from dataclasses import dataclass, field

from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.members import MemberTable, eligible_routers
from myrtlehook_core.request.requests import PoolKey
from myrtlehook_core.version.configurations import NO_VERSION, Configuration, ConfigurationVersion


@dataclass(slots=True)
class Placement:
    """Ownership worked out from the member table, kept until the table changes."""

    members_version: int = -1
    configuration_version: ConfigurationVersion = NO_VERSION
    server_owners: dict[str, str] = field(default_factory=dict)
    pool_owners: dict[str, tuple[str, ...]] = field(default_factory=dict)
    ledgers: dict[PoolKey, tuple[str, ...]] = field(default_factory=dict)
    eligible: tuple[str, ...] = ()


def refresh_placement(
    placement: Placement, table: MemberTable, configuration: Configuration
) -> bool:
    """Work out ownership anew if members or configuration changed; True when it did."""
    known = (placement.members_version, placement.configuration_version)
    if known == (table.version, configuration.version):
        return False
    placement.members_version = table.version
    placement.configuration_version = configuration.version
    placement.eligible = eligible_routers(table)
    placement.ledgers.clear()
    placement.server_owners = {
        name: rank_routers(f"server/{name}", placement.eligible, 1)[0]
        for name in configuration.backend_servers
    }
    owners: dict[str, set[str]] = {}
    for name, server in configuration.backend_servers.items():
        owners.setdefault(server.pool, set()).add(placement.server_owners[name])
    placement.pool_owners = {pool: tuple(sorted(names)) for pool, names in owners.items()}
    return True


def find_ledgers(placement: Placement, key: PoolKey, count: int) -> tuple[str, ...]:
    """Return the routers that keep a workspace's ledger, the answering one first."""
    known = placement.ledgers.get(key)
    if known is None:
        name = f"ledger/{key.workspace}/{key.pool}"
        known = rank_routers(name, placement.eligible, count)
        placement.ledgers[key] = known
    return known


def owned_servers(placement: Placement, router_id: str) -> set[str]:
    """Return the backend servers that a router owns."""
    return {name for name, owner in placement.server_owners.items() if owner == router_id}
