"""What an engine's owner grants and refuses, and the state that it decides from."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import AdmissionDecided, Outbox
from myrtlehook_core.process.admission_messages import AdmissionGrant, AdmissionRefusal
from myrtlehook_core.process.cold_engines import find_opening, is_cold, note_grant
from myrtlehook_core.process.ejections import may_use
from myrtlehook_core.process.engine_forecasts import forecast_waiting, order_waiting
from myrtlehook_core.process.engine_loads import (
    MEMORY_PART,
    EngineLoad,
    WaitingAdmission,
    estimate_unread,
    find_backlog,
    find_read_end,
    find_window,
    grant_admission,
    held_tokens,
)
from myrtlehook_core.process.engine_models import describe_model
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.process.prompt_caches import count_kept
from myrtlehook_core.process.urgent_demands import SHORTER_PART, find_shortest
from myrtlehook_core.request.requests import count_share_tokens
from myrtlehook_core.version.configurations import BackendServer, Configuration

RETURN_MEMORY_S = 10.0
"""A refused request is known again for this long when its caller comes back."""

SHORTEST_RETRY_MS = 50

WITHIN_SHARE = (0, False)
"""The rank of a request whose workspace asks for no more than its share."""


@dataclass(slots=True)
class EngineQueues:
    """The engines that this router owns."""

    loads: dict[str, EngineLoad] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)
    """Fingerprints of refused requests, and when each is forgotten."""


@dataclass(slots=True)
class QueueContext:
    """What the queues' functions need besides their own state."""

    options: CoreOptions
    configuration: Configuration
    reachable: Callable[[str], bool]
    out: Outbox
    post: MessageOutbox


def grant_waiting(context: QueueContext, name: str, load: EngineLoad, now_s: float) -> None:
    """Grant waiting requests while the engine can take them."""
    server = context.configuration.backend_servers.get(name)
    if server is None or not load.waiting or not _may_grant(context, server, load, now_s):
        return
    for waiting in order_waiting(load, now_s):
        if not _fits(context, server, load, waiting, now_s):
            return
        _grant(context, name, load, waiting, now_s)
        if load.health.suspect or is_cold(load.pace, now_s):
            # One request at a time tries a server that failed, and a cold one gets few.
            return


def grant_due(queues: EngineQueues, context: QueueContext, now_s: float) -> None:
    """Grant at every engine that has read enough of what it was given."""
    for name, load in queues.loads.items():
        grant_waiting(context, name, load, now_s)


def find_next_grant(queues: EngineQueues, options: CoreOptions, now_s: float) -> float:
    """Return when the next engine will have read enough to be given more; infinity if none.

    What is full in another way is given more when a request there ends.
    """
    next_s = math.inf
    for load in queues.loads.values():
        if load.waiting and (load.reading or is_cold(load.pace, now_s)):
            ahead_s = find_window(load, options) / load.model.rate_tokens_per_s
            due_s = max(find_read_end(load, now_s) - ahead_s, find_opening(load.pace, now_s))
            if due_s > now_s:
                next_s = min(next_s, due_s)
    return next_s


def admit_or_refuse(
    queues: EngineQueues,
    context: QueueContext,
    name: str,
    load: EngineLoad,
    waiting: WaitingAdmission,
    now_s: float,
) -> bool:
    """Refuse a new request at once that cannot be served in time; True when it stays.

    A request is also refused when it would make one late that was taken before: a
    refusal helps its caller only while it is young.
    """
    if not _is_usable(context, name) or not may_use(load.health, len(load.granted), now_s):
        _refuse(queues, context, name, load, waiting, now_s, now_s)
        return False
    if not context.options.refuses_at_arrival:
        return True
    if (waiting.returned or waiting.late_anyway) and waiting.hop == 0 and waiting.tier == 0:
        return True
    own_s = estimate_unread(load, waiting) / load.model.rate_tokens_per_s
    late_s = 0.0
    behind = False
    for forecast in forecast_waiting(load, _slots(context, name), now_s):
        other = forecast.waiting
        behind = behind or other is waiting
        if not behind:
            continue
        if other is not waiting and (other.returned or other.late_anyway):
            continue
        if other.rank > waiting.rank:
            # What exceeds a share gives way, and whoever asks for more than theirs.
            break
        limit_s = _limit_s(context, other)
        if other is waiting and waiting.rank > WITHIN_SHARE:
            limit_s = min(limit_s, _room_limit_s(context, load, waiting, own_s, now_s))
        if other is waiting and waiting.eager:
            limit_s = min(limit_s, _soon_s(context, waiting))
        if other is not waiting and forecast.begin_s - own_s > limit_s:
            # It is late without this one as well.
            continue
        late_s = max(late_s, forecast.begin_s - limit_s)
    if late_s <= 0.0:
        return True
    _refuse(queues, context, name, load, waiting, now_s, now_s + late_s)
    return False


def refuse_hopeless_admissions(
    queues: EngineQueues, context: QueueContext, name: str, load: EngineLoad, now_s: float
) -> None:
    """Refuse what waits at an engine that takes nothing, past its deadline, or in excess."""
    usable = _is_usable(context, name) and now_s >= load.health.ejected_until_s
    for waiting in list(load.waiting.values()):
        if not usable or now_s >= waiting.deadline_s:
            _refuse(queues, context, name, load, waiting, now_s, now_s)
    for forecast in forecast_waiting(load, _slots(context, name), now_s):
        limit_s = _limit_s(context, forecast.waiting)
        if forecast.waiting.tier > 0 and forecast.begin_s > limit_s:
            _refuse(queues, context, name, load, forecast.waiting, now_s, forecast.begin_s)


