"""Steps of routers on the emulated platform, from what callers and servers see."""

import http.client
import re
import signal
import subprocess
import sys
from typing import Any

from behave import given, then, when
from emulator.sites import HOST, make_configuration

from standins.attempts import Attempt, make_headers, new_id, send, send_raw
from standins.nodes import Node, fetch, wait_for

METRICS_PORT = 9464
EVENT_ID = re.compile(rb"id: (\d+)")


def node(context: Any, number: int) -> Node:
    """Return a router by its number."""
    found: Node = context.nodes.nodes[number - 1]
    return found


def _send(
    context: Any,
    router: int,
    workspace: str | None,
    method: str,
    path: str,
    tokens: str = "",
    body: bytes = b"",
    **extra: str,
) -> Attempt:
    parts = f"common:500,{new_id()}:200" if tokens else ""
    headers = make_headers(new_id(), workspace, tokens, parts)
    headers.update({name.replace("_", "-"): value for name, value in extra.items()})
    context.attempt = send(node(context, router), method, path, headers, body)
    found: Attempt = context.attempt
    return found


def _server_headers(context: Any) -> tuple[str, dict[str, str]]:
    """Return the server that ran the attempt, and the headers that it saw."""
    for name, server in context.nodes.describe()["servers"].items():
        seen = server["seen_headers"].get(context.attempt.attempt_id)
        if seen is not None:
            return name, seen
    raise AssertionError(f"no server ran {context.attempt.attempt_id}")


@when('"{workspace}" sends "{method}" "{path}" with "{tokens}" tokens to router {router:d}')
def send_request(
    context: Any, workspace: str, method: str, path: str, tokens: str, router: int
) -> None:
    body = b"body" if method == "POST" else b""
    _send(context, router, workspace, method, path, tokens, body)


@when('"{workspace}" sends "{method}" "{path}" with "" tokens to router {router:d}')
def send_plain(context: Any, workspace: str, method: str, path: str, router: int) -> None:
    send_request(context, workspace, method, path, "", router)


@when('nobody sends "{method}" "{path}" to router {router:d}')
def send_nameless(context: Any, method: str, path: str, router: int) -> None:
    _send(context, router, None, method, path)


@when('"{workspace}" sends "{method}" "{path}" with forged headers to router {router:d}')
def send_forged(context: Any, workspace: str, method: str, path: str, router: int) -> None:
    forged = {"Tenant_Name": "dispatch", "Expected_Instance": "i-other"}
    _send(context, router, workspace, method, path, "", b"body", **forged)


@when('"{workspace}" sends "{method}" "{path}" with a body in chunks to router {router:d}')
def send_chunks(context: Any, workspace: str, method: str, path: str, router: int) -> None:
    found = node(context, router)
    headers = make_headers(new_id(), workspace)
    connection = http.client.HTTPConnection(found.ip, found.front_port, timeout=30)
    pieces = iter([b"one ", b"two ", b"three"])
    connection.request(method, path, body=pieces, headers=headers, encode_chunked=True)
    response = connection.getresponse()
    shown = {name.title(): value for name, value in response.getheaders()}
    context.attempt = Attempt(headers["Attempt-Id"], response.status, shown, response.read())
    connection.close()


@when('"{workspace}" sends "{method}" "{path}" with a body of {size:d} bytes to router {router:d}')
def send_large(
    context: Any, workspace: str, method: str, path: str, size: int, router: int
) -> None:
    _send(context, router, workspace, method, path, "", b"x" * size)


@when('"{workspace}" sends {count:d} requests to "{path}" through both routers')
def send_many(context: Any, workspace: str, count: int, path: str) -> None:
    context.attempts = [
        _send(context, number % 2 + 1, workspace, "POST", path, "300,6", b"body")
        for number in range(count)
    ]


@then("the attempt has status {status:d} and a seal")
def check_sealed(context: Any, status: int) -> None:
    attempt = context.attempt
    assert attempt.status == status and not attempt.broken, attempt
    assert attempt.headers.get("Response-Seal"), attempt
    assert attempt.headers.get("Attempt-Id") == attempt.attempt_id, attempt


@then("the attempt has status {status:d} and no seal")
def check_unsealed(context: Any, status: int) -> None:
    assert context.attempt.status == status, context.attempt
    assert "Response-Seal" not in context.attempt.headers, context.attempt


@then("the attempt has status {status:d} and a time to come back")
def check_retry_after(context: Any, status: int) -> None:
    check_unsealed(context, status)
    assert float(context.attempt.headers["Retry-After"]) > 0, context.attempt


