"""Steps of regression tests on single parts of the router."""

import json
import random
import subprocess
import sys
from typing import Any

from behave import then, when

from bench.core_drive import POOL, Load, make_configuration
from myrtlehook_core import (
    CoreOptions,
    RequestSpecification,
    RouterCore,
    RouterIdentity,
    actions,
    digest_text,
    events,
    messages,
)

PART = '{"pools": []}'
MANIFEST = {"version": 1, "parts": [{"key": "k", "digest": digest_text(PART)}]}

SHOW_PATCHES = """
import socket, threading
from myrtlehook_router import patch_standard_library
patch_standard_library()
print(type(threading.Lock()).__module__, socket.socket.__module__)
"""

SHOW_NODELAY = """
import socket
from myrtlehook_core import ListenSettings
from myrtlehook_router.connection.listeners import open_listener
opened = open_listener(ListenSettings.model_construct(address="127.0.0.1", port=0))
print(opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
"""


def _run(context: Any, program: str) -> None:
    command = [sys.executable, "-W", "ignore", "-c", program]
    context.printed = subprocess.check_output(command, text=True, timeout=60).split()


@when("a process patches the standard library as the router does")
def patch(context: Any) -> None:
    _run(context, SHOW_PATCHES)


@then("its locks are those of the operating system")
def check_locks(context: Any) -> None:
    assert context.printed[0] == "_thread", context.printed


@then("its sockets are cooperative")
def check_sockets(context: Any) -> None:
    assert context.printed[1].startswith("eventlet"), context.printed


@when("a listener for callers is opened")
def open_callers_listener(context: Any) -> None:
    _run(context, SHOW_NODELAY)


@then("its connections send every write at once")
def check_nodelay(context: Any) -> None:
    assert int(context.printed[0]) != 0, context.printed


def _make_core() -> RouterCore:
    core = RouterCore(RouterIdentity("r0", "r0", 1), CoreOptions(), random.Random(1).random)
    core.handle(events.Tick(), 0.0)
    return core


@when("a core hears of a configuration whose part does not come")
def hear_configuration(context: Any) -> None:
    core = _make_core()
    first = core.handle(events.ManifestRead(json.dumps(MANIFEST)), 0.1)
    assert any(isinstance(item, actions.FetchPart) for item in first), first
    context.later = core.handle(events.Tick(), 0.9)


@then("it asks for the part again")
def check_asked_again(context: Any) -> None:
    assert any(isinstance(item, actions.FetchPart) for item in context.later), context.later


@when("a core with two waiting requests gets one grant twice")
def grant_twice(context: Any) -> None:
    core = _make_core()
    core.exchange.current = make_configuration([Load("w0", 1.0, 10.0, (0,))], 1, 1)
    # Only what the message brings about is looked at: its own server is not adopted yet.
    for name in ("w0/1", "w0/2"):
        request = RequestSpecification(name, "w0", POOL, 10, 0.1, 100.0)
        core.handle(events.RequestArrived(request), 0.1)
    grant = events.MessageReceived("r1", 1, messages.Grant(7, "s0", POOL, "w0", 0.1, 0))
    context.done = [*core.handle(grant, 0.11), *core.handle(grant, 0.12)]


@then("one request is started")
def check_one_started(context: Any) -> None:
    started = [item for item in context.done if isinstance(item, actions.Dispatch)]
    assert len(started) == 1, context.done
