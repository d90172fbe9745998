"""Requests that ask for an engine: their state, the engines' order, and the asking itself."""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from myrtlehook_core.process.admission_messages import (
    AdmissionProgress,
    AdmissionRelease,
    AdmissionRequest,
    EngineEstimate,
    PartRow,
)
from myrtlehook_core.process.backoffs import is_backing_off
from myrtlehook_core.process.full_tiers import FullTiers
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.ingress import IngressContext, IngressState
from myrtlehook_core.process.shares import Shares
from myrtlehook_core.request.requests import PromptPart, RequestSpecification

ASK_INTERVAL_S = 0.1
"""A request that has no answer is asked for again after this long."""

ASK_GROWTH = 3.0
"""The next times this many times later: an owner that has a request says nothing while it waits,
and the question is many times as long as the answer."""

NEAR_SHARED_TOKENS = 1000
"""Shared parts longer than this are read at one engine of all zones. In the large deployment a
token read again costs as much as 30 bytes between zones; an answer has 2 to 9 KB."""


@dataclass(frozen=True, slots=True)
class MemorySource:
    """An engine that keeps the beginning of a prompt, and may hand it to another one."""

    backend_server: str
    tokens: int


NO_SOURCE = MemorySource("", 0)


@dataclass(frozen=True, slots=True)
class EngineRanking:
    """The engines that a request may ask, in order."""

    names: tuple[str, ...]
    near_first: bool
    """The first one is only the home in the own zone; the home of all follows."""


@dataclass(slots=True)
class Admission:
    """A request that waits for an engine, or runs at one."""

    request: RequestSpecification
    noted_at_s: float = 0.0
    """When it was counted as asked for."""
    tier: int = 0
    """How many times over its workspace has asked for its share."""
    above_share: bool = False
    """Whether its workspace asks for more than its share."""
    backend_server: str = ""
    asked_at_s: float = 0.0
    next_ask_s: float = 0.0
    ask_gap_s: float = ASK_INTERVAL_S
    """From the next question to the one after."""
    hop: int = 0
    tried: set[str] = field(default_factory=set)
    retry_after_s: float = 0.0
    eager: bool = False
    """Whether an engine was asked last only if it is soon free."""
    granted: bool = False
    begun: bool = False
    unread_tokens: int = 0
    ranking: tuple[str, ...] = ()
    """The pool's engines in the order in which they are asked, as of the first question."""
    source: MemorySource = NO_SOURCE
    """Of the engines that have refused the request, the one that keeps the most of it."""
    asked_source: MemorySource = NO_SOURCE
    """What the owner that was asked last was told of."""


@dataclass(frozen=True, slots=True)
class HeardEstimate:
    """What an engine's owner told of it, and when that was heard."""

    estimate: EngineEstimate
    heard_at_s: float


@dataclass(slots=True)
class Admissions:
    """All requests for model engines at this router."""

    open: dict[str, Admission] = field(default_factory=dict)
    recent_parts: dict[str, OrderedDict[str, int]] = field(default_factory=dict)
    """For each engine, the parts of prompts that this router has sent there."""
    estimates: dict[str, HeardEstimate] = field(default_factory=dict)
    """For each engine that granted something here, what its owner had learned of it."""
    full_tiers: defaultdict[str, FullTiers] = field(default_factory=lambda: defaultdict(FullTiers))
    """By pool."""


@dataclass(slots=True)
class AdmissionContext:
    """What the functions here need besides their own state."""

    entry: IngressState
    entry_context: IngressContext
    shares: Shares
    owner_of: Callable[[str], str | None]
    now_s: float
    availability_zone: str = ""
    """Of this router."""


