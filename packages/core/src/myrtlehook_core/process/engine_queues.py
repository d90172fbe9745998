"""The owner's side of admission: which waiting request an engine takes next, and who is refused.

Requests wait here and not at the engine, which admits in the order of arrival and knows
no workspaces. Just enough prompt tokens are granted ahead to keep the engine reading.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import Outbox, ServerEjected
from myrtlehook_core.process.ejections import may_use, note_end
from myrtlehook_core.process.engine_loads import (
    MEMORY_PART,
    EngineLoad,
    GrantedAdmission,
    WaitingAdmission,
    estimate_unread,
    expire_granted,
    grant_admission,
    held_tokens,
    note_begun,
    unread_tokens,
)
from myrtlehook_core.process.messages import (
    AdmissionGrant,
    AdmissionProgress,
    AdmissionRefusal,
    AdmissionRelease,
    AdmissionRequest,
    HeldAdmissions,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.posts import Post
from myrtlehook_core.process.prompt_caches import PromptCache, use_parts
from myrtlehook_core.version.configurations import BackendServer, Configuration

RETURN_MEMORY_S = 10.0
"""A refused request is known again for this long when its caller comes back."""

SHORTEST_RETRY_MS = 50

PATIENT_PART = 0.25
"""Requests that can only be late give way to others for this part of their time."""


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
    leaving: frozenset[str]
    reachable: Callable[[str], bool]
    out: Outbox
    post: Post


def set_owned_engines(
    queues: EngineQueues, names: set[str], configuration: Configuration, now_s: float
) -> None:
    """Take over the engines that are newly owned, and drop what is owned no longer."""
    for name in list(queues.loads):
        if name not in names:
            del queues.loads[name]
    for name in sorted(names - queues.loads.keys()):
        pool = configuration.pools.get(configuration.backend_servers[name].pool)
        if pool is not None and pool.engine is not None:
            cache = PromptCache(pool.engine.memory_tokens)
            queues.loads[name] = EngineLoad(owned_since_s=now_s, cache=cache)


def receive_request(
    queues: EngineQueues,
    context: QueueContext,
    sender: str,
    message: AdmissionRequest,
    now_s: float,
) -> None:
    """Queue a request, or answer one that was asked again."""
    load = queues.loads.get(message.backend_server)
    if load is None:
        # Another router owns it by now; the asker learns who and asks there.
        return
    held = load.granted.get(message.request_id)
    if held is not None:
        grant = AdmissionGrant(message.request_id, message.backend_server, held.unread_tokens)
        context.post.add(sender, grant)
        return
    if message.request_id in load.waiting:
        return
    waiting = _make_waiting(sender, message, now_s)
    waiting.returned = _fingerprint(waiting) in queues.refused
    _plan_start(load, waiting, now_s)
    load.waiting[message.request_id] = waiting
    if _admit_or_refuse(queues, context, message.backend_server, load, waiting, now_s):
        grant_waiting(context, message.backend_server, load, now_s)


def receive_progress(
    queues: EngineQueues, context: QueueContext, message: AdmissionProgress, now_s: float
) -> None:
    """Note that an answer has begun, and grant what the engine can read next."""
    load = queues.loads.get(message.backend_server)
    if load is not None:
        note_begun(load, message.request_id, now_s)
        # A suspect engine has proved itself by beginning an answer.
        note_end(load.health, False, now_s)
        grant_waiting(context, message.backend_server, load, now_s)


def receive_admission_release(
    queues: EngineQueues, context: QueueContext, message: AdmissionRelease, now_s: float
) -> None:
    """Forget a request that has ended or was withdrawn."""
    load = queues.loads.get(message.backend_server)
    if load is None:
        return
    load.waiting.pop(message.request_id, None)
    held = load.granted.pop(message.request_id, None)
    ended = held is not None and (message.ran or message.failed)
    if ended and note_end(load.health, message.failed, now_s):
        context.out.add(ServerEjected(message.backend_server, load.health.ejected_until_s))
    grant_waiting(context, message.backend_server, load, now_s)


def receive_held(
    queues: EngineQueues, context: QueueContext, sender: str, message: HeldAdmissions, now_s: float
) -> None:
    """Take a router's own list of what it runs at an engine in place of what was believed."""
    load = queues.loads.get(message.backend_server)
    if load is None:
        return
    listed = {row.request_id for row in message.rows}
    settled_s = now_s - context.options.grant_lease_s
    for request_id, item in list(load.granted.items()):
        if item.router_id != sender or request_id in listed:
            continue
        if item.granted_at_s <= settled_s:
            del load.granted[request_id]
    use_parts(load.cache, message.recent_parts)
    for row in message.rows:
        use_parts(load.cache, row.parts)
        if row.request_id not in load.granted:
            load.granted[row.request_id] = GrantedAdmission(
                router_id=sender,
                workspace=row.workspace,
                total_tokens=row.total_tokens,
                unread_tokens=row.unread_tokens,
                granted_at_s=now_s,
                deadline_s=now_s + context.options.hold_lease_s,
                begun=row.begun,
            )
        else:
            item = load.granted[row.request_id]
            item.begun = item.begun or row.begun


