"""The ledger: adds up the service that all routers report for a workspace.

Reports are cumulative per account row, and the latest by sequence counts, so lost,
doubled and late ones do no harm. A new ledger starts from the totals that entries
hand to it: ``base_units`` holds what no row that has reported accounts for.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.messages import Report, ReportRow, TotalRow, WaitingState
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.request.requests import PoolKey

GROWTH_WEIGHT = 0.2
"""Weight of the newest report in a row's running rate of growth."""

MINIMUM_LOCAL_PART = 0.05
"""The part of a workspace's service on this side of a cut counts as at least this,
so that a part that was tiny by chance does not multiply its charge without bound."""


@dataclass(slots=True)
class LedgerRow:
    """What one account at one router has reported."""

    router_id: str
    sequence: int
    served_units: int
    reported_at_s: float
    growth_units_per_s: float = 0.0


@dataclass(slots=True)
class LedgerAccount:
    """One workspace in one pool, across the fleet."""

    created_at_s: float
    rows: dict[tuple[str, int], LedgerRow] = field(default_factory=dict)
    base_units: float = 0.0
    lift_units: float = 0.0
    active_until_s: float = -math.inf
    reported_at_s: float = 0.0
    beyond_units: float = 0.0
    """Estimate of what the unreachable part of the fleet has served since a cut."""


@dataclass(slots=True)
class Ledger:
    """All accounts that this router keeps, and the floors it has heard of."""

    accounts: dict[PoolKey, LedgerAccount] = field(default_factory=dict)
    floors_units: dict[str, int] = field(default_factory=dict)


Reachable = Callable[[str], bool]


def total_units(account: LedgerAccount) -> float:
    """Return the workspace's virtual service across the fleet."""
    rows_units = sum(row.served_units for row in account.rows.values())
    return rows_units + account.base_units + account.lift_units + account.beyond_units


def take_report(
    ledger: Ledger,
    sender: str,
    report: Report,
    now_s: float,
    options: CoreOptions,
    reachable: Reachable,
) -> tuple[TotalRow, ...]:
    """Merge a report and return the totals of its rows."""
    for floor in report.floors:
        known_units = ledger.floors_units.get(floor.pool, 0)
        ledger.floors_units[floor.pool] = max(known_units, floor.floor_units)
    return tuple(_take_row(ledger, sender, row, now_s, options, reachable) for row in report.rows)


def drop_idle_accounts(ledger: Ledger, now_s: float, options: CoreOptions) -> None:
    """Forget accounts that no router has reported for a while, to bound memory."""
    idle = [
        key
        for key, account in ledger.accounts.items()
        if now_s - account.reported_at_s > options.idle_drop_s
    ]
    for key in idle:
        del ledger.accounts[key]


def _take_row(
    ledger: Ledger,
    sender: str,
    row: ReportRow,
    now_s: float,
    options: CoreOptions,
    reachable: Reachable,
) -> TotalRow:
    key = PoolKey(row.workspace, row.pool)
    account = ledger.accounts.get(key)
    if account is None:
        account = LedgerAccount(created_at_s=now_s)
        ledger.accounts[key] = account
    account.reported_at_s = now_s
    _merge_row(account, sender, row, now_s, options, reachable)
    _take_over_total(account, row, now_s, options)
    _note_waiting(account, ledger.floors_units.get(row.pool, 0), row, now_s, options)
    served_units = account.rows[sender, row.row_id].served_units
    total = round(total_units(account))
    return TotalRow(row.workspace, row.pool, total, row.row_id, served_units)


def _merge_row(
    account: LedgerAccount,
    sender: str,
    row: ReportRow,
    now_s: float,
    options: CoreOptions,
    reachable: Reachable,
) -> None:
    known = account.rows.get((sender, row.row_id))
    if known is None:
        known = LedgerRow(sender, row.sequence, row.served_units, now_s)
        account.rows[sender, row.row_id] = known
        # What this row brings was part of the total that was handed over.
        account.base_units = max(0.0, account.base_units - row.served_units)
    elif row.sequence > known.sequence:
        growth_units = row.served_units - known.served_units
        known.sequence = row.sequence
        known.served_units = row.served_units
        _note_growth(account, known, growth_units, now_s, options, reachable)


def _note_growth(
    account: LedgerAccount,
    row: LedgerRow,
    growth_units: float,
    now_s: float,
    options: CoreOptions,
    reachable: Reachable,
) -> None:
    elapsed_s = max(now_s - row.reported_at_s, 1e-3)
    row.reported_at_s = now_s
    weight = 1.0 - (1.0 - GROWTH_WEIGHT) ** (elapsed_s / options.refresh_interval_s)
    row.growth_units_per_s += weight * (growth_units / elapsed_s - row.growth_units_per_s)
    lost = [other for other in account.rows.values() if not reachable(other.router_id)]
    cut = [other for other in lost if now_s - other.reported_at_s < options.cut_memory_s]
    if not cut:
        account.beyond_units = 0.0
        return
    account.beyond_units += growth_units * _beyond_ratio(account, cut)


def _beyond_ratio(account: LedgerAccount, cut: list[LedgerRow]) -> float:
    """Return how much is served beyond the cut for each unit served on this side."""
    beyond = sum(max(row.growth_units_per_s, 0.0) for row in cut)
    everywhere = sum(max(row.growth_units_per_s, 0.0) for row in account.rows.values())
    if everywhere <= 0.0:
        return 0.0
    local_part = max(1.0 - beyond / everywhere, MINIMUM_LOCAL_PART)
    return 1.0 / local_part - 1.0


def _take_over_total(
    account: LedgerAccount, row: ReportRow, now_s: float, options: CoreOptions
) -> None:
    if now_s - account.created_at_s > options.handover_s:
        return
    missing_units = row.known_total_units - total_units(account)
    if missing_units > 0:
        account.base_units += missing_units


def _note_waiting(
    account: LedgerAccount, floor_units: int, row: ReportRow, now_s: float, options: CoreOptions
) -> None:
    if row.waiting == WaitingState.NOTHING:
        return
    # A cut may have kept a ledger from hearing of a workspace that waited all along.
    was_idle = now_s > account.active_until_s and row.waiting == WaitingState.RETURNED
    account.active_until_s = now_s + options.idle_grace_s
    if was_idle:
        account.lift_units += max(0.0, floor_units - total_units(account))
