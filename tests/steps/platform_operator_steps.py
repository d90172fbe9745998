"""Steps of the platform's operator: configurations, the store, settings, logs, metrics."""

import json
import re
import signal
import subprocess
import sys
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from platform_steps import METRICS_PORT, node, send_attempt

from emulator.sites import HOST, make_configuration
from myrtlehook_platform.configuration import parse_configuration
from myrtlehook_platform.settings import HEADER_NAMES, make_settings, parse_settings
from myrtlehook_router.request.gateways import specify_request
from standins.network import wait_for
from standins.nodes import Node, fetch


def _rewrite_and_reload_settings(found: Node, text: str) -> None:
    found.settings_path.write_text(text)
    found.process.send_signal(signal.SIGHUP)


@when("the settings of router {router:d} become invalid and it is signalled to reload them")
def break_settings(context: Any, router: int) -> None:
    found = node(context, router)
    context.good_settings = found.settings_path.read_text()
    _rewrite_and_reload_settings(found, "NodeName")


@when('the settings of router {router:d} name the seed "{seed}" and it is signalled to reload them')
def change_seeds(context: Any, router: int, seed: str) -> None:
    text = re.sub(r"SeedNodes=.*", f"SeedNodes={seed}", context.good_settings)
    _rewrite_and_reload_settings(node(context, router), text)


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
def break_store(context: Any) -> None:
    context.nodes.order(faults={"store": {"nonsense": True}})


@when("the store answers nonsense instead")
def replace_failure(context: Any) -> None:
    context.nodes.order(faults={"store": {"status": 0, "nonsense": True}})


@when("the store makes sense again")
def heal_store(context: Any) -> None:
    context.nodes.order(faults={"store": {"nonsense": False}})


@then('every router answers "{path}" with {status:d}')
def check_everywhere(context: Any, path: str, status: int) -> None:
    for number in range(1, len(context.nodes.nodes) + 1):

        def answers(number: int = number) -> bool:
            return send_attempt(context, number, None, "GET", path).status == status

        wait_for(answers, f"router {number} answers {status}")


@when('the log of router {router:d} has "{text}"')
@then('the log of router {router:d} has "{text}"')
def check_log(context: Any, router: int, text: str) -> None:
    path = node(context, router).log_path
    wait_for(lambda: text in path.read_text(), f"{text!r} in the log")


@when('server "{name}" is draining')
def drain_server(context: Any, name: str) -> None:
    context.nodes.order(servers={name: "draining"})

    def known() -> bool:
        return all("i-engine-1" in _find_last_leaving_line(found) for found in context.nodes.nodes)

    wait_for(known, "every router knows that the server is leaving")


def _find_last_leaving_line(found: Node) -> str:
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
def check_explanation(context: Any, first: str, second: str) -> None:
    logs = [str(found.log_path) for found in context.nodes.nodes]
    command = [sys.executable, "-m", "myrtlehook_operator", "explain", context.attempt.attempt_id]

    def is_reported() -> bool:
        context.command = subprocess.run(
            [*command, *logs], capture_output=True, text=True, timeout=60, check=False
        )
        return second in context.command.stdout

    wait_for(is_reported, f"the explanation to contain {second!r}")
    explanation = context.command.stdout
    assert -1 < explanation.find(first) < explanation.find(second), explanation


def run_losses(context: Any, *options: str) -> dict[str, Any]:
    logs = [str(found.log_path) for found in context.nodes.nodes]
    command = [sys.executable, "-m", "myrtlehook_operator", "losses", "--json", *options, *logs]
    printed = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    report: dict[str, Any] = json.loads(printed.stdout)
    return report


@then('the tool\'s losses list "{route}" and "{workspace}" with the reason "{reason}"')
def check_losses(context: Any, route: str, workspace: str, reason: str) -> None:
    def is_reported() -> bool:
        context.losses = run_losses(context)["tables"]
        reasons = {
            dimension: {row["place"] for row in rows if row["reason"] == reason}
            for dimension, rows in context.losses.items()
        }
        return route in reasons["route"] and workspace in reasons["workspace"]

    wait_for(is_reported, f"the losses to list {reason!r}")


@then("the tool's losses name the attempts to explain")
def check_examples(context: Any) -> None:
    rows = context.losses["reason"]
    # A malformed request may carry no id by which the tool could explain it.
    named = [row for row in rows if row["reason"] != "malformed_body"]
    assert named and all(row["example"] and row["requests"] for row in named), rows
    assert {row["kind"] for row in rows} >= {"broken off", "refused"}, rows
    assert [row["requests"] for row in rows] == sorted(
        (row["requests"] for row in rows), reverse=True
    )


