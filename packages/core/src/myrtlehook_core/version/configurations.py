"""The active configuration: workspaces, pools and backend servers, as data classes."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import total_ordering

from myrtlehook_core.request.admission import QueueLimits
from myrtlehook_core.version.routes import RouteTable


class PoolKind(StrEnum):
    """Whether the backend servers of a pool are model engines or plain services."""

    MODEL = "model"
    SERVICE = "service"


@total_ordering
@dataclass(frozen=True, slots=True)
class ConfigurationVersion:
    """Identifies a configuration; routers only ever move to a greater version."""

    number: int
    digest: str

    def __lt__(self, other: "ConfigurationVersion") -> bool:
        return (self.number, self.digest) < (other.number, other.digest)


NO_VERSION = ConfigurationVersion(0, "")
"""The version of a router that knows no configuration yet."""


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer: its share, the digests of its API keys, the pools it may use, its limits."""

    name: str
    share: float
    key_digests: tuple[str, ...]
    pools: frozenset[str]
    limits: QueueLimits
    priority: int | None = None
    """Priority of its requests, 0 the highest; None to use that of the route."""
    allowed_regions: frozenset[str] | None = None
    """The regions in which its requests may be served; None if there is no limit."""


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Capacity and streaming granularity of each model engine in a pool."""

    memory_tokens: int
    """Capacity for the tokens of running requests and cached prompt parts together."""
    event_tokens: int = 1
    """Tokens in one event of an answer's stream."""


@dataclass(frozen=True, slots=True)
class ColdStart:
    """The reduced capacity of a pool's servers after a start, until they are warm."""

    duration_s: float
    requests_per_s: float
    """Rate that one server can handle during that time."""


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on the size and the timing of client requests, and the capacity of the fleet."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    tokens_per_s: float = 0.0
    """Token rate of all engines together; 0 if not known."""


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of backend servers that serve the same models or the same plain service."""

    name: str
    kind: PoolKind
    models: tuple[str, ...]
    input_token_weight: float
    output_token_weight: float
    no_repeat: bool
    """Every call to this plain service runs at most once, even if the client allows repeats."""
    default_timeout_s: float
    engine_capacity: EngineCapacity | None = None
    """Set for model engines that admit requests by tokens instead of slots."""
    connections: int = 512
    """The most connections that one backend server accepts from all routers together."""
    cold_start: ColdStart | None = None
    """None for servers that have their full capacity right after a start."""


@dataclass(frozen=True, slots=True)
class ServerOrder:
    """What a backend server should be running, as the configuration states it."""

    role: str
    model: str
    model_version: str


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One engine or plain server: its address, its pool and its number of slots."""

    name: str
    pool: str
    address: str
    availability_zone: str
    slots: int
    checks_orders: bool
    leaving: bool
    order: ServerOrder | None = None
    instance: str = ""
    """Identifier of the server that its restarts share, unlike ``name``. It is sent with each
    request, so that another server that now has the address rejects the request."""
    cold_ms: int = 0
    """Remaining cold time as the server reported it; see ``process/cold_engines``."""
    software_version: str = ""
    """The version of its software, not of its model's weights; empty if it is not stated."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration, indexed for look-up."""

    version: ConfigurationVersion
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    backend_servers: dict[str, BackendServer] = field(default_factory=dict)
    model_pools: dict[str, str] = field(default_factory=dict)
    """Model name to pool name."""
    key_workspaces: dict[str, str] = field(default_factory=dict)
    """Digest of an API key to workspace name."""
    requires_keys: bool = False
    """Whether requests need a key, though no workspace may have one at present."""
    served_pools: frozenset[str] = frozenset()
    """Pools that have a backend server."""
    routes: RouteTable = RouteTable()
    limits: IngressLimits = IngressLimits()
    servers_revision: int = 0
    """Changes when discovery changes the backend servers within one version."""


EMPTY_CONFIGURATION = Configuration(version=NO_VERSION)
