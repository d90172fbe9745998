"""Costs per event of the core alone at full table sizes: processor time and memory.

Each figure is the cost of one event of a role while the tables are as large as with
1,200 routers, 10,000 backend servers and 17,000 workspaces. docs/CAPACITY.md multiplies
these figures by the event rates at that size.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace

from bench.core_drive import POOL, Load, make_configuration
from myrtlehook_core import (
    CoreOptions,
    RequestSpecification,
    RouterCore,
    RouterIdentity,
    encode_envelope,
    events,
)
from myrtlehook_core.process.ledgers import Ledger, merge_report
from myrtlehook_core.process.members import Member, MemberState, collect_member_news
from myrtlehook_core.process.membership_messages import News, Probe
from myrtlehook_core.process.messages import (
    Bid,
    BidRow,
    Envelope,
    Message,
    Release,
    Report,
    ReportRow,
    Totals,
)

ROUTERS = 1200
SERVERS = 10_000
WORKSPACES = 17_000
BACKLOGGED_WORKSPACES = 1700
SLOTS = 128
BIDDERS = 16
REPEATS = 200


@dataclass(frozen=True, slots=True)
class Slope:
    """The measured cost of one event or object."""

    name: str
    value: float
    unit: str


def measure_slopes() -> list[Slope]:
    """Measure all costs of the core."""
    slopes = [*_measure_tables(), *_measure_ledger(), *_measure_owner(), *_measure_ingress()]
    return [*slopes, *_measure_messages()]


def make_full_core(workspaces: int = WORKSPACES, routers: int = ROUTERS) -> RouterCore:
    """Make a core whose tables hold a whole fleet."""
    core = RouterCore(RouterIdentity("r0", "10.0.0.1:1", 1), CoreOptions(), random.Random(1).random)
    loads = [Load(f"workspace-{index}", 1.0, 100.0, (0,)) for index in range(workspaces)]
    core.exchange.current = make_configuration(loads, SERVERS, SLOTS)
    for index in range(1, routers):
        name = f"r{index}"
        core.table.members[name] = Member(name, f"10.0.0.2:{index}", 1, MemberState.ALIVE)
    core.table.version += 1
    return core


def _measure_tables() -> list[Slope]:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    core = make_full_core()
    tables_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started_s = time.process_time()
    core.handle(events.Tick(), 0.0)
    first_s = time.process_time() - started_s
    member = core.table.members["r7"]

    def toggle_member() -> None:
        lost = member.state is MemberState.ALIVE
        member.state = MemberState.DEAD if lost else MemberState.ALIVE
        core.table.version += 1
        core.handle(events.Tick(), 0.0)

    def tick() -> None:
        core.handle(events.Tick(), core.last_tick_s or 0.0)

    return [
        Slope("tables of a whole fleet", tables_bytes / 1e6, "MB"),
        Slope("ownership worked out once", first_s * 1000, "ms"),
        Slope("one router lost or gained", _time_ms(toggle_member, 20), "ms"),
        Slope("one tick", _time_ms(tick, REPEATS), "ms"),
    ]


def _measure_ledger() -> list[Slope]:
    ledger = Ledger()
    options = CoreOptions()
    rows = tuple(ReportRow(f"workspace-{index}", POOL, 5, 1, 1000, 2, -1) for index in range(100))
    sequence = 1
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for router in range(ROUTERS // 10):
        report = Report(True, (), rows)
        merge_report(ledger, f"r{router}", report, 0.0, options, _reach_all)
    row_bytes = (tracemalloc.get_traced_memory()[0] - before) / (100 * ROUTERS // 10)
    tracemalloc.stop()

    def report_again() -> None:
        nonlocal sequence
        sequence += 1
        updated_rows = tuple(
            ReportRow(row.workspace, POOL, 5, sequence, 1000 + sequence, 2, -1) for row in rows
        )
        report = Report(True, (), updated_rows)
        merge_report(ledger, "r7", report, sequence * 0.2, options, _reach_all)

    return [
        Slope("ledger row, 120 rows an account", _time_ms(report_again, 20) * 10, "us"),
        Slope("memory of a ledger row", row_bytes, "bytes"),
    ]


def _measure_owner() -> list[Slope]:
    slopes = []
    for workspaces in (10, 100, 1700 // 15):
        core = make_full_core(workspaces)
        core.handle(events.Tick(), 0.0)
        rows = tuple(BidRow(f"workspace-{index}", 50, 1000, 100) for index in range(workspaces))
        now_s = 1.0
        for bidder in range(1, BIDDERS + 1):
            bid = Bid(POOL, now_s, rows)
            core.handle(events.MessageReceived(f"r{bidder}", 1, bid), now_s)
        server = next(iter(core.owner.servers.values()))
        name = next(iter(core.owner.servers))

        def release(core: RouterCore = core, server: object = server, name: str = name) -> None:
            slots = core.owner.servers[name]
            grant_id, hold = next(iter(slots.holds.items()))
            row = BidRow(hold.workspace, 50, 1000, 100)
            message = Release(grant_id, name, True, 1.0, row)
            core.handle(events.MessageReceived(hold.router_id, 1, message), 1.0)

        label = f"release and grant, {workspaces} waiting workspaces"
        slopes.append(Slope(label, _time_ms(release, REPEATS), "ms"))
    return slopes


def _measure_ingress() -> list[Slope]:
    core = make_full_core(1)
    # One router alone, with as many servers as a router owns in a full fleet.
    core.table.members.clear()
    core.table.version += 1
    configuration = core.exchange.current
    owned_servers = dict(list(configuration.backend_servers.items())[: SERVERS // ROUTERS])
    core.exchange.current = replace(configuration, backend_servers=owned_servers)
    core.handle(events.Tick(), 0.0)
    core.handle(events.Tick(), 1.0)
    count = 0

    def serve() -> None:
        nonlocal count
        count += 1
        name = f"workspace-0/{count}"
        request = RequestSpecification(name, "workspace-0", POOL, 100, 1.0, 100.0)
        core.handle(events.RequestArrived(request), 1.0)
        core.handle(events.RunEnded(name, 100.0), 1.0)

    return [Slope("request through entry and own owner", _time_ms(serve, REPEATS), "ms")]


def _measure_messages() -> list[Slope]:
    core = make_full_core(100)
    member_rows = collect_member_news(core.table, "r7")
    name = "workspace-1234"
    row = BidRow(name, 50, 1_000_000, 300)
    report = ReportRow(name, POOL, 2**31, 5000, 1_000_000, 2, -1)
    samples: dict[str, tuple[Message, int]] = {
        "probe": (Probe(1, News(member_rows, (), 5, "0" * 16)), 1),
        "bid row": (Bid(POOL, 1e5, (row,) * 100), 100),
        "report row": (Report(True, (), (report,) * 100), 100),
        "release": (Release(2**47, "server-1234", True, 1e5, row), 1),
        "totals": (Totals(()), 1),
    }
    slopes = []
    for label, (message, rows) in samples.items():
        content = encode_envelope(Envelope("vm-1234", 2**40, (message,)))
        slopes.append(Slope(f"{label} on the wire", len(content) / rows, "bytes"))
    return slopes


def _reach_all(router_id: str) -> bool:
    return True


def _time_ms(step: Callable[[], None], repeats: int) -> float:
    started_s = time.process_time()
    for _ in range(repeats):
        step()
    return (time.process_time() - started_s) / repeats * 1000
