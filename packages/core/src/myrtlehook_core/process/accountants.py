"""The accountant of a pool: the router that computes the level of the workspaces' shares.

It keeps running sums over the latest report of each router, so that the cost of a report grows
only with its own rows. The level is computed at each report.
"""

from dataclasses import dataclass, field

from myrtlehook_core.process.actions import ShareLevelReported
from myrtlehook_core.process.admission_messages import DemandReport, DemandRow, ShareLevel

REPORT_LEASE_S = 1.0
"""Time after which a report that was not refreshed is dropped."""

UNLIMITED = -1

HEADROOM_FACTOR = 1.1
"""While almost nothing is refused, the capacity to share out is this multiple of the tokens that
engines have recently admitted, up to the configured capacity. The headroom keeps it above the
demand, so that no level applies unless engines admit more than the configured capacity."""

SHARED_FRACTION = 0.8
"""Fraction of the tokens recently admitted by engines that is shared out while many requests are
refused, so that engines can admit all requests within the shares."""

SHARED_FRACTION_ABOVE_CONFIGURED = 0.7
"""The same fraction where engines admit more than the configured capacity. Requests within shares
are served first, whatever their length; the remainder leaves room for short requests beyond the
shares."""

MIN_SHARED_FRACTION = 0.05
"""Fraction of the configured capacity that is shared out even if engines admit nothing. A level
of 0 tokens would have no effect."""

LEVEL_NOTICE_INTERVAL_S = 1.0
"""How often a level is logged for operators while one applies."""

MAX_NOTICE_WORKSPACES = 8
"""Number of workspaces above the level that are logged, the largest first."""


@dataclass(frozen=True, slots=True)
class RouterReport:
    """The latest report of one router."""

    rows: tuple[DemandRow, ...]
    deadline_s: float


@dataclass(slots=True)
class PoolAccount:
    """The reports on one pool and their sums, at its accountant or at a collector."""

    reports: dict[str, RouterReport] = field(default_factory=dict)
    """By router."""
    asked_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace. Sum over all reports."""
    refused_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace. Those of the asked tokens that no engine admitted."""
    granted_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace. Tokens that engines admitted."""
    next_notice_s: float = 0.0


def record_demand_report(
    accounts: dict[str, PoolAccount],
    sender: str,
    report: DemandReport,
    configured_tokens: float,
    now_s: float,
) -> ShareLevel:
    """Record a router's report and return the resulting level."""
    account = accounts.setdefault(report.pool, PoolAccount())
    replace_report(account, sender, report.rows, now_s)
    return _compute_share_level(account, report.pool, configured_tokens)


def replace_report(
    account: PoolAccount, sender: str, rows: tuple[DemandRow, ...], now_s: float
) -> None:
    """Replace a router's previous report and drop expired ones."""
    _remove_report(account, sender)
    account.reports[sender] = RouterReport(rows, now_s + REPORT_LEASE_S)
    _add_rows(account, rows, 1)
    expire_reports(account, now_s)


def describe_level(
    account: PoolAccount, level: ShareLevel, configured_tokens: float, now_s: float
) -> ShareLevelReported | None:
    """Return the log notice of a level; None if no level applies or none is due yet."""
    if level.level_tokens == UNLIMITED or now_s < account.next_notice_s:
        return None
    account.next_notice_s = now_s + LEVEL_NOTICE_INTERVAL_S
    largest = sorted(level.rows, key=lambda row: row.asked_tokens, reverse=True)
    return ShareLevelReported(
        pool=level.pool,
        level_tokens=level.level_tokens,
        configured_tokens=configured_tokens,
        shared_tokens=compute_shared_tokens(account, configured_tokens),
        asked_tokens=sum(account.asked_tokens.values()),
        refused_tokens=sum(account.refused_tokens.values()),
        reports=len(account.reports),
        above=tuple(largest[:MAX_NOTICE_WORKSPACES]),
    )


def sum_reports(account: PoolAccount) -> tuple[DemandRow, ...]:
    """Return the sums over all recorded reports, by workspace."""
    names = account.asked_tokens.keys() | account.granted_tokens.keys()
    return tuple(
        DemandRow(
            name,
            account.asked_tokens.get(name, 0),
            account.refused_tokens.get(name, 0),
            account.granted_tokens.get(name, 0),
        )
        for name in sorted(names)
    )


def compute_shared_tokens(account: PoolAccount, configured_tokens: float) -> float:
    """Return the capacity to share out, from the tokens that engines have recently admitted.

    :param configured_tokens: the engines' capacity within the window by the configuration.

    Engines that are lost, slow or have to read prompts again do less than the configured
    capacity. Sharing out capacity that they lack would leave the whole shortage to the workspaces
    just above the level, because those below it are served first in any case. Engines that have
    most of their prompts cached do more than the configured capacity. Sharing out less than they
    can do would leave the rest to the workspaces with the shortest prompts, because only requests
    within a share are tried again after a refusal. Requests that still wait do not count as
    admitted: shares that included them would make more requests wait.
    """
    refused_tokens = sum(account.refused_tokens.values())
    granted_tokens = sum(account.granted_tokens.values())
    headroom_tokens = min(HEADROOM_FACTOR * granted_tokens - refused_tokens, configured_tokens)
    within_tokens = min(SHARED_FRACTION * granted_tokens, configured_tokens)
    beyond_tokens = SHARED_FRACTION_ABOVE_CONFIGURED * granted_tokens
    return max(
        within_tokens, beyond_tokens, headroom_tokens, MIN_SHARED_FRACTION * configured_tokens
    )


def compute_level(demands: list[int], capacity: float) -> float | None:
    """Return the max-min fair level: the limit per demand at which all together use the capacity.

    :returns: None if the capacity covers all demands.
    """
    remaining = capacity
    rising = sorted(demands)
    for index, demand in enumerate(rising):
        equal = remaining / (len(rising) - index)
        if demand > equal:
            return equal
        remaining -= demand
    return None


def _compute_share_level(account: PoolAccount, pool: str, configured_tokens: float) -> ShareLevel:
    shared_tokens = compute_shared_tokens(account, configured_tokens)
    level = compute_level(list(account.asked_tokens.values()), shared_tokens)
    if level is None:
        return ShareLevel(pool, UNLIMITED, ())
    above = tuple(row for row in sum_reports(account) if row.asked_tokens > level)
    return ShareLevel(pool, round(level), above)


def expire_reports(account: PoolAccount, now_s: float) -> None:
    """Drop reports that were not refreshed in time."""
    expired = [router for router, report in account.reports.items() if now_s >= report.deadline_s]
    for router in expired:
        _remove_report(account, router)


def _remove_report(account: PoolAccount, router: str) -> None:
    report = account.reports.pop(router, None)
    if report is not None:
        _add_rows(account, report.rows, -1)


def _add_rows(account: PoolAccount, rows: tuple[DemandRow, ...], sign: int) -> None:
    for row in rows:
        _add(account.asked_tokens, row.workspace, sign * row.asked_tokens)
        _add(account.refused_tokens, row.workspace, sign * row.refused_tokens)
        _add(account.granted_tokens, row.workspace, sign * row.granted_tokens)


def _add(sums: dict[str, int], workspace: str, tokens: int) -> None:
    total = sums.get(workspace, 0) + tokens
    if total > 0:
        sums[workspace] = total
    else:
        sums.pop(workspace, None)
