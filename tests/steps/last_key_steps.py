"""Steps of configurations whose keys are taken away."""

import itertools
from typing import Any

from behave import given, then
from border_steps import read_configuration_number
from platform_steps import node, send_attempt

from emulator.sites import KEYS, make_configuration
from standins.network import wait_for

PATH = "/setpoint/a"
_VERSIONS = itertools.count(200)


@given("a configuration in which the workspaces have no keys")
def take_keys(context: Any) -> None:
    _configure(context, [{"Name": name, "ApiKeys": []} for name in KEYS])


@given("a configuration without workspaces")
def drop_workspaces(context: Any) -> None:
    _configure(context, [])


def _configure(context: Any, tenants: list[dict[str, Any]]) -> None:
    version = next(_VERSIONS)
    context.nodes.order(configuration=make_configuration(version, Tenants=tenants))
    found = node(context, 1)
    wait_for(lambda: read_configuration_number(found) == version, "the configuration")


@then(
    "requests with the key taken away, with another one and with none are answered 401 and not run"
)
def check_denied(context: Any) -> None:
    for workspace in ("planners", "a-stranger", None):
        attempt = send_attempt(context, 1, workspace, "GET", PATH)
        assert attempt.status == 401, (workspace, attempt)
        assert context.nodes.count_runs(attempt.attempt_id) == 0


@then("an open route still needs no key")
def check_open(context: Any) -> None:
    assert send_attempt(context, 1, None, "GET", "/open/a").status == 200


@then("a request without a key is served")
def check_served(context: Any) -> None:
    assert send_attempt(context, 1, None, "GET", PATH).status == 200
