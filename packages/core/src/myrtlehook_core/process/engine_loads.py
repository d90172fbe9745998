"""The load of one model engine, in tokens, as its owner counts it."""

from dataclasses import dataclass, field

from myrtlehook_core.process.admission_messages import (
    PartRow,
)
from myrtlehook_core.process.ejections import ServerHealth
from myrtlehook_core.process.prompt_caches import PromptCache, count_unread, use_parts

FIRST_RATE_TOKENS_PER_S = 30_000.0
"""Assumed until an engine's answers have shown how fast it reads."""

FIRST_DELAY_S = 0.04
HIGHEST_RATE_TOKENS_PER_S = 100_000.0
SHORTEST_READ_S = 0.01
SMALLEST_READ_TOKENS = 500
"""Shorter reads say more about the network than about the engine."""

RATE_WEIGHT = 0.1
MEMORY_PART = 0.9
"""Requests are granted up to this part of an engine's memory, since outputs grow."""

LEASE_MARGIN_S = 1.0
"""A granted request whose end nobody tells is forgotten this long after its deadline."""


@dataclass(slots=True)
class WaitingAdmission:
    """A request that waits at its engine's owner."""

    request_id: str
    router_id: str
    workspace: str
    parts: tuple[PartRow, ...]
    prompt_tokens: int
    output_tokens: int
    asked_at_s: float
    aim_deadline_s: float
    deadline_s: float
    priority: int
    tier: int
    hop: int
    returned: bool = False
    """It was refused before and its caller has come back."""
    oversized: bool = False
    """Reading its prompt alone takes longer than its aim: it can only be served late."""
    latest_start_s: float = 0.0
    """When the engine must begin to read it for its answer to begin in time."""


@dataclass(slots=True)
class GrantedAdmission:
    """A request that its router may have sent to the engine."""

    router_id: str
    workspace: str
    total_tokens: int
    unread_tokens: int
    granted_at_s: float
    deadline_s: float
    begun: bool = False


@dataclass(slots=True)
class EngineLoad:
    """All that an owner knows of one engine."""

    owned_since_s: float
    cache: PromptCache
    waiting: dict[str, WaitingAdmission] = field(default_factory=dict)
    granted: dict[str, GrantedAdmission] = field(default_factory=dict)
    """In the order of granting, which is the order in which the engine reads."""
    answer_delay_s: float = FIRST_DELAY_S
    """From the end of reading to the first event at the router."""
    rate_tokens_per_s: float = FIRST_RATE_TOKENS_PER_S
    health: ServerHealth = field(default_factory=ServerHealth)
    read_until_s: float = 0.0
    """When the prompt that was read last was done."""


def unread_tokens(load: EngineLoad) -> int:
    """Return the granted tokens that the engine has not read yet."""
    return sum(item.unread_tokens for item in load.granted.values() if not item.begun)


def held_tokens(load: EngineLoad) -> int:
    """Return the memory that granted requests hold and that cannot give way."""
    return sum(item.total_tokens for item in load.granted.values())


def estimate_unread(load: EngineLoad, waiting: WaitingAdmission) -> int:
    """Return how many tokens the engine would read for a waiting request."""
    return count_unread(load.cache, waiting.parts, waiting.prompt_tokens)


def grant_admission(load: EngineLoad, waiting: WaitingAdmission, now_s: float) -> int:
    """Move a request from waiting to granted; returns its unread tokens."""
    del load.waiting[waiting.request_id]
    unread = estimate_unread(load, waiting)
    if unread_tokens(load) == 0:
        load.read_until_s = now_s
    load.granted[waiting.request_id] = GrantedAdmission(
        router_id=waiting.router_id,
        workspace=waiting.workspace,
        total_tokens=waiting.prompt_tokens + waiting.output_tokens,
        unread_tokens=unread,
        granted_at_s=now_s,
        deadline_s=waiting.deadline_s + LEASE_MARGIN_S,
    )
    use_parts(load.cache, waiting.parts)
    return unread


def note_begun(load: EngineLoad, request_id: str, now_s: float) -> None:
    """Note that an answer has begun, and learn from it how fast the engine reads."""
    item = load.granted.get(request_id)
    if item is None or item.begun:
        return
    item.begun = True
    started_s = max(load.read_until_s, item.granted_at_s)
    load.read_until_s = now_s
    elapsed_s = now_s - started_s
    if elapsed_s > SHORTEST_READ_S and item.unread_tokens > SMALLEST_READ_TOKENS:
        rate = min(item.unread_tokens / elapsed_s, HIGHEST_RATE_TOKENS_PER_S)
        load.rate_tokens_per_s += RATE_WEIGHT * (rate - load.rate_tokens_per_s)


def expire_granted(load: EngineLoad, now_s: float) -> int:
    """Forget granted requests whose leases have passed; returns how many."""
    late = [key for key, item in load.granted.items() if now_s >= item.deadline_s]
    for request_id in late:
        del load.granted[request_id]
    return len(late)
