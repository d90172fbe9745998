"""The status report of one router for its operators."""

from dataclasses import dataclass

from myrtlehook_core.process.ingress import compute_virtual_service_units
from myrtlehook_core.process.routers import RouterCore
from myrtlehook_core.process.slots import count_foreign_requests


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """One backend server, its owner and, if this router owns it, the leases on its slots."""

    backend_server: str
    pool: str
    owner: str
    leaving: bool
    slots: int
    held_slots: int | None
    foreign_requests: int | None


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """One workspace's queue and received service in one pool."""

    workspace: str
    pool: str
    queued_requests: int
    queued_bytes: int
    running_requests: int
    virtual_service_units: float
    served_here_units: float


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Another router, in the state that this router considers it to be in."""

    vm: str
    address: str
    state: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """The complete status report."""

    vm: str
    incarnation: int
    draining: bool
    configuration_number: int
    configuration_digest: str
    configuration_source: str
    evacuated_zones: tuple[str, ...]
    queued_requests: int
    running_requests: int
    ledger_accounts: int
    servers: tuple[ServerStatus, ...]
    queues: tuple[QueueStatus, ...]
    peers: tuple[PeerStatus, ...]


def describe_router(core: RouterCore) -> RouterStatus:
    """Return a router's current status."""
    return RouterStatus(
        vm=core.identity.router_id,
        incarnation=core.table.incarnation,
        draining=core.table.draining,
        configuration_number=core.configuration.version.number,
        configuration_digest=core.configuration.version.digest,
        configuration_source=core.exchange.source,
        evacuated_zones=tuple(sorted(core.discovery.evacuated_zones)),
        queued_requests=core.ingress.queued_requests,
        running_requests=len(core.ingress.running),
        ledger_accounts=len(core.ledger.accounts),
        servers=tuple(_describe_servers(core)),
        queues=tuple(_describe_queues(core)),
        peers=tuple(_describe_peers(core)),
    )


def _describe_servers(core: RouterCore) -> list[ServerStatus]:
    described = []
    for name, server in sorted(core.configuration.backend_servers.items()):
        owned = core.owner.servers.get(name)
        described.append(
            ServerStatus(
                backend_server=name,
                pool=server.pool,
                owner=core.placement.server_owners.get(name, ""),
                leaving=server.leaving,
                slots=server.slots,
                held_slots=None if owned is None else len(owned.holds),
                foreign_requests=None if owned is None else count_foreign_requests(owned),
            )
        )
    return described


def _describe_queues(core: RouterCore) -> list[QueueStatus]:
    ingress = core.ingress
    keys = sorted(set(ingress.queues) | set(ingress.accounts), key=lambda k: (k.pool, k.workspace))
    described = []
    for key in keys:
        queue = ingress.queues.get(key)
        account = ingress.accounts.get(key)
        described.append(
            QueueStatus(
                workspace=key.workspace,
                pool=key.pool,
                queued_requests=0 if queue is None else len(queue.waiting),
                queued_bytes=0 if queue is None else queue.queued_bytes,
                running_requests=0 if account is None else len(account.charges),
                virtual_service_units=compute_virtual_service_units(ingress, key),
                served_here_units=0.0 if account is None else account.served_units,
            )
        )
    return described


def _describe_peers(core: RouterCore) -> list[PeerStatus]:
    return [
        PeerStatus(member.router_id, member.address, member.state.name.lower(), member.incarnation)
        for _, member in sorted(core.table.members.items())
    ]
