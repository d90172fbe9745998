"""The load of one model engine, in tokens, as its owner tracks it."""

import math
from dataclasses import dataclass, field, replace

from myrtlehook_core.process.admission_messages import (
    EngineEstimate,
    PartRow,
    StreamPauseReport,
)
from myrtlehook_core.process.aim_demands import AimDemands
from myrtlehook_core.process.cold_engines import OVERDUE_ANSWER_S, ColdPace
from myrtlehook_core.process.ejections import ServerHealth
from myrtlehook_core.process.engine_models import (
    EngineModel,
    ReadSample,
    learn_forecast_error,
    learn_reading_rate,
    learn_token_time,
)
from myrtlehook_core.process.engine_speeds import SteadyRate, make_steady_estimate
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.prompt_caches import PromptCache, count_unread_tokens, record_parts_use
from myrtlehook_core.process.stream_paces import (
    StreamPace,
    describe_stream_pace,
    learn_longest_pause,
    learn_reported_pause,
    record_reading,
)
from myrtlehook_core.process.stream_pauses import EnginePauses, record_pause_report

MAX_MEMORY_FRACTION = 0.9
"""Requests are granted up to this fraction of an engine's memory, since outputs grow."""

BATCH_GAP_S = 0.004
"""Answers that begin in one step of an engine are reported to its owner, by their routers, within
this of one another."""

MAX_BATCH_S = 0.02
"""A batch is closed after this long, however closely answers follow one another."""

MIN_RUN_PAUSES = 3.0
"""A run's longest pause shows the time between events if the run lasted this many times as long:
the last event of a run may hold fewer tokens than the others."""

GRANT_DEADLINE_MARGIN_S = 1.0
"""A granted request whose end is never reported is dropped this long after its deadline."""


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
    route: str = ""
    """Name of its route, which stands for its kind of work."""
    pause_target_s: float = 0.0
    """The longest pause between events with which its answer is still in time; 0 for none."""
    aim_s: float = 0.0
    """The whole first-token target, from the request's arrival at its ingress router."""
    fetch_tokens: int = 0
    """Tokens of its prompt that the engine can fetch from another engine."""
    eager: bool = False
    """Whether another engine is asked if this one cannot begin the answer soon."""
    above_share: bool = False
    """Whether its workspace requests more than its share."""
    is_client_retry: bool = False
    """Whether an owner refused it before and its client has now sent it again."""
    oversized: bool = False
    """Whether its answer would use up the margin before its first-token target even if the engine
    were idle."""
    unavoidably_late: bool = False
    """Whether its answer would miss its first-token target even if the engine were idle."""
    held_since_s: float = math.inf
    """Since when its prompt is held back so that running streams keep their pace."""
    latest_start_s: float = 0.0
    """When the engine must begin to read it for its answer to begin in time."""

    @property
    def rank(self) -> tuple[int, bool]:
        """Place in the service order by share, before any deadline; the lowest comes first."""
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
    pause_target_s: float = 0.0
    """The longest pause between events with which its answer is still in time; 0 for none."""
    forecast_begin_s: float | None = None
    """When its answer was expected to begin, at its grant; None if another owner granted it."""
    aim_deadline_s: float = math.inf
    """Until when its answer has to begin to be in time."""
    is_late: bool = False
    """Whether its first event or a pause missed its target, so that more pauses cost nothing."""


@dataclass(slots=True)
class EngineLoad:
    """The state that an owner keeps of one engine."""

    owned_since_s: float
    cache: PromptCache
    model: EngineModel
    waiting: dict[str, WaitingAdmission] = field(default_factory=dict)
    granted: dict[str, GrantedAdmission] = field(default_factory=dict)
    """In the order of granting, which is the order in which the engine reads."""
    reading: dict[str, GrantedAdmission] = field(default_factory=dict)
    """Those of them whose prompts the engine has not been seen to finish reading, in the same
    order."""
    health: ServerHealth = field(default_factory=ServerHealth)
    pace: ColdPace = field(default_factory=ColdPace)
    aim_demands: AimDemands = field(default_factory=AimDemands)
    pauses: EnginePauses = field(default_factory=EnginePauses)
    stream_pace: StreamPace = field(default_factory=StreamPace)
    steady_rate: SteadyRate = field(default_factory=SteadyRate)
    last_answer_at_s: float = -math.inf
    """When an answer last began."""
    suspected_down: bool = False
    """Whether a request has ended here whose answer was long overdue, and no answer has begun
    since: the engine may have been down."""
    read_until_s: float = -math.inf
    """When the last answer began, less the model's delay: the end of its prompt's reading on the
    time scale of ``estimate_read_end_s``."""
    batch: ReadSample | None = None
    """The last answers that began so close together that one step of the engine finished reading
    their prompts."""
    batch_opened_s: float = -math.inf
    released: dict[str, float] = field(default_factory=dict)
    """By request that was released here, when that is forgotten."""


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """An owner's estimates of one engine at one moment."""

    backend_server: str
    estimate: EngineEstimate
    window_tokens: float
    backlog_tokens: float
    waiting_requests: int
    granted_requests: int
    cold_until_s: float = -math.inf
    """Until when it is considered cold."""
    forecast_error_s: float = 0.0
    """How far answers begin from when they were forecast, on average."""
    recent_pauses: int = 0
    """Pauses of streams there that were reported lately; see ``stream_pauses``."""
    reading_fraction: float = 0.0
    """The fraction of the last second in which it read prompts, according to its model."""
    late_streams: int = 0
    """Running requests that have missed a target already."""


