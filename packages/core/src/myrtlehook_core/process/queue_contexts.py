"""The admission queues of an engine's owner: their state, and what decisions on them need."""

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import ActionList, AdmissionDecided
from myrtlehook_core.process.admission_messages import AdmissionGrant, EngineEstimate
from myrtlehook_core.process.ended_servers import EndedServers
from myrtlehook_core.process.engine_loads import (
    EngineLoad,
    WaitingAdmission,
    compute_window_tokens,
    estimate_backlog_tokens,
    estimate_unread_tokens,
    make_load_estimate,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.request.requests import count_share_tokens
from myrtlehook_core.version.configurations import Configuration


@dataclass(slots=True)
class EngineQueues:
    """The admission queues of the engines that this router owns."""

    loads: dict[str, EngineLoad] = field(default_factory=dict)
    refused_until_s: dict[str, float] = field(default_factory=dict)
    """By client retry key of a refused request, when the entry expires."""


@dataclass(slots=True)
class QueueContext:
    """Dependencies of the queue functions besides the state of the queues."""

    options: CoreOptions
    configuration: Configuration
    is_reachable: Callable[[str], bool]
    actions: ActionList
    outbox: MessageOutbox
    ended_servers: EndedServers = field(default_factory=dict)


def find_slots(context: QueueContext, name: str) -> int:
    """Return how many requests an engine runs at once; 0 for an engine that is not configured."""
    server = context.configuration.backend_servers.get(name)
    return 0 if server is None else server.slots


def is_grantable(context: QueueContext, name: str) -> bool:
    """Return whether an engine is configured and not leaving."""
    server = context.configuration.backend_servers.get(name)
    return server is not None and not server.leaving


def describe_decision(
    context: QueueContext,
    name: str,
    load: EngineLoad,
    waiting: WaitingAdmission,
    now_s: float,
    retry_after_ms: int | None = None,
) -> AdmissionDecided:
    """Return a record of a decision and the state it is based on, before it is carried out."""
    return AdmissionDecided(
        request_id=waiting.request_id,
        backend_server=name,
        waited_s=now_s - waiting.asked_at_s,
        unread_tokens=estimate_unread_tokens(load, waiting),
        backlog_tokens=estimate_backlog_tokens(load, now_s),
        window_tokens=compute_window_tokens(load, context.options),
        waiting_requests=len(load.waiting),
        granted_requests=len(load.granted),
        tier=waiting.tier,
        above_share=waiting.above_share,
        asked_tokens=count_share_tokens(waiting.prompt_tokens, waiting.output_tokens),
        estimate=make_load_estimate(load, now_s),
        retry_after_ms=retry_after_ms,
        held_s=max(now_s - waiting.held_since_s, 0.0),
        eager=waiting.eager,
    )


def make_grant(
    context: QueueContext,
    request_id: str,
    name: str,
    unread_tokens: int,
    estimate: EngineEstimate,
    now_s: float,
) -> AdmissionGrant:
    """Make the message that grants a request, with how far the engine's entry is relied on."""
    unconfirmed_s = max(context.ended_servers.get(name, now_s) - now_s, 0.0)
    return AdmissionGrant(request_id, name, unread_tokens, estimate, round(unconfirmed_s * 1000.0))
