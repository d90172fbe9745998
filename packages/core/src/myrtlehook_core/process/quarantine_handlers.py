"""Handlers for requests that end backend servers; see ``quarantine``."""

from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import QuarantineCause, QuarantineChanged, ServerEndCounted
from myrtlehook_core.process.admission_ends import refuse_admission
from myrtlehook_core.process.hashing import rank_routers, rank_weights, update_weights
from myrtlehook_core.process.ingress import update_queue_counts
from myrtlehook_core.process.membership_messages import News
from myrtlehook_core.process.probing import announce_news, announce_news_in_zone
from myrtlehook_core.process.quarantine import (
    Quarantine,
    Verdict,
    apply_quarantine_row,
    count_end,
    has_enough_ends,
    has_run_since,
    is_cleared,
    is_end_kept,
    lift_quarantine,
    make_end_reports,
    next_end_serial,
    quarantine_request,
    record_sound_run,
)
from myrtlehook_core.process.quarantine_messages import ServerEndReport, SoundRunReport
from myrtlehook_core.process.refusals import refuse_request
from myrtlehook_core.process.request_quarantines import (
    choose_quarantine,
    find_request_quarantine_s,
)
from myrtlehook_core.request.outcomes import RefusalReason
from myrtlehook_core.request.part_keys import is_part_key, make_part_key
from myrtlehook_core.request.queues import remove_request
from myrtlehook_core.request.requests import RequestSpecification

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore

REQUEST_DIGEST_BYTES = 4
"""Enough to tell apart the few requests under which a part's ends are kept."""

COLLECTOR_COUNT = 2
"""The number of routers that count the ends of one request: two, because one may be down."""


def on_server_ended(core: "RouterCore", event: events.ServerEndedInRun, now_s: float) -> None:
    """Report the end of a server to the collectors of the request and of its prompt's parts."""
    if not core.options.quarantines_requests or not event.fingerprint:
        return
    _report_end(core, event, event.fingerprint, event.shown_sound, now_s)
    for part in event.suspect_parts:
        known = core.part_quarantine
        if has_run_since(known, part.key, event.began_s):
            continue
        if not is_end_kept(known, part.key, event.backend_server, event.ended_s):
            _report_end(core, event, part.key, part.is_first, now_s)


def _report_end(
    core: "RouterCore",
    event: events.ServerEndedInRun,
    key: bytes,
    is_weak: bool,
    now_s: float,
) -> None:
    """Report an end to the collectors of one fingerprint or key of a part."""
    report = ServerEndReport(
        fingerprint=key,
        backend_server=event.backend_server,
        began_age_ms=round((now_s - event.began_s) * 1000.0),
        ended_age_ms=round((now_s - event.ended_s) * 1000.0),
        reporter=core.identity.router_id,
        serial=next_end_serial(choose_quarantine(core.quarantines, key)),
        is_weak=is_weak,
        request_digest=event.fingerprint[:REQUEST_DIGEST_BYTES] if is_part_key(key) else b"",
    )
    own_id = core.identity.router_id
    core.outbox.add(own_id, report)
    for router_id in _find_collectors(core, key):
        if router_id != own_id:
            core.outbox.add(router_id, report)


def handle_end_report(
    core: "RouterCore", sender: str, message: ServerEndReport, now_s: float
) -> None:
    """Keep and count a reported end, and quarantine the request once there are enough."""
    fingerprint = message.fingerprint
    quarantine = choose_quarantine(core.quarantines, fingerprint)
    suspect = count_end(quarantine, message, now_s)
    _send_to_collectors(core, sender, fingerprint, now_s)
    if suspect is None:
        return
    core.actions.add(
        ServerEndCounted(
            fingerprint,
            message.backend_server,
            suspect.ends,
            reporter=message.reporter,
            told_by=sender,
            age_s=message.ended_age_ms / 1000.0,
        )
    )
    if not has_enough_ends(quarantine, fingerprint, suspect):
        return
    verdict = quarantine_request(quarantine, fingerprint, suspect, now_s)
    _report_verdict(core, fingerprint, verdict, QuarantineCause.COUNTED, sender)
    _report_sound_run(core, fingerprint, now_s)
    announce_news(core.probe_context())


def hand_over_ends(core: "RouterCore", now_s: float) -> None:
    """Send the ends that this router holds to the routers that have become their collectors."""
    for quarantine in (core.quarantine, core.part_quarantine):
        _hand_over_ends(core, quarantine, now_s)


def _hand_over_ends(core: "RouterCore", quarantine: Quarantine, now_s: float) -> None:
    routers = frozenset(core.placement.eligible)
    joined = routers.difference(quarantine.known_routers)
    if not joined and routers.issuperset(quarantine.known_routers):
        return
    quarantine.known_routers = routers
    for fingerprint, suspect in quarantine.suspects.items():
        previous = {router for _, router in suspect.collectors}
        key = _make_key(fingerprint)
        suspect.collectors = update_weights(
            key, suspect.collectors, routers, joined, COLLECTOR_COUNT
        )
        for _, router_id in suspect.collectors:
            if router_id not in previous:
                _send_kept_ends(core, router_id, fingerprint, now_s)


