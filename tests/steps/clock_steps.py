"""Steps of the clock. A test cannot suspend its machine, so it sets the clock forward."""

import random
import re
import time
from pathlib import Path
from typing import Any

from behave import given, then, when

from bench.core_drive import POOL, Load, make_configuration
from myrtlehook_core import (
    CoreOptions,
    RequestSpecification,
    RouterCore,
    RouterIdentity,
    actions,
    events,
)
from myrtlehook_router.process import clocks
from myrtlehook_router.process.core_tasks import CoreTask
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.request.tickets import TicketRegistry

ROOT = Path(__file__).parent.parent.parent
STEADY_CLOCK_CALL = re.compile(r"monotonic\(|perf_counter\(|CLOCK_")


def _read_clock(context: Any) -> float:
    return float(context.clock_s)


@given("a router with a request whose deadline is {seconds:d} seconds away")
def start_router(context: Any, seconds: int) -> None:
    real_now_s = clocks.now_s
    context.add_cleanup(lambda: setattr(clocks, "now_s", real_now_s))
    context.clock_s = 100.0
    clocks.now_s = lambda: _read_clock(context)
    core = RouterCore(RouterIdentity("r0", "r0", 1), CoreOptions(), random.Random(1).random)
    core.exchange.current = make_configuration([Load("w0", 1.0, 10.0, (0,))], 1, 1)
    context.counters = Counters(None)
    tickets = TicketRegistry()
    context.ticket = tickets.open("w0/1")
    peers: Any = None
    context.task = CoreTask(core, Mailbox(), peers, lambda key: None, tickets, context.counters)
    context.task._handle(events.Tick())
    deadline_s = context.clock_s + seconds
    request = RequestSpecification("w0/1", "w0", POOL, 10, context.clock_s, deadline_s)
    context.task._handle(events.RequestArrived(request))


@when("its VM is suspended for {seconds:d} seconds")
def suspend(context: Any, seconds: int) -> None:
    context.clock_s += seconds
    context.task._handle(events.Tick())


@then("it notices the pause")
def check_pause(context: Any) -> None:
    assert context.counters.values["process.paused"] == 1, context.counters.values


@then('it refuses the request: "{reason}"')
def check_refused(context: Any, reason: str) -> None:
    refused = context.ticket.wait(0.1)
    assert isinstance(refused, actions.Refuse), refused
    assert refused.reason == reason, refused


@then("only the module of the clock reads a steady clock")
def check_one_clock(context: Any) -> None:
    sources = [*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("platform/src/**/*.py")]
    assert len(sources) > 100, sources
    found = {path.name for path in sources if STEADY_CLOCK_CALL.search(path.read_text())}
    assert found == {"clocks.py"}, found


@then("the clock agrees with the system's boot clock")
def check_boot_clock(context: Any) -> None:
    assert hasattr(time, "CLOCK_BOOTTIME") == clocks.COUNTS_SUSPENSION
    before_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    read_s = clocks.now_s()
    assert before_s <= read_s <= time.clock_gettime(time.CLOCK_BOOTTIME)
