"""The load of one model engine, in tokens, as its owner counts it."""

import math
from dataclasses import dataclass, field, replace

from myrtlehook_core.process.admission_messages import EngineEstimate, PartRow
from myrtlehook_core.process.cold_engines import SILENCE_S, ColdPace
from myrtlehook_core.process.ejections import ServerHealth
from myrtlehook_core.process.engine_models import (
    EngineModel,
    ReadSample,
    learn_making,
    learn_reading,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.prompt_caches import PromptCache, count_unread, use_parts
from myrtlehook_core.process.urgent_demands import UrgentDemands

MEMORY_PART = 0.9
"""Requests are granted up to this part of an engine's memory, since outputs grow."""

BATCH_GAP_S = 0.004
"""Answers that one step of an engine lets begin reach its owner within this, by way of
their routers."""

LONGEST_BATCH_S = 0.02
"""A batch is closed after this long, however densely answers begin."""

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
    aim_s: float = 0.0
    """All of it, from the request's arrival at its router to its aim's deadline."""
    fetch_tokens: int = 0
    """What the engine can take of its prompt from another one."""
    eager: bool = False
    """Another engine is asked if this one is not soon free."""
    above_share: bool = False
    """Its workspace asks for more than its share."""
    returned: bool = False
    """It was refused before and its caller has come back."""
    oversized: bool = False
    """Reading its prompt alone takes up what a forecast keeps in hand of its aim."""
    late_anyway: bool = False
    """Reading its prompt alone takes longer than its aim: it can only be served late."""
    latest_start_s: float = 0.0
    """When the engine must begin to read it for its answer to begin in time."""

    @property
    def rank(self) -> tuple[int, bool]:
        """What is served before what, whatever its time; the lowest comes first."""
        return (self.tier, self.above_share)


@dataclass(slots=True)
class GrantedAdmission:
    """A request that its router may have sent to the engine."""

    router_id: str
    workspace: str
    total_tokens: int
    unread_tokens: int
    output_tokens: int
    granted_at_s: float
    deadline_s: float
    begun: bool = False
    begun_at_s: float = math.inf


@dataclass(slots=True)
class EngineLoad:
    """All that an owner knows of one engine."""

    owned_since_s: float
    cache: PromptCache
    model: EngineModel
    waiting: dict[str, WaitingAdmission] = field(default_factory=dict)
    granted: dict[str, GrantedAdmission] = field(default_factory=dict)
    """In the order of granting, which is the order in which the engine reads."""
    reading: dict[str, GrantedAdmission] = field(default_factory=dict)
    """Those of them whose prompts the engine has not read to their end, as far as it has
    shown, in the same order."""
    health: ServerHealth = field(default_factory=ServerHealth)
    pace: ColdPace = field(default_factory=ColdPace)
    urgent: UrgentDemands = field(default_factory=UrgentDemands)
    heard_at_s: float = -math.inf
    """When an answer began last."""
    doubted: bool = False
    """A request has ended here of which nothing was heard for far too long, nor of others since:
    the engine may have been down."""
    read_until_s: float = -math.inf
    """When the prompt of the last answer was read, less what a grant takes to arrive."""
    batch: ReadSample | None = None
    """The answers that have begun last, so close together that one step read their ends."""
    batch_opened_s: float = -math.inf


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """What an owner believes of one engine at one moment."""

    backend_server: str
    estimate: EngineEstimate
    window_tokens: float
    backlog_tokens: float
    waiting_requests: int
    granted_requests: int
    cold_until_s: float = -math.inf
    """Until when it is held to be cold."""


def find_read_end(load: EngineLoad, now_s: float) -> float:
    """Return when the engine will have read all that was granted, by its model.

    Times here are those of grants: a prompt granted to an idle engine is read from then
    on, and its answer begins ``delay_s`` after the end that this gives.
    """
    model = load.model
    end_s = load.read_until_s
    for item in load.reading.values():
        end_s = max(end_s, item.granted_at_s) + item.unread_tokens / model.rate_tokens_per_s
        # Had it been read before this, its answer would have begun by now.
        end_s = max(end_s, now_s - model.delay_s)
    return max(end_s, now_s)


def find_backlog(load: EngineLoad, now_s: float) -> float:
    """Return the granted tokens that the engine has not read by now, by its model."""
    return (find_read_end(load, now_s) - now_s) * load.model.rate_tokens_per_s


def find_window(load: EngineLoad, options: CoreOptions) -> float:
    """Return how many unread tokens keep the engine reading until a next grant arrives.

    What happens at the engine is known here after its delay, and a grant decided in
    answer takes up to a turn of this process.
    """
    model = load.model
    window_s = options.window_gain * model.delay_s + options.window_margin_s
    return window_s * model.rate_tokens_per_s


def held_tokens(load: EngineLoad) -> int:
    """Return the memory that granted requests hold and that cannot give way."""
    return sum(item.total_tokens for item in load.granted.values())


def estimate_unread(load: EngineLoad, waiting: WaitingAdmission) -> int:
    """Return how many tokens the engine would read for a waiting request."""
    unread = count_unread(load.cache, waiting.parts, waiting.prompt_tokens)
    return max(min(unread, waiting.prompt_tokens - waiting.fetch_tokens), 1)


def grant_admission(load: EngineLoad, waiting: WaitingAdmission, now_s: float) -> GrantedAdmission:
    """Move a request from waiting to granted."""
    del load.waiting[waiting.request_id]
    item = GrantedAdmission(
        router_id=waiting.router_id,
        workspace=waiting.workspace,
        total_tokens=waiting.prompt_tokens + waiting.output_tokens,
        unread_tokens=estimate_unread(load, waiting),
        output_tokens=waiting.output_tokens,
        granted_at_s=now_s,
        deadline_s=waiting.deadline_s + LEASE_MARGIN_S,
    )
    load.granted[waiting.request_id] = item
    load.reading[waiting.request_id] = item
    use_parts(load.cache, waiting.parts)
    return item


def note_begun(load: EngineLoad, request_id: str, learns: bool, now_s: float) -> None:
    """Note that an answer has begun, and learn from it how fast the engine reads.

    :param learns: False where the engine's model is to stay as it is.
    """
    item = load.granted.get(request_id)
    if item is None or item.begun:
        return
    item.begun = True
    item.begun_at_s = now_s
    if request_id not in load.reading:
        # One that was granted later has begun before it: both were read by then.
        return
    granted_at_s = next(iter(load.reading.values())).granted_at_s
    tokens = _pass_over(load, request_id)
    _add_to_batch(load, granted_at_s, tokens, learns, now_s)
    load.read_until_s = now_s - load.model.delay_s


def end_granted(load: EngineLoad, request_id: str, ran: bool, now_s: float) -> bool:
    """Forget a granted request that has ended; False when it was not known.

    :param ran: whether it ran to its end, so that its time can be learned from.
    """
    item = load.granted.pop(request_id, None)
    load.reading.pop(request_id, None)
    if item is None:
        return False
    if ran and item.begun:
        learn_making(load.model, item.output_tokens, now_s - item.begun_at_s)
    return True


def was_silent(load: EngineLoad, request_id: str, now_s: float) -> bool:
    """Tell whether an engine has begun nothing since long before a request's answer was due."""
    item = load.granted.get(request_id)
    if item is None or item.begun:
        return False
    owed_since_s = max(item.granted_at_s, load.heard_at_s)
    reading_s = item.unread_tokens / load.model.rate_tokens_per_s
    return now_s > owed_since_s + load.model.delay_s + reading_s + SILENCE_S


def drop_granted(load: EngineLoad, request_id: str) -> None:
    """Forget a granted request of which nobody tells how it ended."""
    load.granted.pop(request_id, None)
    load.reading.pop(request_id, None)


def expire_granted(load: EngineLoad, now_s: float) -> int:
    """Forget granted requests whose leases have passed; returns how many."""
    late = [key for key, item in load.granted.items() if now_s >= item.deadline_s]
    for request_id in late:
        drop_granted(load, request_id)
    return len(late)


def _add_to_batch(
    load: EngineLoad, granted_at_s: float, tokens: int, learns: bool, now_s: float
) -> None:
    """Add an answer to the last batch, or learn from that and open another.

    :param granted_at_s: of the first prompt that was read since the last answer.
    """
    batch = load.batch
    if batch is None:
        load.batch = ReadSample(granted_at_s, -math.inf, now_s, tokens)
        return
    gap_s = now_s - batch.begun_s
    if gap_s <= BATCH_GAP_S and now_s - load.batch_opened_s <= LONGEST_BATCH_S:
        load.batch = replace(batch, begun_s=now_s, tokens=batch.tokens + tokens)
        return
    if learns:
        learn_reading(load.model, batch, now_s)
    load.batch = ReadSample(granted_at_s, batch.begun_s, now_s, tokens)
    load.batch_opened_s = now_s


def _pass_over(load: EngineLoad, request_id: str) -> int:
    """Take a prompt, and those granted before it, as read; returns their tokens."""
    tokens = 0
    for read_id in list(load.reading):
        tokens += load.reading.pop(read_id).unread_tokens
        if read_id == request_id:
            break
    return tokens