def estimate_read_end_s(load: EngineLoad, now_s: float) -> float:
    """Return when the engine will have read all granted prompts, according to its model.

    Times are on the owner's side, without the model's delay: the reading of a prompt granted to
    an idle engine starts with the grant, and its answer begins ``delay_s`` after the returned
    time.
    """
    model = load.model
    end_s = load.read_until_s
    for item in load.reading.values():
        end_s = max(end_s, item.granted_at_s) + item.unread_tokens / model.rate_tokens_per_s
        # If it had been read before this time, its answer would have begun by now.
        end_s = max(end_s, now_s - model.delay_s)
    return max(end_s, now_s)


def estimate_backlog_tokens(load: EngineLoad, now_s: float) -> float:
    """Return the granted tokens that the engine has not read yet, according to its model."""
    return (estimate_read_end_s(load, now_s) - now_s) * load.model.rate_tokens_per_s


def compute_window_tokens(load: EngineLoad, options: CoreOptions) -> float:
    """Return how many unread tokens keep the engine reading until a next grant arrives.

    The owner learns of events at the engine with the model's delay, and then needs up to one turn
    of this process's event loop to decide on a grant.
    """
    model = load.model
    window_s = options.window_gain * model.delay_s + options.window_margin_s
    return window_s * model.rate_tokens_per_s


def sum_held_tokens(load: EngineLoad) -> int:
    """Return the tokens of engine memory that granted requests hold, which cannot be evicted."""
    return sum(item.total_tokens for item in load.granted.values())


def estimate_unread_tokens(load: EngineLoad, waiting: WaitingAdmission) -> int:
    """Return how many prompt tokens the engine would have to read for a waiting request."""
    unread = count_unread_tokens(load.cache, waiting.parts, waiting.prompt_tokens)
    return max(min(unread, waiting.prompt_tokens - waiting.fetch_tokens), 1)


def grant_admission(load: EngineLoad, waiting: WaitingAdmission, now_s: float) -> GrantedAdmission:
    """Move a request from waiting to granted."""
    del load.waiting[waiting.request_id]
    item = GrantedAdmission(
        router_id=waiting.router_id,
        workspace=waiting.workspace,
        total_tokens=waiting.prompt_tokens + waiting.output_tokens,
        unread_tokens=estimate_unread_tokens(load, waiting),
        output_tokens=waiting.output_tokens,
        granted_at_s=now_s,
        deadline_s=waiting.deadline_s + GRANT_DEADLINE_MARGIN_S,
        pause_target_s=waiting.pause_target_s,
        aim_deadline_s=waiting.aim_deadline_s,
    )
    load.granted[waiting.request_id] = item
    load.released.pop(waiting.request_id, None)
    load.reading[waiting.request_id] = item
    item.forecast_begin_s = estimate_read_end_s(load, now_s) + load.model.delay_s
    record_parts_use(load.cache, waiting.parts)
    return item


def record_answer_begun(load: EngineLoad, request_id: str, learns: bool, now_s: float) -> None:
    """Record that an answer has begun, and update the engine's reading rate from it.

    :param learns: whether the engine's model is updated.
    """
    item = load.granted.get(request_id)
    if item is None or item.begun:
        return
    item.begun = True
    item.begun_at_s = now_s
    if item.forecast_begin_s is not None:
        learn_forecast_error(load.model, now_s - item.forecast_begin_s)
    item.is_late = item.is_late or now_s > item.aim_deadline_s
    if request_id not in load.reading:
        # The answer to a request granted later began first, so both prompts were read by then.
        return
    granted_at_s = next(iter(load.reading.values())).granted_at_s
    tokens = _remove_read_prompts(load, request_id)
    _add_to_batch(load, granted_at_s, tokens, learns, now_s)
    previous_s = load.read_until_s
    load.read_until_s = now_s - load.model.delay_s
    record_reading(load.stream_pace, max(previous_s, granted_at_s), load.read_until_s)


