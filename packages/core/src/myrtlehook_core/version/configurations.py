"""The configuration in force: workspaces, pools and backend servers, as data classes."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import total_ordering

from myrtlehook_core.request.admission import QueueLimits


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


EMPTY_CONFIGURATION = Configuration(version=NO_VERSION)
