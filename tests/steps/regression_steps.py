"""Steps that check single parts of the router, the bench and the tests for faults of the past."""

import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
from ipaddress import IPv4Address
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pynng
from behave import then, when

from bench.core_drive import POOL, Load, make_configuration
from bench.fleet_bench import find_recovery_s
from myrtlehook_core import (
    CoreOptions,
    ListenSettings,
    PoolKey,
    RequestSpecification,
    RouterCore,
    RouterIdentity,
    actions,
    digest_text,
    events,
    messages,
)
from myrtlehook_core.process.bidding import find_keys_to_report, send_reports
from myrtlehook_core.process.ingress import IngressState, get_account
from myrtlehook_core.process.membership_messages import MemberRow, MembersQuery
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.process.placements import Placement, find_ledgers
from myrtlehook_router.process.core_tasks import MAX_INTERNAL_FAULTS, CoreTask
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.process.peers import PeerSockets
from myrtlehook_router.request.relays import Relay, begin_attempt, record_output
from myrtlehook_router.request.tickets import TicketRegistry
from standins.fleets import Fleet
from standins.network import wait_for
from standins.nodes import find_free_ports, free_ips

PART = '{"pools": []}'
MANIFEST = {"version": 1, "parts": [{"key": "k", "digest": digest_text(PART)}]}

PRINT_PATCHED_MODULES = """
import socket, threading
from myrtlehook_router import patch_standard_library
patch_standard_library()
print(type(threading.Lock()).__module__, socket.socket.__module__)
"""

PRINT_NODELAY = """
import socket
from myrtlehook_core import ListenSettings
from myrtlehook_router.connection.listeners import open_listener
opened = open_listener(ListenSettings.model_construct(address="127.0.0.1", port=0))
print(opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
"""


def _run_program(context: Any, program: str) -> None:
    command = [sys.executable, "-W", "ignore", "-c", program]
    context.printed = subprocess.check_output(command, text=True, timeout=60).split()


@when("a process patches the standard library as the router does")
def patch_library(context: Any) -> None:
    _run_program(context, PRINT_PATCHED_MODULES)


@then("its locks are those of the operating system")
def check_locks(context: Any) -> None:
    assert context.printed[0] == "_thread", context.printed


@then("its sockets are cooperative")
def check_sockets(context: Any) -> None:
    assert context.printed[1].startswith("eventlet"), context.printed


@when("a listener for callers is opened")
def open_callers_listener(context: Any) -> None:
    _run_program(context, PRINT_NODELAY)


@then("its connections send every write at once")
def check_nodelay(context: Any) -> None:
    assert int(context.printed[0]) != 0, context.printed


def _make_core() -> RouterCore:
    core = RouterCore(RouterIdentity("r0", "r0", 1), CoreOptions(), random.Random(1).random)
    core.handle(events.Tick(), 0.0)
    return core


@when("a core learns of a configuration whose part does not arrive")
def receive_manifest(context: Any) -> None:
    core = _make_core()
    first = core.handle(events.ManifestRead(json.dumps(MANIFEST)), 0.1)
    assert any(isinstance(item, actions.FetchPart) for item in first), first
    context.later = core.handle(events.Tick(), 0.9)


@then("it requests the part again")
def check_requested_again(context: Any) -> None:
    assert any(isinstance(item, actions.FetchPart) for item in context.later), context.later


@when("a core with two waiting requests gets one grant twice")
def grant_twice(context: Any) -> None:
    core = _make_core()
    core.exchange.current = make_configuration([Load("w0", 1.0, 10.0, (0,))], 1, 1)
    # Only the message may cause a start: the core has not adopted its own server yet.
    for name in ("w0/1", "w0/2"):
        request = RequestSpecification(name, "w0", POOL, 10, 0.1, 100.0)
        core.handle(events.RequestArrived(request), 0.1)
    grant = events.MessageReceived("r1", 1, messages.Grant(7, "s0", POOL, "w0", 0.1, 0))
    context.done = [*core.handle(grant, 0.11), *core.handle(grant, 0.12)]


@then("one request is started")
def check_one_started(context: Any) -> None:
    started = [item for item in context.done if isinstance(item, actions.Dispatch)]
    assert len(started) == 1, context.done


@when("the gap is over its bound until the end of a run")
def measure_recovery(context: Any) -> None:
    context.recovery_s = find_recovery_s([(12.0, 90.0), (20.0, 700.0)], 12.0, 100.0)