@then("the attempt was run {count:d} time")
@then("the attempt was run {count:d} times")
def check_runs(context: Any, count: int) -> None:
    seen = context.nodes.count_runs(context.attempt.attempt_id)
    assert seen == count, f"run {seen} times"


@then('the server saw "{name}" as "{value}"')
def check_seen(context: Any, name: str, value: str) -> None:
    _, seen = _server_headers(context)
    assert seen.get(name) == value, seen


@then("the server saw its own instance expected")
def check_instance(context: Any) -> None:
    server, seen = _server_headers(context)
    assert seen.get("Expected-Instance") == server, seen


@then('the server did not see "{name}"')
def check_unseen(context: Any, name: str) -> None:
    _, seen = _server_headers(context)
    assert name not in seen, seen


@then('the body that came back ends with "{text}"')
def check_body(context: Any, text: str) -> None:
    assert context.attempt.body.endswith(text.encode()), context.attempt


@when('a caller sends the head "{head}" to router {router:d}')
def send_head(context: Any, head: str, router: int) -> None:
    content = head.replace(";", "\r\n") + "\r\n\r\n"
    context.raw = send_raw(node(context, router), content.encode())


@when("a caller sends a head with bare line feeds to router {router:d}")
def send_bare(context: Any, router: int) -> None:
    content = f"GET /open/a HTTP/1.1\nHost: {HOST}\nAttempt-Id: a\n\n"
    context.raw = send_raw(node(context, router), content.encode())


@when("a caller sends a head of {size:d} bytes to router {router:d}")
def send_long_head(context: Any, size: int, router: int) -> None:
    content = f"GET /open/a HTTP/1.1\r\nHost: {HOST}\r\nX: {'x' * size}\r\n\r\n"
    context.raw = send_raw(node(context, router), content.encode())


@when("a caller sends half a head and waits at router {router:d}")
def send_half(context: Any, router: int) -> None:
    content = f"GET /open/a HTTP/1.1\r\nHost: {HOST}\r\n"
    context.raw = send_raw(node(context, router), content.encode())


@then("the raw answer has status {status:d}")
def check_raw(context: Any, status: int) -> None:
    assert context.raw.startswith(f"HTTP/1.1 {status} ".encode()), context.raw[:300]


@given('server "{name}" refuses 1 request')
def refuse_one(context: Any, name: str) -> None:
    context.nodes.order(faults={name: {"refusals": 1}})


@given('server "{name}" loses 1 answer')
def lose_one(context: Any, name: str) -> None:
    context.nodes.order(faults={name: {"reset_answers": 1}})


@given('server "{name}" resets 1 answer half-way that has no length')
def reset_one(context: Any, name: str) -> None:
    context.nodes.order(faults={name: {"unframed_resets": 1}})


def _fault_engines(context: Any, **faults: int) -> None:
    names = [name for name in context.nodes.addresses if name.startswith("i-engine")]
    context.nodes.order(faults={name: faults for name in names})


@given("the next stream breaks off after {count:d} events")
def break_stream(context: Any, count: int) -> None:
    context.nodes.order(faults={"engines": {"break_after_events": count}})


@given("every engine answers 1 request under a wrong id")
def spoil_ids(context: Any) -> None:
    _fault_engines(context, wrong_ids=1)


@given("every engine holds its streams after {count:d} events")
def hold_streams(context: Any, count: int) -> None:
    _fault_engines(context, hold_after_events=count)


@then("its events are numbered from 1 to {last:d} without a gap")
def check_events(context: Any, last: int) -> None:
    seen = [int(number) for number in EVENT_ID.findall(context.attempt.body)]
    assert seen == list(range(1, last + 1)), seen


@then("the answer ended without its proper end")
def check_broken(context: Any) -> None:
    assert context.attempt.broken, context.attempt


@when('"{workspace}" opens a stream at router {router:d}')
def open_stream(context: Any, workspace: str, router: int) -> None:
    found = node(context, router)
    headers = make_headers(new_id(), workspace, "900,60", f"{new_id()}:300")
    context.attempt = Attempt(headers["Attempt-Id"])
    context.connection = http.client.HTTPConnection(found.ip, found.front_port, timeout=30)
    context.connection.request("POST", "/diagnosis/a", body=b"body", headers=headers)
    context.response = context.connection.getresponse()
    context.first = context.response.read1(65536)
    assert EVENT_ID.search(context.first), context.first


@when('"{workspace}" opens a stream at router {router:d} and leaves after the first event')
def open_and_leave(context: Any, workspace: str, router: int) -> None:
    open_stream(context, workspace, router)
    context.response.close()
    context.connection.close()


@given("every engine is silent")
def silence_engines(context: Any) -> None:
    _fault_engines(context, silent=True)


