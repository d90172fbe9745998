"""Steps that check properties of the decision core with hypothesis."""

import json
import random
from typing import Any

import msgspec
from behave import then
from hypothesis import given
from hypothesis import strategies as st

from bench.core_drive import Load, make_configuration
from myrtlehook_core import (
    CoreOptions,
    EventVerdict,
    MemberState,
    RouterIdentity,
    StreamPosition,
    decode_envelope,
    encode_envelope,
    judge_event,
)
from myrtlehook_core.process import messages
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.ledgers import Ledger, compute_total_units, merge_report
from myrtlehook_core.process.members import Member, MemberTable, apply_member_row
from myrtlehook_core.process.membership_messages import MemberRow
from myrtlehook_core.process.messages import (
    Envelope,
    FloorRow,
    Grant,
    Report,
    ReportRow,
    WaitingState,
)
from myrtlehook_core.process.placements import Placement, find_ledgers, refresh_placement
from myrtlehook_core.request.charges import (
    ServiceAccount,
    cancel_charge,
    charge_early,
    grow_charge,
    settle_charge,
)
from myrtlehook_core.request.requests import PoolKey
from myrtlehook_core.version.assembly import digest_text
from myrtlehook_core.version.exchange import ConfigurationExchange, handle_document, handle_manifest

KEY = PoolKey("w", "p")
OPTIONS = CoreOptions()
SERVICE = st.integers(0, 10_000)


def _make_row(
    row_id: int,
    sequence: int,
    served: int,
    known_total: int = -1,
    waiting: WaitingState = WaitingState.RETURNED,
) -> ReportRow:
    return ReportRow("w", "p", row_id, sequence, served, int(waiting), known_total)


def _merge_report(ledger: Ledger, sender: str, row: ReportRow, now_s: float, floor: int = 0) -> int:
    report = Report(True, (FloorRow("p", floor),), (row,))
    totals = merge_report(ledger, sender, report, now_s, OPTIONS, lambda router: True)
    return totals[0].total_units


@then("for any reports, lost, duplicated and out of order, two ledgers converge")
def check_convergence(context: Any) -> None:
    histories = st.lists(st.lists(SERVICE, min_size=1, max_size=6), min_size=1, max_size=5)

    @given(histories, st.randoms(use_true_random=False))
    def check(rows: list[list[int]], draw: random.Random) -> None:
        sent = [
            (f"r{index}", _make_row(index, sequence, served))
            for index, history in enumerate(rows)
            for sequence, served in enumerate(history)
        ]
        ledgers = (Ledger(), Ledger())
        for ledger in ledgers:
            seen = [item for item in sent * 2 if draw.random() < 0.6]
            draw.shuffle(seen)
            for sender, row in seen:
                _merge_report(ledger, sender, row, 10.0)
            for index, history in enumerate(rows):
                _merge_report(
                    ledger, f"r{index}", _make_row(index, len(history), history[-1]), 11.0
                )
        expected = sum(history[-1] for history in rows)
        for ledger in ledgers:
            account = ledger.accounts[KEY]
            assert compute_total_units(account) - account.lift_units == expected

    check()


@then("for any floor, a returning workspace starts at the floor or above")
def check_no_credit(context: Any) -> None:
    @given(SERVICE, SERVICE, st.floats(1.1, 100.0))
    def check(served: int, floor: int, idle_s: float) -> None:
        ledger = Ledger()
        first = _merge_report(ledger, "r", _make_row(1, 1, served), 0.0)
        assert first == served
        back = _merge_report(ledger, "r", _make_row(1, 2, served), idle_s, floor)
        assert back == max(served, floor)
        # A workspace with waiting requests is not lifted again.
        later = _merge_report(ledger, "r", _make_row(1, 3, served), idle_s + 0.2, floor + 500)
        assert later == back

    check()


@then("for any silence, a workspace that waited all along is not lifted")
def check_no_lift(context: Any) -> None:
    @given(SERVICE, SERVICE, st.integers(0, 500), st.floats(1.1, 100.0))
    def check(served: int, floor: int, more: int, silent_s: float) -> None:
        ledger = Ledger()
        _merge_report(ledger, "r", _make_row(1, 1, served), 0.0)
        steady = _make_row(1, 2, served + more, waiting=WaitingState.STEADY)
        assert _merge_report(ledger, "r", steady, silent_s, floor) == served + more

    check()


@then("for any service by living and dead routers, a new ledger's total is the old one")
def check_handover(context: Any) -> None:
    @given(SERVICE, st.lists(SERVICE, min_size=1, max_size=6), st.randoms(use_true_random=False))
    def check(dead: int, living: list[int], draw: random.Random) -> None:
        total = dead + sum(living)
        ledger = Ledger()
        reports = [
            (f"r{index}", _make_row(index, 5, served, total)) for index, served in enumerate(living)
        ]
        draw.shuffle(reports)
        for sender, row in reports * 2:
            _merge_report(ledger, sender, row, 0.5)
        assert compute_total_units(ledger.accounts[KEY]) == total

    check()


@then("for any course of requests, the account ends at the sum of true costs")
def check_true_costs(context: Any) -> None:
    course = st.tuples(st.floats(0, 5000), st.floats(0, 5000), st.booleans())

    @given(st.lists(course, max_size=30), st.floats(0.5, 10))
    def check(courses: list[tuple[float, float, bool]], share: float) -> None:
        account = ServiceAccount(1)
        expected = 0.0
        for index, (observed, cost, ran) in enumerate(courses):
            name = str(index)
            charge_early(account, name, share)
            if not ran:
                cancel_charge(account, name)
                continue
            grow_charge(account, name, observed)
            settle_charge(account, name, cost)
            settle_charge(account, name, cost)
            expected += cost / share
        assert abs(account.served_units - expected) < 1e-6 * max(1.0, expected)
        assert not account.charges

    check()


