"""State of requests that need an engine, the ranking of engines, and messages to owners."""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from myrtlehook_core.process.admission_messages import (
    AdmissionProgress,
    AdmissionRelease,
    AdmissionRequest,
    EngineEstimate,
    PartRow,
    StreamPauseReport,
)
from myrtlehook_core.process.backoffs import is_backing_off
from myrtlehook_core.process.eligible_servers import may_serve
from myrtlehook_core.process.ended_servers import is_version_confirmed
from myrtlehook_core.process.engine_speeds import PoolSpeeds
from myrtlehook_core.process.full_tiers import FullTiers
from myrtlehook_core.process.ingress import IngressContext, IngressState
from myrtlehook_core.process.shares import Shares
from myrtlehook_core.request.requests import PromptPart, RequestSpecification
from myrtlehook_core.version.configurations import BackendServer

FIRST_RESEND_S = 0.1
"""An admission request without an answer is first sent again after this long."""

RESEND_BACKOFF_FACTOR = 3.0
"""Factor from one resend interval to the next. An owner sends nothing while a request waits in its
queue, and an admission request is many times as long as its answer."""


@dataclass(frozen=True, slots=True)
class MemorySource:
    """An engine that caches the beginning of a prompt, from which another one may fetch it."""

    backend_server: str
    tokens: int


NO_SOURCE = MemorySource("", 0)


@dataclass(slots=True)
class Admission:
    """A request that waits for an engine, or runs at one."""

    request: RequestSpecification
    counted_at_s: float = 0.0
    """When it was counted as demand of its workspace."""
    tier: int = 0
    """How many times over its workspace has requested its share; 0 is within it."""
    above_share: bool = False
    """Whether its workspace requests more than its share."""
    backend_server: str = ""
    asked_at_s: float = 0.0
    next_send_s: float = 0.0
    resend_interval_s: float = FIRST_RESEND_S
    """Between the next resend and the one after it."""
    hop: int = 0
    """The number of engines that have refused it since its last run, if any, without one that was
    asked eagerly."""
    tried: set[str] = field(default_factory=set)
    retry_after_s: float = 0.0
    eager: bool = False
    """Whether the current engine is wanted only if it can begin the answer soon."""
    near_first: bool = False
    """Whether the first engine asked is the prompt's home in this router's zone only."""
    home: str = ""
    """The prompt's home among all zones, if several engines are asked for an early beginning."""
    early_engines: tuple[str, ...] = ()
    """The engines that are yet to be asked for an early beginning of the answer."""
    early_waits_s: dict[str, float] = field(default_factory=dict)
    """For each engine that refused an early beginning, the wait that it named."""
    granted: bool = False
    begun: bool = False
    unread_tokens: int = 0
    ranked_engines: tuple[str, ...] = ()
    """The pool's engines in the order in which they are asked, as of the last ranking."""
    memory_source: MemorySource = NO_SOURCE
    """Of the engines that have refused the request, the one that caches most of its prompt."""
    offered_memory_source: MemorySource = NO_SOURCE
    """The source that the last admission request offered to the engine's owner."""


@dataclass(frozen=True, slots=True)
class ReceivedEstimate:
    """An owner's estimate of its engine, and when it was received."""

    estimate: EngineEstimate
    received_at_s: float


@dataclass(slots=True)
class Admissions:
    """All requests for model engines at this router, and what it has learned of engines."""

    open: dict[str, Admission] = field(default_factory=dict)
    recent_parts: dict[str, OrderedDict[str, int]] = field(default_factory=dict)
    """For each engine, the prompt parts that this router sent there lately, and their tokens."""
    estimates: dict[str, ReceivedEstimate] = field(default_factory=dict)
    """For each engine that granted a request of this router, its owner's last estimate."""
    speeds: defaultdict[str, PoolSpeeds] = field(default_factory=lambda: defaultdict(PoolSpeeds))
    """By pool."""
    full_tiers: defaultdict[str, FullTiers] = field(default_factory=lambda: defaultdict(FullTiers))
    """By pool."""


@dataclass(slots=True)
class AdmissionContext:
    """Dependencies of the admission functions besides the state of the admissions."""

    ingress: IngressState
    ingress_context: IngressContext
    shares: Shares
    find_owner: Callable[[str], str | None]
    now_s: float
    availability_zone: str = ""
    """The zone of this router."""


