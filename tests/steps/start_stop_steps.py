"""Steps that start and stop routers on the emulated platform while clients connect."""

import json
import signal
import subprocess
import sys
from typing import Any

from behave import given, then, when
from platform_steps import node

from standins.attempts import Attempt, make_headers, new_id, send
from standins.network import wait_for
from standins.stopped_routers import ConnectionLoad

COUNT_MODULES = """
import json, sys
before = set(sys.modules)
from myrtlehook_router import patch_standard_library
patch_standard_library()
import myrtlehook_platform.start
print(json.dumps(sorted(set(sys.modules) - before)))
"""


def _send_request(context: Any, router: int, workspace: str) -> Attempt:
    return send(node(context, router), "GET", "/setpoint/a", make_headers(new_id(), workspace))


@then(
    'router {router:d} serves "{workspace}" or refuses with a time to come back, '
    "and refuses in the end"
)
def check_refuses_eventually(context: Any, router: int, workspace: str) -> None:
    def refuses() -> bool:
        attempt = _send_request(context, router, workspace)
        assert not attempt.broken, attempt
        assert attempt.status in (200, 503), attempt
        assert attempt.status == 200 or "Retry-After" in attempt.headers, attempt
        return attempt.status == 503

    wait_for(refuses, "a refusal")


@when("callers connect to router 1 from the moment on at which it is started again")
def restart_while_connecting(context: Any) -> None:
    context.nodes.restart_node(1)
    context.attempts = []

    def served() -> bool:
        context.attempts.append(_send_request(context, 1, "planners"))
        return context.attempts[-1].status == 200

    wait_for(served, "an answer")


@then("none of them finds no listener once one has found it")
def check_listener(context: Any) -> None:
    connected = [not attempt.broken for attempt in context.attempts]
    assert connected == sorted(connected), context.attempts
    assert all(attempt.status in (0, 200, 503) for attempt in context.attempts), context.attempts


@then('a start imports at most {limit:d} modules, and none of "{names}"')
def check_imports(context: Any, limit: int, names: str) -> None:
    printed = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", COUNT_MODULES], capture_output=True, check=True
    )
    modules = json.loads(printed.stdout)
    packages = {name.partition(".")[0] for name in modules}
    assert not packages.intersection(names.split(", ")), packages.intersection(names.split(", "))
    assert len(modules) <= limit, len(modules)


@given("{clients:d} clients that send each request to router 1 on a connection of its own")
def start_connection_load(context: Any, clients: int) -> None:
    context.connection_load = ConnectionLoad(context.nodes.nodes[0], clients)
    context.connection_load.start()
    wait_for(lambda: context.connection_load.outcomes["200"] > clients, "answers")


@when("the platform stops router 1, and it ends")
def stop_under_connections(context: Any) -> None:
    process = context.nodes.nodes[0].process
    process.send_signal(signal.SIGTERM)
    wait_for(lambda: process.poll() is not None, "router 1 to end")
    context.connection_load.stop()


@then("no connection that was accepted ended without an answer")
def check_no_reset(context: Any) -> None:
    outcomes = context.connection_load.outcomes
    assert outcomes["unanswered"] == 0, dict(outcomes)
