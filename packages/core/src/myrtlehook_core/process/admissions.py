"""The entry's side of admission: which engine a request asks for, and what comes of it.

Each request asks the owner of one engine at a time, beginning with the engine that its
prompt's shared part hashes to. Without an answer the entry decides alone, from what it
has itself sent there.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import Dispatch, RetryNoted
from myrtlehook_core.process.entries import (
    Entry,
    EntryContext,
    account_of,
    count_queued,
    key_of,
    virtual_service_units,
)
from myrtlehook_core.process.events import RunEnded
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.messages import (
    AdmissionGrant,
    AdmissionProgress,
    AdmissionRefusal,
    AdmissionRelease,
    AdmissionRequest,
    HeldAdmissionRow,
    HeldAdmissions,
    PartRow,
)
from myrtlehook_core.process.refusals import find_refusal, refuse_request, refuse_with
from myrtlehook_core.process.runs import may_retry
from myrtlehook_core.process.shares import Shares, note_asked
from myrtlehook_core.request.charges import (
    cancel_charge,
    charge_known,
    grow_charge,
    settle_charge,
)
from myrtlehook_core.request.outcomes import RefusalReason, RetryReason
from myrtlehook_core.request.requests import RequestSpecification

ASK_INTERVAL_S = 0.1
"""A request that has no answer is asked for again after this long."""

OWNER_SILENCE_S = 0.35
"""After this long without any answer from an owner the entry decides alone."""

RECENT_PARTS = 400
"""Parts remembered for each engine, to tell a new owner what its cache holds."""


@dataclass(slots=True)
class Admission:
    """A request that waits for an engine, or runs at one."""

    request: RequestSpecification
    tier: int = 0
    """How many times over its workspace has asked for its share."""
    backend_server: str = ""
    asked_at_s: float = 0.0
    next_ask_s: float = 0.0
    hop: int = 0
    tried: set[str] = field(default_factory=set)
    retry_after_s: float = 0.0
    granted: bool = False
    begun: bool = False
    unread_tokens: int = 0


@dataclass(slots=True)
class Admissions:
    """All requests for model engines at this router."""

    open: dict[str, Admission] = field(default_factory=dict)
    recent_parts: dict[str, OrderedDict[str, int]] = field(default_factory=dict)
    """For each engine, the parts of prompts that this router has sent there."""


@dataclass(slots=True)
class AdmissionContext:
    """What the functions here need besides their own state."""

    entry: Entry
    entry_context: EntryContext
    shares: Shares
    owner_of: Callable[[str], str | None]
    leaving: frozenset[str]


def is_admitted_by_tokens(context: EntryContext, request: RequestSpecification) -> bool:
    """Tell whether a request goes to a model engine that is loaded by tokens."""
    pool = context.configuration.pools.get(request.pool)
    return pool is not None and pool.engine is not None


def open_admission(
    admissions: Admissions, context: AdmissionContext, request: RequestSpecification, now_s: float
) -> None:
    """Ask for an engine for a new request, or refuse it."""
    entry = context.entry
    reason = find_refusal(entry, context.entry_context, key_of(request), request, now_s)
    if reason is not None:
        refuse_request(entry, context.entry_context, request, reason, now_s)
        return
    entry.attempts[request.request_id] = 0
    count_queued(entry, request, 1)
    tier = note_asked(
        context.shares, request.pool, request.workspace, expected_tokens(request), now_s
    )
    admission = Admission(request, tier)
    admissions.open[request.request_id] = admission
    ask_next(admissions, context, admission, now_s)


def ask_next(
    admissions: Admissions, context: AdmissionContext, admission: Admission, now_s: float
) -> None:
    """Ask for the next engine in the request's order, or refuse the request."""
    options = context.entry_context.options
    candidates = _rank_engines(context, admission.request)
    left = [name for name in candidates if name not in admission.tried]
    if not candidates or admission.request.deadline_s <= now_s:
        late = admission.request.deadline_s <= now_s
        reason = RefusalReason.DEADLINE_PASSED if late else RefusalReason.NO_BACKEND_SERVER
        _refuse(admissions, context, admission, reason, now_s)
        return
    if not left or admission.hop >= options.engines_asked:
        _refuse(admissions, context, admission, RefusalReason.DEADLINE_UNREACHABLE, now_s)
        return
    admission.backend_server = left[0]
    admission.tried.add(left[0])
    admission.asked_at_s = now_s
    _ask(context, admission, now_s)