def resend_ends(core: "RouterCore", router_id: str, now_s: float) -> None:
    """Send a collector that has restarted unnoticed the ends that this router holds."""
    for quarantine in (core.quarantine, core.part_quarantine):
        for fingerprint, suspect in quarantine.suspects.items():
            if any(router_id == collector for _, collector in suspect.collectors):
                _send_kept_ends(core, router_id, fingerprint, now_s)


def handle_sound_run_report(
    core: "RouterCore", sender: str, message: SoundRunReport, now_s: float
) -> None:
    """Lift the quarantine of a request, as a collector, after a completed run of it."""
    quarantine = choose_quarantine(core.quarantines, message.fingerprint)
    if not lift_quarantine(quarantine, message.fingerprint, now_s):
        return
    verdict = quarantine.verdicts[message.fingerprint]
    _report_verdict(core, message.fingerprint, verdict, QuarantineCause.ENDED_WELL, sender)
    announce_news(core.probe_context())


def apply_quarantine_news(core: "RouterCore", sender: str, news: News, now_s: float) -> bool:
    """Apply the quarantine rows of another router; return True if any of them is new here."""
    is_news = False
    for row in news.quarantine:
        quarantine = choose_quarantine(core.quarantines, row.fingerprint)
        verdict = apply_quarantine_row(quarantine, row, now_s)
        if verdict is None:
            continue
        is_news = True
        _report_verdict(core, row.fingerprint, verdict, QuarantineCause.TOLD, sender)
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


def record_sound_parts(
    core: "RouterCore", request: RequestSpecification, software_version: str, now_s: float
) -> None:
    """Record that a server writes an answer on a prompt; report it for parts that are suspect."""
    for part_digest in request.part_digests:
        key = make_part_key(part_digest, software_version)
        record_sound_run(core.part_quarantine, key, now_s)
        _report_sound_run(core, key, now_s)


def resend_sound_run_reports(core: "RouterCore", now_s: float) -> None:
    """Report again which quarantined requests have completed here, as a report may be lost."""
    for quarantine in (core.quarantine, core.part_quarantine):
        for fingerprint, verdict in quarantine.verdicts.items():
            if now_s < verdict.quarantined_until_s:
                _report_sound_run(core, fingerprint, now_s)


def refuse_quarantined_requests(core: "RouterCore", now_s: float) -> None:
    """Refuse waiting requests that have been quarantined since they arrived."""
    core.quarantine.has_new_quarantines = False
    core.part_quarantine.has_new_quarantines = False
    quarantines = core.quarantines
    admission_context = core.admission_context()
    for admission in list(core.admissions.open.values()):
        wait_s = find_request_quarantine_s(quarantines, admission.request, now_s)
        if wait_s and not admission.granted:
            reason = RefusalReason.QUARANTINED
            refuse_admission(core.admissions, admission_context, admission, reason, now_s)
    context = core.ingress_context()
    for queue in core.ingress.queues.values():
        quarantined = [
            request
            for request in queue.waiting
            if find_request_quarantine_s(quarantines, request, now_s)
        ]
        for request in quarantined:
            remove_request(queue, request.request_id)
            update_queue_counts(core.ingress, request, -1)
            refuse_request(core.ingress, context, request, RefusalReason.QUARANTINED, now_s)


def _report_sound_run(core: "RouterCore", fingerprint: bytes, now_s: float) -> None:
    """Report to the collectors if a quarantined request has completed here since its first end."""
    if not is_cleared(choose_quarantine(core.quarantines, fingerprint), fingerprint):
        return
    for router_id in _find_collectors(core, fingerprint):
        core.outbox.add(router_id, SoundRunReport(fingerprint))


def _send_to_collectors(core: "RouterCore", sender: str, fingerprint: bytes, now_s: float) -> None:
    """Note the collectors of a request's ends; send these on if this router is not one of them.

    The sender may know only a part of the fleet, and so have chosen other collectors.
    """
    suspect = choose_quarantine(core.quarantines, fingerprint).suspects.get(fingerprint)
    if suspect is None or suspect.collectors:
        return
    key = _make_key(fingerprint)
    suspect.collectors = rank_weights(key, core.placement.eligible, COLLECTOR_COUNT)
    own_id = core.identity.router_id
    collectors = [router for _, router in suspect.collectors]
    if sender == own_id or own_id in collectors:
        return
    for router_id in collectors:
        if router_id != sender:
            _send_kept_ends(core, router_id, fingerprint, now_s)


def _send_kept_ends(core: "RouterCore", router_id: str, fingerprint: bytes, now_s: float) -> None:
    if router_id == core.identity.router_id:
        return
    quarantine = choose_quarantine(core.quarantines, fingerprint)
    for report in make_end_reports(quarantine, fingerprint, now_s):
        core.outbox.add(router_id, report)


def _find_collectors(core: "RouterCore", fingerprint: bytes) -> tuple[str, ...]:
    return rank_routers(_make_key(fingerprint), core.placement.eligible, COLLECTOR_COUNT)


def _make_key(fingerprint: bytes) -> str:
    return f"quarantine/{fingerprint.hex()}"


def _report_verdict(
    core: "RouterCore", fingerprint: bytes, verdict: Verdict, cause: QuarantineCause, told_by: str
) -> None:
    core.actions.add(
        QuarantineChanged(
            fingerprint,
            verdict.ends,
            verdict.quarantined_until_s,
            cause,
            told_by,
            is_part_key(fingerprint),
        )
    )
