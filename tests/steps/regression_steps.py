"""Steps of regression tests on single parts of the router."""

import subprocess
import sys
from typing import Any

from behave import then, when

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
