"""Slots for requests whose backend server is silent; that server keeps its run meanwhile.

A request that runs is never queued again for the silence of its server. A second request, its
successor, is placed at another server instead. Only once the run has been handed over to it is the
slot of the first server released.
"""

from dataclasses import replace
from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import Refuse
from myrtlehook_core.process.admission_messages import AdmissionRelease
from myrtlehook_core.process.admission_requests import Admission, notify_owner
from myrtlehook_core.process.admissions import ask_next_engine
from myrtlehook_core.process.bid_spreading import spreads_bids
from myrtlehook_core.process.bidding import send_first_bid
from myrtlehook_core.process.eligible_servers import find_eligibility_refusal
from myrtlehook_core.process.engine_rankings import rank_engines
from myrtlehook_core.process.ingress import RunningRequest, make_pool_key, update_queue_counts
from myrtlehook_core.process.refusals import choose_last_refusal
from myrtlehook_core.process.runs import (
    BLAMELESS_RETRY_REASONS,
    abandon_request,
    claim_retry,
    release_run,
)
from myrtlehook_core.request.charges import cancel_charge
from myrtlehook_core.request.outcomes import RefusalReason, RetryReason
from myrtlehook_core.request.queues import WorkspaceQueue, push_request_first
from myrtlehook_core.request.requests import RequestSpecification

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore

REFUSED_RETRY_AFTER_S = 1.0
"""When a successor that no server could take may be sought again."""


def on_successor_sought(core: "RouterCore", event: events.SuccessorSought, now_s: float) -> None:
    """Place the successor of a running request at another server, or refuse it."""
    running = _find_running(core, event.request_id)
    if running is None:
        _refuse(core, event.successor_id, RefusalReason.RETRIES_EXHAUSTED)
        return
    successor = replace(
        running.request,
        request_id=event.successor_id,
        excluded_servers=event.silent_servers | {running.backend_server},
    )
    context = core.ingress_context()
    reason = find_eligibility_refusal(core.regions, core.configuration, successor)
    if reason is None and not claim_retry(
        core.ingress, context, running.request, RetryReason.SERVER_SILENT, now_s
    ):
        reason = choose_last_refusal(context, successor, now_s)
    if reason is not None:
        _refuse(core, event.successor_id, reason)
        return
    core.ingress.unsent_successors.add(event.successor_id)
    core.ingress.attempts[event.successor_id] = core.ingress.attempts[event.request_id]
    update_queue_counts(core.ingress, successor, 1)
    if isinstance(running, Admission):
        _ask_engines(core, running, successor, now_s)
    else:
        _queue_successor(core, successor, now_s)


def on_run_handed_over(core: "RouterCore", event: events.RunHandedOver, now_s: float) -> None:
    """Release the slot of a server whose run has been handed over to its successor.

    A run that broke off meanwhile waits for another server, which is not needed any more.
    """
    running = _find_running(core, event.request_id)
    if running is not None:
        _release(core, running, failed=True, now_s=now_s)
    else:
        _withdraw(core, event.request_id)
    core.ingress.attempts.pop(event.request_id, None)
    core.ingress.unsent_successors.discard(event.successor_id)
    successor = _find_running(core, event.successor_id)
    if isinstance(successor, Admission):
        # The first server may be asked again once it is heard from.
        successor.tried = {successor.backend_server}
    if successor is not None:
        successor.request = replace(successor.request, excluded_servers=frozenset())


def on_successor_dropped(core: "RouterCore", event: events.SuccessorDropped, now_s: float) -> None:
    """Withdraw a successor, as its request goes on where it was; an unused retry is given back."""
    ingress = core.ingress
    running = _find_running(core, event.successor_id)
    if running is not None:
        failed = event.failure is not None and event.failure not in BLAMELESS_RETRY_REASONS
        _release(core, running, failed, now_s)
    else:
        _withdraw(core, event.successor_id)
    attempts = ingress.attempts.pop(event.successor_id, 0)
    is_paid = event.successor_id in ingress.unsent_successors
    ingress.unsent_successors.discard(event.successor_id)
    if is_paid and not event.was_sent:
        ingress.retry_budget = min(ingress.retry_budget + 1.0, core.options.retry_burst)
    if event.was_sent and event.request_id in ingress.attempts:
        ingress.attempts[event.request_id] = max(attempts, ingress.attempts[event.request_id])


def _find_running(core: "RouterCore", request_id: str) -> Admission | RunningRequest | None:
    """Return a request that holds a slot."""
    admission = core.admissions.open.get(request_id)
    if admission is not None:
        return admission if admission.granted else None
    return core.ingress.running.get(request_id)


def _ask_engines(
    core: "RouterCore", first: Admission, successor: RequestSpecification, now_s: float
) -> None:
    admissions, context = core.admissions, core.admission_context()
    admission = Admission(
        successor,
        counted_at_s=first.counted_at_s,
        tier=first.tier,
        above_share=first.above_share,
        tried={first.backend_server},
    )
    steps = admissions.speeds[successor.pool].steps
    admission.ranked_engines = rank_engines(context, successor, first.tier, steps).names
    admissions.open[successor.request_id] = admission
    ask_next_engine(admissions, context, admission, now_s)


def _queue_successor(core: "RouterCore", successor: RequestSpecification, now_s: float) -> None:
    ingress = core.ingress
    queue = ingress.queues.setdefault(make_pool_key(successor), WorkspaceQueue())
    push_request_first(queue, successor, now_s)
    send_first_bid(
        ingress,
        core.placement,
        successor,
        None,
        core.draw,
        core.outbox,
        now_s,
        wants_answer=spreads_bids(core.options),
    )


def _release(
    core: "RouterCore", running: Admission | RunningRequest, failed: bool, now_s: float
) -> None:
    """Cancel the charge of a run and release its slot."""
    request = running.request
    ingress = core.ingress
    key = make_pool_key(request)
    if key in ingress.accounts:
        cancel_charge(ingress.accounts[key], request.request_id)
    if isinstance(running, Admission):
        del core.admissions.open[request.request_id]
        release = AdmissionRelease(request.request_id, running.backend_server, False, failed)
        notify_owner(core.admission_context(), running, release)
        return
    del ingress.running[request.request_id]
    owner = core.placement.server_owners.get(running.backend_server)
    slot_release = release_run(ingress, key, running, now_s, failed)
    if owner is not None:
        core.outbox.add(owner, slot_release)


def _withdraw(core: "RouterCore", request_id: str) -> None:
    """Withdraw a request that waits."""
    admission = core.admissions.open.pop(request_id, None)
    if admission is None:
        abandon_request(core.ingress, request_id)
        return
    update_queue_counts(core.ingress, admission.request, -1)
    if admission.backend_server:
        release = AdmissionRelease(request_id, admission.backend_server, ran=False)
        notify_owner(core.admission_context(), admission, release)


def _refuse(core: "RouterCore", successor_id: str, reason: RefusalReason) -> None:
    core.actions.add(Refuse(successor_id, reason, REFUSED_RETRY_AFTER_S))
