"""Admission at the ingress router: offers requests to engines and handles the decisions.

A request is sent to the owner of one engine at a time, beginning with the engine that the
shared part of its prompt hashes to. It is sent again while there is no answer; when another
router becomes the engine's owner, it is sent there.
"""

from myrtlehook_core.process.actions import (
    Dispatch,
    EarlyBeginningRefused,
    EngineWeightsChanged,
    MessageDropped,
    RequestRequeued,
)
from myrtlehook_core.process.admission_ends import refuse_admission
from myrtlehook_core.process.admission_handover import record_estimate, record_sent_parts
from myrtlehook_core.process.admission_messages import (
    AdmissionGrant,
    AdmissionProgress,
    AdmissionRefusal,
    AdmissionRelease,
    EngineEstimate,
    StreamPauseReport,
)
from myrtlehook_core.process.admission_requests import (
    FIRST_RESEND_S,
    Admission,
    AdmissionContext,
    Admissions,
    MemorySource,
    is_usable_engine,
    may_run_at,
    notify_owner,
    send_admission_request,
)
from myrtlehook_core.process.early_beginnings import order_last_engines
from myrtlehook_core.process.ended_servers import record_unconfirmed
from myrtlehook_core.process.engine_rankings import rank_engines
from myrtlehook_core.process.engine_speeds import record_speed
from myrtlehook_core.process.full_tiers import (
    record_tier_admitted,
    record_tier_refused,
    should_refuse_untried,
)
from myrtlehook_core.process.ingress import (
    IngressContext,
    compute_virtual_service_units,
    get_account,
    make_pool_key,
    update_queue_counts,
)
from myrtlehook_core.process.refusals import (
    choose_last_refusal,
    find_backoff_s,
    find_refusal,
    refuse_request,
    refuse_with_wait,
)
from myrtlehook_core.process.runs import BLAMELESS_RETRY_REASONS, claim_retry
from myrtlehook_core.process.share_standings import (
    ShareStanding,
    count_granted_request,
    count_refused_request,
)
from myrtlehook_core.request.charges import (
    cancel_charge,
    charge_estimate,
    grow_charge,
)
from myrtlehook_core.request.outcomes import DropReason, RefusalReason, RetryReason
from myrtlehook_core.request.requests import RequestSpecification, find_share_tokens


def is_admitted_by_tokens(context: IngressContext, request: RequestSpecification) -> bool:
    """Return whether a request's pool has model engines, whose load is counted in tokens."""
    pool = context.configuration.pools.get(request.pool)
    return pool is not None and pool.engine_capacity is not None


def open_admission(
    admissions: Admissions,
    context: AdmissionContext,
    request: RequestSpecification,
    standing: ShareStanding,
    now_s: float,
) -> None:
    """Start the admission of a new request at its first engine, or refuse the request."""
    ingress = context.ingress
    reason = find_refusal(ingress, context.ingress_context, make_pool_key(request), request, now_s)
    if reason is not None:
        count_refused_request(context.shares, request, standing.tier, now_s)
        refuse_request(ingress, context.ingress_context, request, reason, now_s)
        return
    options = context.ingress_context.options
    full = admissions.full_tiers[request.pool]
    tier = standing.tier
    if (
        options.refuses_full_tiers
        and options.keeps_shares
        and should_refuse_untried(full, tier, now_s)
    ):
        count_refused_request(context.shares, request, tier, now_s)
        refuse_with_wait(
            context.ingress_context, request, RefusalReason.SHARE_EXCEEDED, full.retry_after_s
        )
        return
    ingress.attempts[request.request_id] = 0
    update_queue_counts(ingress, request, 1)
    admission = Admission(request, counted_at_s=now_s)
    if options.keeps_shares:
        admission.tier = tier
        admission.above_share = standing.above_share and options.small_workspaces_first
    ranking = rank_engines(context, request, admission.tier, admissions.speeds[request.pool].steps)
    admission.ranked_engines = ranking.names
    admission.early_engines = ranking.early_engines
    admission.near_first = ranking.near_first
    admission.home = ranking.home
    admissions.open[request.request_id] = admission
    ask_next_engine(admissions, context, admission, now_s)


