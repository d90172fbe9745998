"""Steps of crowds of clients that keep no limits."""

import socket
import subprocess
import sys
import threading
import time
from typing import Any

from behave import given, then, when
from platform_steps import METRICS_PORT, node, send_attempt

from emulator.sites import HOST, KEYS, make_configuration, make_route
from standins.attempts import Attempt, new_id
from standins.crowds import WAYS, Crowd
from standins.network import wait_for
from standins.nodes import ROOT, Node, fetch
from standins.process_meters import Meter
from standins.processes import start_process

FILE_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files."""

BODY_BYTES = 1024 * 1024
TIMEOUT_MS = 8000
CLIENTS = 80
CROWD_S = 4.0
"""A crowd stays for this long, and until ordinary requests have been answered beside it."""

ORDINARY_WAIT_S = 40.0
MAX_TRIES = 20
REFUSED_STATUSES = (429, 503)
LARGE_ANSWER_BYTES = 900_000
LARGE_PATH = "/large/a"
HELD_GAUGE = "client_memory_held_bytes"


def configure_crowd_site(context: Any) -> None:
    """Publish the configuration of the crowds' site, and start its routers anew."""
    context.configuration_number = getattr(context, "configuration_number", 10) + 1
    configuration = make_configuration(context.configuration_number)
    configuration["Limits"] |= {"MaxBodyBytes": BODY_BYTES, "MaxHeaderBytes": 16384}
    configuration["Routes"].append(make_route("large", "idempotent", "large"))
    configuration["Services"].append(
        {"Name": "large", "HealthCheckPath": "/health", "MaxConnections": 200}
    )
    for route in configuration["Routes"]:
        route["TimeoutMs"] = TIMEOUT_MS
    context.nodes.order(configuration=configuration)
    for number in range(1, len(context.nodes.nodes) + 1):
        context.nodes.restart_node(number)
    context.nodes.wait_ready()


@given("a server whose answers are large")
def start_large_server(context: Any) -> None:
    process = start_process(
        [sys.executable, "-m", "standins.large_servers", str(LARGE_ANSWER_BYTES)],
        stdout=subprocess.PIPE,
        cwd=ROOT,
    )
    context.nodes.processes.append(process)
    assert process.stdout is not None
    address = process.stdout.readline().decode().strip()
    server = {"address": address, "service": "large", "slots": 150}
    context.nodes.order(external={"i-large-1": server})
    context.large_path = LARGE_PATH
    for found in context.nodes.nodes:
        wait_for(lambda found=found: "i-large-1" in found.log_path.read_text(), "the server known")


@when("a crowd sends {way} to router {number:d}")
def start_crowd(context: Any, way: str, number: int) -> None:
    found = node(context, number)
    _start_crowd(context, way, found, found.front_port, CLIENTS)


@when("a crowd of {clients:d} sends {way} to router {number:d}")
def start_large_crowd(context: Any, clients: int, way: str, number: int) -> None:
    found = node(context, number)
    _start_crowd(context, way, found, found.front_port, clients)


@when("a crowd sends {way} to the {listener} port of router {number:d}")
def start_crowd_at_listener(context: Any, way: str, listener: str, number: int) -> None:
    ports = {**context.nodes.ports, "metrics": METRICS_PORT}
    _start_crowd(context, way, node(context, number), ports[listener], CLIENTS)


def _start_crowd(context: Any, way: str, found: Node, port: int, clients: int) -> None:
    configure_crowd_site(context)
    context.meters = {one.name: Meter(one.process, one.ip) for one in context.nodes.nodes}
    for meter in context.meters.values():
        thread = threading.Thread(target=meter.watch, daemon=True)
        thread.start()
        context.threads.append(thread)
        context.add_cleanup(meter.stop)
    crowd = Crowd(way, found.ip, port, clients, _make_head(context, way, "ID"), BODY_BYTES)
    context.crowd = start_process(
        [sys.executable, "-m", "standins.crowds", crowd.encode()],
        stdout=subprocess.PIPE,
        cwd=ROOT,
    )
    context.nodes.processes.append(context.crowd)
    context.add_cleanup(context.crowd.wait)
    context.add_cleanup(context.crowd.kill)
    assert context.crowd.stdout is not None
    assert context.crowd.stdout.readline() == b"there\n"
    context.crowd_began_s = time.monotonic()


