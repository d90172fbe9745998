"""Steps of crowds at the listeners of the built-in interface."""

import subprocess
import sys
import threading
import time
from typing import Any

from behave import given, then, when

from standins.crowds import Crowd
from standins.fleets import Fleet, Program
from standins.network import http
from standins.nodes import ROOT
from standins.process_meters import Meter
from standins.processes import start_process

LIMITS = {"body_bytes": 1024 * 1024, "client_memory_bytes": 8 * 1024 * 1024}
CLIENTS = 60
CROWD_S = 3.0
MAX_TRIES = 20
WAIT_S = 1.0
PATH = "/services/terminal/valves"


@given("a fleet whose router has little memory for clients")
def start_fleet(context: Any) -> None:
    fleet = Fleet()
    context.add_cleanup(fleet.stop)
    fleet.start_platform()
    fleet.start_service("service-1")
    fleet.start_routers(1, limits=LIMITS)
    fleet.publish()
    fleet.publish_vms()
    fleet.wait_until_ready()
    context.crowd_fleet = fleet


def _get_router(context: Any) -> Program:
    found: Program = context.crowd_fleet.routers["vm-1"]
    return found


def _make_headers(context: Any) -> dict[str, str]:
    key = context.crowd_fleet.workspaces["planners"].key
    return {"Authorization": f"Bearer {key}"}


@when("a crowd sends {way} to its {listener} listener")
def start_crowd(context: Any, way: str, listener: str) -> None:
    router = _get_router(context)
    context.rest_meter = _start_meter(context, router)
    time.sleep(WAIT_S)
    context.rest_meter.stop()
    context.meter = _start_meter(context, router)
    method = "GET" if "request" in way else "POST"
    path = PATH if listener == "callers" else "/test/cut"
    fields = "".join(f"{name}: {value}\r\n" for name, value in _make_headers(context).items())
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: ID\r\n{fields}"
    port = router.settings[listener]["port"]
    crowd = Crowd(way, "127.0.0.1", port, CLIENTS, head, LIMITS["body_bytes"])
    context.crowd = start_process(
        [sys.executable, "-m", "standins.crowds", crowd.encode()],
        stdout=subprocess.PIPE,
        cwd=ROOT,
    )
    context.add_cleanup(context.crowd.wait)
    context.add_cleanup(context.crowd.kill)
    context.crowd_ends_s = time.monotonic() + CROWD_S


def _start_meter(context: Any, router: Program) -> Meter:
    meter = Meter(router.process)
    thread = threading.Thread(target=meter.watch, daemon=True)
    thread.start()
    context.add_cleanup(meter.stop)
    return meter


@then("an ordinary request to it is answered beside the crowd")
def check_beside(context: Any) -> None:
    _wait_for_answer(context)
    time.sleep(max(context.crowd_ends_s - time.monotonic(), 0.0))
    context.crowd.kill()


@then("its process has held no more than {count:d} MB above its rest")
def check_held(context: Any, count: int) -> None:
    context.meter.stop()
    grown = context.meter.memory_bytes - context.rest_meter.memory_bytes
    print(f"{grown / 2**20:.0f} MB above its rest")
    assert not context.meter.ended, "the process has ended"
    assert grown <= count * 2**20, f"{grown / 2**20:.0f} MB above its rest"


@then("an ordinary request to it is answered after the crowd")
def check_after(context: Any) -> None:
    _wait_for_answer(context)


def _wait_for_answer(context: Any) -> None:
    """Send an ordinary request, again after a refusal, until it is served."""
    statuses = []
    for _ in range(MAX_TRIES):
        answer = http("GET", _get_router(context).address, PATH, headers=_make_headers(context))
        statuses.append(0 if answer is None else answer.status)
        if statuses[-1] == 200:
            return
        time.sleep(WAIT_S)
    raise AssertionError(f"not served: {statuses}")