def take_grant(
    admissions: Admissions,
    context: AdmissionContext,
    sender: str,
    grant: AdmissionGrant,
    now_s: float,
) -> None:
    """Send a request to its engine, or give a grant back that nothing waits for."""
    admission = admissions.open.get(grant.request_id)
    if admission is None or admission.backend_server != grant.backend_server:
        release = AdmissionRelease(grant.request_id, grant.backend_server, ran=False)
        context.entry_context.post.add(sender, release)
        return
    if admission.granted:
        return
    if admission.request.deadline_s <= now_s:
        _refuse(admissions, context, admission, RefusalReason.DEADLINE_PASSED, now_s)
    else:
        _dispatch(admissions, context, admission, grant.unread_tokens, now_s)


def take_refusal(
    admissions: Admissions, context: AdmissionContext, refusal: AdmissionRefusal, now_s: float
) -> None:
    """Ask for the next engine."""
    admission = admissions.open.get(refusal.request_id)
    if admission is None or admission.granted:
        return
    if admission.backend_server != refusal.backend_server:
        return
    wait_s = refusal.retry_after_ms / 1000.0
    if admission.hop == 0 or wait_s < admission.retry_after_s:
        admission.retry_after_s = wait_s
    admission.hop += 1
    ask_next(admissions, context, admission, now_s)


def note_progress(
    admissions: Admissions, context: AdmissionContext, request_id: str, observed_units: float
) -> bool:
    """Tell the owner when an answer begins; False when the request is not one of these."""
    admission = admissions.open.get(request_id)
    if admission is None or not admission.granted:
        return admission is not None
    account = account_of(context.entry, key_of(admission.request), context.entry_context.draw)
    grow_charge(account, request_id, observed_units)
    if not admission.begun:
        admission.begun = True
        _tell_owner(context, admission, AdmissionProgress(request_id, admission.backend_server))
    return True


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
    account = account_of(entry, key_of(admission.request), context.entry_context.draw)
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
    account = account_of(entry, key_of(admission.request), context.entry_context.draw)
    cancel_charge(account, request_id)
    failed = reason is not RetryReason.LEASE_EXPIRED
    release = AdmissionRelease(request_id, admission.backend_server, False, failed)
    _tell_owner(context, admission, release)
    admission.granted = False
    admission.begun = False
    admission.hop = 0
    count_queued(entry, admission.request, 1)
    if may_retry(entry, context.entry_context, admission.request, reason, now_s):
        context.entry_context.out.add(RetryNoted(request_id, reason))
        ask_next(admissions, context, admission, now_s)
        return True
    late = admission.request.deadline_s <= now_s
    refusal = RefusalReason.DEADLINE_PASSED if late else RefusalReason.RETRIES_EXHAUSTED
    _refuse(admissions, context, admission, refusal, now_s)
    return True


def tick_admissions(admissions: Admissions, context: AdmissionContext, now_s: float) -> None:
    """Ask again where no answer came, decide alone where an owner is silent."""
    for admission in list(admissions.open.values()):
        if admission.granted:
            continue
        if admission.request.deadline_s <= now_s:
            _refuse(admissions, context, admission, RefusalReason.DEADLINE_PASSED, now_s)
        elif admission.request.workspace not in context.entry_context.configuration.workspaces:
            reason = RefusalReason.CONFIGURATION_REMOVED
            _refuse(admissions, context, admission, reason, now_s)
        elif not _is_usable(context, admission.backend_server):
            ask_next(admissions, context, admission, now_s)
        elif now_s >= admission.next_ask_s:
            _ask(context, admission, now_s)


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
            context.entry_context.post.add(owner, HeldAdmissions(name, rows, parts))
    for admission in admissions.open.values():
        if not admission.granted and admission.backend_server in moved:
            _ask(context, admission, now_s)


def forget_engines(admissions: Admissions, known: frozenset[str]) -> None:
    """Drop what is remembered of engines that are gone."""
    for name in admissions.recent_parts.keys() - known:
        del admissions.recent_parts[name]


