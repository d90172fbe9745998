"""Steps of the settings files of platform nodes."""

import re
from typing import Any

from behave import given, then, when
from platform_steps import node
from result import Ok

from myrtlehook_platform.settings import merge_settings, parse_settings
from standins.network import wait_for

OTHER_SEED = "127.0.0.9:4000"
LINES = (
    "NodeName=edge-1",
    "IpAddress=10.0.0.1",
    "Zone=hall-1",
    "ListenAddresses.Frontend=10.0.0.1:8783",
    "ListenAddresses.Ready=10.0.0.1:8780",
    "InternalPortRange=7400,7415",
    "Platform.Address=10.0.0.9:8781",
)
MORE_LINES = ("SeedNodes=10.0.0.2:8785", "Bounds.GracePeriodS=5")


@given("a settings file")
def make_file(context: Any) -> None:
    context.settings_text = "\n".join(LINES)


@when('it has "{line}" as well')
def add_line(context: Any, line: str) -> None:
    context.changed_text = f"{context.settings_text}\n{line}"


@then('it is sound, and equal to one without "{name}"')
def check_equal(context: Any, name: str) -> None:
    changed = parse_settings(context.changed_text, "node.conf")
    assert changed == parse_settings(context.settings_text, "node.conf"), changed
    assert isinstance(changed, Ok)


@then('it is rejected with a finding at "{place}"')
def check_finding(context: Any, place: str) -> None:
    findings = parse_settings(context.changed_text, "node.conf").unwrap_err()
    assert any(finding.place == f"node.conf: {place}" for finding in findings), findings
    sound = parse_settings(context.settings_text, "node.conf").unwrap()
    merged, told = merge_settings(context.changed_text, "node.conf", sound)
    assert merged == sound and told == findings, (merged, told)


@when(
    "the settings of router {number:d} name another seed and a grace period that is out of bounds"
)
def change_settings(context: Any, number: int) -> None:
    found = node(context, number)
    context.sound_text = found.settings_path.read_text()
    text = re.sub("SeedNodes=.*", f"SeedNodes={OTHER_SEED}", context.sound_text)
    found.settings_path.write_text(re.sub("GracePeriodS=.*", "GracePeriodS=1e300", text))


@then("router {number:d} knows the seed")
def check_seed(context: Any, number: int) -> None:
    ip = OTHER_SEED.partition(":")[0]
    path = node(context, number).log_path

    def is_known() -> bool:
        lines = [line for line in path.read_text().splitlines() if "settings reloaded" in line]
        return any(ip in line for line in lines)

    wait_for(is_known, "the seed to be applied")


@when("the settings of router {number:d} are sound again")
def restore_settings(context: Any, number: int) -> None:
    node(context, number).settings_path.write_text(context.sound_text)


@when("it is cut after the first lines")
def cut_file(context: Any) -> None:
    context.settings_text = "\n".join((*LINES, *MORE_LINES))
    context.changed_text = "\n".join(LINES[:3])


@then("a router that runs keeps its seeds and its grace period")
def check_kept(context: Any) -> None:
    current = parse_settings(context.settings_text, "node.conf").unwrap()
    merged, findings = merge_settings(context.changed_text, "node.conf", current)
    assert merged == current and findings, (merged, findings)
