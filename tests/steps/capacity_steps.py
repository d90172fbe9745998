"""Steps of owners that are placed by what their VMs can do."""

from collections import Counter
from typing import Any

import msgspec
from behave import given, then, when
from hypothesis import assume
from hypothesis import given as for_all
from hypothesis import strategies as st
from region_steps import SETTINGS

from bench.core_drive import Load, make_configuration
from myrtlehook_core import RouterIdentity
from myrtlehook_core.process.members import (
    Member,
    MemberState,
    MemberTable,
    apply_member_row,
    make_own_row,
)
from myrtlehook_core.process.membership_messages import MemberRow
from myrtlehook_core.process.placements import Placement, find_ledgers, refresh_placement
from myrtlehook_core.request.requests import PoolKey
from myrtlehook_platform.settings import make_settings, parse_settings

LOAD = Load("w0", 1.0, 10.0, (0,))
KEYS = [PoolKey(f"w{number}", "pool") for number in range(20)]
OWN, OWN_CAPACITY = "r0", 4

SIZES = st.dictionaries(st.integers(1, 12), st.sampled_from([1, 2, 4, 9]), max_size=10)
"""Of the other members, by number."""


class EarlierRow(msgspec.Struct, frozen=True, array_like=True):
    """A member row as an earlier release reads it."""

    router_id: str
    address: str
    incarnation: int
    state: int
    availability_zone: str = ""


def _make_table(sizes: dict[int, int], own_capacity: int = OWN_CAPACITY) -> MemberTable:
    table = MemberTable(RouterIdentity(OWN, OWN, 1, capacity=own_capacity), 1)
    _set_members(table, sizes)
    return table


def _set_members(table: MemberTable, sizes: dict[int, int]) -> None:
    for number in {*sizes, *(int(name[1:]) for name in table.members)}:
        name = f"r{number}"
        state = MemberState.ALIVE if number in sizes else MemberState.DEAD
        table.members[name] = Member(name, name, 1, state, capacity=sizes.get(number, 0))
    table.version += 1


def _place(table: MemberTable, servers: int = 40) -> Placement:
    placement = Placement()
    refresh_placement(placement, table, make_configuration([LOAD], servers, 1))
    return placement


def _list_owners(placement: Placement) -> dict[Any, str]:
    """Return the owner of each server, and the first ledger of each workspace."""
    ledgers: dict[Any, str] = {key: find_ledgers(placement, key, 2)[0] for key in KEYS}
    return ledgers | dict(placement.server_owners)


@given("a fleet of 24 VMs with 2 quarters of a core, 24 with 4 and 12 with 9")
def make_fleet(context: Any) -> None:
    context.sizes = {number: 2 for number in range(1, 25)}
    context.sizes |= {number: 4 for number in range(25, 48)}
    context.sizes |= {number: 9 for number in range(48, 60)}
    context.member_table = _make_table(context.sizes)


@then("of 6,000 backend servers and of 6,000 ledgers, each size owns its part, to a tenth of it")
def check_spread(context: Any) -> None:
    placement = _place(context.member_table, 6000)
    keys = [PoolKey(f"w{number}", "pool") for number in range(6000)]
    capacities = {f"r{number}": size for number, size in context.sizes.items()}
    capacities[OWN] = OWN_CAPACITY
    total = sum(capacities.values())
    for owners in (
        list(placement.server_owners.values()),
        [find_ledgers(placement, key, 2)[0] for key in keys],
    ):
        owned: Counter[int] = Counter(capacities[owner] for owner in owners)
        for size in (2, 4, 9):
            expected = sum(value for value in capacities.values() if value == size) / total
            assert abs(owned[size] / len(owners) / expected - 1.0) < 0.1, (size, owned)


@then("for any fleet whose VMs state one capacity, each owner is the one that it has without")
def check_equal(context: Any) -> None:
    @for_all(st.sets(st.integers(1, 12)), st.integers(1, 50))
    def check(numbers: set[int], capacity: int) -> None:
        stated = _make_table(dict.fromkeys(numbers, capacity), capacity)
        unknown = _make_table(dict.fromkeys(numbers, 0), 0)
        assert _list_owners(_place(stated)) == _list_owners(_place(unknown))

    check()


@then("for any fleet, a join or a growth moves ownership to that VM only")
def check_growth(context: Any) -> None:
    @for_all(SIZES, st.integers(1, 12), st.integers(1, 9))
    def check(sizes: dict[int, int], number: int, growth: int) -> None:
        grown = sizes | {number: sizes.get(number, 0) + growth}
        _check_moves(sizes, grown, lambda before, after: after == f"r{number}")

    check()


@then("for any fleet, a loss or a shrinkage moves ownership from that VM only")
def check_shrinkage(context: Any) -> None:
    @for_all(SIZES, st.integers(1, 12), st.integers(0, 8))
    def check(sizes: dict[int, int], number: int, left: int) -> None:
        assume(sizes.get(number, 0) > left)
        shrunk = {key: size for key, size in sizes.items() if key != number}
        if left:
            shrunk[number] = left
        _check_moves(sizes, shrunk, lambda before, after: before == f"r{number}")

    check()