def _ask(context: AdmissionContext, admission: Admission, now_s: float) -> None:
    request = admission.request
    admission.next_ask_s = now_s + ASK_INTERVAL_S
    owner = context.owner_of(admission.backend_server)
    if owner is None:
        return
    message = AdmissionRequest(
        request_id=request.request_id,
        backend_server=admission.backend_server,
        workspace=request.workspace,
        parts=tuple(PartRow(part.part_id, part.tokens) for part in request.prompt_parts),
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        aim_left_ms=round((request.aim_deadline_s - now_s) * 1000.0),
        deadline_left_ms=round((request.deadline_s - now_s) * 1000.0),
        priority=request.priority,
        tier=admission.tier,
        hop=admission.hop,
    )
    context.entry_context.post.add(owner, message)


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
    admission.unread_tokens = unread_tokens
    count_queued(entry, request, -1)
    account = account_of(entry, key_of(request), context.entry_context.draw)
    priority_units = virtual_service_units(entry, key_of(request))
    workspace = context.entry_context.configuration.workspaces.get(request.workspace)
    share = 1.0 if workspace is None else workspace.share
    charge_known(account, request.request_id, float(expected_tokens(request)), share)
    attempt = entry.attempts.get(request.request_id, 0) + 1
    entry.attempts[request.request_id] = attempt
    entry.retry_budget = min(entry.retry_budget + options.retry_ratio, options.retry_burst)
    _remember_parts(admissions, admission)
    context.entry_context.out.add(
        Dispatch(
            request.request_id,
            admission.backend_server,
            attempt,
            priority_units,
            now_s + options.grant_lease_s,
        )
    )


def expected_tokens(request: RequestSpecification) -> int:
    """Return a request's size as shares count it: a token made counts twice."""
    return request.prompt_tokens + 2 * request.output_tokens


def _remember_parts(admissions: Admissions, admission: Admission) -> None:
    recent = admissions.recent_parts.setdefault(admission.backend_server, OrderedDict())
    for part in admission.request.prompt_parts:
        recent.pop(part.part_id, None)
        recent[part.part_id] = part.tokens
    while len(recent) > RECENT_PARTS:
        recent.popitem(last=False)


def _refuse(
    admissions: Admissions,
    context: AdmissionContext,
    admission: Admission,
    reason: RefusalReason,
    now_s: float,
) -> None:
    request = admission.request
    del admissions.open[request.request_id]
    _forget(context, admission, ran=False)
    refuse_with(context.entry_context, request, reason, admission.retry_after_s)


def _forget(
    context: AdmissionContext, admission: Admission, ran: bool, failed: bool = False
) -> None:
    request_id = admission.request.request_id
    context.entry.attempts.pop(request_id, None)
    if not admission.granted:
        count_queued(context.entry, admission.request, -1)
    if admission.backend_server:
        release = AdmissionRelease(request_id, admission.backend_server, ran, failed)
        _tell_owner(context, admission, release)


def _tell_owner(
    context: AdmissionContext,
    admission: Admission,
    message: AdmissionProgress | AdmissionRelease,
) -> None:
    owner = context.owner_of(admission.backend_server)
    if owner is not None:
        context.entry_context.post.add(owner, message)


def _rank_engines(context: AdmissionContext, request: RequestSpecification) -> list[str]:
    """Return the pool's usable engines, the one that likely keeps the prompt's parts first."""
    names = [
        server.name
        for server in context.entry_context.configuration.backend_servers.values()
        if server.pool == request.pool and _is_usable(context, server.name)
    ]
    return list(rank_routers(f"engine/{_affinity_key(request)}", names, len(names)))


def _affinity_key(request: RequestSpecification) -> str:
    """Return what requests share that are best served by the same engine."""
    parts = request.prompt_parts
    if len(parts) >= 2:
        return parts[-2].part_id
    return parts[0].part_id if parts else request.request_id


def _is_usable(context: AdmissionContext, name: str) -> bool:
    server = context.entry_context.configuration.backend_servers.get(name)
    return server is not None and not server.leaving and name not in context.leaving


def _held_row(admission: Admission) -> HeldAdmissionRow:
    request = admission.request
    return HeldAdmissionRow(
        request_id=request.request_id,
        workspace=request.workspace,
        parts=tuple(PartRow(part.part_id, part.tokens) for part in request.prompt_parts),
        total_tokens=request.prompt_tokens + request.output_tokens,
        unread_tokens=admission.unread_tokens,
        begun=admission.begun,
    )