def ask_next_engine(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> None:
    """Send a request to the next engine in its ranking, or refuse it when none is left."""
    options = context.ingress_context.options
    if _ask_next_early(admissions, context, admission, now_s):
        return
    # A stream that has begun since the ranking goes on at one software version only.
    candidates = [
        name for name in admission.ranked_engines if may_run_at(context, admission.request, name)
    ]
    untried = [name for name in candidates if name not in admission.tried]
    if not untried:
        # Rank again to find engines that have joined since the request was opened.
        steps = admissions.speeds[admission.request.pool].steps
        admission.ranked_engines = rank_engines(context, admission.request, steps=steps).names
        candidates = list(admission.ranked_engines)
        untried = [name for name in candidates if name not in admission.tried]
    if admission.request.deadline_s <= now_s:
        refuse_admission(admissions, context, admission, RefusalReason.DEADLINE_PASSED, now_s)
        return
    if not candidates:
        _wait_or_refuse(admissions, context, admission, now_s)
        return
    max_engines = options.excess_engines_asked if admission.tier else options.engines_asked
    if not untried or admission.hop >= max_engines:
        full = admissions.full_tiers[admission.request.pool]
        record_tier_refused(full, admission.tier, admission.retry_after_s, now_s)
        refuse_admission(admissions, context, admission, RefusalReason.DEADLINE_UNREACHABLE, now_s)
        return
    _ask_engine(admissions, context, admission, untried[0], now_s)


def handle_admission_grant(
    admissions: Admissions,
    context: AdmissionContext,
    sender: str,
    grant: AdmissionGrant,
    now_s: float,
) -> None:
    """Dispatch a granted request, or release a grant that the request no longer needs."""
    if grant.estimate is not None:
        record_estimate(admissions, grant.backend_server, grant.estimate, now_s)
        _record_speed(admissions, context, grant.backend_server, grant.estimate)
    if grant.unconfirmed_ms:
        until_s = now_s + grant.unconfirmed_ms / 1000.0
        record_unconfirmed(context.ingress_context.ended_servers, grant.backend_server, until_s)
    admission = admissions.open.get(grant.request_id)
    if admission is None or admission.backend_server != grant.backend_server:
        release = AdmissionRelease(grant.request_id, grant.backend_server, ran=False)
        context.ingress_context.outbox.add(sender, release)
        return
    if admission.granted:
        return
    if admission.request.deadline_s <= now_s:
        refuse_admission(admissions, context, admission, RefusalReason.DEADLINE_PASSED, now_s)
    elif not may_run_at(context, admission.request, grant.backend_server):
        # Check the engine once more before dispatch: it may have reported a back-off to this
        # router that its owner has not received.
        context.ingress_context.actions.add(MessageDropped(DropReason.GRANT_CLOSED))
        _withdraw_and_ask_next(admissions, context, admission, now_s)
    else:
        _dispatch(admissions, context, admission, grant.unread_tokens, now_s)


def handle_admission_refusal(
    admissions: Admissions, context: AdmissionContext, refusal: AdmissionRefusal, now_s: float
) -> None:
    """Record what an engine's owner reported with its refusal, and ask the next engine."""
    admission = admissions.open.get(refusal.request_id)
    if admission is None or admission.granted:
        return
    if admission.backend_server != refusal.backend_server or admission.eager != refusal.eager:
        return
    wait_s = refusal.retry_after_ms / 1000.0
    if admission.hop == 0 or wait_s < admission.retry_after_s:
        admission.retry_after_s = wait_s
    if refusal.cached_tokens > admission.memory_source.tokens:
        admission.memory_source = MemorySource(refusal.backend_server, refusal.cached_tokens)
    if admission.eager:
        admission.early_waits_s[refusal.backend_server] = wait_s
    is_near_home = admission.near_first and refusal.backend_server == admission.ranked_engines[0]
    if not (admission.eager and is_near_home):
        # The home of the own zone does not count: the home among all zones follows.
        admission.hop += 1
    ask_next_engine(admissions, context, admission, now_s)


def record_progress(
    admissions: Admissions, context: AdmissionContext, request_id: str, observed_units: float
) -> bool:
    """Record an answer's progress, and notify the engine's owner when the answer begins.

    Returns False when the request is not one of these admissions.
    """
    admission = admissions.open.get(request_id)
    if admission is None or not admission.granted:
        return admission is not None
    account = get_account(
        context.ingress, make_pool_key(admission.request), context.ingress_context.draw
    )
    grow_charge(account, request_id, observed_units)
    if not admission.begun:
        admission.begun = True
        notify_owner(context, admission, AdmissionProgress(request_id, admission.backend_server))
    return True


def send_pause_report(
    admissions: Admissions, context: AdmissionContext, request_id: str, pause_s: float
) -> None:
    """Report a pause of a running request's stream to the owner of its engine."""
    admission = admissions.open.get(request_id)
    if admission is None or not admission.begun:
        return
    report = StreamPauseReport(
        request_id=request_id,
        backend_server=admission.backend_server,
        pause_ms=round(pause_s * 1000.0),
        target_ms=round(admission.request.pause_target_s * 1000.0),
    )
    notify_owner(context, admission, report)


def retry_admission(
    admissions: Admissions,
    context: AdmissionContext,
    request_id: str,
    reason: RetryReason,
    now_s: float,
) -> bool:
    """Ask for an engine again after one did not serve the request, or refuse the request.

    Returns False when the request is not one of these admissions.
    """
    admission = admissions.open.get(request_id)
    if admission is None:
        return False
    if not admission.granted:
        return True
    ingress = context.ingress
    account = get_account(ingress, make_pool_key(admission.request), context.ingress_context.draw)
    cancel_charge(account, request_id)
    failed = reason not in BLAMELESS_RETRY_REASONS
    release = AdmissionRelease(request_id, admission.backend_server, False, failed)
    notify_owner(context, admission, release)
    admission.granted = False
    admission.begun = False
    admission.eager = False
    admission.early_engines = ()
    admission.hop = 0
    update_queue_counts(ingress, admission.request, 1)
    if claim_retry(ingress, context.ingress_context, admission.request, reason, now_s):
        context.ingress_context.actions.add(RequestRequeued(request_id, reason))
        ask_next_engine(admissions, context, admission, now_s)
        return True
    refusal = choose_last_refusal(context.ingress_context, admission.request, now_s)
    refuse_admission(admissions, context, admission, refusal, now_s)
    return True


def tick_admissions(admissions: Admissions, context: AdmissionContext, now_s: float) -> None:
    """Refuse expired requests, replace unusable engines, and resend unanswered requests."""
    for admission in list(admissions.open.values()):
        if admission.granted:
            continue
        if admission.request.deadline_s <= now_s:
            refuse_admission(admissions, context, admission, RefusalReason.DEADLINE_PASSED, now_s)
        elif admission.request.workspace not in context.ingress_context.configuration.workspaces:
            reason = RefusalReason.CONFIGURATION_REMOVED
            refuse_admission(admissions, context, admission, reason, now_s)
        elif not may_run_at(context, admission.request, admission.backend_server):
            _withdraw_and_ask_next(admissions, context, admission, now_s)
        elif now_s >= admission.next_send_s:
            send_admission_request(admissions, context, admission, now_s)


def _record_speed(
    admissions: Admissions, context: AdmissionContext, name: str, estimate: EngineEstimate
) -> None:
    """Record an engine's speed for the choice of prompts' homes."""
    ingress_context = context.ingress_context
    server = ingress_context.configuration.backend_servers.get(name)
    if server is None or not ingress_context.options.weighs_engines:
        return
    speeds = admissions.speeds[server.pool]
    engines = sum(
        other.pool == server.pool
        for other in ingress_context.configuration.backend_servers.values()
    )
    if record_speed(speeds, name, estimate.steady_tokens_per_s, engines):
        ingress_context.actions.add(
            EngineWeightsChanged(server.pool, speeds.reference_tokens_per_s, dict(speeds.steps))
        )


def _ask_next_early(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> bool:
    """Ask the next engine for an early beginning; False when none is left to be asked so."""
    usable = [
        name for name in admission.early_engines if may_run_at(context, admission.request, name)
    ]
    if usable and admission.request.deadline_s > now_s:
        admission.eager = True
        admission.early_engines = tuple(usable[1:])
        _ask_engine(admissions, context, admission, usable[0], now_s)
        return True
    if admission.eager:
        admission.eager = False
        # Those that were not usable so far would be asked for less than the ones before them.
        admission.early_engines = ()
        if admission.home:
            order_last_engines(admission)
            waits_s = dict(admission.early_waits_s)
            refused = EarlyBeginningRefused(admission.request.request_id, waits_s)
            context.ingress_context.actions.add(refused)
    return False


def _ask_engine(
    admissions: Admissions, context: AdmissionContext, admission: Admission, name: str, now_s: float
) -> None:
    """Offer a request to an engine."""
    admission.backend_server = name
    admission.tried.add(name)
    admission.asked_at_s = now_s
    admission.resend_interval_s = FIRST_RESEND_S
    send_admission_request(admissions, context, admission, now_s)


def _withdraw_and_ask_next(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> None:
    """Withdraw a request from an engine that is no longer usable, and ask the next one."""
    if admission.backend_server:
        release = AdmissionRelease(
            admission.request.request_id, admission.backend_server, ran=False
        )
        notify_owner(context, admission, release)
    ask_next_engine(admissions, context, admission, now_s)


def _wait_or_refuse(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> None:
    """Handle a request while no engine of its pool is usable.

    It waits if a back-off ends before its first-token target and deadline, and is refused
    otherwise.
    """
    request = admission.request
    ingress_context = context.ingress_context
    wait_s = find_backoff_s(context.ingress, ingress_context, request, now_s)
    if not wait_s:
        reason = RefusalReason.NO_BACKEND_SERVER
        if request.software_version is not None:
            reason = RefusalReason.NO_SERVER_OF_VERSION
        refuse_admission(admissions, context, admission, reason, now_s)
    elif now_s + wait_s >= min(request.aim_deadline_s, request.deadline_s):
        refuse_admission(admissions, context, admission, RefusalReason.BACKED_OFF, now_s)
    else:
        # Later ticks try again, also with engines that were asked before.
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
    ingress = context.ingress
    options = context.ingress_context.options
    admission.granted = True
    record_tier_admitted(admissions.full_tiers[request.pool], admission.tier, now_s)
    admission.unread_tokens = unread_tokens
    update_queue_counts(ingress, request, -1)
    account = get_account(ingress, make_pool_key(request), context.ingress_context.draw)
    priority_units = compute_virtual_service_units(ingress, make_pool_key(request))
    workspace = context.ingress_context.configuration.workspaces.get(request.workspace)
    share = 1.0 if workspace is None else workspace.share
    charge_estimate(account, request.request_id, float(find_share_tokens(request)), share)
    attempt = ingress.attempts.get(request.request_id, 0) + 1
    ingress.attempts[request.request_id] = attempt
    if attempt == 1:
        count_granted_request(context.shares, request, now_s)
    ingress.retry_budget = min(ingress.retry_budget + options.retry_ratio, options.retry_burst)
    record_sent_parts(admissions, admission)
    context.ingress_context.actions.add(
        Dispatch(
            request.request_id,
            admission.backend_server,
            attempt,
            priority_units,
            now_s + options.grant_lease_s,
            _choose_memory_source(context, admission),
            request.software_version,
        )
    )


def _choose_memory_source(context: AdmissionContext, admission: Admission) -> str:
    """Return the engine that the cached beginning of the prompt is fetched from, or "".

    Nothing is fetched when the granted engine caches more of the prompt itself, which shows
    in that its owner expects fewer unread tokens than the fetch would leave.
    """
    source = admission.offered_memory_source
    if not source.tokens or not is_usable_engine(context, source.backend_server):
        return ""
    left_tokens = max(admission.request.prompt_tokens - source.tokens, 1)
    return source.backend_server if admission.unread_tokens >= left_tokens else ""
