"""Refusals of an engine's owner: which requests it cannot serve in time, and when it could."""

import math

from myrtlehook_core.process.admission_messages import AdmissionRefusal
from myrtlehook_core.process.aim_demands import SHORTER_AIM_FRACTION, find_shortest_aim_s
from myrtlehook_core.process.ejections import may_send_request
from myrtlehook_core.process.engine_forecasts import Forecast, forecast_waiting
from myrtlehook_core.process.engine_loads import (
    EngineLoad,
    WaitingAdmission,
    estimate_unread_tokens,
)
from myrtlehook_core.process.prompt_caches import count_cached_tokens
from myrtlehook_core.process.queue_contexts import (
    EngineQueues,
    QueueContext,
    describe_decision,
    find_slots,
    is_grantable,
)

REFUSAL_MEMORY_S = 10.0
"""How long a refused request is recognised when its client sends it again."""

MIN_RETRY_AFTER_MS = 50

MAX_CHEAP_REREAD_TOKENS = 1_000
"""A cached part of up to this length is read again in little time."""

REREAD_COST = 2.0
"""Reading a cached part again elsewhere delays both the request and the next one there."""

WITHIN_SHARE_RANK = (0, False)
"""The rank of requests from workspaces that do not exceed their share."""


def admit_or_refuse(
    queues: EngineQueues,
    context: QueueContext,
    name: str,
    load: EngineLoad,
    waiting: WaitingAdmission,
    now_s: float,
) -> bool:
    """Refuse a new request that cannot be served in time; True when it stays queued.

    It is also refused when it would make a request late that was queued before. Both are
    decided on arrival, since a refusal helps the client only while its request is young.
    """
    if not is_grantable(context, name) or not may_send_request(
        load.health, len(load.granted), now_s
    ):
        usable_s = _find_usable_s(context, waiting, now_s)
        _refuse(queues, context, name, load, waiting, now_s, usable_s)
        return False
    if not context.options.refuses_at_arrival:
        return True
    if (
        (waiting.is_client_retry or waiting.unavoidably_late)
        and waiting.hop == 0
        and waiting.tier == 0
        and not _seeks_early_beginning(context, waiting)
    ):
        return True
    own_read_s = estimate_unread_tokens(load, waiting) / load.model.rate_tokens_per_s
    lateness_s = 0.0
    behind = False
    for forecast in forecast_waiting(load, find_slots(context, name), now_s):
        other = forecast.waiting
        behind = behind or other is waiting
        if not behind:
            continue
        if other is not waiting and (other.is_client_retry or other.unavoidably_late):
            continue
        if other.rank > waiting.rank:
            # Requests of a higher rank, from workspaces above their share, may become late.
            break
        limit_s = _compute_begin_limit_s(context, other)
        if other is waiting and waiting.rank > WITHIN_SHARE_RANK:
            limit_s = min(
                limit_s, _compute_reserve_limit_s(context, load, waiting, own_read_s, now_s)
            )
        if other is waiting and waiting.eager:
            limit_s = min(limit_s, _compute_eager_limit_s(context, load, waiting))
        if other is not waiting and forecast.begin_s - own_read_s > limit_s:
            # The other request would be late without the new one as well.
            continue
        lateness_s = max(lateness_s, forecast.begin_s - limit_s)
    if lateness_s <= 0.0:
        return True
    _refuse(queues, context, name, load, waiting, now_s, now_s + lateness_s)
    return False


def refuse_unservable_admissions(
    queues: EngineQueues, context: QueueContext, name: str, load: EngineLoad, now_s: float
) -> None:
    """Refuse waiting requests that cannot or should not be served at their engine.

    These are all requests of an engine that is unusable or ejected, those past their
    deadline, and those whose answers are forecast to begin too late and that are beyond a share
    or wanted early: later requests of a lower rank go before them, and others may begin them.
    Within shares they leave one at a time, as long as the next is forecast to be late.
    """
    usable = is_grantable(context, name) and now_s >= load.health.ejected_until_s
    for waiting in list(load.waiting.values()):
        if not usable or now_s >= waiting.deadline_s:
            usable_s = _find_usable_s(context, waiting, now_s)
            _refuse(queues, context, name, load, waiting, now_s, usable_s)
    for forecast in forecast_waiting(load, find_slots(context, name), now_s):
        limit_s = _compute_begin_limit_s(context, forecast.waiting)
        beyond_share = forecast.waiting.tier > 0 or (
            forecast.waiting.above_share and _seeks_early_beginning(context, forecast.waiting)
        )
        if beyond_share and forecast.begin_s > limit_s:
            _refuse(queues, context, name, load, forecast.waiting, now_s, forecast.begin_s)
    late = _find_late_early_beginning(context, name, load, now_s)
    while late is not None:
        # Those behind it may be in time without it, so each refusal needs a new forecast.
        _refuse(queues, context, name, load, late.waiting, now_s, late.begin_s)
        late = _find_late_early_beginning(context, name, load, now_s)


