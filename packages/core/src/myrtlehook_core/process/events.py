"""Events: what the process around the core (the shell) reports to it.

Times are seconds of the router's monotonic clock.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from myrtlehook_core.process.messages import Message
from myrtlehook_core.process.share_standings import ShareStanding
from myrtlehook_core.request.outcomes import RetryReason
from myrtlehook_core.request.part_keys import SuspectPart
from myrtlehook_core.request.requests import RequestSpecification
from myrtlehook_core.version.configurations import BackendServer
from myrtlehook_core.version.source_orders import NO_ORDER, SourceOrder

if TYPE_CHECKING:
    from myrtlehook_core.version.documents import VmDocument


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request has passed the checks at the ingress and needs a slot or an engine."""

    request: RequestSpecification
    standing: ShareStanding | None = None
    """How it relates to its workspace's share; None if it has not been counted there yet."""


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client of a waiting request has disconnected."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ServiceObserved:
    """The service that a running request has consumed so far, in service units."""

    request_id: str
    observed_units: float


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """The first event of a stream that may be resumed is about to be forwarded to its client."""

    request_id: str
    software_version: str
    """Of the backend server that wrote the event."""


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A dispatched request has ended, successfully or not, at a cost in service units."""

    request_id: str
    cost_units: float
    failed: bool = False
    """The server broke off its answer, or answered with a failure."""
    completed: bool = False
    """The answer arrived in full, whatever it says, so the request did not end the server."""
    longest_pause_s: float = 0.0
    """The longest pause between two events of its stream; 0 if it had fewer than two."""


@dataclass(frozen=True, slots=True)
class StreamPaused:
    """The stream of a running request has just gone on after a pause near its target or over."""

    request_id: str
    pause_s: float


@dataclass(frozen=True, slots=True)
class ServerEndedInRun:
    """A backend server's process certainly ended while it ran a request.

    A broken connection is not sufficient evidence, and the end of a leaving server is not counted.
    """

    fingerprint: bytes
    """Of the request."""
    backend_server: str
    began_s: float
    """When the request was sent there."""
    ended_s: float
    """When its answer broke off."""
    suspect_parts: tuple[SuspectPart, ...] = ()
    """The parts of its prompt, in order; none if the run had shown them to be sound."""
    shown_sound: bool = False
    """Whether the server had written on its prompt for some time."""


@dataclass(frozen=True, slots=True)
class ServerFoundEnded:
    """A backend server's process has ended, but not certainly while it ran a request.

    Connections to its address were refused.
    """

    backend_server: str
    ended_s: float
    """When it was found to have ended."""


@dataclass(frozen=True, slots=True)
class PartsShownSound:
    """A server has written on a request's prompt for long enough that no part of it is harmful."""

    request_id: str
    software_version: str
    """Of the server."""


@dataclass(frozen=True, slots=True)
class ServerNoticed:
    """A backend server has reported its own state in the headers of an answer."""

    backend_server: str
    request_id: str
    """The request that the answer belongs to."""
    leaving: bool = False
    backoff_until_s: float = 0.0
    """The end of the back-off that it asks this router for; 0 if it asks for none."""


@dataclass(frozen=True, slots=True)
class RunNotStarted:
    """A dispatched request was certainly not run, so it is safe to retry."""

    request_id: str
    reason: RetryReason


@dataclass(frozen=True, slots=True)
class SuccessorSought:
    """The server of a running request is silent; a slot at another one is wanted for it."""

    request_id: str
    successor_id: str
    """The id of the request that asks for this slot."""
    silent_servers: frozenset[str] = frozenset()
    """Other backend servers that are silent too."""


@dataclass(frozen=True, slots=True)
class RunHandedOver:
    """A successor runs a request from now on; the run at the first server was cancelled."""

    request_id: str
    successor_id: str


@dataclass(frozen=True, slots=True)
class SuccessorDropped:
    """A successor is no longer wanted, or did not run the request."""

    request_id: str
    successor_id: str
    was_sent: bool
    """Whether it was sent to a server."""
    failure: RetryReason | None = None
    """Why that server did not run it, if it did not take it."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """An authenticated message from another router."""

    sender: str
    incarnation: int
    message: Message


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A backend server's report of its own load, which lags behind the actual load."""

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
    """The platform's list of router VMs; it may be out of date."""

    vms: "tuple[VmDocument, ...]"


@dataclass(frozen=True, slots=True)
class ManifestRead:
    """The platform's manifest; it may be out of date."""

    text: str


@dataclass(frozen=True, slots=True)
class PartRead:
    """A configuration part that a ``FetchPart`` action asked for."""

    digest: str
    text: str


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A complete configuration as its source publishes it; it may be out of date."""

    text: str


@dataclass(frozen=True, slots=True)
class BackendServersRead:
    """The complete list of backend servers from discovery."""

    servers: tuple[BackendServer, ...]
    source_order: SourceOrder = NO_ORDER
    """The version of the list at the source; a list older than the known one is ignored."""
    evacuated_zones: frozenset[str] = frozenset()
    """Availability zones whose servers must not get requests."""
    left_after_notice: tuple[str, ...] = ()
    """Servers that are not listed any more, and whose last entries, which were in no earlier list,
    announced that they leave."""


@dataclass(frozen=True, slots=True)
class SourceAnswered:
    """The source has just answered, so what is read from it next is up to date."""

    asked_at_s: float | None = None
    """When the call was sent; None for now."""


@dataclass(frozen=True, slots=True)
class SourceFailed:
    """A call to the source has failed."""

    asked_at_s: float | None = None
    """When the call was sent; None for now."""


@dataclass(frozen=True, slots=True)
class SeedsNamed:
    """Changed settings name addresses of routers that may be alive."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This router drains: it stops once all the requests that it holds have ended."""


@dataclass(frozen=True, slots=True)
class GrantsDue:
    """The time that the core returned for its next grant has come."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer has fired."""


Event = (
    RequestArrived
    | RequestAbandoned
    | ServiceObserved
    | StreamBegun
    | RunEnded
    | StreamPaused
    | ServerEndedInRun
    | ServerFoundEnded
    | PartsShownSound
    | ServerNoticed
    | RunNotStarted
    | SuccessorSought
    | RunHandedOver
    | SuccessorDropped
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
