"""Steps of servers that fall silent for a time and go on."""

import itertools
import signal
import threading
import time
from dataclasses import replace
from functools import partial
from typing import Any

from behave import given, then, when

from emulator.sites import MODEL_SERVICE, PLAIN_SERVICE, make_configuration, make_route
from standins.cut_answers import send_cases
from standins.network import wait_for
from standins.silences import (
    BEFORE_HEAD,
    BETWEEN,
    POINTS,
    change_configuration,
    find_not_whole,
    make_silent_case,
    repeat_until,
)
from standins.wire_answers import PATHS

RESUMABLE, OTHER_STREAMED, PLAIN_ONCE, PLAIN_REPEATABLE = list(PATHS)[:4]
SMALL_PATHS = (RESUMABLE, OTHER_STREAMED, PLAIN_ONCE, PLAIN_REPEATABLE)
DEADLINE_S = 6.0
"""The deadline that the clients of these requests state."""

SHORT_OBJECTIVE_MS = 200
SHORT_VERSION = 2


@given(
    "requests on each route whose first server is silent for {seconds:g} s"
    " at each point of the answer"
)
def silence_first(context: Any, seconds: float) -> None:
    context.cases = [
        make_silent_case(path, framing, point, seconds * 1000.0)
        for point, framing, path in itertools.product(POINTS, ("chunks", "length"), SMALL_PATHS)
    ]


@given(
    "requests on each route each server of which is silent for {seconds:g} s"
    " at each point of the answer"
)
def silence_all(context: Any, seconds: float) -> None:
    context.cases = [
        make_silent_case(path, "chunks", point, seconds * 1000.0, again=True)
        for point, path in itertools.product(POINTS, SMALL_PATHS)
    ]


@given("requests with an objective of 200 ms each server of which is silent for {seconds:g} s")
def silence_short_routes(context: Any, seconds: float) -> None:
    objective = {"TargetLatencyMs": SHORT_OBJECTIVE_MS}
    routes = [
        make_route("diagnosis", "streaming", MODEL_SERVICE, StreamResumption=True, **objective),
        make_route("setpoint", "idempotent", PLAIN_SERVICE, **objective),
    ]
    context.nodes.order(configuration=make_configuration(SHORT_VERSION, Routes=routes))
    for node in context.nodes.nodes:
        accepted = f'"number": {SHORT_VERSION}, "digest"'
        wait_for(partial(_is_logged, node, accepted), "the configuration to be in force")
    context.cases = [
        make_silent_case(path, "chunks", BEFORE_HEAD, seconds * 1000.0, again=True)
        for path in (PLAIN_REPEATABLE, RESUMABLE) * 4
    ]


@given("plain requests with 3 attempts each server of which is silent for 1 s and then slow")
def silence_successors(context: Any) -> None:
    objective = {"TargetLatencyMs": SHORT_OBJECTIVE_MS, "MaxAttempts": 3}
    routes = [make_route("setpoint", "idempotent", PLAIN_SERVICE, **objective)]
    context.nodes.order(configuration=make_configuration(SHORT_VERSION, Routes=routes))
    for node in context.nodes.nodes:
        accepted = f'"number": {SHORT_VERSION}, "digest"'
        wait_for(partial(_is_logged, node, accepted), "the configuration to be in force")
    case = make_silent_case(PLAIN_REPEATABLE, "chunks", BEFORE_HEAD, 1000.0, again=True)
    slow_case = replace(case, plan=replace(case.plan, pause_ms=400.0, pieces=4))
    context.cases = [slow_case] * len(context.nodes.nodes)


def _is_logged(node: Any, text: str) -> bool:
    return text in node.log_path.read_text()


@given("a request of each kind whose first server is silent for {seconds:g} s")
def silence_each_kind(context: Any, seconds: float) -> None:
    context.cases = [
        make_silent_case(path, "chunks", point, seconds * 1000.0)
        for path, point in itertools.product(SMALL_PATHS, (BEFORE_HEAD, BETWEEN))
    ]


@given("resumable streams whose first server is silent for 30 s after 4 events")
def silence_for_good(context: Any) -> None:
    context.cases = [make_silent_case(RESUMABLE, "chunks", BETWEEN, 30_000.0)]


@given("resumable streams whose first server is silent for 1.2 to 1.6 s after 4 events")
def silence_near_limit(context: Any) -> None:
    context.cases = [
        make_silent_case(RESUMABLE, "chunks", BETWEEN, 1200.0 + 25.0 * number)
        for number in range(16)
    ]


@then("every answer is whole and complete, or its deadline had passed")
def check_whole_until_deadline(context: Any) -> None:
    # Silences of one server add up where several of its requests make it stand still.
    found = [one for one in find_not_whole(context.outcomes) if one.lasted_s < DEADLINE_S]
    shown = [f"{one} after {one.lasted_s:.2f} s" for one in found]
    assert not found, f"{len(found)} of {len(context.outcomes)} are not: {shown}"


@when("{count:d} clients send these requests at once beside changes of each kind and reloads")
def send_beside_changes(context: Any, count: int) -> None:
    ended = threading.Event()
    tasks = [
        partial(change_configuration, context.nodes, itertools.count(2)),
        partial(_reload_all, context.nodes),
    ]
    threads = [
        threading.Thread(target=repeat_until, args=(ended, task), daemon=True) for task in tasks
    ]
    for thread in threads:
        thread.start()
    context.outcomes = send_cases(context.nodes.nodes, context.cases, count)
    ended.set()
    for thread in threads:
        thread.join()


def _reload_all(nodes: Any) -> None:
    for node in nodes.nodes:
        node.process.send_signal(signal.SIGHUP)


@when("clients send all of these requests at once and router 1 is stopped {seconds:g} s later")
def send_beside_stop(context: Any, seconds: float) -> None:
    def stop() -> None:
        time.sleep(seconds)
        context.nodes.nodes[0].process.send_signal(signal.SIGTERM)

    stopping = threading.Thread(target=stop, daemon=True)
    stopping.start()
    context.outcomes = send_cases(context.nodes.nodes, context.cases, len(context.cases))
    stopping.join()
