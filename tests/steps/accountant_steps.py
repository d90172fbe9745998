"""Steps of a pool's accountant: its sums against the reports that it heard."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from behave import then
from hypothesis import given
from hypothesis import strategies as st

from myrtlehook_core.process.accountants import (
    REPORT_LEASE_S,
    UNLIMITED,
    PoolAccount,
    compute_level,
    compute_shared_tokens,
    record_demand_report,
    replace_report,
)
from myrtlehook_core.process.admission_messages import DemandReport, DemandRow

REPORT_STEP_S = 0.15
"""Some reports of a history are then older than their lease at its end."""


@then("for any reports of any routers, the level is the one of the last reports together")
def check_sums(context: Any) -> None:
    tokens = st.integers(0, 5000)
    row = st.builds(DemandRow, st.sampled_from(["a", "b", "c", "d"]), tokens, tokens, tokens)
    reports = st.lists(st.tuples(st.sampled_from(["r1", "r2", "r3"]), st.lists(row, max_size=4)))

    @given(reports, st.integers(1, 20_000))
    def check(heard: list[tuple[str, list[DemandRow]]], capacity: int) -> None:
        accounts: dict[str, PoolAccount] = {}
        now_s = 0.0
        for router, rows in heard:
            now_s += REPORT_STEP_S
            record_demand_report(accounts, router, DemandReport("p", tuple(rows)), capacity, now_s)
        # Any later report brings the level up to date.
        now_s += REPORT_STEP_S
        told = record_demand_report(accounts, "r9", DemandReport("p", ()), capacity, now_s)
        sums = _sum_last(heard, now_s)
        asked = [row.asked_tokens for row in sums]
        level = compute_level(asked, compute_shared_tokens(account_of(sums), float(capacity)))
        assert told.level_tokens == (UNLIMITED if level is None else round(level)), (told, sums)
        assert {*told.rows} == {
            row for row in sums if level is not None and row.asked_tokens > level
        }, (told, sums)

    check()


def account_of(rows: Iterable[DemandRow]) -> PoolAccount:
    """Return the account of one router that has reported all of this."""
    account = PoolAccount()
    replace_report(account, "r", tuple(rows), 0.0)
    return account


def _sum_last(heard: list[tuple[str, list[DemandRow]]], now_s: float) -> list[DemandRow]:
    """Add up the last report of each router that is not too old."""
    last: dict[str, tuple[float, list[DemandRow]]] = {}
    for number, (router, rows) in enumerate(heard, start=1):
        last[router] = (number * REPORT_STEP_S, rows)
    asked: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    granted: Counter[str] = Counter()
    for heard_at_s, rows in last.values():
        if now_s < heard_at_s + REPORT_LEASE_S:
            for row in rows:
                asked[row.workspace] += row.asked_tokens
                refused[row.workspace] += row.refused_tokens
                granted[row.workspace] += row.granted_tokens
    return [DemandRow(name, asked[name], refused[name], granted[name]) for name in asked]
