"""Admission queues at an engine's owner: handling of messages from ingress routers, and ticks.

Requests wait here and not at the engine, which serves in the order of arrival and does not
know workspaces. Just enough prompt tokens are granted ahead to keep the engine reading.
"""

import math
from collections.abc import Mapping

from myrtlehook_core.process.actions import (
    ColdEngineDetected,
    ReadingBoundChanged,
    ServerEjected,
)
from myrtlehook_core.process.admission_messages import (
    AdmissionProgress,
    AdmissionRelease,
    AdmissionRequest,
    EngineEstimate,
    HeldAdmissionRow,
    HeldAdmissions,
    StreamPauseReport,
)
from myrtlehook_core.process.aim_demands import record_aim_demand
from myrtlehook_core.process.cold_engines import make_pace, mark_cold
from myrtlehook_core.process.ejections import record_outcome
from myrtlehook_core.process.engine_forecasts import set_start_limit
from myrtlehook_core.process.engine_grants import grant_waiting
from myrtlehook_core.process.engine_loads import (
    EngineLoad,
    GrantedAdmission,
    WaitingAdmission,
    drop_granted,
    end_granted,
    estimate_unread_tokens,
    expire_granted,
    is_answer_overdue,
    make_load_estimate,
    record_answer_begun,
    record_longest_pause,
    record_stream_pause,
)
from myrtlehook_core.process.engine_models import adopt_estimate, make_estimate, make_model
from myrtlehook_core.process.engine_refusals import (
    admit_or_refuse,
    make_client_retry_key,
    refuse_unservable_admissions,
)
from myrtlehook_core.process.engine_speeds import (
    adopt_steady_rate,
    update_steady_rate,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.prompt_caches import PromptCache, record_parts_use
from myrtlehook_core.process.queue_contexts import EngineQueues, QueueContext, make_grant
from myrtlehook_core.process.stream_paces import (
    StreamPace,
    adopt_stream_pace,
    get_idle_event_s,
    is_reading_bounded,
)
from myrtlehook_core.version.configurations import Configuration

RELEASE_MEMORY_S = 1.0
"""How long an owner remembers that a request was released: a message from before is not under way
between routers for longer."""


def set_owned_engines(
    queues: EngineQueues,
    names: set[str],
    configuration: Configuration,
    now_s: float,
    options: CoreOptions | None = None,
    cold_deadlines_s: Mapping[str, float] | None = None,
) -> None:
    """Create queues for newly owned engines, and drop those of engines no longer owned.

    :param cold_deadlines_s: until when each engine is considered cold.
    """
    options = options or CoreOptions()
    for name in list(queues.loads):
        if name not in names:
            del queues.loads[name]
    for name in sorted(names - queues.loads.keys()):
        pool = configuration.pools.get(configuration.backend_servers[name].pool)
        if pool is not None and pool.engine_capacity is not None:
            similar = _find_similar_estimate(queues, configuration, pool.name, now_s)
            queues.loads[name] = EngineLoad(
                owned_since_s=now_s,
                cache=PromptCache(pool.engine_capacity.memory_tokens),
                model=make_model(similar),
                pace=make_pace(options, pool.cold_start),
                stream_pace=StreamPace(options.paces_streams),
            )
            cold_until_s = (cold_deadlines_s or {}).get(name, -math.inf)
            mark_cold(queues.loads[name].pace, cold_until_s, now_s)


def handle_admission_request(
    queues: EngineQueues,
    context: QueueContext,
    sender: str,
    message: AdmissionRequest,
    now_s: float,
) -> None:
    """Queue a request and decide on it, or answer one that was sent again."""
    load = queues.loads.get(message.backend_server)
    if load is None:
        # Another router owns the engine by now. The sender learns of the new owner and sends
        # the request there.
        return
    held = load.granted.get(message.request_id)
    if held is not None:
        estimate = make_load_estimate(load, now_s)
        grant = make_grant(
            context, message.request_id, message.backend_server, held.unread_tokens, estimate, now_s
        )
        context.outbox.add(sender, grant)
        return
    earlier = load.waiting.get(message.request_id)
    if earlier is not None and (message.eager or not earlier.eager):
        return
    # A request for any beginning replaces one for an early beginning: the latter's refusal would
    # not count any more. Never the reverse, since messages may be late.
    load.waiting.pop(message.request_id, None)
    waiting = _make_waiting(sender, message, now_s)
    known = make_client_retry_key(waiting) in queues.refused_until_s
    waiting.is_client_retry = known and context.options.favours_returned
    set_start_limit(load, waiting, context.options.aim_slack_part, now_s)
    if message.hop == 0 and not _was_asked_early(context, message):
        record_aim_demand(
            load.aim_demands, waiting.aim_s, estimate_unread_tokens(load, waiting), now_s
        )
    load.waiting[message.request_id] = waiting
    if admit_or_refuse(queues, context, message.backend_server, load, waiting, now_s):
        grant_waiting(context, message.backend_server, load, now_s)


def handle_admission_progress(
    queues: EngineQueues, context: QueueContext, message: AdmissionProgress, now_s: float
) -> None:
    """Record that an answer has begun, and grant what the engine can read next."""
    load = queues.loads.get(message.backend_server)
    if load is not None:
        _record_engine_alive(context, message.backend_server, load, now_s)
        record_answer_begun(load, message.request_id, context.options.learns_engines, now_s)
        # A suspect engine that begins an answer is healthy again.
        record_outcome(load.health, False, now_s)
        grant_waiting(context, message.backend_server, load, now_s)


def handle_admission_release(
    queues: EngineQueues, context: QueueContext, message: AdmissionRelease, now_s: float
) -> None:
    """Remove a request that has ended or was withdrawn, and eject an engine that keeps failing."""
    load = queues.loads.get(message.backend_server)
    if load is None:
        return
    load.waiting.pop(message.request_id, None)
    # It may have overtaken a message that tells this owner of the request.
    load.released[message.request_id] = now_s + RELEASE_MEMORY_S
    ran = message.ran and not message.failed
    load.suspected_down = load.suspected_down or is_answer_overdue(load, message.request_id, now_s)
    if ran:
        record_longest_pause(load, message.request_id, message.longest_pause_ms / 1000.0, now_s)
    known = end_granted(load, message.request_id, ran and context.options.learns_engines, now_s)
    ended = known and (message.ran or message.failed)
    failed = message.failed and context.options.ejects_servers
    if ended and record_outcome(load.health, failed, now_s):
        context.actions.add(ServerEjected(message.backend_server, load.health.ejected_until_s))
    grant_waiting(context, message.backend_server, load, now_s)


def handle_pause_report(queues: EngineQueues, message: StreamPauseReport, now_s: float) -> None:
    """Record a pause of a stream at an owned engine."""
    load = queues.loads.get(message.backend_server)
    if load is not None:
        record_stream_pause(load, message, now_s)


def handle_held_admissions(
    queues: EngineQueues, context: QueueContext, sender: str, message: HeldAdmissions, now_s: float
) -> None:
    """Update what is recorded of a router's running requests from the list it reports.

    Requests that are missing from the list are dropped unless they were granted recently.
    """
    load = queues.loads.get(message.backend_server)
    if load is None:
        return
    listed = {row.request_id for row in message.rows}
    settled_before_s = now_s - context.options.grant_lease_s
    for request_id, item in list(load.granted.items()):
        if item.router_id != sender or request_id in listed:
            continue
        if item.granted_at_s <= settled_before_s:
            drop_granted(load, request_id)
    if message.estimate is not None and context.options.learns_engines:
        load.model = adopt_estimate(load.model, message.estimate, now_s)
        longest_target_s = max((row.pause_target_ms for row in message.rows), default=0) / 1000.0
        adopt_stream_pace(load.stream_pace, message.estimate, longest_target_s, now_s)
        adopt_steady_rate(load.steady_rate, message.estimate, now_s)
    record_parts_use(load.cache, message.recent_parts)
    for row in message.rows:
        record_parts_use(load.cache, row.parts)
        _apply_held_row(load, sender, row, now_s + context.options.hold_lease_s, now_s)


def tick_queues(queues: EngineQueues, context: QueueContext, now_s: float) -> int:
    """Expire leases, refuse unservable requests, and grant; returns the number of expired."""
    expired = 0
    for name, load in queues.loads.items():
        expired += expire_granted(load, now_s)
        _forget_released(load, now_s)
        update_steady_rate(load.steady_rate, load.model, now_s)
        _drop_unreachable(load, context)
        _tell_reading_bound(context, name, load, now_s)
        refuse_unservable_admissions(queues, context, name, load, now_s)
        grant_waiting(context, name, load, now_s)
    expired_keys = [key for key, end_s in queues.refused_until_s.items() if now_s >= end_s]
    for key in expired_keys:
        del queues.refused_until_s[key]
    return expired


def clear_queues(queues: EngineQueues, now_s: float) -> None:
    """Drop all waiting and granted requests after a pause; ingress routers report them again."""
    for load in queues.loads.values():
        load.waiting.clear()
        load.granted.clear()
        load.reading.clear()
        load.owned_since_s = now_s


def _record_engine_alive(context: QueueContext, name: str, load: EngineLoad, now_s: float) -> None:
    """Record that an engine begins an answer, and mark it cold if it may have been down."""
    oldest = next(iter(load.reading), "")
    silent = load.suspected_down or is_answer_overdue(load, oldest, now_s)
    reason = "failed before" if load.health.is_failing else "was silent" if silent else ""
    load.suspected_down = False
    load.last_answer_at_s = now_s
    until_s = now_s + load.pace.default_cold_s
    if reason and mark_cold(load.pace, until_s, now_s):
        context.actions.add(ColdEngineDetected(name, until_s, reason))


def _tell_reading_bound(context: QueueContext, name: str, load: EngineLoad, now_s: float) -> None:
    """Tell the operator when an engine's reading becomes bounded or unbounded."""
    pace = load.stream_pace
    is_bounded = is_reading_bounded(pace, now_s)
    if is_bounded == pace.was_bounded:
        return
    pace.was_bounded = is_bounded
    context.actions.add(
        ReadingBoundChanged(
            name, is_bounded, pace.reading_event_s, get_idle_event_s(pace), pace.reports
        )
    )


def _find_similar_estimate(
    queues: EngineQueues, configuration: Configuration, pool: str, now_s: float
) -> EngineEstimate | None:
    """Return the estimate with most samples in the pool, whose engines are mostly alike."""
    known = [
        load.model
        for name, load in queues.loads.items()
        if name in configuration.backend_servers
        and configuration.backend_servers[name].pool == pool
    ]
    best = max(known, key=lambda model: model.samples, default=None)
    return None if best is None or not best.samples else make_estimate(best, now_s)


def _apply_held_row(
    load: EngineLoad, sender: str, row: HeldAdmissionRow, lease_deadline_s: float, now_s: float
) -> None:
    """Record one request that a router reports to run at the engine."""
    item = load.granted.get(row.request_id)
    if item is None and now_s < load.released.get(row.request_id, -math.inf):
        return
    if item is None:
        item = GrantedAdmission(
            router_id=sender,
            workspace=row.workspace,
            total_tokens=row.total_tokens,
            unread_tokens=row.unread_tokens,
            output_tokens=row.output_tokens,
            granted_at_s=now_s,
            deadline_s=lease_deadline_s,
            pause_target_s=row.pause_target_ms / 1000.0,
        )
        load.granted[row.request_id] = item
        load.reading[row.request_id] = item
    if row.begun and not item.begun:
        # The message does not say when the answer began, so no reading time is learned from it.
        item.begun = True
        item.begun_at_s = now_s
        load.reading.pop(row.request_id, None)


def _forget_released(load: EngineLoad, now_s: float) -> None:
    while load.released:
        request_id, forgotten_at_s = next(iter(load.released.items()))
        if now_s < forgotten_at_s:
            return
        del load.released[request_id]


def _drop_unreachable(load: EngineLoad, context: QueueContext) -> None:
    """Drop the requests of unreachable routers, whose connections to engines have ended too."""
    for request_id, item in list(load.granted.items()):
        if not context.is_reachable(item.router_id):
            drop_granted(load, request_id)
    for request_id, waiting in list(load.waiting.items()):
        if not context.is_reachable(waiting.router_id):
            del load.waiting[request_id]


def _was_asked_early(context: QueueContext, message: AdmissionRequest) -> bool:
    """Return whether the request was offered for an early beginning before, and counted then."""
    asks_early = context.options.early_engines_drawn > 0 and message.tier == 0
    return asks_early and not message.eager


def _make_waiting(sender: str, message: AdmissionRequest, now_s: float) -> WaitingAdmission:
    return WaitingAdmission(
        request_id=message.request_id,
        router_id=sender,
        workspace=message.workspace,
        parts=message.parts,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        asked_at_s=now_s,
        aim_deadline_s=now_s + message.aim_left_ms / 1000.0,
        deadline_s=now_s + message.deadline_left_ms / 1000.0,
        priority=message.priority,
        tier=message.tier,
        hop=message.hop,
        fetch_tokens=message.fetch_tokens,
        above_share=message.above_share,
        eager=message.eager,
        aim_s=message.aim_ms / 1000.0,
        route=message.route,
        pause_target_s=message.pause_target_ms / 1000.0,
    )
