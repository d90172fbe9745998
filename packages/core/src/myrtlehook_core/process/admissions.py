"""The entry's side of admission: which engine a request asks for, and what comes of it.

Each request asks the owner of one engine at a time, beginning with the engine that its
prompt's shared part hashes to. An owner that does not answer is asked again, until another
one takes over from it.
"""

from myrtlehook_core.process.actions import Dispatch, DropNoted, RetryNoted
from myrtlehook_core.process.admission_asking import (
    ASK_INTERVAL_S,
    Admission,
    AdmissionContext,
    Admissions,
    MemorySource,
    ask_owner,
    is_usable_engine,
    rank_engines,
    tell_owner,
)
from myrtlehook_core.process.admission_ends import refuse_admission
from myrtlehook_core.process.admission_handover import hear_estimate, remember_parts
from myrtlehook_core.process.admission_messages import (
    AdmissionGrant,
    AdmissionProgress,
    AdmissionRefusal,
    AdmissionRelease,
)
from myrtlehook_core.process.backoffs import find_pool_backoff_s
from myrtlehook_core.process.full_tiers import is_full, note_taken, note_untaken
from myrtlehook_core.process.ingress import (
    IngressContext,
    compute_virtual_service_units,
    get_account,
    make_pool_key,
    update_queue_counts,
)
from myrtlehook_core.process.intakes import Intake, count_granted, count_refused
from myrtlehook_core.process.refusals import (
    choose_last_refusal,
    find_refusal,
    refuse_request,
    refuse_with_wait,
)
from myrtlehook_core.process.runs import BLAMELESS_RETRY_REASONS, claim_retry
from myrtlehook_core.request.charges import (
    cancel_charge,
    charge_known,
    grow_charge,
)
from myrtlehook_core.request.outcomes import DropReason, RefusalReason, RetryReason
from myrtlehook_core.request.requests import RequestSpecification, find_share_tokens


def is_admitted_by_tokens(context: IngressContext, request: RequestSpecification) -> bool:
    """Tell whether a request goes to a model engine that is loaded by tokens."""
    pool = context.configuration.pools.get(request.pool)
    return pool is not None and pool.engine is not None


def open_admission(
    admissions: Admissions,
    context: AdmissionContext,
    request: RequestSpecification,
    intake: Intake,
    now_s: float,
) -> None:
    """Ask for an engine for a new request, or refuse it."""
    entry = context.entry
    reason = find_refusal(entry, context.entry_context, make_pool_key(request), request, now_s)
    if reason is not None:
        count_refused(context.shares, request, intake.tier, now_s)
        refuse_request(entry, context.entry_context, request, reason, now_s)
        return
    options = context.entry_context.options
    full = admissions.full_tiers[request.pool]
    tier = intake.tier
    if options.refuses_full_tiers and options.keeps_shares and is_full(full, tier, now_s):
        count_refused(context.shares, request, tier, now_s)
        refuse_with_wait(
            context.entry_context, request, RefusalReason.SHARE_EXCEEDED, full.retry_after_s
        )
        return
    entry.attempts[request.request_id] = 0
    update_queue_counts(entry, request, 1)
    admission = Admission(request, noted_at_s=now_s)
    if options.keeps_shares:
        admission.tier = tier
        admission.above_share = intake.above_share and options.small_workspaces_first
    ranking = rank_engines(context, request)
    admission.ranking = ranking.names
    admission.eager = ranking.near_first
    admissions.open[request.request_id] = admission
    ask_next(admissions, context, admission, now_s)