@then("for any arrival of events, the client receives a prefix of its own answer")
def check_streams(context: Any) -> None:
    arrivals = st.lists(st.tuples(st.sampled_from(["mine", "other"]), st.integers(0, 8)))

    @given(arrivals)
    def check(arrived: list[tuple[str, int]]) -> None:
        position = StreamPosition("mine")
        delivered = [
            offset
            for owner, offset in arrived
            if judge_event(position, owner, offset) is EventVerdict.DELIVER
        ]
        assert delivered == list(range(len(delivered)))
        assert position.next_offset == len(delivered)

    check()


@then("for any order of manifests, the version in force only rises")
def check_versions(context: Any) -> None:
    part = '{"pools": [{"name": "p", "kind": "service"}]}'
    reference = {"key": "k", "digest": digest_text(part)}
    numbers = st.lists(st.tuples(st.integers(1, 5), st.integers(0, 2)), max_size=20)

    @given(numbers)
    def check(published: list[tuple[int, int]]) -> None:
        exchange = ConfigurationExchange()
        best = exchange.current.version
        for number, variant in published:
            content = {"version": number, "parts": [reference]}
            manifest = json.dumps(content) + " " * variant
            handle_manifest(exchange, manifest, "platform")
            handle_document(exchange, part, "platform")
            assert exchange.current.version >= best
            best = exchange.current.version
        if published:
            assert best.number == max(number for number, _ in published)

    check()


@then("for any news, a member's incarnation and state only go forward")
def check_news(context: Any) -> None:
    rows = st.lists(st.tuples(st.integers(1, 4), st.integers(0, 5)), max_size=30)

    @given(rows)
    def check(received: list[tuple[int, int]]) -> None:
        table = MemberTable(RouterIdentity("me", "a:1", 1), 1)
        last = (-1, -1)
        for incarnation, state in received:
            apply_member_row(table, MemberRow("other", "b:1", incarnation, state), 0.0, 1.0)
            member = table.members.get("other")
            if member is not None:
                now = (member.incarnation, int(member.state))
                assert now >= last
                last = now
        expected = [(i, s) for i, s in received if s <= int(MemberState.LEAVING)]
        assert last == max(expected, default=(-1, -1))

    check()


@then("for any fleet, the loss of a router moves only what it owned")
def check_ownership(context: Any) -> None:
    fleets = st.sets(st.integers(0, 99), min_size=2, max_size=20)

    @given(fleets, st.integers(0, 19))
    def check(numbers: set[int], index: int) -> None:
        routers = sorted(f"vm-{number}" for number in numbers)
        lost = routers[index % len(routers)]
        remaining = [router for router in routers if router != lost]
        for server in range(20):
            before = rank_routers(f"server/{server}", routers, 2)
            after = rank_routers(f"server/{server}", remaining, 1)[0]
            assert after == (before[1] if before[0] == lost else before[0])

    check()


@then("for any course of joins and losses, updated ownership equals recomputed ownership")
def check_incremental_ownership(context: Any) -> None:
    steps = st.lists(st.sets(st.integers(1, 12), max_size=10), min_size=1, max_size=8)

    @given(steps)
    def check(fleets: list[set[int]]) -> None:
        load = Load("w0", 1.0, 10.0, (0,))
        configuration = make_configuration([load], 10, 1)
        table = MemberTable(RouterIdentity("r0", "r0", 1), 1)
        refreshed = Placement()
        for others in fleets:
            for number in range(1, 13):
                state = MemberState.ALIVE if number in others else MemberState.DEAD
                name = f"r{number}"
                table.members[name] = Member(name, name, 1, state)
            table.version += 1
            refresh_placement(refreshed, table, configuration)
            ledgers = find_ledgers(refreshed, KEY, 2)
            recomputed = Placement()
            refresh_placement(recomputed, table, configuration)
            assert refreshed.server_owners == recomputed.server_owners
            assert refreshed.pool_owners == recomputed.pool_owners
            assert ledgers == find_ledgers(recomputed, KEY, 2)

    check()


@then("any envelope is decoded as it was encoded")
def check_wire(context: Any) -> None:
    text = st.text(max_size=8)
    count = st.integers(0, 2**40)
    grants = st.builds(Grant, count, text, text, text, st.floats(0, 1e9), count)
    rows = st.builds(
        ReportRow, text, text, count, count, count, st.integers(0, 2), st.integers(-1, 9)
    )
    reports = st.builds(Report, st.booleans(), st.just(()), st.lists(rows, max_size=3).map(tuple))

    @given(text, count, st.lists(grants | reports, max_size=4).map(tuple))
    def check(sender: str, incarnation: int, sent: tuple[messages.Message, ...]) -> None:
        envelope = Envelope(sender, incarnation, sent)
        assert decode_envelope(encode_envelope(envelope)) == envelope

    check()


@then("any bytes are decoded, or rejected with a decoding error")
def check_invalid_bytes(context: Any) -> None:
    @given(st.binary(max_size=200))
    def check(content: bytes) -> None:
        try:
            decode_envelope(content)
        except msgspec.DecodeError:
            return

    check()
