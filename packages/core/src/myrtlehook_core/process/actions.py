"""Actions: what the core asks the process around it (the shell) to do or to log.

Times that end in ``_s`` and name a moment are seconds of the router's monotonic clock.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from myrtlehook_core.process.admission_messages import DemandRow, EngineEstimate
from myrtlehook_core.process.members import MemberChange
from myrtlehook_core.process.messages import Message
from myrtlehook_core.process.share_tallies import ShareTally
from myrtlehook_core.request.outcomes import DropReason, RefusalReason, RetryReason
from myrtlehook_core.version.configurations import Configuration, ConfigurationVersion, ServerOrder
from myrtlehook_core.version.findings import Finding
from myrtlehook_core.version.source_orders import SourceOrder


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to a backend server, unless the lease has expired by then."""

    request_id: str
    backend_server: str
    attempt: int
    priority_units: float
    """Virtual service of the workspace; the engine serves the lowest value first."""
    lease_deadline_s: float
    memory_source: str = ""
    """Another backend server, from whose cache this one fetches a prefix of the prompt."""
    software_version: str | None = None
    """The only software version that the server may have; None if any may run the request."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer a request with a refusal now: it was not run and will not be."""

    request_id: str
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another router; delivery is not guaranteed."""

    router_id: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class RenewLink:
    """Reconnect to a router, as the present connection may have failed without an error."""

    router_id: str
    address: str


@dataclass(frozen=True, slots=True)
class PollLoad:
    """Fetch a backend server's load report."""

    backend_server: str
    address: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Order a backend server to run a model in a role, with a fencing token."""

    backend_server: str
    address: str
    order: ServerOrder
    fence: int
    """The fencing token: the number of the configuration that the order comes from."""
    server_checks_fence: bool


@dataclass(frozen=True, slots=True)
class FetchPart:
    """Read a configuration part from the platform."""

    key: str
    digest: str


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A new configuration is active."""

    configuration: Configuration
    source: str


@dataclass(frozen=True, slots=True)
class ConfigurationHeard:
    """Another router has a newer configuration, which this one now collects."""

    version: ConfigurationVersion
    source: str
    """The router that reported it."""
    current_number: int
    """The number of the configuration that is active meanwhile."""


@dataclass(frozen=True, slots=True)
class ConfigurationSent:
    """Documents of the active configuration were sent to a router that asked for them."""

    number: int
    receiver: str
    documents: int


@dataclass(frozen=True, slots=True)
class BackendServersChanged:
    """The list of backend servers from discovery has changed."""

    servers: tuple[str, ...]
    leaving: tuple[str, ...]
    source_order: SourceOrder
    """The version of the list at the source."""
    source: str
    """The platform, or the router that sent the list."""
    evacuated_zones: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ColdEngineDetected:
    """An engine is considered cold until a given time, by its discovery entry or its answers."""

    backend_server: str
    until_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class ReadingBoundChanged:
    """An engine's reading is bounded from now on, so that its streams keep their pace, or is not
    bounded any more."""

    backend_server: str
    is_bounded: bool
    reading_event_s: float
    """The believed time between events while the engine reads without a break."""
    idle_event_s: float
    """The same while it reads nothing."""
    reports: int
    """The number of reported pauses that the belief is based on."""


@dataclass(frozen=True, slots=True)
class ServerLeavingReported:
    """A backend server is leaving, according to one of its own answers or another router."""

    backend_server: str
    source: str
    """``answer`` for an answer of the server, else the id of the router that reported it."""
    request_id: str = ""
    """The request whose answer said so, if any."""


@dataclass(frozen=True, slots=True)
class ServerBeliefChanged:
    """What this router believes of a backend server has changed."""

    backend_server: str
    state_before: str
    """Empty if nothing was believed of it."""
    state: str
    learned_by: str
    """The way by which this was learned."""
    source: str
    """The platform, the router that reported it, or the request whose answer said so."""
    until_s: float | None
    """When it counts as gone, if its entry is missing."""
    order: SourceOrder
    """Up to which this router knows the source."""


@dataclass(frozen=True, slots=True)
class ServerBeliefsOmitted:
    """Too many beliefs have changed at once to report each of them."""

    count: int


