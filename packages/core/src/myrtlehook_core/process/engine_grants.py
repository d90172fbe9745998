"""Grants of an engine's owner: when a waiting request may be sent to its engine."""

import math

from myrtlehook_core.process.cold_engines import delay_next_grant, find_paced_grant_s, is_cold
from myrtlehook_core.process.ejections import may_send_request
from myrtlehook_core.process.engine_forecasts import order_waiting
from myrtlehook_core.process.engine_loads import (
    MAX_MEMORY_FRACTION,
    EngineLoad,
    WaitingAdmission,
    compute_window_tokens,
    estimate_backlog_tokens,
    estimate_read_end_s,
    grant_admission,
    sum_held_tokens,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.queue_contexts import (
    EngineQueues,
    QueueContext,
    describe_decision,
    make_grant,
)
from myrtlehook_core.process.reading_plans import find_grant_start_s
from myrtlehook_core.process.stream_paces import may_bound_reading
from myrtlehook_core.version.configurations import BackendServer


def grant_waiting(context: QueueContext, name: str, load: EngineLoad, now_s: float) -> None:
    """Grant waiting requests in order while the engine has capacity for the next one."""
    server = context.configuration.backend_servers.get(name)
    if server is None or not load.waiting or not _may_grant(context, server, load, now_s):
        return
    for waiting in order_waiting(load, now_s):
        if not _has_capacity(context, server, load, waiting, now_s):
            return
        _grant(context, name, load, waiting, now_s)
        if load.health.is_failing or is_cold(load.pace, now_s):
            # A suspect engine is tried with one request at a time; a cold one gets one per
            # grant interval.
            return


def grant_due(queues: EngineQueues, context: QueueContext, now_s: float) -> None:
    """Grant waiting requests at every owned engine that has capacity."""
    for name, load in queues.loads.items():
        grant_waiting(context, name, load, now_s)


def find_next_grant_s(queues: EngineQueues, options: CoreOptions, now_s: float) -> float:
    """Return when the next engine's unread backlog or cold pace allows a grant, or infinity.

    Engines that lack slots or memory instead are granted more when a request there ends.
    """
    next_s = math.inf
    for load in queues.loads.values():
        if not load.waiting:
            continue
        is_bounded = may_bound_reading(load.stream_pace, now_s)
        if load.reading or is_bounded or is_cold(load.pace, now_s):
            ahead_s = compute_window_tokens(load, options) / load.model.rate_tokens_per_s
            read_end_s = estimate_read_end_s(load, now_s)
            due_s = max(read_end_s - ahead_s, find_paced_grant_s(load.pace, now_s))
            if is_bounded:
                first = order_waiting(load, now_s)[0]
                due_s = max(due_s, find_grant_start_s(load, first, now_s))
            if due_s > now_s:
                next_s = min(next_s, due_s)
    return next_s


def _may_grant(
    context: QueueContext, server: BackendServer, load: EngineLoad, now_s: float
) -> bool:
    if not may_send_request(load.health, len(load.granted), now_s):
        return False
    if server.leaving:
        return False
    if now_s < find_paced_grant_s(load.pace, now_s):
        return False
    return now_s >= load.owned_since_s + context.options.adopt_delay_s


def _has_capacity(
    context: QueueContext,
    server: BackendServer,
    load: EngineLoad,
    waiting: WaitingAdmission,
    now_s: float,
) -> bool:
    if len(load.granted) >= server.slots:
        return False
    total = waiting.prompt_tokens + waiting.output_tokens
    if (
        load.granted
        and sum_held_tokens(load) + total > MAX_MEMORY_FRACTION * load.cache.capacity_tokens
    ):
        return False
    if now_s < find_grant_start_s(load, waiting, now_s):
        waiting.held_since_s = min(waiting.held_since_s, now_s)
        return False
    # The request's own prompt is not counted: with it the engine has enough to read.
    return not load.reading or estimate_backlog_tokens(load, now_s) < compute_window_tokens(
        load, context.options
    )


def _grant(
    context: QueueContext, name: str, load: EngineLoad, waiting: WaitingAdmission, now_s: float
) -> None:
    decided = describe_decision(context, name, load, waiting, now_s)
    item = grant_admission(load, waiting, now_s)
    delay_next_grant(load.pace, now_s)
    grant = make_grant(
        context, waiting.request_id, name, item.unread_tokens, decided.estimate, now_s
    )
    context.outbox.add(waiting.router_id, grant)
    context.actions.add(decided)
