"""What the core does about requests that end backend servers; see ``quarantine``."""

from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import QuarantineCause, QuarantineChanged, ServerEndCounted
from myrtlehook_core.process.admission_ends import refuse_admission
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.ingress import update_queue_counts
from myrtlehook_core.process.membership_messages import News
from myrtlehook_core.process.probing import announce, announce_near
from myrtlehook_core.process.quarantine import (
    ENDS_HELD,
    Verdict,
    count_end,
    find_hold_s,
    hold,
    is_cleared,
    lift,
    note_sound_run,
    take_row,
)
from myrtlehook_core.process.quarantine_messages import ServerEndReport, SoundRunReport
from myrtlehook_core.process.refusals import refuse_request
from myrtlehook_core.request.outcomes import RefusalReason
from myrtlehook_core.request.queues import remove_request
from myrtlehook_core.request.requests import RequestSpecification

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore

COLLECTORS = 2
"""Routers that count the ends under one request: one may be gone just then."""


def on_server_ended(core: "RouterCore", event: events.ServerEndedInRun, now_s: float) -> None:
    """Report a server's end to the collectors of the request that it ran."""
    if not core.options.quarantines_requests or not event.fingerprint:
        return
    report = ServerEndReport(
        fingerprint=event.fingerprint,
        backend_server=event.backend_server,
        began_age_ms=round((now_s - event.began_s) * 1000.0),
        ended_age_ms=round((now_s - event.ended_s) * 1000.0),
    )
    for router_id in _collectors(core, event.fingerprint):
        core.outbox.add(router_id, report)


def take_end_report(
    core: "RouterCore", sender: str, message: ServerEndReport, now_s: float
) -> None:
    """Count an end as a collector, and hold the request once they are enough."""
    suspect = count_end(core.quarantine, message, now_s)
    if suspect is None:
        return
    fingerprint = message.fingerprint
    core.actions.add(ServerEndCounted(fingerprint, message.backend_server, suspect.ends))
    if suspect.ends < ENDS_HELD:
        return
    verdict = hold(core.quarantine, fingerprint, suspect, now_s)
    _note(core, fingerprint, verdict, QuarantineCause.COUNTED)
    _report_sound_run(core, fingerprint, now_s)
    announce(core.probe_context())


def take_sound_report(
    core: "RouterCore", sender: str, message: SoundRunReport, now_s: float
) -> None:
    """Lift what is held, as a collector, once a run has ended well."""
    if not lift(core.quarantine, message.fingerprint, now_s):
        return
    verdict = core.quarantine.verdicts[message.fingerprint]
    _note(core, message.fingerprint, verdict, QuarantineCause.ENDED_WELL)
    announce(core.probe_context())


def hear_quarantine(core: "RouterCore", news: News, now_s: float) -> bool:
    """Take what another router believes of requests; True when any of it is news here."""
    is_news = False
    for row in news.quarantine:
        verdict = take_row(core.quarantine, row, now_s)
        if verdict is None:
            continue
        is_news = True
        _note(core, row.fingerprint, verdict, QuarantineCause.TOLD)
        _report_sound_run(core, row.fingerprint, now_s)
    return is_news


def relay_quarantine(core: "RouterCore", sender: str, is_news: bool) -> None:
    """Tell the own zone what a few of it were told from another one."""
    if is_news and not core.is_in_own_zone(sender):
        announce_near(core.probe_context())


def note_completed(core: "RouterCore", request: RequestSpecification, now_s: float) -> None:
    """Remember a run that ended well, and say so if its request is held."""
    if not request.fingerprint:
        return
    note_sound_run(core.quarantine, request.fingerprint, now_s)
    _report_sound_run(core, request.fingerprint, now_s)


def repeat_sound_reports(core: "RouterCore", now_s: float) -> None:
    """Repeat what may have been lost: that held requests have ended well here."""
    for fingerprint, verdict in core.quarantine.verdicts.items():
        if now_s < verdict.held_until_s:
            _report_sound_run(core, fingerprint, now_s)


def refuse_waiting(core: "RouterCore", now_s: float) -> None:
    """Refuse requests that wait here and are held by now."""
    core.quarantine.is_news = False
    admission_context = core.admission_context()
    for admission in list(core.admissions.open.values()):
        is_held = find_hold_s(core.quarantine, admission.request.fingerprint, now_s) > 0.0
        if is_held and not admission.granted:
            reason = RefusalReason.QUARANTINED
            refuse_admission(core.admissions, admission_context, admission, reason, now_s)
    context = core.entry_context()
    for queue in core.entry.queues.values():
        held = [
            request
            for request in queue.waiting
            if find_hold_s(core.quarantine, request.fingerprint, now_s)
        ]
        for request in held:
            remove_request(queue, request.request_id)
            update_queue_counts(core.entry, request, -1)
            refuse_request(core.entry, context, request, RefusalReason.QUARANTINED, now_s)


def _report_sound_run(core: "RouterCore", fingerprint: bytes, now_s: float) -> None:
    """Tell the collectors that a held request has ended well here meanwhile."""
    if not is_cleared(core.quarantine, fingerprint):
        return
    for router_id in _collectors(core, fingerprint):
        core.outbox.add(router_id, SoundRunReport(fingerprint))


def _collectors(core: "RouterCore", fingerprint: bytes) -> tuple[str, ...]:
    key = f"quarantine/{fingerprint.hex()}"
    return rank_routers(key, core.placement.eligible, COLLECTORS)


def _note(core: "RouterCore", fingerprint: bytes, verdict: Verdict, cause: QuarantineCause) -> None:
    core.actions.add(QuarantineChanged(fingerprint, verdict.ends, verdict.held_until_s, cause))