@when('"{workspace}" leaves {count:d} requests at router {router:d} once an engine runs them')
def leave_many(context: Any, workspace: str, count: int, router: int) -> None:
    found = node(context, router)
    for _ in range(count):
        headers = make_headers(new_id(), workspace, "300,60", f"{new_id()}:300")
        context.attempt = Attempt(headers["Attempt-Id"])
        connection = http.client.HTTPConnection(found.ip, found.front_port, timeout=30)
        connection.request("POST", "/diagnosis/a", body=b"body", headers=headers)
        attempt_id = context.attempt.attempt_id
        wait_for(lambda wanted=attempt_id: context.nodes.count_runs(wanted) > 0, "a run")
        connection.close()


@then("no router has ejected an engine")
def check_none_ejected(context: Any) -> None:
    for found in context.nodes.nodes:
        lines = found.log_path.read_text().splitlines()
        ejected = [line for line in lines if '"ejected"' in line and "i-engine" in line]
        assert not ejected, ejected


@then("the engines cancel that run")
def check_cancelled(context: Any) -> None:
    def cancelled() -> bool:
        servers = context.nodes.describe()["servers"].values()
        return any(context.attempt.attempt_id in server["cancelled"] for server in servers)

    wait_for(cancelled, "the run is cancelled")
    _fault_engines(context, hold_after_events=0, silent=False)


@when("the platform stops router {router:d}")
def stop_router(context: Any, router: int) -> None:
    node(context, router).process.send_signal(signal.SIGTERM)


@then("router {router:d} is not ready")
def check_not_ready(context: Any, router: int) -> None:
    found = node(context, router)
    wait_for(lambda: context.nodes.readiness(found) == 503, "readiness 503")


@then("the stream goes on to its whole end once the engines go on")
def check_stream_ends(context: Any) -> None:
    _fault_engines(context, hold_after_events=0, silent=False)
    body = context.first + context.response.read()
    seen = [int(number) for number in EVENT_ID.findall(body)]
    assert seen == list(range(1, 21)), seen
    context.connection.close()


@then("router 1 has ended with status {status:d}")
def check_ended(context: Any, status: int) -> None:
    process = context.nodes.nodes[0].process
    assert process.wait(timeout=30) == status
    stopped = context.nodes.nodes.pop(0)
    ips = [stopped.ip, *(other.ip for other in context.nodes.nodes)]
    context.nodes.start_node(stopped.name, stopped.ip, ips)
    context.nodes.nodes.insert(0, context.nodes.nodes.pop())
    context.nodes.wait_ready()


def _rewrite_settings(found: Node, text: str) -> None:
    found.settings_path.write_text(text)
    found.process.send_signal(signal.SIGHUP)


@when("the settings of router {router:d} turn bad and it is told so")
def spoil_settings(context: Any, router: int) -> None:
    found = node(context, router)
    context.good_settings = found.settings_path.read_text()
    _rewrite_settings(found, "NodeName")


@when('the settings of router {router:d} name the seed "{seed}" and it is told so')
def change_seeds(context: Any, router: int, seed: str) -> None:
    text = re.sub(r"SeedNodes=.*", f"SeedNodes={seed}", context.good_settings)
    _rewrite_settings(node(context, router), text)


@given('server "{name}" loses {count:d} answers')
def lose_many(context: Any, name: str, count: int) -> None:
    context.nodes.order(faults={name: {"reset_answers": count}})


@when('"{workspace}" sends {count:d} requests to "{path}" through router {router:d}')
def send_through_one(context: Any, workspace: str, count: int, path: str, router: int) -> None:
    context.attempts = [
        _send(context, router, workspace, "POST", path, "", b"body") for _ in range(count)
    ]


@given('server "{name}" answers {count:d} requests with a failure of its own')
def fail_many(context: Any, name: str, count: int) -> None:
    context.nodes.order(faults={name: {"errors": count}})
    context.log_sizes = {found.name: found.log_path.stat().st_size for found in context.nodes.nodes}


@then("every one of them has status {status:d} and a seal")
def check_all_sealed(context: Any, status: int) -> None:
    for attempt in context.attempts:
        assert attempt.status == status and "Response-Seal" in attempt.headers, attempt


@then('"{workspace}" is served at "{path}" by router {router:d} at once')
def check_served(context: Any, workspace: str, path: str, router: int) -> None:
    _send(context, router, workspace, "POST", path, "", b"body")
    check_sealed(context, 200)
    for found in context.nodes.nodes:
        assert not _ejections_since(context, found), found.log_path.read_text()[-2000:]


def _ejections_since(context: Any, found: Node) -> list[str]:
    """Return the ejections that a router logged since the scenario's servers turned bad."""
    text = found.log_path.read_bytes()[context.log_sizes[found.name] :].decode()
    return [line for line in text.splitlines() if '"ejected"' in line]


