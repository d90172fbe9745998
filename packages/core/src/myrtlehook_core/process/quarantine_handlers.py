"""Handlers for requests that end backend servers; see ``quarantine``."""

from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import QuarantineCause, QuarantineChanged, ServerEndCounted
from myrtlehook_core.process.admission_ends import refuse_admission
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.ingress import update_queue_counts
from myrtlehook_core.process.membership_messages import News
from myrtlehook_core.process.probing import announce_news, announce_news_in_zone
from myrtlehook_core.process.quarantine import (
    ENDS_TO_QUARANTINE,
    Verdict,
    apply_quarantine_row,
    count_end,
    find_remaining_quarantine_s,
    is_cleared,
    lift_quarantine,
    quarantine_request,
    record_sound_run,
)
from myrtlehook_core.process.quarantine_messages import ServerEndReport, SoundRunReport
from myrtlehook_core.process.refusals import refuse_request
from myrtlehook_core.request.outcomes import RefusalReason
from myrtlehook_core.request.queues import remove_request
from myrtlehook_core.request.requests import RequestSpecification

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore

COLLECTOR_COUNT = 2
"""The number of routers that count the ends of one request: two, because one may be down."""


def on_server_ended(core: "RouterCore", event: events.ServerEndedInRun, now_s: float) -> None:
    """Report the end of a server to the collectors of the request that it was running."""
    if not core.options.quarantines_requests or not event.fingerprint:
        return
    report = ServerEndReport(
        fingerprint=event.fingerprint,
        backend_server=event.backend_server,
        began_age_ms=round((now_s - event.began_s) * 1000.0),
        ended_age_ms=round((now_s - event.ended_s) * 1000.0),
    )
    for router_id in _find_collectors(core, event.fingerprint):
        core.outbox.add(router_id, report)


def handle_end_report(
    core: "RouterCore", sender: str, message: ServerEndReport, now_s: float
) -> None:
    """Count a reported end as a collector, and quarantine the request once there are enough."""
    suspect = count_end(core.quarantine, message, now_s)
    if suspect is None:
        return
    fingerprint = message.fingerprint
    core.actions.add(ServerEndCounted(fingerprint, message.backend_server, suspect.ends))
    if suspect.ends < ENDS_TO_QUARANTINE:
        return
    verdict = quarantine_request(core.quarantine, fingerprint, suspect, now_s)
    _report_verdict(core, fingerprint, verdict, QuarantineCause.COUNTED)
    _report_sound_run(core, fingerprint, now_s)
    announce_news(core.probe_context())


def handle_sound_run_report(
    core: "RouterCore", sender: str, message: SoundRunReport, now_s: float
) -> None:
    """Lift the quarantine of a request, as a collector, after a completed run of it."""
    if not lift_quarantine(core.quarantine, message.fingerprint, now_s):
        return
    verdict = core.quarantine.verdicts[message.fingerprint]
    _report_verdict(core, message.fingerprint, verdict, QuarantineCause.ENDED_WELL)
    announce_news(core.probe_context())


def apply_quarantine_news(core: "RouterCore", news: News, now_s: float) -> bool:
    """Apply the quarantine rows of another router; return True if any of them is new here."""
    is_news = False
    for row in news.quarantine:
        verdict = apply_quarantine_row(core.quarantine, row, now_s)
        if verdict is None:
            continue
        is_news = True
        _report_verdict(core, row.fingerprint, verdict, QuarantineCause.TOLD)
        _report_sound_run(core, row.fingerprint, now_s)
    return is_news


def relay_quarantine_news(core: "RouterCore", sender: str, is_news: bool) -> None:
    """Announce quarantine news from another zone to the own one, where only a few received it."""
    if is_news and not core.is_in_own_zone(sender):
        announce_news_in_zone(core.probe_context())


def record_completed_request(
    core: "RouterCore", request: RequestSpecification, now_s: float
) -> None:
    """Record a completed run, and report it to the collectors if its request is quarantined."""
    if not request.fingerprint:
        return
    record_sound_run(core.quarantine, request.fingerprint, now_s)
    _report_sound_run(core, request.fingerprint, now_s)


def resend_sound_run_reports(core: "RouterCore", now_s: float) -> None:
    """Report again which quarantined requests have completed here, as a report may be lost."""
    for fingerprint, verdict in core.quarantine.verdicts.items():
        if now_s < verdict.quarantined_until_s:
            _report_sound_run(core, fingerprint, now_s)


def refuse_quarantined_requests(core: "RouterCore", now_s: float) -> None:
    """Refuse waiting requests that have been quarantined since they arrived."""
    core.quarantine.has_new_quarantines = False
    admission_context = core.admission_context()
    for admission in list(core.admissions.open.values()):
        is_quarantined = (
            find_remaining_quarantine_s(core.quarantine, admission.request.fingerprint, now_s) > 0.0
        )
        if is_quarantined and not admission.granted:
            reason = RefusalReason.QUARANTINED
            refuse_admission(core.admissions, admission_context, admission, reason, now_s)
    context = core.ingress_context()
    for queue in core.ingress.queues.values():
        quarantined = [
            request
            for request in queue.waiting
            if find_remaining_quarantine_s(core.quarantine, request.fingerprint, now_s)
        ]
        for request in quarantined:
            remove_request(queue, request.request_id)
            update_queue_counts(core.ingress, request, -1)
            refuse_request(core.ingress, context, request, RefusalReason.QUARANTINED, now_s)


def _report_sound_run(core: "RouterCore", fingerprint: bytes, now_s: float) -> None:
    """Report to the collectors if a quarantined request has completed here since its first end."""
    if not is_cleared(core.quarantine, fingerprint):
        return
    for router_id in _find_collectors(core, fingerprint):
        core.outbox.add(router_id, SoundRunReport(fingerprint))


def _find_collectors(core: "RouterCore", fingerprint: bytes) -> tuple[str, ...]:
    key = f"quarantine/{fingerprint.hex()}"
    return rank_routers(key, core.placement.eligible, COLLECTOR_COUNT)


def _report_verdict(
    core: "RouterCore", fingerprint: bytes, verdict: Verdict, cause: QuarantineCause
) -> None:
    core.actions.add(
        QuarantineChanged(fingerprint, verdict.ends, verdict.quarantined_until_s, cause)
    )