@then("the tool draws its losses")
def check_plot(context: Any) -> None:
    path = context.nodes.folder / "losses.png"
    run_losses(context, "--plot", str(path))
    assert path.read_bytes().startswith(b"\x89PNG")


@then('the metrics of router {router:d} count "{name}"')
def check_metrics(context: Any, router: int, name: str) -> None:
    _, body = fetch(node(context, router).ip, METRICS_PORT, "/metrics")
    found = re.search(rf'myrtlehook_events_total{{name="{re.escape(name)}"}} (\S+)', body.decode())
    assert found and float(found[1]) >= 1, body.decode()[:2000]


@when('a router starts with the settings "{settings}"')
def start_with_invalid_settings(context: Any, settings: str) -> None:
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


@when('the configuration gives "{workspace}" the priority {priority:d}')
def set_priority(context: Any, workspace: str, priority: int) -> None:
    content = make_configuration(1)
    for tenant in content["Tenants"]:
        if tenant["Name"] == workspace:
            tenant["Priority"] = priority
    context.parsed = parse_configuration(json.dumps(content)).unwrap()


@then('a request of "{workspace}" on a route of priority 1 has the priority {priority:d}')
def check_priority(context: Any, workspace: str, priority: int) -> None:
    found: Any = SimpleNamespace(
        headers=(),
        route=context.parsed.routes.routes_by_host[HOST][0],
        request_id="x1",
        method="GET",
        target="/",
        workspace=context.parsed.workspaces[workspace],
        arrived_at_s=0.0,
        deadline_s=1.0,
    )
    services: Any = SimpleNamespace(names=HEADER_NAMES)
    assert found.route.priority == 1, found.route
    assert specify_request(services, found, b"").priority == priority


@then("a VM of {memory:d} MB and {descriptors:d} descriptors takes {connections:d} connections")
def check_connections(context: Any, memory: int, descriptors: int, connections: int) -> None:
    node_file = [
        "NodeName=n",
        "Zone=z",
        "IpAddress=127.0.0.1",
        "ListenAddresses.Frontend=127.0.0.1:1001",
        "ListenAddresses.Ready=127.0.0.1:1002",
        "InternalPortRange=1003,1004",
        "Platform.Address=127.0.0.1:1005",
        f"Limits.MemoryMb={memory}",
        f"Limits.FileDescriptorLimit={descriptors}",
    ]
    fields = parse_settings("\n".join(node_file), "node.conf").unwrap()
    assert make_settings(fields).max_connections == connections, make_settings(
        fields
    ).max_connections


@then('the metrics of some router give "{engine}" a rate, a delay and a window')
def check_engine_metrics(context: Any, engine: str) -> None:
    # A server's name may have its start time after its id.
    label = rf'\{{backend_server="{engine}(@[0-9]+)?"\}}'
    wanted = [
        re.compile(f"myrtlehook_engine_{name}{label}")
        for name in ("rate_tokens_per_s", "delay_s", "window_tokens", "samples")
    ]

    def is_reported() -> bool:
        bodies = [fetch(found.ip, METRICS_PORT, "/metrics")[1] for found in context.nodes.nodes]
        return any(all(name.search(body.decode()) for name in wanted) for body in bodies)

    wait_for(is_reported, f"the metrics to describe {engine}")


@then('the log of some router has the estimates behind "{event}"')
def check_decision_log(context: Any, event: str) -> None:
    wanted = {"unread_tokens", "backlog_tokens", "window_tokens", "rate_tokens_per_s"}
    wanted |= {"delay_ms", "samples", "estimate_age_ms", "waiting", "request_id"}

    def is_reported() -> bool:
        lines = [
            json.loads(line)
            for found in context.nodes.nodes
            for line in found.log_path.read_text().splitlines()
            if f'"{event}"' in line
        ]
        return bool(lines) and all(wanted <= line.keys() for line in lines)

    wait_for(is_reported, f"the logs to have the estimates behind {event!r}")


@then('the log of router {router:d} has "{event}" with "{name}" {value:d}')
def check_log_field(context: Any, router: int, event: str, name: str, value: int) -> None:
    def is_reported() -> bool:
        lines = node(context, router).log_path.read_text().splitlines()
        found = [json.loads(line) for line in lines if f'"event": "{event}"' in line]
        return any(line.get(name) == value for line in found)

    wait_for(is_reported, f"the log of router {router} to have {event!r} with {name} {value}")
