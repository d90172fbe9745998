"""The ledger: sums the service that all routers report for a workspace.

Reports are cumulative per account row, and the one with the highest sequence number counts, so
that lost, duplicated and delayed reports do no harm. A new ledger starts from the totals that
ingress routers hand over: ``base_units`` holds the service that is part of such a total but not
of any row reported so far.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.messages import Report, ReportRow, TotalRow, WaitingState
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.request.requests import PoolKey

GROWTH_WEIGHT = 0.2
"""Weight of the newest report in the average growth rate of a row, per refresh interval."""

MIN_LOCAL_FRACTION = 0.05
"""Lower bound for the fraction of a workspace's service on this side of a network partition. A
fraction that happened to be tiny would otherwise multiply the workspace's charge without bound."""


@dataclass(slots=True)
class LedgerRow:
    """The latest report of one account at one router."""

    router_id: str
    sequence: int
    served_units: int
    reported_at_s: float
    growth_units_per_s: float = 0.0


@dataclass(slots=True)
class LedgerAccount:
    """The service of one workspace in one pool across the fleet."""

    created_at_s: float
    rows: dict[tuple[str, int], LedgerRow] = field(default_factory=dict)
    base_units: float = 0.0
    lift_units: float = 0.0
    """Units added to raise the workspace to the pool's floor when it returned from idle."""
    active_until_s: float = -math.inf
    reported_at_s: float = 0.0
    unreachable_units: float = 0.0
    """Estimated service by the unreachable part of the fleet since a network partition."""


@dataclass(slots=True)
class Ledger:
    """All accounts that this router keeps, and the highest floor reported for each pool."""

    accounts: dict[PoolKey, LedgerAccount] = field(default_factory=dict)
    floors_units: dict[str, int] = field(default_factory=dict)


Reachable = Callable[[str], bool]


def compute_total_units(account: LedgerAccount) -> float:
    """Return the workspace's virtual service across the fleet."""
    rows_units = sum(row.served_units for row in account.rows.values())
    return rows_units + account.base_units + account.lift_units + account.unreachable_units


def merge_report(
    ledger: Ledger,
    sender: str,
    report: Report,
    now_s: float,
    options: CoreOptions,
    is_reachable: Reachable,
) -> tuple[TotalRow, ...]:
    """Merge a report into the ledger and return the totals for its rows."""
    for floor in report.floors:
        known_units = ledger.floors_units.get(floor.pool, 0)
        ledger.floors_units[floor.pool] = max(known_units, floor.floor_units)
    return tuple(
        _merge_report_row(ledger, sender, row, now_s, options, is_reachable) for row in report.rows
    )


def drop_idle_accounts(ledger: Ledger, now_s: float, options: CoreOptions) -> None:
    """Drop accounts that no router has reported for ``idle_drop_s``, to bound memory."""
    idle = [
        key
        for key, account in ledger.accounts.items()
        if now_s - account.reported_at_s > options.idle_drop_s
    ]
    for key in idle:
        del ledger.accounts[key]


def _merge_report_row(
    ledger: Ledger,
    sender: str,
    row: ReportRow,
    now_s: float,
    options: CoreOptions,
    is_reachable: Reachable,
) -> TotalRow:
    key = PoolKey(row.workspace, row.pool)
    account = ledger.accounts.get(key)
    if account is None:
        account = LedgerAccount(created_at_s=now_s)
        ledger.accounts[key] = account
    account.reported_at_s = now_s
    _merge_row(account, sender, row, now_s, options, is_reachable)
    _adopt_handed_over_total(account, row, now_s, options)
    _update_activity(account, ledger.floors_units.get(row.pool, 0), row, now_s, options)
    served_units = account.rows[sender, row.row_id].served_units
    total = round(compute_total_units(account))
    return TotalRow(row.workspace, row.pool, total, row.row_id, served_units)


def _merge_row(
    account: LedgerAccount,
    sender: str,
    row: ReportRow,
    now_s: float,
    options: CoreOptions,
    is_reachable: Reachable,
) -> None:
    known = account.rows.get((sender, row.row_id))
    if known is None:
        known = LedgerRow(sender, row.sequence, row.served_units, now_s)
        account.rows[sender, row.row_id] = known
        # The units of this row were part of the total that was handed over.
        account.base_units = max(0.0, account.base_units - row.served_units)
    elif row.sequence > known.sequence:
        growth_units = row.served_units - known.served_units
        known.sequence = row.sequence
        known.served_units = row.served_units
        _update_growth(account, known, growth_units, now_s, options, is_reachable)


def _update_growth(
    account: LedgerAccount,
    row: LedgerRow,
    growth_units: float,
    now_s: float,
    options: CoreOptions,
    is_reachable: Reachable,
) -> None:
    elapsed_s = max(now_s - row.reported_at_s, 1e-3)
    row.reported_at_s = now_s
    weight = 1.0 - (1.0 - GROWTH_WEIGHT) ** (elapsed_s / options.refresh_interval_s)
    row.growth_units_per_s += weight * (growth_units / elapsed_s - row.growth_units_per_s)
    unreachable = [other for other in account.rows.values() if not is_reachable(other.router_id)]
    partitioned = [
        other for other in unreachable if now_s - other.reported_at_s < options.cut_memory_s
    ]
    if not partitioned:
        account.unreachable_units = 0.0
        return
    account.unreachable_units += growth_units * _compute_unreachable_ratio(account, partitioned)


def _compute_unreachable_ratio(account: LedgerAccount, partitioned: list[LedgerRow]) -> float:
    """Return the units served beyond the partition for each unit served on this side."""
    unreachable_rate = sum(max(row.growth_units_per_s, 0.0) for row in partitioned)
    total_rate = sum(max(row.growth_units_per_s, 0.0) for row in account.rows.values())
    if total_rate <= 0.0:
        return 0.0
    local_fraction = max(1.0 - unreachable_rate / total_rate, MIN_LOCAL_FRACTION)
    return 1.0 / local_fraction - 1.0


def _adopt_handed_over_total(
    account: LedgerAccount, row: ReportRow, now_s: float, options: CoreOptions
) -> None:
    if now_s - account.created_at_s > options.handover_s:
        return
    missing_units = row.known_total_units - compute_total_units(account)
    if missing_units > 0:
        account.base_units += missing_units


def _update_activity(
    account: LedgerAccount, floor_units: int, row: ReportRow, now_s: float, options: CoreOptions
) -> None:
    if row.waiting_state == WaitingState.NOTHING:
        return
    # STEADY: the workspace has waited all along, and a network partition may have kept its reports
    # from this ledger.
    was_idle = now_s > account.active_until_s and row.waiting_state == WaitingState.RETURNED
    account.active_until_s = now_s + options.idle_grace_s
    if was_idle:
        account.lift_units += max(0.0, floor_units - compute_total_units(account))
