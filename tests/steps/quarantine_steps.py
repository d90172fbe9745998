"""Steps of requests that end the servers that run them, at real routers."""

import json
import signal
import time
from functools import partial
from itertools import permutations
from typing import Any

from behave import given, then, when

from standins.attempts import Attempt, make_headers, new_id, send
from standins.network import wait_for

ATTEMPT_INTERVAL_S = 0.3
"""Interval of a client that retries at once; an ended engine is down for longer."""

HANDOVER_S = 1.0
"""Enough for messages between routers that consider one another alive."""


def _send_body(context: Any, workspace: str, path: str, body: str, router: int) -> Attempt:
    node = context.nodes.nodes[router]
    headers = make_headers(new_id(), workspace, "400,12", "common:200,own:200")
    return send(node, "POST", path, headers, body.encode())


@given('a request "{body}" ends each engine that begins to run it')
def end_engines(context: Any, body: str) -> None:
    context.nodes.order(faults={"engines": {"ending_body": body}})
    context.ended_before = len(context.nodes.describe()["ended"])


@when('"{workspace}" sends "POST" "{path}" with body "{body}" {count:d} times, in turn')
def send_again(context: Any, workspace: str, path: str, body: str, count: int) -> None:
    context.attempts = []
    for number in range(count):
        router = number % len(context.nodes.nodes)
        context.attempts.append(_send_body(context, workspace, path, body, router))
        time.sleep(ATTEMPT_INTERVAL_S)


def _count_ended(context: Any) -> int:
    return len(context.nodes.describe()["ended"]) - int(context.ended_before)


def _considers(context: Any, router: int, other: int, state: str) -> bool:
    """Return whether a router considers another one to be in a state, by its latest log line.

    A router is considered dead until it is first heard of, which has no log line.
    """
    member = f'"member": "{context.nodes.nodes[other - 1].ip}:'
    text = context.nodes.nodes[router - 1].log_path.read_text()
    lines = [line for line in text.splitlines() if "member changed" in line and member in line]
    return f'"state": "{state}"' in lines[-1] if lines else state == "dead"


@when("routers {first:d} and {second:d} are paused until router {router:d} considers them dead")
def pause_routers(context: Any, first: int, second: int, router: int) -> None:
    for number in (first, second):
        context.nodes.nodes[number - 1].process.send_signal(signal.SIGSTOP)
    for number in (first, second):
        wait_for(partial(_considers, context, router, number, "dead"), f"{number} to be dead")


@when("routers {first:d} and {second:d} go on until all routers consider one another alive")
def resume_routers(context: Any, first: int, second: int) -> None:
    for number in (first, second):
        context.nodes.nodes[number - 1].process.send_signal(signal.SIGCONT)
    numbers = range(1, len(context.nodes.nodes) + 1)
    for router, other in permutations(numbers, 2):
        wait_for(partial(_considers, context, router, other, "alive"), f"{other} to be alive")
    time.sleep(HANDOVER_S)


@when("router {number:d} is killed and starts again")
def kill_and_restart(context: Any, number: int) -> None:
    context.nodes.restart_node(number)
    context.nodes.wait_ready()


@then("at most {count:d} engines have ended")
def check_few_ended(context: Any, count: int) -> None:
    ended = _count_ended(context)
    assert ended <= count, f"{ended} engines ended; at most {count} expected"


@then('the last {count:d} answers say "{code}" and to retry after {wait_s:d} seconds or more')
def check_refused(context: Any, count: int, code: str, wait_s: int) -> None:
    for attempt in context.attempts[-count:]:
        assert attempt.status == 503, f"got {attempt.status}: {attempt.body!r}"
        assert json.loads(attempt.body)["error"]["code"] == code, f"got {attempt.body!r}"
        retry_after_s = float(attempt.headers["Retry-After"])
        assert retry_after_s >= wait_s, f"told to retry after {retry_after_s} s"


@then('"{workspace}" is served at every router')
def check_others(context: Any, workspace: str) -> None:
    for router in range(len(context.nodes.nodes)):

        def is_served(router: int = router) -> bool:
            return _send_body(context, workspace, "/summary/week", "sound", router).status == 200

        wait_for(is_served, f"router {router + 1} to serve {workspace}")


@then('the answer is {status:d}, names the attempt and says "{code}"')
def check_failure(context: Any, status: int, code: str) -> None:
    attempt = context.attempts[-1]
    assert attempt.status == status, f"got {attempt.status}: {attempt.body!r}"
    assert attempt.headers["Attempt-Id"] == attempt.attempt_id
    assert json.loads(attempt.body)["error"]["code"] == code, f"got {attempt.body!r}"