def make_client_retry_key(waiting: WaitingAdmission) -> str:
    """Return a key that stays the same when a client resends a request with another id."""
    last = waiting.parts[-1].part_id if waiting.parts else ""
    return f"{waiting.workspace}/{last}/{waiting.prompt_tokens}/{waiting.output_tokens}"


def _seeks_early_beginning(context: QueueContext, waiting: WaitingAdmission) -> bool:
    """Return whether a request is offered to several engines for an early beginning."""
    return waiting.eager and context.options.early_engines_drawn > 0


def _find_usable_s(context: QueueContext, waiting: WaitingAdmission, now_s: float) -> float:
    """Return the time that an unusable engine names in its refusal.

    It must not look like the engine that can begin the answer first.
    """
    seeks_early = _seeks_early_beginning(context, waiting)
    return max(waiting.aim_deadline_s, now_s) if seeks_early else now_s


def _find_late_early_beginning(
    context: QueueContext, name: str, load: EngineLoad, now_s: float
) -> Forecast | None:
    """Return the first request for an early beginning that is forecast to be late."""
    if not any(_seeks_early_beginning(context, item) for item in load.waiting.values()):
        return None
    for forecast in forecast_waiting(load, find_slots(context, name), now_s):
        waiting = forecast.waiting
        is_late = forecast.begin_s > _compute_begin_limit_s(context, waiting)
        if is_late and _seeks_early_beginning(context, waiting):
            return forecast
    return None


def _compute_begin_limit_s(context: QueueContext, waiting: WaitingAdmission) -> float:
    """Return the latest time at which an answer may begin for its request to be admitted.

    This leaves a margin before the first-token target. An oversized prompt uses the margin up
    even on an idle engine, and may use the whole target at its first engine: otherwise every
    engine would refuse it.
    """
    if waiting.oversized and waiting.hop == 0:
        return waiting.aim_deadline_s
    options = context.options
    part = options.aim_slack_part if waiting.hop == 0 else options.stranger_aim_part
    return waiting.asked_at_s + part * (waiting.aim_deadline_s - waiting.asked_at_s)


def _compute_reserve_limit_s(
    context: QueueContext,
    load: EngineLoad,
    waiting: WaitingAdmission,
    own_read_s: float,
    now_s: float,
) -> float:
    """Return the latest begin of an answer that leaves room for shorter first-token targets."""
    options = context.options
    limit_s = math.inf
    shortest_s = find_shortest_aim_s(load.aim_demands, waiting.aim_s, now_s)
    if options.urgent_wait_part > 0.0 and shortest_s < SHORTER_AIM_FRACTION * waiting.aim_s:
        part = 1.0 if waiting.hop == 0 else options.stranger_aim_part / options.aim_slack_part
        limit_s = part * options.urgent_wait_part * shortest_s + own_read_s
    return waiting.asked_at_s + limit_s


def _compute_eager_limit_s(
    context: QueueContext, load: EngineLoad, waiting: WaitingAdmission
) -> float:
    """Return the latest begin of an answer at which an eager request stays at this engine.

    A long part that is cached here would have to be read again at another engine, so this one may
    begin the answer later by what that reading would cost.
    """
    aim_s = waiting.aim_deadline_s - waiting.asked_at_s
    limit_s = waiting.asked_at_s + context.options.eager_aim_part * aim_s
    cached_tokens = count_cached_tokens(load.cache, waiting.parts)
    if cached_tokens > MAX_CHEAP_REREAD_TOKENS and context.options.early_engines_drawn:
        limit_s += REREAD_COST * cached_tokens / load.model.rate_tokens_per_s
    return limit_s


def _refuse(
    queues: EngineQueues,
    context: QueueContext,
    name: str,
    load: EngineLoad,
    waiting: WaitingAdmission,
    now_s: float,
    available_at_s: float,
) -> None:
    """Refuse a request, and report when the engine could have admitted it."""
    wait_ms = max(round((available_at_s - now_s) * 1000.0), MIN_RETRY_AFTER_MS)
    context.actions.add(describe_decision(context, name, load, waiting, now_s, wait_ms))
    del load.waiting[waiting.request_id]
    if not waiting.eager:
        queues.refused_until_s[make_client_retry_key(waiting)] = now_s + REFUSAL_MEMORY_S
    is_healthy = is_grantable(context, name) and not load.health.is_failing
    cached = count_cached_tokens(load.cache, waiting.parts) if is_healthy else 0
    refusal = AdmissionRefusal(waiting.request_id, name, wait_ms, cached, waiting.eager)
    context.outbox.add(waiting.router_id, refusal)