def tick_queues(queues: EngineQueues, context: QueueContext, now_s: float) -> int:
    """Expire leases, refuse what cannot be served in time, grant; returns the expired."""
    expired = 0
    for name, load in queues.loads.items():
        expired += expire_granted(load, now_s)
        _drop_unreachable(load, context)
        _refuse_hopeless(queues, context, name, load, now_s)
        grant_waiting(context, name, load, now_s)
    for fingerprint in [key for key, end_s in queues.refused.items() if now_s >= end_s]:
        del queues.refused[fingerprint]
    return expired


def grant_waiting(context: QueueContext, name: str, load: EngineLoad, now_s: float) -> None:
    """Grant waiting requests while the engine can take them."""
    server = context.configuration.backend_servers.get(name)
    if server is None or not load.waiting or not _may_grant(context, server, load, now_s):
        return
    for waiting in _in_order(load, now_s):
        if not _fits(context, server, load, waiting):
            return
        unread = grant_admission(load, waiting, now_s)
        grant = AdmissionGrant(waiting.request_id, name, unread)
        context.post.add(waiting.router_id, grant)
        if load.health.suspect:
            # One request at a time tries a server that failed.
            return


@dataclass(frozen=True, slots=True)
class Forecast:
    """When the answer to a waiting request is expected to begin."""

    waiting: WaitingAdmission
    begin_s: float


def forecast_waiting(load: EngineLoad, now_s: float) -> list[Forecast]:
    """Estimate when the answers to all waiting requests begin, in their order."""
    found = []
    ahead = unread_tokens(load)
    for waiting in _in_order(load, now_s):
        ahead += estimate_unread(load, waiting)
        begin_s = now_s + load.answer_delay_s + ahead / load.rate_tokens_per_s
        found.append(Forecast(waiting, begin_s))
    return found


def _in_order(load: EngineLoad, now_s: float) -> list[WaitingAdmission]:
    """Return the waiting requests, the next one first.

    What exceeds its workspace's share comes later, the more the later; requests that can
    only be late come after those that can be in time, until a part of their time is over.
    """

    def rank(item: WaitingAdmission) -> tuple[int, int, bool, bool, float]:
        patient_s = PATIENT_PART * (item.deadline_s - item.asked_at_s)
        patient = item.oversized and now_s < item.asked_at_s + patient_s
        return (item.tier, item.priority, patient, not item.returned, item.latest_start_s)

    return sorted(load.waiting.values(), key=rank)


def _plan_start(load: EngineLoad, waiting: WaitingAdmission, now_s: float) -> None:
    """Work out when a new request's prompt must be read for its answer to be in time."""
    read_s = estimate_unread(load, waiting) / load.rate_tokens_per_s
    waiting.latest_start_s = waiting.aim_deadline_s - read_s - load.answer_delay_s
    waiting.oversized = waiting.latest_start_s < now_s


def drop_queue_beliefs(queues: EngineQueues, now_s: float) -> None:
    """Forget what waits and runs, as after a pause; entries ask and tell again."""
    for load in queues.loads.values():
        load.waiting.clear()
        load.granted.clear()
        load.owned_since_s = now_s


