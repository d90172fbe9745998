"""Steps of outages of the source, and of servers whose entries are missing after them."""

import re
from typing import Any

from behave import given, then, when

from myrtlehook_core import BackendServer
from myrtlehook_core.process.source_outages import (
    SourceOutages,
    apply_proof,
    find_return_deadline_s,
    forget_proofs,
    make_proof,
    record_failed_call,
    record_own_proof,
)
from myrtlehook_core.version.withheld_servers import find_withheld_missing

LAPSE_AFTER_S = 2.1
HOP_S = 0.05
TOLERANCE_S = 1e-6


@given("proofs that the source was reachable at {times} s")
def record_proofs(context: Any, times: str) -> None:
    context.outages = SourceOutages()
    for text in re.findall(r"[0-9.]+", times):
        record_own_proof(context.outages, float(text), LAPSE_AFTER_S)


@given("a router whose first calls to the source failed")
def fail_first_calls(context: Any) -> None:
    context.outages = SourceOutages()
    record_failed_call(context.outages)


@when("the next proof is of {at_s:g} s")
@when("a proof of {at_s:g} s arrives late")
def record_next_proof(context: Any, at_s: float) -> None:
    record_own_proof(context.outages, at_s, LAPSE_AFTER_S)


@when("the proof goes round for {seconds:g} s and ages less with each hop")
def hand_round(context: Any, seconds: float) -> None:
    other = SourceOutages()
    now_s = 1.0
    while now_s < 1.0 + seconds:
        apply_proof(other, make_proof(context.outages, now_s), LAPSE_AFTER_S, now_s + HOP_S)
        now_s += HOP_S
        apply_proof(context.outages, make_proof(other, now_s), LAPSE_AFTER_S, now_s + HOP_S)
        now_s += HOP_S


@when("the process has been paused")
def pause(context: Any) -> None:
    forget_proofs(context.outages)


@then("entries that are missing at {now_s:g} s are gone")
def check_gone(context: Any, now_s: float) -> None:
    assert find_return_deadline_s(context.outages, now_s) is None, context.outages


@then("entries that are missing at {now_s:g} s may return until {until_s:g} s")
def check_may_return(context: Any, now_s: float, until_s: float) -> None:
    deadline_s = find_return_deadline_s(context.outages, now_s)
    assert deadline_s is not None, context.outages
    assert abs(deadline_s - until_s) < TOLERANCE_S, deadline_s


def _make_pool(count: int) -> dict[str, BackendServer]:
    return {
        f"e{number}": BackendServer(f"e{number}", "p", "10.0.0.1:80", "z", 4, False, False)
        for number in range(count)
    }


@then("of {count:d} servers in a pool, with entries missing, these are withheld")
def check_withheld(context: Any, count: int) -> None:
    servers = _make_pool(count)
    for row in context.table:
        missing = list(servers)[: int(row["missing"])]
        withheld = find_withheld_missing(servers, missing, ())
        assert len(withheld) == int(row["withheld"]), (row, withheld)
        assert withheld <= set(missing)


@then("servers that leave or are held off do not count as others")
def check_unusable(context: Any) -> None:
    servers = _make_pool(6)
    assert find_withheld_missing(servers, {"e0", "e1"}, {"e2"}) == set()
    assert find_withheld_missing(servers, {"e0"}, {"e1", "e2"}) == {"e0"}