def may_run_at(context: AdmissionContext, request: RequestSpecification, name: str) -> bool:
    """Return whether an engine is usable and may serve a request."""
    server = context.ingress_context.configuration.backend_servers.get(name)
    if server is None or not is_usable_engine(context, name):
        return False
    return may_be_served_by(context, request, server)


def may_be_served_by(
    context: AdmissionContext, request: RequestSpecification, server: BackendServer
) -> bool:
    """Return whether an engine may serve a request, if it is usable."""
    ingress_context = context.ingress_context
    if request.software_version is not None and not is_version_confirmed(
        ingress_context.ended_servers, server.name, context.now_s
    ):
        return False
    return may_serve(ingress_context.regions, request, server)


def is_usable_engine(context: AdmissionContext, name: str) -> bool:
    """Return whether an engine is known, not leaving, and not in back-off at this router."""
    server = context.ingress_context.configuration.backend_servers.get(name)
    if server is None or server.leaving:
        return False
    return not is_backing_off(context.ingress.backoffs, name, context.now_s)


def find_memory_source(
    admissions: Admissions, context: AdmissionContext, admission: Admission
) -> MemorySource:
    """Return the engine that caches most of a prompt, unless it is the one being asked.

    Owners that refused the request have reported what their engines cache; for the others
    it is estimated from what this router has sent there lately.
    """
    if not context.ingress_context.options.fetches_memory:
        return NO_SOURCE
    request = admission.request
    reader = admission.backend_server
    best = NO_SOURCE
    if _may_transfer_prompt(context, admission.memory_source.backend_server, reader, request):
        best = admission.memory_source
    for name, recent in admissions.recent_parts.items():
        tokens = count_sent_tokens(recent, request.prompt_parts)
        if tokens > best.tokens and _may_transfer_prompt(context, name, reader, request):
            best = MemorySource(name, tokens)
    return NO_SOURCE if best.backend_server == admission.backend_server else best


def _may_transfer_prompt(
    context: AdmissionContext, name: str, reader: str, request: RequestSpecification
) -> bool:
    """Return whether an engine is usable, and of the request's pool and an allowed region.

    Other pools run other models, and another software version than the reading engine's may lay
    out its memory in another way.
    """
    servers = context.ingress_context.configuration.backend_servers
    server = servers.get(name)
    if server is None or server.pool != request.pool or not is_usable_engine(context, name):
        return False
    if reader in servers and servers[reader].software_version != server.software_version:
        return False
    return may_serve(context.ingress_context.regions, request, server)


def count_sent_tokens(recent: Mapping[str, int], parts: tuple[PromptPart, ...]) -> int:
    """Return how many tokens of a prompt's beginning are among the parts sent to an engine."""
    tokens = 0
    for part in parts:
        if part.part_id not in recent:
            break
        tokens += part.tokens
    return tokens


def send_admission_request(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> None:
    """Send or resend an admission request to the engine's owner."""
    request = admission.request
    admission.offered_memory_source = find_memory_source(admissions, context, admission)
    admission.next_send_s = now_s + admission.resend_interval_s
    admission.resend_interval_s *= RESEND_BACKOFF_FACTOR
    owner = context.find_owner(admission.backend_server)
    if owner is None:
        return
    message = AdmissionRequest(
        request_id=request.request_id,
        backend_server=admission.backend_server,
        workspace=request.workspace,
        parts=tuple(PartRow(part.part_id, part.tokens) for part in request.prompt_parts),
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        aim_left_ms=round((request.aim_deadline_s - now_s) * 1000.0),
        deadline_left_ms=round((request.deadline_s - now_s) * 1000.0),
        priority=request.priority,
        tier=admission.tier,
        hop=0 if admission.backend_server == admission.home else admission.hop,
        fetch_tokens=admission.offered_memory_source.tokens,
        above_share=admission.above_share,
        eager=admission.eager,
        aim_ms=round((request.aim_deadline_s - request.arrived_at_s) * 1000.0),
        pause_target_ms=round(request.pause_target_s * 1000.0),
        route=request.route,
    )
    context.ingress_context.outbox.add(owner, message)


def notify_owner(
    context: AdmissionContext,
    admission: Admission,
    message: AdmissionProgress | AdmissionRelease | StreamPauseReport,
) -> None:
    """Report a request's progress, pause or release to its engine's owner."""
    owner = context.find_owner(admission.backend_server)
    if owner is not None:
        context.ingress_context.outbox.add(owner, message)
