"""Steps that run the operator's tool, and start routers with valid and invalid settings."""

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from fleet_steps import run_command

from standins.network import free_ports

# -- the operator's tool ------------------------------------------------------------


def _run_plan(context: Any, name: str, intent: str) -> Path:
    folder = context.fleet.folder
    intent_path = folder / f"intent-{name}.json"
    intent_path.write_text(intent)
    plan_path = folder / f"plan-{name}.json"
    plan_path.unlink(missing_ok=True)
    platform = context.fleet.platform.address
    arguments = ("plan", intent_path, "--platform", platform, "--out", plan_path)
    run_command(context, "myrtlehook_operator", *arguments)
    context.plan_path = plan_path
    return plan_path


@given('operator "{name}" has planned to add workspace "{workspace}"')
def plan_workspace(context: Any, name: str, workspace: str) -> None:
    item = {"name": workspace, "share": 1, "pools": ["inference"]}
    _run_plan(context, name, "// an intent\n" + json.dumps({"workspaces": [item]}))
    assert context.command.returncode == 0, context.output


def _confirm(context: Any, name: str) -> Path:
    folder: Path = context.fleet.folder / f"published-{name}"
    plan = context.fleet.folder / f"plan-{name}.json"
    platform = context.fleet.platform.address
    arguments = ("confirm", plan, "--platform", platform, "--out", folder)
    run_command(context, "myrtlehook_operator", *arguments)
    return folder


@when('operator "{name}" confirms and it is published')
def confirm_and_publish(context: Any, name: str) -> None:
    folder = _confirm(context, name)
    assert context.command.returncode == 0, context.output
    for path in (folder / "parts").glob("*.json"):
        context.fleet.put(path.stem, path.read_text())
    manifest = (folder / "manifest.json").read_text()
    context.fleet.put("manifest", manifest)
    context.fleet.version = json.loads(manifest)["version"]


@then('the confirmation of operator "{name}" is refused because the base has moved')
def check_base_changed(context: Any, name: str) -> None:
    folder = _confirm(context, name)
    assert context.command.returncode == 1, context.output
    assert "plan again" in context.output, context.output
    assert not folder.exists()


@when("an operator plans an intent with a share of 0 and an unknown pool")
def plan_faulty(context: Any) -> None:
    item = {"name": "bad", "share": 0, "pools": ["nowhere"]}
    _run_plan(context, "faulty", json.dumps({"workspaces": [item]}))


@then("no plan file was written")
def check_no_plan(context: Any) -> None:
    assert not context.plan_path.exists()


@when('an operator plans to give "{workspace}" a share of {share:d}')
def plan_share(context: Any, workspace: str, share: int) -> None:
    _run_plan(context, "share", json.dumps({"workspaces": [{"name": workspace, "share": share}]}))


@when("an operator plans to remove every engine")
def plan_removal(context: Any) -> None:
    names = list(context.fleet.engines)
    _run_plan(context, "removal", json.dumps({"remove": {"backend_servers": names}}))


@when("an operator reads the status of router {number:d}")
def read_status(context: Any, number: int) -> None:
    context.status = context.fleet.status(f"vm-{number}")


@then("the status names an owner for each of {count:d} backend servers")
def check_owners(context: Any, count: int) -> None:
    owners = [server["owner"] for server in context.status["servers"]]
    assert len(owners) == count and all(owners), owners


@then("the status shows {count:d} peers alive and configuration {number:d}")
def check_peers(context: Any, count: int, number: int) -> None:
    alive = [peer for peer in context.status["peers"] if peer["state"] == "alive"]
    assert len(alive) == count, context.status["peers"]
    assert context.status["configuration_number"] == number


@when("an operator runs the status command on all routers")
def run_status(context: Any) -> None:
    addresses = [program.operators_address for program in context.fleet.routers.values()]
    run_command(context, "myrtlehook_operator", "status", *addresses)


# -- settings -----------------------------------------------------------------------


def _make_valid_settings() -> dict[str, Any]:
    callers, operators, peers = free_ports(3)
    return {
        "vm": "vm-1",
        "availability_zone": "sohar",
        "callers": {"address": "127.0.0.1", "port": callers},
        "operators": {"address": "127.0.0.1", "port": operators},
        "peers": {"address": "127.0.0.1", "port": peers},
        "fleet_key": "a-secret-of-this-fleet",
        "platform": ["127.0.0.1:1"],
    }


@given("settings with a port of 0, no fleet key and an unknown field")
def make_faulty_settings(context: Any) -> None:
    settings = _make_valid_settings()
    settings["callers"]["port"] = 0
    del settings["fleet_key"]
    settings["no_such_field"] = 1
    context.settings_text = json.dumps(settings)


@given("settings that end in the middle")
def make_truncated_settings(context: Any) -> None:
    context.settings_text = json.dumps(_make_valid_settings())[:80]


@given("settings with callers and operators on one port")
def make_clashing_settings(context: Any) -> None:
    settings = _make_valid_settings()
    settings["operators"] = settings["callers"]
    context.settings_text = json.dumps(settings)


@given("good settings with comments")
def make_commented_settings(context: Any) -> None:
    context.settings_text = "// one router\n" + json.dumps(_make_valid_settings())


def _write_settings(context: Any) -> Path:
    path = Path(tempfile.mkdtemp(prefix="settings-")) / "settings.json"
    path.write_text(context.settings_text)
    return path


@when("the router is started with them")
def start_with_settings(context: Any) -> None:
    run_command(context, "myrtlehook_router", "--settings", _write_settings(context))


@when("the settings are checked")
def check_settings(context: Any) -> None:
    run_command(context, "myrtlehook_router", "--settings", _write_settings(context), "--check")