@dataclass(frozen=True, slots=True)
class ServerHeldOff:
    """A server gets no requests for a time, since a restored source lists it again."""

    backend_server: str
    until_s: float
    source: str
    """The platform, or the router that reported it."""


@dataclass(frozen=True, slots=True)
class ServerBackoffReported:
    """A backend server has asked this router to back off until a given time."""

    backend_server: str
    until_s: float
    request_id: str
    """The request whose answer said so."""


@dataclass(frozen=True, slots=True)
class ReadSource:
    """Start reading the source, or stop and rely on other routers to read it."""

    wanted: bool
    """Whether this router is to read the source."""
    readers_before: tuple[str, ...]
    """The routers that read the source and precede this one in the order of readers."""


@dataclass(frozen=True, slots=True)
class SourceReaderChanged:
    """Report that the source no longer answers a router that reads it, or answers it again."""

    router_id: str
    """The reader: this router or another one."""
    source: str
    """The router that told this one."""
    is_answered: bool


@dataclass(frozen=True, slots=True)
class ConfigurationRejected:
    """A published configuration is invalid and was rejected; the previous one stays active."""

    number: int
    findings: tuple[Finding, ...]
    source: str
    """Who sent it: the platform, or a peer's id."""


@dataclass(frozen=True, slots=True)
class AdmissionDecided:
    """This router, as an engine's owner, granted or refused a request, given the state below."""

    request_id: str
    backend_server: str
    waited_s: float
    """Time since this owner received the request for admission."""
    unread_tokens: int
    """The tokens of its prompt that the engine is expected to read, as it has not cached them."""
    backlog_tokens: float
    """The prompt tokens of earlier grants that the engine has yet to read."""
    window_tokens: float
    """The engine is granted more requests while its backlog is below this."""
    waiting_requests: int
    granted_requests: int
    tier: int
    above_share: bool
    asked_tokens: int
    """The request's size as counted against its workspace's share."""
    estimate: EngineEstimate
    retry_after_ms: int | None
    """For a refusal, the time until the request would have fitted; None for a grant."""
    held_s: float = 0.0
    """How long its prompt was held back so that running streams keep their pace."""
    eager: bool = False
    """Whether the engine was only asked for an early beginning of the answer."""


@dataclass(frozen=True, slots=True)
class EarlyBeginningRefused:
    """No engine that was asked could begin an answer early; the request now takes what there is."""

    request_id: str
    waits_s: dict[str, float]
    """For each engine asked, by how much its answer would have begun too late."""


@dataclass(frozen=True, slots=True)
class EngineWeightsChanged:
    """The weight of an engine as a home of prompts has changed at this router."""

    pool: str
    reference_tokens_per_s: float
    """The pool's median rate."""
    steps: dict[str, int]
    """By engine: its weight as a power of two, if that is not 0."""


@dataclass(frozen=True, slots=True)
class ShareLevelReported:
    """The share level to which a pool's accountant limits workspaces.

    It is reported at most once a second, while there is a level.
    """

    pool: str
    level_tokens: int
    """Tokens within one share window, like all token counts here."""
    configured_tokens: float
    """The engines' capacity according to the configuration."""
    shared_tokens: float
    """The capacity that is divided among workspaces, estimated from what engines admitted lately
    and from what is configured."""
    asked_tokens: int
    """Demand of all workspaces."""
    refused_tokens: int
    """The part of the demand that no engine admitted."""
    reports: int
    """The number of routers or collectors whose reports are counted."""
    above: tuple[DemandRow, ...]
    """The workspaces with the largest demand above the level, largest first."""


@dataclass(frozen=True, slots=True)
class ShareTalliesReported:
    """What workspaces asked for and got of a pool at this router in the last second."""

    pool: str
    level_tokens: int | None
    """The level that applies here, within one share window; None if none is known."""
    level_age_s: float
    """The time since that level was received."""
    tallies: dict[str, ShareTally]
    """By workspace, those that asked for the most."""


@dataclass(frozen=True, slots=True)
class MemberStateChanged:
    """This router's view of another member's state has changed."""

    change: MemberChange


@dataclass(frozen=True, slots=True)
class RequestRequeued:
    """A request that was not run has been queued again."""

    request_id: str
    reason: RetryReason


