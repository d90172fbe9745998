"""Ends of admissions: requests that have run, were abandoned, or are refused."""

from myrtlehook_core.process.admission_messages import AdmissionRelease
from myrtlehook_core.process.admission_requests import (
    Admission,
    AdmissionContext,
    Admissions,
    notify_owner,
)
from myrtlehook_core.process.events import RunEnded
from myrtlehook_core.process.ingress import get_account, make_pool_key, update_queue_counts
from myrtlehook_core.process.refusals import find_retry_wait_s, refuse_with_wait
from myrtlehook_core.process.request_quarantines import find_request_quarantine_s
from myrtlehook_core.process.share_standings import count_refused_request
from myrtlehook_core.request.charges import settle_charge
from myrtlehook_core.request.outcomes import RefusalReason

VERSION_RETRY_AFTER_S = 1.0
"""When a client may resume a stream again of whose software version no server is left: servers that
have ended are back after some seconds."""


def end_admission(
    admissions: Admissions,
    context: AdmissionContext,
    event: RunEnded,
    now_s: float,
) -> bool:
    """Settle a request whose run has ended; False when it is not one of these admissions."""
    admission = admissions.open.pop(event.request_id, None)
    if admission is None:
        return False
    ingress = context.ingress
    account = get_account(ingress, make_pool_key(admission.request), context.ingress_context.draw)
    settle_charge(account, event.request_id, event.cost_units)
    account.last_active_s = now_s
    _close_admission(context, admission, True, event.failed, event.longest_pause_s)
    return True


def abandon_admission(admissions: Admissions, context: AdmissionContext, request_id: str) -> bool:
    """Withdraw a request whose client has gone; False when it is not one of these admissions."""
    admission = admissions.open.pop(request_id, None)
    if admission is None:
        return False
    _close_admission(context, admission, ran=False)
    return True


def refuse_admission(
    admissions: Admissions,
    context: AdmissionContext,
    admission: Admission,
    reason: RefusalReason,
    now_s: float,
) -> None:
    """Refuse a request finally, with the time after which its client may retry."""
    request = admission.request
    del admissions.open[request.request_id]
    _close_admission(context, admission, ran=False)
    ingress_context = context.ingress_context
    quarantine_s = find_request_quarantine_s(ingress_context.quarantines, request, now_s)
    backoff_s = find_retry_wait_s(context.ingress, ingress_context, request, now_s)
    wait_s = quarantine_s or max(admission.retry_after_s, backoff_s)
    if reason is RefusalReason.NO_SERVER_OF_VERSION:
        wait_s = max(wait_s, VERSION_RETRY_AFTER_S)
    refuse_with_wait(context.ingress_context, request, reason, wait_s)


def _close_admission(
    context: AdmissionContext,
    admission: Admission,
    ran: bool,
    failed: bool = False,
    longest_pause_s: float = 0.0,
) -> None:
    request_id = admission.request.request_id
    context.ingress.attempts.pop(request_id, None)
    if not admission.granted:
        update_queue_counts(context.ingress, admission.request, -1)
    if not ran and not admission.request.excluded_servers:
        # The request whose successor was sought has been granted, and is counted so.
        count_refused_request(
            context.shares, admission.request, admission.tier, admission.counted_at_s
        )
    if admission.backend_server:
        longest_pause_ms = round(longest_pause_s * 1000.0)
        release = AdmissionRelease(
            request_id, admission.backend_server, ran, failed, longest_pause_ms
        )
        notify_owner(context, admission, release)
