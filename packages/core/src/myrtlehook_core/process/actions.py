"""What the core asks of the shell."""

from dataclasses import dataclass, field
from enum import StrEnum

from myrtlehook_core.process.admission_messages import DemandRow, EngineEstimate
from myrtlehook_core.process.members import MemberChange
from myrtlehook_core.process.messages import Message
from myrtlehook_core.request.outcomes import DropReason, RefusalReason, RetryReason
from myrtlehook_core.version.configurations import Configuration, ServerOrder
from myrtlehook_core.version.findings import Finding
from myrtlehook_core.version.source_orders import SourceOrder


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send this request to this backend server, unless the lease has passed by then."""

    request_id: str
    backend_server: str
    attempt: int
    priority_units: float
    """Virtual service; the engine serves the lowest first."""
    lease_deadline_s: float
    memory_source: str = ""
    """Another backend server, from which this one takes what that keeps of the prompt."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give this request its final answer now: it was not run."""

    request_id: str
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a router; it may be lost."""

    router_id: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class RenewLink:
    """Open the connection to a router anew: the present one may have gone silent for good."""

    router_id: str
    address: str


@dataclass(frozen=True, slots=True)
class PollLoad:
    """Ask a backend server for its load report."""

    backend_server: str
    address: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Order a backend server to run something, fenced with a configuration number."""

    backend_server: str
    address: str
    order: ServerOrder
    fence: int
    server_checks_fence: bool


@dataclass(frozen=True, slots=True)
class FetchPart:
    """Read a configuration part from the platform."""

    key: str
    digest: str


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A configuration is in force from now on."""

    configuration: Configuration
    source: str


@dataclass(frozen=True, slots=True)
class BackendServersChanged:
    """Discovery's list of backend servers is another one from now on."""

    servers: tuple[str, ...]
    leaving: tuple[str, ...]
    order: SourceOrder
    """Of the source."""
    source: str
    """The platform, or the router that told of it."""
    evacuated_zones: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ColdEngineNoted:
    """An engine is held to be cold, as news, its entry or its own answers show."""

    backend_server: str
    until_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class ServerLeavingNoted:
    """A backend server leaves, as its own answer or another router has told."""

    backend_server: str
    source: str
    """``answer``, or the router that told of it."""
    request_id: str = ""
    """The request whose answer said so."""


@dataclass(frozen=True, slots=True)
class ServerBackoffNoted:
    """A backend server wants nothing of this router for a time."""

    backend_server: str
    until_s: float
    request_id: str
    """The request whose answer said so."""


@dataclass(frozen=True, slots=True)
class ReadSource:
    """Read the source from now on, or leave that to other routers."""

    wanted: bool
    readers_before: tuple[str, ...]
    """Routers that read it and come before this one."""


@dataclass(frozen=True, slots=True)
class ConfigurationRejected:
    """A published configuration was kept out; the old one stays in force."""

    number: int
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class AdmissionDecided:
    """An engine's owner has granted or refused a request; with what it knew then."""

    request_id: str
    backend_server: str
    waited_s: float
    """Since this owner was asked."""
    unread_tokens: int
    """What the engine is expected to read for the request."""
    backlog_tokens: float
    """What it has still to read of earlier grants."""
    window_tokens: float
    """Up to which it is given more."""
    waiting_requests: int
    granted_requests: int
    tier: int
    above_share: bool
    asked_tokens: int
    """The request's size as shares count it."""
    estimate: EngineEstimate
    retry_after_ms: int | None
    """None for a grant."""


@dataclass(frozen=True, slots=True)
class ShareLevelNoted:
    """A pool's accountant holds workspaces to a level; told once a second while it does."""

    pool: str
    level_tokens: int
    """Within one window of the shares, as all figures here."""
    configured_tokens: float
    """What the configuration says that the engines produce."""
    shared_tokens: float
    """What is shared out: no more than that, nor much more than engines have taken lately."""
    asked_tokens: int
    """By all workspaces."""
    refused_tokens: int
    """Of that, what no engine took."""
    reports: int
    """Routers or collectors that this rests on."""
    above: tuple[DemandRow, ...]
    """The workspaces that ask for the most above the level."""


@dataclass(frozen=True, slots=True)
class MemberNoted:
    """This router believes something else of a member from now on."""

    change: MemberChange


@dataclass(frozen=True, slots=True)
class RetryNoted:
    """A request that was not run is queued again."""

    request_id: str
    reason: RetryReason


@dataclass(frozen=True, slots=True)
class DropNoted:
    """A message or a grant was dropped."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class ServerEjected:
    """A backend server failed again and again, and gets nothing until then."""

    backend_server: str
    until_s: float


class QuarantineCause(StrEnum):
    """What a changed belief in a request rests on."""

    COUNTED = "counted"
    """This router has counted the ends of servers under it."""
    TOLD = "told"
    """Another router says so."""
    ENDED_WELL = "ended_well"
    """The request was answered whole, here or elsewhere."""


@dataclass(frozen=True, slots=True)
class ServerEndCounted:
    """This router, as a collector, has counted one more end of a server under a request."""

    fingerprint: bytes
    backend_server: str
    ends: int


@dataclass(frozen=True, slots=True)
class QuarantineNoted:
    """A request is refused until then from now on, or again taken."""

    fingerprint: bytes
    ends: int
    """0 when it is taken again."""
    held_until_s: float
    cause: QuarantineCause


@dataclass(frozen=True, slots=True)
class PauseNoticed:
    """The process was paused this long and has dropped what it believed."""

    late_s: float


Action = (
    Dispatch
    | Refuse
    | Send
    | RenewLink
    | PollLoad
    | SendOrder
    | FetchPart
    | ConfigurationChanged
    | ConfigurationRejected
    | BackendServersChanged
    | ColdEngineNoted
    | ServerLeavingNoted
    | ServerBackoffNoted
    | ReadSource
    | AdmissionDecided
    | ShareLevelNoted
    | MemberNoted
    | RetryNoted
    | DropNoted
    | ServerEjected
    | ServerEndCounted
    | QuarantineNoted
    | PauseNoticed
)


@dataclass(slots=True)
class Outbox:
    """Collects the actions of one event, in order."""

    actions: list[Action] = field(default_factory=list)

    def add(self, action: Action) -> None:
        """Append one action."""
        self.actions.append(action)
