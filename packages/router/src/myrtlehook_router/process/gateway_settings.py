"""Settings of a router process with the routed interface."""

from dataclasses import dataclass, field

from myrtlehook_core import NO_REGIONS, ConfigurationParser, CoreOptions, Finding, Listener, Regions
from myrtlehook_router.request.headers import HeaderNames


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings with which one router process starts."""

    vm: str
    availability_zone: str
    callers: Listener
    readiness: Listener
    metrics: Listener
    peers: Listener
    seeds: tuple[str, ...]
    """Addresses of routers that may be alive, to join the fleet through."""
    fleet_key: str
    header_names: HeaderNames
    parser: ConfigurationParser
    max_connections: int
    drain_notice_s: float
    """Time for which a stopping router still accepts requests, until the load balancer notices."""
    drain_limit_s: float
    """Time after the stop signal at which the router stops waiting for open requests."""
    capacity: int = 0
    """Processor time of this VM in quarters of a core; 0 if not known."""
    regions: Regions = NO_REGIONS
    """The regions of this VM and of the availability zones."""
    options: CoreOptions = field(default_factory=CoreOptions)
    neighbours: Listener | None = None
    """Where neighbours pass on connections to this router; None if they don't."""
    client_memory_bytes: int = 64 * 1024 * 1024
    """What clients may make this process hold: bodies, and responses that they do not take."""
    max_caller_descriptors: int = 0
    """Limit of file descriptors for clients' connections: one that is served here uses one,
    one that a neighbour serves uses two. With 0, the limit is ``max_connections``."""


@dataclass(frozen=True, slots=True)
class ReloadedSettings:
    """The settings as they were read again."""

    settings: GatewaySettings
    """Those in the file, or the earlier ones where it is unsound."""
    findings: tuple[Finding, ...]
    """What is unsound in the file."""
