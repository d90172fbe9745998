"""The configuration in force: workspaces, pools and backend servers, as data classes."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import total_ordering

from myrtlehook_core.request.admission import QueueLimits
from myrtlehook_core.version.routes import RouteTable


class PoolKind(StrEnum):
    """What the backend servers of a pool speak."""

    MODEL = "model"
    SERVICE = "service"


@total_ordering
@dataclass(frozen=True, slots=True)
class ConfigurationVersion:
    """Names one configuration; routers only ever move to a greater one."""

    number: int
    digest: str

    def __lt__(self, other: "ConfigurationVersion") -> bool:
        return (self.number, self.digest) < (other.number, other.digest)


NO_VERSION = ConfigurationVersion(0, "")
"""The version of a router that knows no configuration yet."""


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer: its share, its keys' digests, the pools it may reach, its limits."""

    name: str
    share: float
    key_digests: tuple[str, ...]
    pools: frozenset[str]
    limits: QueueLimits
    priority: int | None = None
    """Rank of its requests, 0 the highest; None leaves that to their routes."""


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """What one model engine of a pool can hold and do."""

    memory_tokens: int
    """Tokens of running requests and cached prompt parts together."""
    event_tokens: int = 1
    """Tokens in one event of a stream."""


@dataclass(frozen=True, slots=True)
class ColdStart:
    """What the servers of a pool take after a start, before they are warm."""

    lasts_s: float
    requests_per_s: float
    """That one of them works off meanwhile."""


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """What callers may send, and how long they may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    tokens_per_s: float = 0.0
    """What all engines together produce; 0 when it is not known."""


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of backend servers that serve the same models or the same plain service."""

    name: str
    kind: PoolKind
    models: tuple[str, ...]
    input_token_weight: float
    output_token_weight: float
    no_repeat: bool
    """Every call to this plain service runs at most once, whatever the caller says."""
    default_timeout_s: float
    engine: EngineCapacity | None = None
    """Known for model engines whose requests are placed by tokens instead of slots."""
    connections: int = 512
    """The most connections that one backend server takes, from all routers together."""
    cold_start: ColdStart | None = None
    """None for servers that take as much as ever right after a start."""


@dataclass(frozen=True, slots=True)
class ServerOrder:
    """What a backend server should be running, as the configuration states it."""

    role: str
    model: str
    model_version: str


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One engine or plain server: where it is and how many requests it runs at once."""

    name: str
    pool: str
    address: str
    availability_zone: str
    slots: int
    checks_orders: bool
    leaving: bool
    order: ServerOrder | None = None
    instance: str = ""
    """Names this start of the server; sent along so that another server at its
    address declines the request."""
    cold_ms: int = 0
    """How much longer it was to stay cold, as it said last; see ``process/cold_engines``."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole configuration, indexed for look-up."""

    version: ConfigurationVersion
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    backend_servers: dict[str, BackendServer] = field(default_factory=dict)
    model_pools: dict[str, str] = field(default_factory=dict)
    """Model name to pool name."""
    key_workspaces: dict[str, str] = field(default_factory=dict)
    """Digest of an API key to workspace name."""
    served_pools: frozenset[str] = frozenset()
    """Pools that have a backend server."""
    routes: RouteTable = RouteTable()
    limits: EntryLimits = EntryLimits()
    servers_revision: int = 0
    """Moves when discovery changes the backend servers within one version."""


EMPTY_CONFIGURATION = Configuration(version=NO_VERSION)