def _make_head(context: Any, way: str, attempt_id: str) -> str:
    path = getattr(context, "large_path", "/setpoint/a")
    method = "GET" if "request" in way else "POST"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt_id}\r\n"
        f"Deadline-Ms: {TIMEOUT_MS}\r\nAuthorization: Bearer {KEYS['planners']}\r\n"
    )


@then("ordinary requests are answered by both routers beside it")
def check_beside(context: Any) -> None:
    for number in (1, 2):
        _wait_for_answer(context, number)
    time.sleep(max(context.crowd_began_s + CROWD_S - time.monotonic(), 0.0))


@then("every router is ready beside it")
def check_ready_beside(context: Any) -> None:
    context.nodes.wait_ready()


@then("no router has ended")
def check_lives(context: Any) -> None:
    context.crowd.kill()
    context.crowd.wait()
    for name, meter in context.meters.items():
        meter.stop()
        assert not meter.ended and meter.process.poll() is None, name


@then("no router has held more than its machine's memory and descriptors")
def check_held(context: Any) -> None:
    for name, meter in context.meters.items():
        seen = (
            f"{name} held {meter.memory_bytes / 2**20:.0f} MB, "
            f"{meter.unread_bytes / 2**20:.0f} MB of it unread, and {meter.descriptors} descriptors"
        )
        print(seen)
        assert meter.memory_bytes <= context.nodes.memory_mb * 2**20, seen
        assert meter.descriptors <= context.nodes.descriptors - FILE_DESCRIPTORS, seen


@then("an ordinary request is answered by each router after it")
def check_after(context: Any) -> None:
    for number in (1, 2):
        attempt = send_attempt(context, number, "dispatch", "GET", "/setpoint/b")
        assert attempt.status == 200 and not attempt.broken, (number, _describe(attempt))


@then("every router gives back all that it has held for the crowd")
def check_given_back(context: Any) -> None:
    for found in context.nodes.nodes:
        wait_for(lambda found=found: _read_held_bytes(found) == 0, f"{found.name} to hold nothing")


def _read_held_bytes(found: Node) -> int:
    metrics = fetch(found.ip, METRICS_PORT, "/metrics")[1].decode()
    line = next(line for line in metrics.splitlines() if HELD_GAUGE in line and line[0] != "#")
    return int(float(line.rpartition(" ")[2]))


def _wait_for_answer(context: Any, number: int) -> None:
    """Send an ordinary request, again after a refusal as its answer says, until it is served."""
    deadline_s = time.monotonic() + ORDINARY_WAIT_S
    attempts = []
    for _ in range(MAX_TRIES):
        attempt = send_attempt(context, number, "dispatch", "GET", "/setpoint/b")
        attempts.append(_describe(attempt))
        if attempt.status == 200 and not attempt.broken:
            return
        # Only a refusal promises that the request has not run, and says when to come back.
        if attempt.status not in REFUSED_STATUSES or time.monotonic() > deadline_s:
            break
        time.sleep(float(attempt.headers["Retry-After"]))
    raise AssertionError(f"router {number} served none of {len(attempts)}: {attempts[-3:]}")


def _describe(attempt: Attempt) -> tuple[int, bool, bytes]:
    return attempt.status, attempt.broken, attempt.body[:80]


@when("one client sends {way} to router {number:d}")
def send_alone(context: Any, way: str, number: int) -> None:
    configure_crowd_site(context)
    found = node(context, number)
    crowd = Crowd(way, found.ip, found.front_port, 1, "", BODY_BYTES)
    head = _make_head(context, way, new_id()).encode()
    pieces = WAYS[way](crowd, head)
    with socket.create_connection((found.ip, found.front_port), timeout=ORDINARY_WAIT_S) as raw:
        raw.sendall(next(pieces))
        for piece in pieces:
            if piece.startswith(b"POST"):
                break
            raw.sendall(piece)
        context.raw = raw.recv(4096)


@then("it is answered with {status:d}")
def check_status(context: Any, status: int) -> None:
    assert context.raw.startswith(b"HTTP/1.1 %d " % status), context.raw[:200]
