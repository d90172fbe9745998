"""How an admission ends: its request has run, was withdrawn, or is refused."""

from myrtlehook_core.process.admission_asking import (
    Admission,
    AdmissionContext,
    Admissions,
    tell_owner,
)
from myrtlehook_core.process.admission_messages import AdmissionRelease
from myrtlehook_core.process.events import RunEnded
from myrtlehook_core.process.ingress import get_account, make_pool_key, update_queue_counts
from myrtlehook_core.process.intakes import count_refused
from myrtlehook_core.process.quarantine import find_hold_s
from myrtlehook_core.process.refusals import find_retry_wait_s, refuse_with_wait
from myrtlehook_core.request.charges import settle_charge
from myrtlehook_core.request.outcomes import RefusalReason


def end_admission(
    admissions: Admissions,
    context: AdmissionContext,
    event: RunEnded,
    now_s: float,
) -> bool:
    """Settle a request that has ended; False when it is not one of these."""
    admission = admissions.open.pop(event.request_id, None)
    if admission is None:
        return False
    entry = context.entry
    account = get_account(entry, make_pool_key(admission.request), context.entry_context.draw)
    settle_charge(account, event.request_id, event.cost_units)
    account.last_active_s = now_s
    _forget(context, admission, ran=True, failed=event.failed)
    return True


def abandon_admission(admissions: Admissions, context: AdmissionContext, request_id: str) -> bool:
    """Withdraw a waiting request whose caller has gone; False when it is not one of these."""
    admission = admissions.open.pop(request_id, None)
    if admission is None:
        return False
    _forget(context, admission, ran=False)
    return True


def refuse_admission(
    admissions: Admissions,
    context: AdmissionContext,
    admission: Admission,
    reason: RefusalReason,
    now_s: float,
) -> None:
    """Give a request that no engine runs its final answer, with when to come back."""
    request = admission.request
    del admissions.open[request.request_id]
    _forget(context, admission, ran=False)
    entry_context = context.entry_context
    held_s = find_hold_s(entry_context.quarantine, request.fingerprint, now_s)
    backoff_s = find_retry_wait_s(context.entry, entry_context, request, now_s)
    wait_s = held_s or max(admission.retry_after_s, backoff_s)
    refuse_with_wait(context.entry_context, request, reason, wait_s)


def _forget(
    context: AdmissionContext, admission: Admission, ran: bool, failed: bool = False
) -> None:
    request_id = admission.request.request_id
    context.entry.attempts.pop(request_id, None)
    if not admission.granted:
        update_queue_counts(context.entry, admission.request, -1)
    if not ran:
        count_refused(context.shares, admission.request, admission.tier, admission.noted_at_s)
    if admission.backend_server:
        release = AdmissionRelease(request_id, admission.backend_server, ran, failed)
        tell_owner(context, admission, release)