def rank_engines(context: AdmissionContext, request: RequestSpecification) -> EngineRanking:
    """Order the pool's usable engines, the one that likely keeps the prompt's parts first.

    A prompt whose shared parts are short has a home in each zone that has engines enough,
    and that one is asked before the home of all: its parts are then read once in each zone,
    and the answer, which is many times as many bytes as the parts have tokens, crosses none.
    """
    servers = [
        server
        for server in context.entry_context.configuration.backend_servers.values()
        if server.pool == request.pool and is_usable_engine(context, server.name)
    ]
    key = f"engine/{affinity_key(request)}"
    ranked = rank_routers(key, [server.name for server in servers], len(servers))
    near = {
        server.name for server in servers if server.availability_zone == context.availability_zone
    }
    shared_tokens = sum(part.tokens for part in request.prompt_parts[:-1])
    fewest = context.entry_context.options.fewest_near_engines
    if shared_tokens > NEAR_SHARED_TOKENS or len(near) < fewest:
        return EngineRanking(ranked, near_first=False)
    home = next(name for name in ranked if name in near)
    others = tuple(name for name in ranked if name != home)
    return EngineRanking((home, *others), near_first=True)


def affinity_key(request: RequestSpecification) -> str:
    """Return what requests share that are best served by the same engine."""
    parts = request.prompt_parts
    if len(parts) >= 2:
        return parts[-2].part_id
    return parts[0].part_id if parts else request.request_id


def is_usable_engine(context: AdmissionContext, name: str) -> bool:
    """Tell whether an engine is known, not leaving, and takes requests of this router."""
    server = context.entry_context.configuration.backend_servers.get(name)
    if server is None or server.leaving:
        return False
    return not is_backing_off(context.entry.backoffs, name, context.now_s)


def find_source(
    admissions: Admissions, context: AdmissionContext, admission: Admission
) -> MemorySource:
    """Return the engine that keeps the most of a prompt, besides the one that is asked.

    Owners that refused the request have told what their engines keep; of others this
    router knows what it has sent there lately.
    """
    if not context.entry_context.options.fetches_memory:
        return NO_SOURCE
    request = admission.request
    best = NO_SOURCE
    if is_usable_engine(context, admission.source.backend_server):
        best = admission.source
    for name, recent in admissions.recent_parts.items():
        tokens = count_sent(recent, request.prompt_parts)
        if tokens > best.tokens and _may_hand_over(context, name, request.pool):
            best = MemorySource(name, tokens)
    return NO_SOURCE if best.backend_server == admission.backend_server else best


def _may_hand_over(context: AdmissionContext, name: str, pool: str) -> bool:
    """Tell whether an engine is usable and of a pool: another pool's runs another model."""
    server = context.entry_context.configuration.backend_servers.get(name)
    return server is not None and server.pool == pool and is_usable_engine(context, name)


def count_sent(recent: Mapping[str, int], parts: tuple[PromptPart, ...]) -> int:
    """Return how many tokens of a prompt's beginning were sent somewhere lately."""
    tokens = 0
    for part in parts:
        if part.part_id not in recent:
            break
        tokens += part.tokens
    return tokens


def ask_owner(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> None:
    """Ask an engine's owner to admit a request, or ask again."""
    request = admission.request
    admission.asked_source = find_source(admissions, context, admission)
    admission.next_ask_s = now_s + admission.ask_gap_s
    admission.ask_gap_s *= ASK_GROWTH
    owner = context.owner_of(admission.backend_server)
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
        hop=admission.hop,
        fetch_tokens=admission.asked_source.tokens,
        above_share=admission.above_share,
        eager=admission.eager,
        aim_ms=round((request.aim_deadline_s - request.arrived_at_s) * 1000.0),
    )
    context.entry_context.outbox.add(owner, message)


def tell_owner(
    context: AdmissionContext,
    admission: Admission,
    message: AdmissionProgress | AdmissionRelease,
) -> None:
    """Tell an engine's owner what became of a request."""
    owner = context.owner_of(admission.backend_server)
    if owner is not None:
        context.entry_context.outbox.add(owner, message)
