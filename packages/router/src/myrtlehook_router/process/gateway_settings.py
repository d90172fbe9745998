"""What a router process with the routed interface is told at its start."""

from dataclasses import dataclass, field

from myrtlehook_core import ConfigurationParser, CoreOptions, Listener
from myrtlehook_router.request.headers import HeaderNames


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Everything that one router process is told at its start."""

    vm: str
    availability_zone: str
    callers: Listener
    readiness: Listener
    metrics: Listener
    peers: Listener
    seeds: tuple[str, ...]
    """Addresses of routers that may be alive."""
    fleet_key: str
    names: HeaderNames
    parser: ConfigurationParser
    connections: int
    drain_notice_s: float
    """How long a stopping router still takes connections, until the balancer has noticed."""
    drain_limit_s: float
    """How long after the signal to stop the process ends at the latest."""
    options: CoreOptions = field(default_factory=CoreOptions)
    helping: Listener | None = None
    """Where neighbours pass connections on; None where they do not."""
    caller_descriptors: int = 0
    """For callers' connections: one that is served here takes one, one that a neighbour
    serves takes two."""
