"""Steps that compare an accountant's sums with the demand reports that it received."""

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
"""With this interval, some reports are older than their lease at the end of a history."""


@then(
    "for any reports of any routers, the level is the one computed from each router's last report"
)
def check_sums(context: Any) -> None:
    tokens = st.integers(0, 5000)
    row = st.builds(DemandRow, st.sampled_from(["a", "b", "c", "d"]), tokens, tokens, tokens)
    reports = st.lists(st.tuples(st.sampled_from(["r1", "r2", "r3"]), st.lists(row, max_size=4)))

    @given(reports, st.integers(1, 20_000))
    def check(received: list[tuple[str, list[DemandRow]]], capacity: int) -> None:
        accounts: dict[str, PoolAccount] = {}
        now_s = 0.0
        for router, rows in received:
            now_s += REPORT_STEP_S
            record_demand_report(accounts, router, DemandReport("p", tuple(rows)), capacity, now_s)
        # Any later report updates the level.
        now_s += REPORT_STEP_S
        level_message = record_demand_report(accounts, "r9", DemandReport("p", ()), capacity, now_s)
        sums = _sum_last(received, now_s)
        asked = [row.asked_tokens for row in sums]
        level = compute_level(asked, compute_shared_tokens(make_account(sums), float(capacity)))
        assert level_message.level_tokens == (UNLIMITED if level is None else round(level)), (
            level_message,
            sums,
        )
        assert {*level_message.rows} == {
            row for row in sums if level is not None and row.asked_tokens > level
        }, (level_message, sums)

    check()


def make_account(rows: Iterable[DemandRow]) -> PoolAccount:
    """Return an account with all rows in the report of one router."""
    account = PoolAccount()
    replace_report(account, "r", tuple(rows), 0.0)
    return account


def _sum_last(received: list[tuple[str, list[DemandRow]]], now_s: float) -> list[DemandRow]:
    """Sum the last report of each router, without those older than their lease."""
    last: dict[str, tuple[float, list[DemandRow]]] = {}
    for number, (router, rows) in enumerate(received, start=1):
        last[router] = (number * REPORT_STEP_S, rows)
    asked: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    granted: Counter[str] = Counter()
    for received_at_s, rows in last.values():
        if now_s < received_at_s + REPORT_LEASE_S:
            for row in rows:
                asked[row.workspace] += row.asked_tokens
                refused[row.workspace] += row.refused_tokens
                granted[row.workspace] += row.granted_tokens
    return [DemandRow(name, asked[name], refused[name], granted[name]) for name in asked]
