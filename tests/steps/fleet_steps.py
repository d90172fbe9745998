"""Steps that stop, kill, freeze and partition routers, and that publish configurations."""

import copy
import json
import signal
import subprocess
import sys
import time
from typing import Any

from behave import given, then, when
from serving_steps import (
    expected_text,
    hold_engines,
    make_caller,
    record_result,
    router,
    start_thread,
)

from standins.network import http, wait_for

COMMAND_TIMEOUT_S = 60


def run_command(context: Any, module: str, *arguments: Any) -> None:
    command = [sys.executable, "-W", "ignore", "-m", module, *map(str, arguments)]
    context.command = subprocess.run(
        command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S, check=False
    )
    context.output = context.command.stdout + context.command.stderr


@then("the command exits with {code:d}")
def check_exit(context: Any, code: int) -> None:
    assert context.command.returncode == code, context.output


@then('the command prints "{text}"')
def check_prints(context: Any, text: str) -> None:
    assert text in context.output, context.output


# -- stopping, killing, freezing, partitioning ---------------------------------------------


@given(
    "{whole:d} requests of {tokens:d} tokens and {streams:d} streams of {length:d} tokens"
    " are in progress at router {number:d}"
)
def start_requests(
    context: Any, whole: int, tokens: int, streams: int, length: int, number: int
) -> None:
    caller = make_caller(context, "planners")
    address = router(context, number).address
    # An answer takes 0.3 s. On a busy machine the first ones would be complete before the
    # last request is accepted, so that they would never all be in progress at once.
    hold_engines(context)

    def ask(prompt: str, count: int, streamed: bool) -> None:
        record_result(context, caller.chat(address, prompt, count, stream=streamed), prompt, count)

    for index in range(whole):
        start_thread(context, ask, f"whole{number}-{index}", tokens, False)
    for index in range(streams):
        start_thread(context, ask, f"stream{number}-{index}", length, True)

    def all_accepted() -> bool:
        status = context.fleet.status(f"vm-{number}")
        return status["queued_requests"] + status["running_requests"] == whole + streams

    wait_for(all_accepted, "every request to be accepted", 10)


@when("router {number:d} receives SIGTERM")
def stop_router(context: Any, number: int) -> None:
    router(context, number).process.send_signal(signal.SIGTERM)


@then("router {number:d} is unhealthy or has stopped")
def check_unhealthy(context: Any, number: int) -> None:
    def is_unhealthy() -> bool:
        answer = http("GET", router(context, number).operators_address, "/healthz")
        return answer is None or answer.status == 503

    wait_for(is_unhealthy, "the health check to fail", 10)


@then("a new request at router {number:d} is refused as draining or finds it stopped")
def check_draining(context: Any, number: int) -> None:
    result = make_caller(context, "planners").chat(router(context, number).address, "late", 2)
    assert result.broken or result.error["code"] == "draining", result


@then("router {number:d} has exited with {code:d}")
def check_exited(context: Any, number: int, code: int) -> None:
    assert router(context, number).process.wait(30) == code


@given("router {number:d} is cut off from the others")
def cut_router(context: Any, number: int) -> None:
    name = f"vm-{number}"
    others = [other for other in context.fleet.routers if other != name]
    context.fleet.cut([[name], others])


@given("router {number:d} is frozen")
def freeze_router(context: Any, number: int) -> None:
    router(context, number).process.send_signal(signal.SIGSTOP)


@when("router {number:d} wakes")
def resume_router(context: Any, number: int) -> None:
    router(context, number).process.send_signal(signal.SIGCONT)


@when("router {number:d} is killed and started again")
def kill_and_restart(context: Any, number: int) -> None:
    context.fleet.kill(router(context, number))
    context.fleet.restart_router(f"vm-{number}")


# -- configuration ----------------------------------------------------------------


@given('a configuration with workspace "{name}" is in force')
def publish_and_wait(context: Any, name: str) -> None:
    publish_workspace(context, name)
    check_in_force(context, 11)


@when('a configuration with workspace "{name}" is published')
def publish_workspace(context: Any, name: str) -> None:
    plan = type(next(iter(context.fleet.workspaces.values())))(name)
    context.fleet.workspaces[name] = plan
    context.manifest = context.fleet.publish()


@when("a configuration with an unknown pool is published")
def publish_invalid(context: Any) -> None:
    fleet = context.fleet
    valid = copy.deepcopy(fleet.make_documents())
    invalid = copy.deepcopy(valid)
    invalid["workspaces"][0]["pools"].append("unknown-pool")
    context.valid_version = fleet.version
    fleet.publish(invalid)


@then("every router has the published configuration within {seconds:d} seconds")
def check_in_force(context: Any, seconds: int) -> None:
    for name in context.fleet.routers:
        _check_version(context, name, seconds)


@then("router {number:d} has the published configuration within {seconds:d} seconds")
def check_one_in_force(context: Any, number: int, seconds: int) -> None:
    _check_version(context, f"vm-{number}", seconds)


def _check_version(context: Any, name: str, seconds: float) -> None:
    wanted = context.fleet.version

    def has_version() -> bool:
        answer = http("GET", context.fleet.routers[name].operators_address, "/status")
        return answer is not None and answer.json()["configuration_number"] == wanted

    wait_for(has_version, f"{name} to have configuration {wanted}", seconds)
    context.valid_version = wanted


@then("every router still has its configuration")
def check_unchanged(context: Any) -> None:
    deadline_s = time.monotonic() + 1.0
    while time.monotonic() < deadline_s:
        for name in context.fleet.routers:
            seen = context.fleet.status(name)["configuration_number"]
            assert seen == context.valid_version, (name, seen, context.valid_version)
        time.sleep(0.1)


@then('"{workspace}" is served by every router')
def check_served(context: Any, workspace: str) -> None:
    for program in context.fleet.routers.values():
        result = make_caller(context, workspace).chat(program.address, "new", 2)
        assert result.text == expected_text("new", 2), result


@then('router {number:d} logs "{text}" as an error')
def check_log(context: Any, number: int, text: str) -> None:
    lines = router(context, number).log_path.read_text().splitlines()
    errors = [line for line in lines if json.loads(line).get("level") == "error"]
    assert any(text in line for line in errors), lines


@when("the platform answers with its first revision only")
def make_platform_stale(context: Any) -> None:
    context.fleet.set_platform_mode(stale_at=2)


@when("the platform is down")
def stop_platform(context: Any) -> None:
    context.fleet.set_platform_mode(down=True)


@then("the platform works normally again")
def restore_platform(context: Any) -> None:
    context.fleet.set_platform_mode()


@given("router {number:d} is cut off from the platform")
def cut_platform_link(context: Any, number: int) -> None:
    body = json.dumps({"peers": [], "platform": True}).encode()
    http("POST", router(context, number).operators_address, "/test/cut", body)


@then("the platform reaches router {number:d} again")
def restore_platform_link(context: Any, number: int) -> None:
    http("POST", router(context, number).operators_address, "/test/cut", b"{}")
