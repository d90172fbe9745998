"""Steps of backend servers: injected faults, the runs they recorded, queues of requests."""

import time
from typing import Any

from behave import given, then, when
from serving_steps import (
    engine,
    make_caller,
    record_result,
    router,
    service,
    set_faults,
    start_thread,
)

from standins.network import get_json, wait_for


@given('"{workspace}" keeps {count:d} requests of {tokens:d} tokens waiting at router {number:d}')
def fill_queue(context: Any, workspace: str, count: int, tokens: int, number: int) -> None:
    address = router(context, number).address
    caller = make_caller(context, workspace)
    for _ in range(count):
        start_thread(context, caller.chat, address, workspace, tokens)
    operators = router(context, number).operators_address
    wait_for(lambda: get_json(operators, "/status")["queued_requests"] > count // 2, "a queue")
    # The router estimates the queue's rate from the first few requests that leave it.
    time.sleep(0.5)


@given("the engine breaks the next stream after {count:d} events and loses the run")
def break_stream_and_lose_run(context: Any, count: int) -> None:
    set_faults(engine(context), {"break_after": count, "lose_runs": True})


@given("the engine breaks the next stream after {count:d} events")
def break_stream(context: Any, count: int) -> None:
    set_faults(engine(context), {"break_after": count})


@given("the engine sends every event twice")
def duplicate_events(context: Any) -> None:
    set_faults(engine(context), {"duplicate": True})


@given("the engine mixes an event of another request into the next stream")
def mix_in_foreign_event(context: Any) -> None:
    set_faults(engine(context), {"foreign": True})


@given("the engine dies before the next answer")
def die_before_answer(context: Any) -> None:
    set_faults(engine(context), {"die_before_answer": 1})


@given("the engine refuses the next {count:d} runs")
def refuse_runs(context: Any, count: int) -> None:
    set_faults(engine(context), {"refuse": count})


@given("the plain service does not start the next {count:d} calls")
def refuse_to_start_calls(context: Any, count: int) -> None:
    set_faults(service(context), {"not_started": count})


@given("the plain service turns the next {count:d} calls away for {wait_s:d} s")
def refuse_calls_with_retry_after(context: Any, count: int, wait_s: int) -> None:
    set_faults(service(context), {"not_started": count, "retry_after": str(wait_s)})


@then("it took {least_s:g} s or more")
def check_took_at_least(context: Any, least_s: float) -> None:
    assert context.result.elapsed_s >= least_s, context.result


@given("the plain service breaks the next connection before the body")
def break_before_body(context: Any) -> None:
    set_faults(service(context), {"break_before_body": 1})


@given("the plain service breaks the next connection after the run")
def break_after_run(context: Any) -> None:
    set_faults(service(context), {"break": 1})


@given("the plain service takes {milliseconds:d} ms")
def slow_down_service(context: Any, milliseconds: int) -> None:
    set_faults(service(context), {"slow_ms": milliseconds})


@when('"{workspace}" calls the plain service at router {number:d} with request id "{name}"')
def call_service(context: Any, workspace: str, number: int, name: str) -> None:
    _send_service_call(context, workspace, number, {"X-Request-Id": name})


@when('"{workspace}" calls the plain service once at router {number:d} with request id "{name}"')
def call_service_without_repeat(context: Any, workspace: str, number: int, name: str) -> None:
    _send_service_call(context, workspace, number, {"X-Request-Id": name, "X-No-Repeat": "true"})


@when(
    '"{workspace}" calls the plain service once at router {number:d}'
    ' with {timeout_ms:d} ms to spare and request id "{name}"'
)
def call_service_with_timeout(
    context: Any, workspace: str, number: int, timeout_ms: int, name: str
) -> None:
    headers = {"X-Request-Id": name, "X-No-Repeat": "true", "X-Timeout-Ms": str(timeout_ms)}
    _send_service_call(context, workspace, number, headers)


def _send_service_call(context: Any, workspace: str, number: int, headers: dict[str, str]) -> None:
    address = router(context, number).address
    path = "/services/terminal/valves/7"
    result = make_caller(context, workspace).send(address, "POST", path, b"open", headers)
    record_result(context, result)


@then('the plain service ran "{name}" {count:d} times')
def check_runs(context: Any, name: str, count: int) -> None:
    runs = get_json(service(context).address, "/test/runs")
    assert runs.get(name, 0) == count, runs


@then('the engine started "{name}" once')
def check_started(context: Any, name: str) -> None:
    started = get_json(engine(context).address, "/test/ledger")["started"]
    assert started.get(name) == 1, started.get(name)


@then('the engine never started "{name}"')
def check_never_started(context: Any, name: str) -> None:
    started = get_json(engine(context).address, "/test/ledger")["started"]
    assert name not in started, started[name]


@then("the engine runs nothing within {seconds:d} seconds")
def check_engine_idle(context: Any, seconds: int) -> None:
    address = engine(context).address
    idle = lambda: get_json(address, "/test/ledger")["running"] == 0  # noqa: E731
    wait_for(idle, "the engine to be idle", seconds)


@then("router {number:d} runs nothing within {seconds:d} seconds")
def check_router_idle(context: Any, number: int, seconds: int) -> None:
    name = f"vm-{number}"
    idle = lambda: context.fleet.status(name)["running_requests"] == 0  # noqa: E731
    wait_for(idle, f"{name} to be idle", seconds)


@then('the queue of "{workspace}" at router {number:d} is empty within {seconds:d} seconds')
def check_queue_empty(context: Any, workspace: str, number: int, seconds: int) -> None:
    def is_empty() -> bool:
        queues = context.fleet.status(f"vm-{number}")["queues"]
        return sum(q["queued_requests"] for q in queues if q["workspace"] == workspace) == 0

    wait_for(is_empty, "the queue to be empty", seconds)


@when('"{workspace}" streams {tokens:d} tokens about "{word}" from router {number:d} with a hold')
def stream_with_hold(context: Any, workspace: str, tokens: int, word: str, number: int) -> None:
    """Stream from engines that pause half-way until the first piece has reached the caller."""
    engines = list(context.fleet.engines.values())

    def resume_engines() -> None:
        for program in engines:
            set_faults(program, {})

    for program in engines:
        set_faults(program, {"hold_after": tokens // 2})
    caller = make_caller(context, workspace)
    caller.on_first_piece = resume_engines
    address = router(context, number).address
    record_result(context, caller.chat(address, word, tokens, stream=True), word, tokens)
    caller.on_first_piece = None