def end_granted(load: EngineLoad, request_id: str, ran: bool, now_s: float) -> bool:
    """Remove a granted request that has ended; False when it was not known.

    :param ran: whether it ran to its end, so that its duration updates the model.
    """
    item = load.granted.pop(request_id, None)
    load.reading.pop(request_id, None)
    if item is None:
        return False
    if ran and item.begun:
        learn_token_time(load.model, item.output_tokens, now_s - item.begun_at_s)
    return True


def record_longest_pause(load: EngineLoad, request_id: str, pause_s: float, now_s: float) -> None:
    """Learn the time between events from a request that has just run to its end.

    Requests that are not known any more, and those with too few events, show nothing.
    """
    item = load.granted.get(request_id)
    if item is None or not item.begun:
        return
    if now_s - item.begun_at_s >= MIN_RUN_PAUSES * pause_s:
        learn_longest_pause(load.stream_pace, pause_s)


def record_stream_pause(load: EngineLoad, report: StreamPauseReport, now_s: float) -> None:
    """Record a reported pause, and learn from it how reading delays the engine's streams."""
    pause = record_pause_report(load.pauses, report, now_s)
    if pause is None:
        return
    item = load.granted.get(report.request_id)
    if item is None or item.pause_target_s <= 0.0:
        # Reports of requests that are not known here, or that state no target, show nothing.
        return
    pause = replace(pause, target_s=item.pause_target_s)
    learn_reported_pause(load.stream_pace, pause, now_s - load.model.delay_s)
    if pause.pause_s > item.pause_target_s:
        item.is_late = True


def count_late_streams(load: EngineLoad) -> int:
    """Return how many granted requests have missed a target already."""
    return sum(item.is_late for item in load.granted.values())


def make_load_estimate(load: EngineLoad, now_s: float) -> EngineEstimate:
    """Return what this owner believes of an engine, as other routers receive it."""
    estimate = make_steady_estimate(load.model, load.steady_rate, now_s)
    return describe_stream_pace(load.stream_pace, estimate, now_s)


def is_answer_overdue(load: EngineLoad, request_id: str, now_s: float) -> bool:
    """Return whether a request's answer is long overdue and no other one has begun meanwhile."""
    item = load.granted.get(request_id)
    if item is None or item.begun:
        return False
    due_since_s = max(item.granted_at_s, load.last_answer_at_s)
    reading_s = item.unread_tokens / load.model.rate_tokens_per_s
    return now_s > due_since_s + load.model.delay_s + reading_s + OVERDUE_ANSWER_S


def drop_granted(load: EngineLoad, request_id: str) -> None:
    """Remove a granted request whose end was not reported."""
    load.granted.pop(request_id, None)
    load.reading.pop(request_id, None)


def expire_granted(load: EngineLoad, now_s: float) -> int:
    """Remove granted requests whose leases have expired; returns their number."""
    expired = [key for key, item in load.granted.items() if now_s >= item.deadline_s]
    for request_id in expired:
        drop_granted(load, request_id)
    return len(expired)


def _add_to_batch(
    load: EngineLoad, granted_at_s: float, tokens: int, learns: bool, now_s: float
) -> None:
    """Add an answer to the open batch, or update the model from that and open another.

    :param granted_at_s: when the first prompt read since the previous answer was granted.
    """
    batch = load.batch
    if batch is None:
        load.batch = ReadSample(granted_at_s, -math.inf, now_s, tokens)
        return
    gap_s = now_s - batch.begun_s
    if gap_s <= BATCH_GAP_S and now_s - load.batch_opened_s <= MAX_BATCH_S:
        load.batch = replace(batch, begun_s=now_s, tokens=batch.tokens + tokens)
        return
    if learns:
        learn_reading_rate(load.model, batch, now_s)
    load.batch = ReadSample(granted_at_s, batch.begun_s, now_s, tokens)
    load.batch_opened_s = now_s


def _remove_read_prompts(load: EngineLoad, request_id: str) -> int:
    """Mark a prompt and those granted before it as read; returns their tokens."""
    tokens = 0
    for read_id in list(load.reading):
        tokens += load.reading.pop(read_id).unread_tokens
        if read_id == request_id:
            break
    return tokens
