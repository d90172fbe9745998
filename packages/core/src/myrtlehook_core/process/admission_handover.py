"""Handover of an engine to a new owner: ingress routers report what they know of the engine."""

from collections import OrderedDict

import msgspec

from myrtlehook_core.process.admission_messages import (
    EngineEstimate,
    HeldAdmissionRow,
    HeldAdmissions,
    PartRow,
)
from myrtlehook_core.process.admission_requests import (
    Admission,
    AdmissionContext,
    Admissions,
    ReceivedEstimate,
    send_admission_request,
)
from myrtlehook_core.process.engine_speeds import drop_removed_speeds

MAX_RECENT_PARTS = 400
"""Prompt parts kept for each engine, to report to a new owner what the cache likely holds."""


def announce_admissions(
    admissions: Admissions,
    context: AdmissionContext,
    moved: dict[str, str],
    now_s: float,
) -> None:
    """Report this router's running requests to new owners, and resend its waiting ones.

    :param moved: new owner by engine.
    """
    for name, owner in sorted(moved.items()):
        rows = tuple(
            _make_held_row(admission)
            for admission in admissions.open.values()
            if admission.granted and admission.backend_server == name
        )
        recent: dict[str, int] = dict(admissions.recent_parts.get(name, {}))
        parts = tuple(PartRow(part_id, tokens) for part_id, tokens in recent.items())
        if rows or parts:
            estimate = _find_aged_estimate(admissions, name, now_s)
            context.ingress_context.outbox.add(owner, HeldAdmissions(name, rows, parts, estimate))
    for admission in admissions.open.values():
        if not admission.granted and admission.backend_server in moved:
            send_admission_request(admissions, context, admission, now_s)


def drop_removed_engines(admissions: Admissions, known: frozenset[str]) -> None:
    """Drop sent parts and estimates of engines that are no longer known."""
    for name in admissions.recent_parts.keys() - known:
        del admissions.recent_parts[name]
    for name in admissions.estimates.keys() - known:
        del admissions.estimates[name]
    for speeds in admissions.speeds.values():
        drop_removed_speeds(speeds, known)


def record_estimate(
    admissions: Admissions, backend_server: str, estimate: EngineEstimate, now_s: float
) -> None:
    """Keep an owner's estimate of its engine, for the next owner."""
    admissions.estimates[backend_server] = ReceivedEstimate(estimate, now_s)


def _find_aged_estimate(admissions: Admissions, name: str, now_s: float) -> EngineEstimate | None:
    received = admissions.estimates.get(name)
    if received is None:
        return None
    age_ms = received.estimate.age_ms + round((now_s - received.received_at_s) * 1000.0)
    return msgspec.structs.replace(received.estimate, age_ms=age_ms)


def record_sent_parts(admissions: Admissions, admission: Admission) -> None:
    """Record the parts of a prompt as the ones last sent to its engine."""
    recent = admissions.recent_parts.setdefault(admission.backend_server, OrderedDict())
    for part in admission.request.prompt_parts:
        recent.pop(part.part_id, None)
        recent[part.part_id] = part.tokens
    while len(recent) > MAX_RECENT_PARTS:
        recent.popitem(last=False)


def _make_held_row(admission: Admission) -> HeldAdmissionRow:
    request = admission.request
    return HeldAdmissionRow(
        request_id=request.request_id,
        workspace=request.workspace,
        parts=tuple(PartRow(part.part_id, part.tokens) for part in request.prompt_parts),
        total_tokens=request.prompt_tokens + request.output_tokens,
        unread_tokens=admission.unread_tokens,
        begun=admission.begun,
        output_tokens=request.output_tokens,
        pause_target_ms=round(request.pause_target_s * 1000.0),
    )