def _may_grant(
    context: QueueContext, server: BackendServer, load: EngineLoad, now_s: float
) -> bool:
    if not may_use(load.health, len(load.granted), now_s):
        return False
    if server.leaving or server.name in context.leaving:
        return False
    return now_s >= load.owned_since_s + context.options.adopt_delay_s


def _fits(
    context: QueueContext, server: BackendServer, load: EngineLoad, waiting: WaitingAdmission
) -> bool:
    if len(load.granted) >= server.slots:
        return False
    total = waiting.prompt_tokens + waiting.output_tokens
    if load.granted and held_tokens(load) + total > MEMORY_PART * load.cache.capacity_tokens:
        return False
    ahead = unread_tokens(load)
    if ahead == 0:
        return True
    return ahead + estimate_unread(load, waiting) <= context.options.read_ahead_tokens


def _admit_or_refuse(
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
    if (waiting.returned or waiting.oversized) and waiting.hop == 0 and waiting.tier == 0:
        return True
    own_s = estimate_unread(load, waiting) / load.rate_tokens_per_s
    late_s = 0.0
    behind = False
    for forecast in forecast_waiting(load, now_s):
        other = forecast.waiting
        behind = behind or other is waiting
        if not behind:
            continue
        if other is not waiting and (other.returned or other.oversized):
            continue
        if other.tier > waiting.tier:
            # What exceeds a share gives way.
            break
        limit_s = _limit_s(context, other)
        if other is not waiting and forecast.begin_s - own_s > limit_s:
            # It is late without this one as well.
            continue
        late_s = max(late_s, forecast.begin_s - limit_s)
    if late_s <= 0.0:
        return True
    _refuse(queues, context, name, load, waiting, now_s, now_s + late_s)
    return False


def _limit_s(context: QueueContext, waiting: WaitingAdmission) -> float:
    """Return until when an answer should begin for its request to be worth taking."""
    options = context.options
    part = options.aim_slack_part if waiting.hop == 0 else options.stranger_aim_part
    return waiting.asked_at_s + part * (waiting.aim_deadline_s - waiting.asked_at_s)


def _refuse_hopeless(
    queues: EngineQueues, context: QueueContext, name: str, load: EngineLoad, now_s: float
) -> None:
    """Refuse what waits at an engine that takes nothing, past its deadline, or in excess."""
    usable = _is_usable(context, name) and now_s >= load.health.ejected_until_s
    for waiting in list(load.waiting.values()):
        if not usable or now_s >= waiting.deadline_s:
            _refuse(queues, context, name, load, waiting, now_s, now_s)
    for forecast in forecast_waiting(load, now_s):
        limit_s = _limit_s(context, forecast.waiting)
        if forecast.waiting.tier > 0 and forecast.begin_s > limit_s:
            _refuse(queues, context, name, load, forecast.waiting, now_s, forecast.begin_s)


def _is_usable(context: QueueContext, name: str) -> bool:
    server = context.configuration.backend_servers.get(name)
    return server is not None and not server.leaving and name not in context.leaving


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
    del load.waiting[waiting.request_id]
    queues.refused[_fingerprint(waiting)] = now_s + RETURN_MEMORY_S
    wait_ms = max(round((free_s - now_s) * 1000.0), SHORTEST_RETRY_MS)
    context.post.add(waiting.router_id, AdmissionRefusal(waiting.request_id, name, wait_ms))


def _drop_unreachable(load: EngineLoad, context: QueueContext) -> None:
    """Forget what routers hold that are dead: their connections ended with them."""
    for request_id, item in list(load.granted.items()):
        if not context.reachable(item.router_id):
            del load.granted[request_id]
    for request_id, waiting in list(load.waiting.items()):
        if not context.reachable(waiting.router_id):
            del load.waiting[request_id]


def _fingerprint(waiting: WaitingAdmission) -> str:
    """Name a request alike when its caller sends it again under another id."""
    last = waiting.parts[-1].part_id if waiting.parts else ""
    return f"{waiting.workspace}/{last}/{waiting.prompt_tokens}/{waiting.output_tokens}"


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
    )