def _check_moves(before_sizes: dict[int, int], after_sizes: dict[int, int], may_move: Any) -> None:
    before = _list_owners(_place(_make_table(before_sizes)))
    after = _list_owners(_place(_make_table(after_sizes)))
    for key, owner in before.items():
        assert after[key] == owner or may_move(owner, after[key]), (key, owner, after[key])


@then(
    "for any course of joins, losses and changes, updated ownership equals recomputed ownership by"
    " capacity"
)
def check_updated(context: Any) -> None:
    sizes = st.dictionaries(st.integers(1, 12), st.sampled_from([0, 1, 2, 4, 9]), max_size=10)

    @for_all(st.lists(sizes, min_size=1, max_size=8))
    def check(course: list[dict[int, int]]) -> None:
        table = _make_table({})
        refreshed = Placement()
        configuration = make_configuration([LOAD], 40, 1)
        for step in course:
            _set_members(table, step)
            refresh_placement(refreshed, table, configuration)
            assert _list_owners(refreshed) == _list_owners(_place(table))

    check()


@when("a member of an earlier release joins it")
def join_earlier_release(context: Any) -> None:
    context.before = _list_owners(_place(context.member_table))
    row = MemberRow("r99", "", 1, int(MemberState.ALIVE))
    apply_member_row(context.member_table, row, 0.0, 1.0)


@then("each owner is the one that it has without capacities")
def check_unweighted(context: Any) -> None:
    sizes = dict.fromkeys([*context.sizes, 99], 0)
    owners = _list_owners(_place(context.member_table))
    assert owners == _list_owners(_place(_make_table(sizes, 0)))
    assert owners != context.before


@then("once that member is lost, ownership is by capacity again")
def check_weighted_again(context: Any) -> None:
    row = MemberRow("r99", "", 1, int(MemberState.DEAD))
    apply_member_row(context.member_table, row, 1.0, 1.0)
    assert _list_owners(_place(context.member_table)) == context.before


@given("platform settings with 0.717 of a core, 3 times as fast, and others that state none")
def read_capacities(context: Any) -> None:
    text = SETTINGS.format(region="north", zone="n1", zone_region="north")
    stated = text + "Limits.CpuQuota=0.717\nLimits.CoreCount=3\n"
    context.capacities = [
        make_settings(parse_settings(content, "node").unwrap()).capacity
        for content in (stated, text)
    ]


@then("one router's capacity is 9 quarters of a core, the other's is not known")
def check_capacities(context: Any) -> None:
    assert context.capacities == [9, 0], context.capacities


@given("platform settings in which {name} is {value}")
def read_wrong_capacity(context: Any, name: str, value: str) -> None:
    text = SETTINGS.format(region="north", zone="n1", zone_region="north")
    context.settings = parse_settings(f"{text}{name}={value}\n", "node")


@then("the settings are rejected for their processor time")
def check_wrong_capacity(context: Any) -> None:
    (finding,) = context.settings.unwrap_err()
    assert "CpuQuota" in str(finding) or "CoreCount" in str(finding), finding


@then("its member row reaches others over the wire, and is read by an earlier release")
def check_row(context: Any) -> None:
    content = msgspec.msgpack.encode(make_own_row(_make_table({}, context.capacities[0])))
    row = msgspec.msgpack.decode(content, type=MemberRow)
    table = _make_table({})
    apply_member_row(table, MemberRow("r1", "", 1, 0, "", row.capacity), 0.0, 1.0)
    assert table.members["r1"].capacity == 9
    assert msgspec.msgpack.decode(content, type=EarlierRow).router_id == OWN


@then(
    "for any order of a member's own rows and rows relayed without a capacity, the last capacity"
    " that it stated is known"
)
def check_relayed(context: Any) -> None:
    own_rows = [
        MemberRow("r1", "", incarnation, int(state), "", 4 * incarnation)
        for incarnation in (1, 2)
        for state in (MemberState.ALIVE, MemberState.LEAVING)
    ]
    relayed_rows = [msgspec.structs.replace(row, capacity=0) for row in own_rows]
    expected = _list_owners(_place(_make_table({1: 8, 2: 4})))

    @for_all(st.permutations([*own_rows, *relayed_rows]))
    def check(rows: list[MemberRow]) -> None:
        table = _make_table({2: 4})
        for row in rows:
            apply_member_row(table, row, 0.0, 1.0)
            _list_owners(_place(table))
        assert table.members["r1"].capacity == 8, rows
        table.members["r1"].state = MemberState.ALIVE
        table.version += 1
        assert _list_owners(_place(table)) == expected

    check()
    table = _make_table({2: 4})
    alive = [relayed_rows[2], own_rows[2]]
    for row in alive:
        apply_member_row(table, row, 0.0, 1.0)
        owners = _list_owners(_place(table))
    assert owners == expected, "the owners known before were kept"