@then("the bench reports no recovery")
def check_no_recovery(context: Any) -> None:
    assert context.recovery_s is None, context.recovery_s


@then("it reports 1.5 seconds for one that was last over its bound then")
def check_recovery(context: Any) -> None:
    gaps = [(12.0, 700.0), (13.5, 101.0), (14.0, 99.0), (20.0, 50.0)]
    assert find_recovery_s(gaps, 12.0, 100.0) == 1.5


@when("service changes once, and an unchanged report precedes the standby ledger's turn")
def report_unchanged(context: Any) -> None:
    key = PoolKey("w0", POOL)
    ingress = IngressState(10.0)
    context.placement = Placement(eligible=("r1", "r2", "r3"))
    draw = random.Random(1).random
    get_account(ingress, key, draw).changed = True
    context.notified = set()
    for turn in range(10):
        # A request waits at the first two refreshes only, so that the second reports no change.
        keys = find_keys_to_report(ingress) | ({key} if turn < 2 else set())
        outbox = MessageOutbox()
        send_reports(ingress, context.placement, CoreOptions(), draw, outbox, keys, 10.0 + turn)
        context.notified |= {router for router, _ in outbox.messages}


@then("both ledgers have a report of it after a few refreshes")
def check_both_notified(context: Any) -> None:
    ledgers = set(find_ledgers(context.placement, PoolKey("w0", POOL), 2))
    assert context.notified == ledgers, (context.notified, ledgers)


class _ClosedPipe:
    """A connection that has closed because its other end was killed."""

    @property
    def remote_address(self) -> str:
        raise pynng.exceptions.Closed("Object closed", 7)


@when("a router reads a message whose sender's connection has closed")
def read_from_closed(context: Any) -> None:
    listener = ListenSettings.model_construct(address="127.0.0.1", port=0)
    context.counters = Counters(None)
    peers = PeerSockets("vm-1", listener, "a key of some length", 1, context.counters)
    peers.listed_ips = frozenset({"127.0.0.1"})
    received = SimpleNamespace(bytes=b"x" * 32, pipe=_ClosedPipe())
    peers._receive(received, Mailbox())
    peers.close()


@then("the message is dropped as from an unlisted address")
def check_dropped_unlisted(context: Any) -> None:
    assert context.counters.values["drop.unlisted_address"] == 1, context.counters.values


@when("a router of another fleet has router 1 as its seed")
def start_foreign_router(context: Any) -> None:
    seed_port = context.fleet.routers["vm-1"].settings["peers"]["port"]
    context.other_fleet = Fleet()
    seeds = [{"vm": "vm-1", "address": f"127.0.0.1:{seed_port}"}]
    settings = {**context.other_fleet.make_settings("vm-9"), "seeds": seeds}
    context.other_fleet.start_router("vm-9", settings)
    context.add_cleanup(context.other_fleet.stop)


@then("router 1 drops its messages and knows no peer")
def check_foreign_router(context: Any) -> None:
    def has_reacted() -> bool:
        dropped = context.fleet.counters("vm-1").get("drop.unauthenticated_message", 0)
        return dropped > 0 or bool(context.fleet.status("vm-1")["peers"])

    wait_for(has_reacted, "a reaction to the other fleet's router")
    assert not context.fleet.status("vm-1")["peers"], context.fleet.status("vm-1")["peers"]


START_CHILD_AND_WAIT = """
import sys, time
from standins.processes import end_processes_at_exit, start_process
end_processes_at_exit()
child = start_process([sys.executable, "-c", "import time; time.sleep(600)"])
print(child.pid, flush=True)
time.sleep(600)
"""


@when("a program that started a process receives SIGTERM")
def terminate_program(context: Any) -> None:
    program = subprocess.Popen([sys.executable, "-c", START_CHILD_AND_WAIT], stdout=subprocess.PIPE)
    assert program.stdout is not None
    context.child = int(program.stdout.readline())
    program.terminate()
    program.wait(timeout=60)


@then("that process has ended as well")
def check_child_ended(context: Any) -> None:
    def ended() -> bool:
        stat = Path(f"/proc/{context.child}/stat")
        return not stat.exists() or stat.read_text().rpartition(")")[2].split()[0] == "Z"

    try:
        wait_for(ended, "the process to end", 10)
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(context.child, signal.SIGKILL)