@dataclass(frozen=True, slots=True)
class MessageDropped:
    """A message from another router was dropped, such as a stale bid or an unusable grant."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class BidsSpread:
    """An owner has no slot for waiting requests, so that other owners of the pool hear of them."""

    pool: str
    full_owner: str
    owners: tuple[str, ...]
    """The owners that were told."""
    waiting_requests: int
    longest_wait_s: float


@dataclass(frozen=True, slots=True)
class BidsUpdated:
    """Owners were told that another one has granted a request that was offered to them too."""

    owners: int


@dataclass(frozen=True, slots=True)
class ServerEjected:
    """A backend server failed several times in a row, and gets no requests until a given time."""

    backend_server: str
    until_s: float


class QuarantineCause(StrEnum):
    """Why a request was quarantined or released from quarantine."""

    COUNTED = "counted"
    """This router has counted the backend servers that ended while they ran the request."""
    TOLD = "told"
    """Another router reported it."""
    ENDED_WELL = "ended_well"
    """The request received a complete answer, here or through another router."""


@dataclass(frozen=True, slots=True)
class ServerEndCounted:
    """This router counted one more server that ended while it ran a request."""

    fingerprint: bytes
    backend_server: str
    ends: int
    reporter: str
    """The router that saw the end."""
    told_by: str
    """The router that sent the report: the reporter, or one that handed it over."""
    age_s: float
    """How long before the report the server ended."""


@dataclass(frozen=True, slots=True)
class RestartNoticed:
    """Another router's process is a new one, although it was never considered dead."""

    router_id: str


@dataclass(frozen=True, slots=True)
class VersionUnconfirmed:
    """A backend server has ended, so its listed software version is not relied on for a time."""

    backend_server: str
    until_s: float
    source: str
    """The router that noticed the end."""


@dataclass(frozen=True, slots=True)
class StreamOriginFound:
    """The software version that began a resumed stream was looked up."""

    request_id: str
    software_version: str | None
    """None if it was not found, so that the request is refused."""
    source: str
    """The router that knew it; empty if none did."""
    asked: tuple[str, ...] = ()
    """The routers that were asked in vain."""
    answers: int = 0
    """How many of these answered."""


@dataclass(frozen=True, slots=True)
class QuarantineChanged:
    """A request was quarantined until a given time, or released from quarantine."""

    fingerprint: bytes
    ends: int
    """The servers that ended while they ran it; 0 if the request was released."""
    quarantined_until_s: float
    cause: QuarantineCause
    told_by: str
    """The router whose report or news this follows from, or this router itself."""
    is_part: bool = False
    """Whether ``fingerprint`` is the key of a part of prompts, which may be suspect only: then no
    requests are refused."""


@dataclass(frozen=True, slots=True)
class PauseDetected:
    """The process was paused, and has dropped state that may be out of date."""

    late_s: float
    """Time from the last tick before the pause to the first event after it."""


Action = (
    Dispatch
    | Refuse
    | Send
    | RenewLink
    | PollLoad
    | SendOrder
    | FetchPart
    | ConfigurationChanged
    | ConfigurationHeard
    | ConfigurationRejected
    | ConfigurationSent
    | BackendServersChanged
    | ColdEngineDetected
    | ReadingBoundChanged
    | ServerLeavingReported
    | ServerBeliefChanged
    | ServerBeliefsOmitted
    | ServerHeldOff
    | ServerBackoffReported
    | ReadSource
    | SourceReaderChanged
    | AdmissionDecided
    | EarlyBeginningRefused
    | EngineWeightsChanged
    | ShareLevelReported
    | ShareTalliesReported
    | MemberStateChanged
    | RequestRequeued
    | MessageDropped
    | BidsSpread
    | BidsUpdated
    | ServerEjected
    | ServerEndCounted
    | RestartNoticed
    | VersionUnconfirmed
    | StreamOriginFound
    | QuarantineChanged
    | PauseDetected
)


@dataclass(slots=True)
class ActionList:
    """The actions of one event, in order."""

    actions: list[Action] = field(default_factory=list)

    def add(self, action: Action) -> None:
        """Append one action."""
        self.actions.append(action)