def ask_next(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> None:
    """Ask for the next engine in the request's order, or refuse the request."""
    options = context.entry_context.options
    candidates = [name for name in admission.ranking if is_usable_engine(context, name)]
    left = [name for name in candidates if name not in admission.tried]
    if not left:
        # Engines that have joined since the first question.
        admission.ranking = rank_engines(context, admission.request).names
        candidates = list(admission.ranking)
        left = [name for name in candidates if name not in admission.tried]
    if admission.request.deadline_s <= now_s:
        refuse_admission(admissions, context, admission, RefusalReason.DEADLINE_PASSED, now_s)
        return
    if not candidates:
        _wait_or_refuse(admissions, context, admission, now_s)
        return
    most = options.excess_engines_asked if admission.tier else options.engines_asked
    if not left or admission.hop >= most:
        full = admissions.full_tiers[admission.request.pool]
        note_untaken(full, admission.tier, admission.retry_after_s, now_s)
        refuse_admission(admissions, context, admission, RefusalReason.DEADLINE_UNREACHABLE, now_s)
        return
    admission.backend_server = left[0]
    admission.tried.add(left[0])
    admission.asked_at_s = now_s
    admission.ask_gap_s = ASK_INTERVAL_S
    ask_owner(admissions, context, admission, now_s)


def take_grant(
    admissions: Admissions,
    context: AdmissionContext,
    sender: str,
    grant: AdmissionGrant,
    now_s: float,
) -> None:
    """Send a request to its engine, or give a grant back that nothing waits for."""
    if grant.estimate is not None:
        hear_estimate(admissions, grant.backend_server, grant.estimate, now_s)
    admission = admissions.open.get(grant.request_id)
    if admission is None or admission.backend_server != grant.backend_server:
        release = AdmissionRelease(grant.request_id, grant.backend_server, ran=False)
        context.entry_context.outbox.add(sender, release)
        return
    if admission.granted:
        return
    if admission.request.deadline_s <= now_s:
        refuse_admission(admissions, context, admission, RefusalReason.DEADLINE_PASSED, now_s)
    elif not is_usable_engine(context, grant.backend_server):
        # The last look before it is sent: what the engine has told this router since it was
        # asked, its owner may not have heard.
        context.entry_context.actions.add(DropNoted(DropReason.GRANT_CLOSED))
        _leave_engine(admissions, context, admission, now_s)
    else:
        _dispatch(admissions, context, admission, grant.unread_tokens, now_s)


def take_refusal(
    admissions: Admissions, context: AdmissionContext, refusal: AdmissionRefusal, now_s: float
) -> None:
    """Ask for the next engine."""
    admission = admissions.open.get(refusal.request_id)
    if admission is None or admission.granted:
        return
    if admission.backend_server != refusal.backend_server or admission.eager != refusal.eager:
        return
    wait_s = refusal.retry_after_ms / 1000.0
    if admission.hop == 0 or wait_s < admission.retry_after_s:
        admission.retry_after_s = wait_s
    if refusal.kept_tokens > admission.source.tokens:
        admission.source = MemorySource(refusal.backend_server, refusal.kept_tokens)
    if admission.eager:
        # The prompt's home of all zones is asked as if it were the first.
        admission.eager = False
    else:
        admission.hop += 1
    ask_next(admissions, context, admission, now_s)


def note_progress(
    admissions: Admissions, context: AdmissionContext, request_id: str, observed_units: float
) -> bool:
    """Tell the owner when an answer begins; False when the request is not one of these."""
    admission = admissions.open.get(request_id)
    if admission is None or not admission.granted:
        return admission is not None
    account = get_account(
        context.entry, make_pool_key(admission.request), context.entry_context.draw
    )
    grow_charge(account, request_id, observed_units)
    if not admission.begun:
        admission.begun = True
        tell_owner(context, admission, AdmissionProgress(request_id, admission.backend_server))
    return True


def retry_admission(
    admissions: Admissions,
    context: AdmissionContext,
    request_id: str,
    reason: RetryReason,
    now_s: float,
) -> bool:
    """Ask for another engine after one that did not serve; False when it is none of these."""
    admission = admissions.open.get(request_id)
    if admission is None:
        return False
    if not admission.granted:
        return True
    entry = context.entry
    account = get_account(entry, make_pool_key(admission.request), context.entry_context.draw)
    cancel_charge(account, request_id)
    failed = reason not in BLAMELESS_RETRY_REASONS
    release = AdmissionRelease(request_id, admission.backend_server, False, failed)
    tell_owner(context, admission, release)
    admission.granted = False
    admission.begun = False
    admission.eager = False
    admission.hop = 0
    update_queue_counts(entry, admission.request, 1)
    if claim_retry(entry, context.entry_context, admission.request, reason, now_s):
        context.entry_context.actions.add(RetryNoted(request_id, reason))
        ask_next(admissions, context, admission, now_s)
        return True
    refusal = choose_last_refusal(context.entry_context, admission.request, now_s)
    refuse_admission(admissions, context, admission, refusal, now_s)
    return True


def tick_admissions(admissions: Admissions, context: AdmissionContext, now_s: float) -> None:
    """Ask again where no answer came, decide alone where an owner is silent."""
    for admission in list(admissions.open.values()):
        if admission.granted:
            continue
        if admission.request.deadline_s <= now_s:
            refuse_admission(admissions, context, admission, RefusalReason.DEADLINE_PASSED, now_s)
        elif admission.request.workspace not in context.entry_context.configuration.workspaces:
            reason = RefusalReason.CONFIGURATION_REMOVED
            refuse_admission(admissions, context, admission, reason, now_s)
        elif not is_usable_engine(context, admission.backend_server):
            _leave_engine(admissions, context, admission, now_s)
        elif now_s >= admission.next_ask_s:
            ask_owner(admissions, context, admission, now_s)


def _leave_engine(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> None:
    """Withdraw a request from an engine that is not to be used, and ask for the next one."""
    if admission.backend_server:
        release = AdmissionRelease(
            admission.request.request_id, admission.backend_server, ran=False
        )
        tell_owner(context, admission, release)
    ask_next(admissions, context, admission, now_s)


def _wait_or_refuse(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> None:
    """Hold a request that no engine takes, if one will in time for its aim; else refuse it."""
    request = admission.request
    entry_context = context.entry_context
    backoffs = context.entry.backoffs
    wait_s = find_pool_backoff_s(backoffs, entry_context.configuration, request.pool, now_s)
    if not wait_s:
        reason = RefusalReason.NO_BACKEND_SERVER
        refuse_admission(admissions, context, admission, reason, now_s)
    elif now_s + wait_s >= min(request.aim_deadline_s, request.deadline_s):
        refuse_admission(admissions, context, admission, RefusalReason.BACKED_OFF, now_s)
    else:
        # The next ticks look again; an engine that turned it away may be asked once more.
        admission.backend_server = ""
        admission.tried.clear()


def _dispatch(
    admissions: Admissions,
    context: AdmissionContext,
    admission: Admission,
    unread_tokens: int,
    now_s: float,
) -> None:
    request = admission.request
    entry = context.entry
    options = context.entry_context.options
    admission.granted = True
    note_taken(admissions.full_tiers[request.pool], admission.tier, now_s)
    admission.unread_tokens = unread_tokens
    update_queue_counts(entry, request, -1)
    account = get_account(entry, make_pool_key(request), context.entry_context.draw)
    priority_units = compute_virtual_service_units(entry, make_pool_key(request))
    workspace = context.entry_context.configuration.workspaces.get(request.workspace)
    share = 1.0 if workspace is None else workspace.share
    charge_known(account, request.request_id, float(find_share_tokens(request)), share)
    attempt = entry.attempts.get(request.request_id, 0) + 1
    entry.attempts[request.request_id] = attempt
    if attempt == 1:
        count_granted(context.shares, request, now_s)
    entry.retry_budget = min(entry.retry_budget + options.retry_ratio, options.retry_burst)
    remember_parts(admissions, admission)
    context.entry_context.actions.add(
        Dispatch(
            request.request_id,
            admission.backend_server,
            attempt,
            priority_units,
            now_s + options.grant_lease_s,
            _used_source(context, admission),
        )
    )


def _used_source(context: AdmissionContext, admission: Admission) -> str:
    """Return the engine that hands the beginning of the prompt over; empty if none does.

    There is none when the engine keeps more itself: its owner expects it to read less.
    """
    source = admission.asked_source
    if not source.tokens or not is_usable_engine(context, source.backend_server):
        return ""
    left_tokens = max(admission.request.prompt_tokens - source.tokens, 1)
    return source.backend_server if admission.unread_tokens >= left_tokens else ""