@then('the log of router 1 or 2 tells "{text}"')
def check_logs(context: Any, text: str) -> None:
    def told() -> bool:
        return any(text in found.log_path.read_text() for found in context.nodes.nodes)

    wait_for(told, f"{text!r} in a log")


@when('the operator publishes "{text}"')
def publish_text(context: Any, text: str) -> None:
    context.nodes.order(configuration_text=text)


@when('the operator publishes version {version:d} without the route "{name}"')
def publish_without(context: Any, version: int, name: str) -> None:
    configuration = make_configuration(version)
    routes = [route for route in configuration["Routes"] if route["Name"] != name]
    context.nodes.order(configuration={**configuration, "Routes": routes})


@when("the operator publishes version {version:d} with every route")
def publish_whole(context: Any, version: int) -> None:
    context.nodes.order(configuration=make_configuration(version))


@when("the store forgets its history")
def forget_history(context: Any) -> None:
    context.nodes.order(forget_history=True)


@given("the store answers every call with {status:d}")
def fail_store(context: Any, status: int) -> None:
    context.nodes.order(faults={"store": {"status": status}})


@given("the store answers nonsense")
def spoil_store(context: Any) -> None:
    context.nodes.order(faults={"store": {"nonsense": True}})


@when("the store makes sense again")
def heal_store(context: Any) -> None:
    context.nodes.order(faults={"store": {"nonsense": False}})


@then('every router answers "{path}" with {status:d}')
def check_everywhere(context: Any, path: str, status: int) -> None:
    for number in range(1, len(context.nodes.nodes) + 1):

        def answers(number: int = number) -> bool:
            return _send(context, number, None, "GET", path).status == status

        wait_for(answers, f"router {number} answers {status}")


@when('the log of router {router:d} tells "{text}"')
@then('the log of router {router:d} tells "{text}"')
def check_log(context: Any, router: int, text: str) -> None:
    path = node(context, router).log_path
    wait_for(lambda: text in path.read_text(), f"{text!r} in the log")


@when('server "{name}" is draining')
def drain_server(context: Any, name: str) -> None:
    context.nodes.order(servers={name: "draining"})

    def known() -> bool:
        return all("i-engine-1" in _leaving(found) for found in context.nodes.nodes)

    wait_for(known, "every router knows that the server is leaving")


def _leaving(found: Node) -> str:
    lines = [line for line in found.log_path.read_text().splitlines() if '"leaving": ["' in line]
    return lines[-1] if lines else ""


@then('server "{name}" ran none of them')
def check_ran_none(context: Any, name: str) -> None:
    runs = context.nodes.describe()["servers"][name]["runs"]
    ids = {attempt.attempt_id for attempt in context.attempts}
    assert all(attempt.status == 200 for attempt in context.attempts), context.attempts
    assert not ids & runs.keys(), runs
    context.nodes.order(servers={name: "ready"})


@then('the tool explains the attempt with "{first}" before "{second}"')
def check_story(context: Any, first: str, second: str) -> None:
    logs = [str(found.log_path) for found in context.nodes.nodes]
    command = [sys.executable, "-m", "myrtlehook_operator", "explain", context.attempt.attempt_id]

    def told() -> bool:
        context.command = subprocess.run(
            [*command, *logs], capture_output=True, text=True, timeout=60, check=False
        )
        return second in context.command.stdout

    wait_for(told, f"the story tells {second!r}")
    story = context.command.stdout
    assert -1 < story.find(first) < story.find(second), story


@then('the metrics of router {router:d} count "{name}"')
def check_metrics(context: Any, router: int, name: str) -> None:
    _, body = fetch(node(context, router).ip, METRICS_PORT, "/metrics")
    found = re.search(rf'myrtlehook_events_total{{name="{re.escape(name)}"}} (\S+)', body.decode())
    assert found and float(found[1]) >= 1, body.decode()[:2000]


@when('a router starts with the settings "{settings}"')
def start_badly(context: Any, settings: str) -> None:
    path = context.nodes.folder / "bad.conf"
    path.write_text(settings.replace(";", "\n"))
    context.command = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "myrtlehook_platform"],
        capture_output=True,
        text=True,
        timeout=60,
        env={"MYRTLEHOOK_NODE_FILE": str(path), "PATH": "/usr/bin:/bin"},
    )


@then('it ends with status {status:d} and names "{names}"')
def check_findings(context: Any, status: int, names: str) -> None:
    assert context.command.returncode == status, context.command
    for name in names.split(", "):
        assert name in context.command.stderr, context.command.stderr