def fingerprint(waiting: WaitingAdmission) -> str:
    """Name a request alike when its caller sends it again under another id."""
    last = waiting.parts[-1].part_id if waiting.parts else ""
    return f"{waiting.workspace}/{last}/{waiting.prompt_tokens}/{waiting.output_tokens}"


def _may_grant(
    context: QueueContext, server: BackendServer, load: EngineLoad, now_s: float
) -> bool:
    if not may_use(load.health, len(load.granted), now_s):
        return False
    if server.leaving:
        return False
    if now_s < find_opening(load.pace, now_s):
        return False
    return now_s >= load.owned_since_s + context.options.adopt_delay_s


def _fits(
    context: QueueContext,
    server: BackendServer,
    load: EngineLoad,
    waiting: WaitingAdmission,
    now_s: float,
) -> bool:
    if len(load.granted) >= server.slots:
        return False
    total = waiting.prompt_tokens + waiting.output_tokens
    if load.granted and held_tokens(load) + total > MEMORY_PART * load.cache.capacity_tokens:
        return False
    # The request's own prompt does not count: behind it the engine has enough to read.
    return not load.reading or find_backlog(load, now_s) < find_window(load, context.options)


def _slots(context: QueueContext, name: str) -> int:
    server = context.configuration.backend_servers.get(name)
    return 0 if server is None else server.slots


def _limit_s(context: QueueContext, waiting: WaitingAdmission) -> float:
    """Return until when an answer should begin for its request to be worth taking.

    A prompt whose reading alone takes up what is kept in hand is tried within its whole
    aim: it would be refused everywhere otherwise, also by idle engines.
    """
    if waiting.oversized and waiting.hop == 0:
        return waiting.aim_deadline_s
    options = context.options
    part = options.aim_slack_part if waiting.hop == 0 else options.stranger_aim_part
    return waiting.asked_at_s + part * (waiting.aim_deadline_s - waiting.asked_at_s)


def _room_limit_s(
    context: QueueContext, load: EngineLoad, waiting: WaitingAdmission, own_s: float, now_s: float
) -> float:
    """Return until when an answer should begin for requests with shorter aims to find room."""
    options = context.options
    limit_s = math.inf
    shortest_s = find_shortest(load.urgent, waiting.aim_s, now_s)
    if options.urgent_wait_part > 0.0 and shortest_s < SHORTER_PART * waiting.aim_s:
        part = 1.0 if waiting.hop == 0 else options.stranger_aim_part / options.aim_slack_part
        limit_s = part * options.urgent_wait_part * shortest_s + own_s
    return waiting.asked_at_s + limit_s


def _soon_s(context: QueueContext, waiting: WaitingAdmission) -> float:
    """Return until when an answer should begin for no other engine to be asked."""
    aim_s = waiting.aim_deadline_s - waiting.asked_at_s
    return waiting.asked_at_s + context.options.eager_aim_part * aim_s


def _is_usable(context: QueueContext, name: str) -> bool:
    server = context.configuration.backend_servers.get(name)
    return server is not None and not server.leaving


def _grant(
    context: QueueContext, name: str, load: EngineLoad, waiting: WaitingAdmission, now_s: float
) -> None:
    decided = _describe_decision(context, name, load, waiting, now_s)
    item = grant_admission(load, waiting, now_s)
    note_grant(load.pace, now_s)
    grant = AdmissionGrant(waiting.request_id, name, item.unread_tokens, decided.estimate)
    context.post.add(waiting.router_id, grant)
    context.out.add(decided)


def _describe_decision(
    context: QueueContext,
    name: str,
    load: EngineLoad,
    waiting: WaitingAdmission,
    now_s: float,
    retry_after_ms: int | None = None,
) -> AdmissionDecided:
    """Return a decision with what it rests on, as it is before it takes effect."""
    return AdmissionDecided(
        request_id=waiting.request_id,
        backend_server=name,
        waited_s=now_s - waiting.asked_at_s,
        unread_tokens=estimate_unread(load, waiting),
        backlog_tokens=find_backlog(load, now_s),
        window_tokens=find_window(load, context.options),
        waiting_requests=len(load.waiting),
        granted_requests=len(load.granted),
        tier=waiting.tier,
        above_share=waiting.above_share,
        asked_tokens=count_share_tokens(waiting.prompt_tokens, waiting.output_tokens),
        estimate=describe_model(load.model, now_s),
        retry_after_ms=retry_after_ms,
    )


def _refuse(
    queues: EngineQueues,
    context: QueueContext,
    name: str,
    load: EngineLoad,
    waiting: WaitingAdmission,
    now_s: float,
    free_s: float,
) -> None:
    """Refuse a request, with the time at which it would fit."""
    wait_ms = max(round((free_s - now_s) * 1000.0), SHORTEST_RETRY_MS)
    context.out.add(_describe_decision(context, name, load, waiting, now_s, wait_ms))
    del load.waiting[waiting.request_id]
    if not waiting.eager:
        queues.refused[fingerprint(waiting)] = now_s + RETURN_MEMORY_S
    sound = _is_usable(context, name) and not load.health.suspect
    kept = count_kept(load.cache, waiting.parts) if sound else 0
    refusal = AdmissionRefusal(waiting.request_id, name, wait_ms, kept, waiting.eager)
    context.post.add(waiting.router_id, refusal)
