"""The status report of one router for its operators."""

from dataclasses import dataclass

from myrtlehook_core.process.engine_loads import EngineFigures
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
class EngineStatus:
    """What this router has learned of a model engine that it owns.

    The operator's tool shows each field as a column.
    """

    backend_server: str
    rate_tokens_per_s: int
    delay_ms: float
    forecast_error_ms: float
    """How far answers begin from when they were forecast, on average."""
    running_requests: int
    """Granted and not ended."""
    waiting_requests: int
    unread_tokens: int
    recent_pauses: int
    """Pauses of streams there that were reported lately; see ``stream_pauses``."""


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
    engines: tuple[EngineStatus, ...]


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
        engines=tuple(describe_engine(figures) for figures in core.describe_engines()),
    )


def describe_engine(figures: EngineFigures) -> EngineStatus:
    """Return an owner's estimates of an engine in the units that operators read."""
    return EngineStatus(
        backend_server=figures.backend_server,
        rate_tokens_per_s=round(figures.estimate.rate_tokens_per_s),
        delay_ms=round(figures.estimate.delay_ms, 1),
        forecast_error_ms=round(figures.forecast_error_s * 1000.0, 1),
        running_requests=figures.granted_requests,
        waiting_requests=figures.waiting_requests,
        unread_tokens=round(figures.backlog_tokens),
        recent_pauses=figures.recent_pauses,
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
