"""What an entry tells the new owner of an engine, so that it need not start from nothing."""

from collections import OrderedDict

import msgspec

from myrtlehook_core.process.admission_asking import (
    Admission,
    AdmissionContext,
    Admissions,
    HeardEstimate,
    ask_owner,
)
from myrtlehook_core.process.admission_messages import (
    EngineEstimate,
    HeldAdmissionRow,
    HeldAdmissions,
    PartRow,
)

RECENT_PARTS = 400
"""Parts remembered for each engine, to tell a new owner what its cache holds."""


def announce_admissions(
    admissions: Admissions,
    context: AdmissionContext,
    moved: dict[str, str],
    now_s: float,
) -> None:
    """Tell the new owners of engines what this router runs there, and ask again there.

    :param moved: new owner by engine.
    """
    for name, owner in sorted(moved.items()):
        rows = tuple(
            _held_row(admission)
            for admission in admissions.open.values()
            if admission.granted and admission.backend_server == name
        )
        recent: dict[str, int] = dict(admissions.recent_parts.get(name, {}))
        parts = tuple(PartRow(part_id, tokens) for part_id, tokens in recent.items())
        if rows or parts:
            estimate = _aged_estimate(admissions, name, now_s)
            context.entry_context.outbox.add(owner, HeldAdmissions(name, rows, parts, estimate))
    for admission in admissions.open.values():
        if not admission.granted and admission.backend_server in moved:
            ask_owner(admissions, context, admission, now_s)


def forget_engines(admissions: Admissions, known: frozenset[str]) -> None:
    """Drop what is remembered of engines that are gone."""
    for name in admissions.recent_parts.keys() - known:
        del admissions.recent_parts[name]
    for name in admissions.estimates.keys() - known:
        del admissions.estimates[name]


def hear_estimate(
    admissions: Admissions, backend_server: str, estimate: EngineEstimate, now_s: float
) -> None:
    """Keep what an owner tells of its engine, for the next owner."""
    admissions.estimates[backend_server] = HeardEstimate(estimate, now_s)


def _aged_estimate(admissions: Admissions, name: str, now_s: float) -> EngineEstimate | None:
    heard = admissions.estimates.get(name)
    if heard is None:
        return None
    age_ms = heard.estimate.age_ms + round((now_s - heard.heard_at_s) * 1000.0)
    return msgspec.structs.replace(heard.estimate, age_ms=age_ms)


def remember_parts(admissions: Admissions, admission: Admission) -> None:
    """Remember the parts of a prompt that goes to an engine."""
    recent = admissions.recent_parts.setdefault(admission.backend_server, OrderedDict())
    for part in admission.request.prompt_parts:
        recent.pop(part.part_id, None)
        recent[part.part_id] = part.tokens
    while len(recent) > RECENT_PARTS:
        recent.popitem(last=False)


def _held_row(admission: Admission) -> HeldAdmissionRow:
    request = admission.request
    return HeldAdmissionRow(
        request_id=request.request_id,
        workspace=request.workspace,
        parts=tuple(PartRow(part.part_id, part.tokens) for part in request.prompt_parts),
        total_tokens=request.prompt_tokens + request.output_tokens,
        unread_tokens=admission.unread_tokens,
        begun=admission.begun,
        output_tokens=request.output_tokens,
    )