@when('a run lists "{scenario}" as known to be red')
def run_with_known_red(context: Any, scenario: str) -> None:
    folder = Path(tempfile.mkdtemp(prefix="red-"))
    listed = folder / "KNOWN-RED.txt"
    listed.write_text(f"{scenario} | a cause | an issue\n")
    root = Path(__file__).parent.parent.parent
    command = [sys.executable, "-m", "behave", "--no-capture", "-D", f"known_red={listed}"]
    command += ["-n", scenario, str(root / "tests" / "features" / "settings.feature")]
    context.command = subprocess.run(
        command, cwd=root, capture_output=True, text=True, timeout=120, check=False
    )
    context.listed = scenario


@then("the run passes, runs nothing and names that scenario")
def check_skipped(context: Any) -> None:
    output = context.command.stdout + context.command.stderr
    assert context.command.returncode == 0, output
    assert f"known red, passed over: {context.listed}" in output, output
    assert context.command.stdout.rstrip().endswith("0 passed, 0 failed"), output


@when("a stream has output from one engine, breaks off and has output from another")
def resume_stream(context: Any) -> None:
    context.mailbox = Mailbox()
    placement: Any = SimpleNamespace(
        services=SimpleNamespace(mailbox=context.mailbox, find_send_belief=lambda name: None),
        specification=SimpleNamespace(request_id="a/1"),
    )
    unused: Any = None
    relay = Relay(unused, placement, b"", unused, unused, prompt_tokens=100)
    for _ in range(2):
        begin_attempt(relay)
        record_output(relay, 1)
        record_output(relay, 2)


@then("the core has been notified of a first output {count:d} times")
def check_first_outputs(context: Any, count: int) -> None:
    received = []
    while (event := context.mailbox.receive(0.0)) is not None:
        received.append(event)
    assert [type(event) for event in received] == [events.ServiceObserved] * count, received


class _FailingCore:
    """A core that fails on every event."""

    def handle(self, event: Any, now_s: float) -> list[Any]:
        raise RuntimeError("cannot be handled")

    def take_actions(self) -> list[Any]:
        return []


INPUTS = {
    "a message of another router": events.MessageReceived(
        "r1", 1, MembersQuery(MemberRow("r1", "", 1, 0))
    ),
    "a list of servers": events.BackendServersRead(()),
    "a request": events.RequestArrived(RequestSpecification("w0/1", "w0", POOL, 10, 0.1, 100.0)),
    "its own tick": events.Tick(),
    "each of its own ticks": events.Tick(),
}


@when("the core fails on {name}")
def fail_on_input(context: Any, name: str) -> None:
    context.counters = Counters(None)
    tickets = TicketRegistry()
    context.ticket = tickets.open("w0/1")
    core: Any = _FailingCore()
    peers: Any = None
    task = CoreTask(core, Mailbox(), peers, lambda key: None, tickets, context.counters)
    context.fault = None
    times = MAX_INTERNAL_FAULTS + 1 if name.startswith("each") else 1
    try:
        for context.handled in range(1, times + 1):
            task._handle(INPUTS[name])
    except RuntimeError as error:
        context.fault = error


@then('the router goes on and counts "{name}"')
def check_fault_counted(context: Any, name: str) -> None:
    assert context.fault is None, context.fault
    assert context.counters.values[name] == 1, context.counters.values


@then("no request is refused")
def check_none_refused(context: Any) -> None:
    assert context.ticket.wait(0.0) is None


@then('its client is refused: "{reason}"')
def check_fault_refused(context: Any, reason: str) -> None:
    refused = context.ticket.wait(0.1)
    assert isinstance(refused, actions.Refuse), refused
    assert refused.reason == reason, refused


@then("the fault is raised")
def check_fault_raised(context: Any) -> None:
    assert context.fault is not None
    assert context.handled == MAX_INTERNAL_FAULTS + 1, context.handled


@when("a process reserves the addresses of {fleets:d} fleets of {routers:d} routers")
def reserve_addresses(context: Any, fleets: int, routers: int) -> None:
    context.fleets = [free_ips(routers) for _ in range(fleets)]


@then("all of them are addresses")
def check_addresses(context: Any) -> None:
    assert all(IPv4Address(ip).is_loopback for ips in context.fleets for ip in ips)


@then("two fleets started one after another share none")
def check_separate(context: Any) -> None:
    for ips, next_ips in pairwise(context.fleets):
        assert not set(ips) & set(next_ips), (ips, next_ips)


@then('a search for ports at "{ip}" fails at once')
def check_search_fails(context: Any, ip: str) -> None:
    try:
        find_free_ports([ip], 1)
    except OSError:
        return
    raise AssertionError(f"found ports at {ip}, an address of another machine")
