"""What the shell tells the core. Times are seconds of the router's monotonic clock."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from myrtlehook_core.process.messages import Message
from myrtlehook_core.process.share_standings import ShareStanding
from myrtlehook_core.request.outcomes import RetryReason
from myrtlehook_core.request.requests import RequestSpecification
from myrtlehook_core.version.configurations import BackendServer
from myrtlehook_core.version.source_orders import NO_ORDER, SourceOrder

if TYPE_CHECKING:
    from myrtlehook_core.version.documents import VmDocument


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A checked request wants a slot."""

    request: RequestSpecification
    intake: ShareStanding | None = None
    """How it stands to its workspace's share; None while it is not counted there."""


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The caller of a request that waits has gone."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ServiceObserved:
    """A running request has consumed this much so far, in service units."""

    request_id: str
    observed_units: float


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A dispatched request has ended, well or badly, with this cost in service units."""

    request_id: str
    cost_units: float
    failed: bool = False
    """The server broke off or answered that it failed."""
    completed: bool = False
    """Its answer came whole, whatever it says: the server has outlived the request."""


@dataclass(frozen=True, slots=True)
class ServerEndedInRun:
    """A backend server's process has surely ended while it ran a request.

    A connection that broke is not enough; nor is the end of a server that was leaving.
    """

    fingerprint: bytes
    """Of the request."""
    backend_server: str
    began_s: float
    """When the request was sent there."""
    ended_s: float
    """When its answer broke off."""


@dataclass(frozen=True, slots=True)
class ServerNoticed:
    """A backend server has said something of itself in the head of an answer."""

    backend_server: str
    request_id: str
    """Of the request that it answered."""
    leaving: bool = False
    backoff_until_s: float = 0.0
    """Until then it wants nothing of this router; 0 where it did not say."""


@dataclass(frozen=True, slots=True)
class RunNotStarted:
    """A dispatched request certainly was not run."""

    request_id: str
    reason: RetryReason


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """An authenticated message from another router."""

    sender: str
    incarnation: int
    message: Message


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A backend server's own, late report of its load."""

    backend_server: str
    incarnation: int
    running_requests: int
    leaving: bool
    applied_fence: int = 0
    model: str = ""
    model_version: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list of router VMs, possibly old."""

    vms: "tuple[VmDocument, ...]"


@dataclass(frozen=True, slots=True)
class ManifestRead:
    """The platform's manifest, possibly old."""

    text: str


@dataclass(frozen=True, slots=True)
class PartRead:
    """A configuration part that was asked for."""

    digest: str
    text: str


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A whole configuration as its source publishes it, possibly old."""

    text: str


@dataclass(frozen=True, slots=True)
class BackendServersRead:
    """The whole list of backend servers from discovery."""

    servers: tuple[BackendServer, ...]
    after_outage: bool
    """The first list after the source could not be read or had lost its history."""
    order: SourceOrder = NO_ORDER
    """Of the source; a list older than what is known changes nothing."""
    evacuated_zones: frozenset[str] = frozenset()
    """Availability zones whose servers are to get nothing."""


@dataclass(frozen=True, slots=True)
class SourceAnswered:
    """The source has just answered: what was read of it is as the source has it."""


@dataclass(frozen=True, slots=True)
class SourceFailed:
    """A call to the source has failed."""


@dataclass(frozen=True, slots=True)
class SeedsNamed:
    """Addresses of routers that may be alive, from changed settings."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This router is to stop once all that it holds has ended."""


@dataclass(frozen=True, slots=True)
class GrantsDue:
    """The time has come that the core gave as its next grant's."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    RequestArrived
    | RequestAbandoned
    | ServiceObserved
    | RunEnded
    | ServerEndedInRun
    | ServerNoticed
    | RunNotStarted
    | MessageReceived
    | LoadReported
    | VmListRead
    | ManifestRead
    | PartRead
    | ConfigurationRead
    | BackendServersRead
    | SourceAnswered
    | SourceFailed
    | SeedsNamed
    | DrainStarted
    | Tick
    | GrantsDue
)
