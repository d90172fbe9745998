"""behave's hooks: fixtures by tag, and the final count of scenarios."""

import gc
import sys
import time
from pathlib import Path
from typing import Any

from behave import fixture, use_fixture
from behave.model import Status
from behave.reporter.base import Reporter
from hypothesis import HealthCheck, settings

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from standins.cut_answers import AT_ONCE_S, BACK_LATE_S, start_raw_servers  # noqa: E402
from standins.fleets import Fleet  # noqa: E402
from standins.nodes import NodeFleet  # noqa: E402
from standins.processes import end_processes_at_exit  # noqa: E402

# Reproducible verdicts: examples are derived from the property's source, not drawn at random.
settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, max_examples=100,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
settings.load_profile("ci")

SMALL_MEMORY_MB = 88
"""The memory of VMs on which a router accepts few connections."""

CROWD_MEMORY_MB = 100
CROWD_DESCRIPTORS = 900
"""The limits of VMs whose routers meet crowds of clients that keep none."""

SEVERAL_SERVICES = 3
"""The number of plain service servers with which others can run what one of them refuses."""

MANY_ENGINES = 6
"""The number of engines with which some keep running while others have ended."""

VERSIONED_ENGINES = 8
"""The number of engines with which several of each software version serve."""

RAW_SOFTWARE_VERSIONS = {"raw": 1, "raw-versions": 7}
"""How many software versions the servers that run as processes of their own have, by option."""

ALWAYS_PASSING = {"passing_starts_part": -2.0, "passing_all_part": -1.0}
"""Thresholds at which a router considers itself busy, however low its load is."""

BUSY_OPTIONS: dict[str, dict[str, float]] = {
    "busy": {},
    "short": {"helping_limit_part": -1.0},
    "all-busy": {**ALWAYS_PASSING, "helping_limit_part": 2.0},
}
"""The options of the other routers while the first one considers itself busy, by fleet option."""

MAX_REPORTED_CHARACTERS = 500
"""The part of a failed step's report that is printed again at the end."""

JOIN_TIMEOUT_S = 30.0
"""The time limit for a scenario's client threads to end after it."""


class CountReporter(Reporter):  # type: ignore[misc]
    """Prints ``N passed, N failed`` over all scenarios as the very last line.

    Before it, what each failed step reported: of a long run often only the end is kept.
    """

    def __init__(self, config: Any) -> None:
        super().__init__(config)
        self.passed = 0
        self.failed = 0
        self.failures: list[str] = []

    def feature(self, feature: Any) -> None:
        """Count one feature's passed and failed scenarios."""
        for scenario in feature.walk_scenarios():
            if scenario.status == Status.passed:
                self.passed += 1
            elif scenario.status not in (Status.skipped, Status.untested):
                self.failed += 1
                self.failures += [
                    f"{scenario.name}: {step.name}: {str(step.exception)[:MAX_REPORTED_CHARACTERS]}"
                    for step in scenario.all_steps
                    if step.exception is not None
                ]

    def end(self) -> None:
        """Print the failures and the count."""
        for failure in self.failures:
            print(failure, flush=True)
        print(f"{self.passed} passed, {self.failed} failed", flush=True)


@fixture  # type: ignore[untyped-decorator]
def running_fleet(context: Any, routers: int, engines: int) -> Any:
    """Start a fleet for a feature or a scenario, and stop it afterwards."""
    fleet = Fleet()
    try:
        fleet.start(routers=routers, engines=engines)
        context.fleet = fleet
        yield fleet
    finally:
        fleet.stop()


@fixture  # type: ignore[untyped-decorator]
def running_nodes(context: Any, routers: int, option: str) -> Any:
    """Start routers on the emulated platform, and stop them afterwards."""
    nodes = NodeFleet()
    if option == "small":
        nodes.memory_mb = SMALL_MEMORY_MB
    if option == "crowd":
        nodes.memory_mb = CROWD_MEMORY_MB
        nodes.descriptors = CROWD_DESCRIPTORS
    if option == "desks":
        nodes.services = SEVERAL_SERVICES
    nodes.options = {f"edge-{number}": BUSY_OPTIONS.get(option, {}) for number in range(1, 10)}
    nodes.options["edge-1"] = ALWAYS_PASSING if option in BUSY_OPTIONS else {}
    try:
        if option.startswith("raw"):
            versions = RAW_SOFTWARE_VERSIONS[option]
            start_raw_servers(nodes, (AT_ONCE_S, BACK_LATE_S), versions)
            nodes.start_nodes(routers)
        else:
            engines = {"many": MANY_ENGINES, "versions": VERSIONED_ENGINES}.get(option, 2)
            nodes.start(routers=routers, engines=engines, empty=option == "empty")
        context.nodes = nodes
        yield nodes
    finally:
        nodes.stop()


def before_all(context: Any) -> None:
    """Install the count as the last reporter, and have all started processes killed at exit."""
    end_processes_at_exit()
    context.config.reporters.append(CountReporter(context.config))


def before_tag(context: Any, tag: str) -> None:
    """Start the fleet that a tag names: ``@fleet.3x2`` is 3 routers and 2 engines."""
    if tag.startswith("fleet."):
        routers, engines = tag.removeprefix("fleet.").split("x")
        use_fixture(running_fleet, context, int(routers), int(engines))
    if tag.startswith("nodes."):
        routers, _, option = tag.removeprefix("nodes.").partition(".")
        use_fixture(running_nodes, context, int(routers), option)


def _read_known_red(context: Any) -> set[str]:
    """Return the names of the scenarios that KNOWN-RED.txt lists."""
    default = Path(__file__).parent.parent / "KNOWN-RED.txt"
    path = Path(context.config.userdata.get("known_red", default))
    lines = path.read_text().splitlines() if path.exists() else []
    return {line.partition("|")[0].strip() for line in lines if line.strip()}


def before_scenario(context: Any, scenario: Any) -> None:
    """Give each scenario its own results and threads; skip it if KNOWN-RED.txt lists it."""
    context.results = {}
    context.threads = []
    # What earlier scenarios left is not looked through again: that stops all clients for a time.
    gc.collect()
    gc.freeze()
    # The names of an outline's scenarios end with a blank.
    if scenario.name.strip() in _read_known_red(context):
        print(f"known red, passed over: {scenario.name}", flush=True)
        scenario.skip("listed in KNOWN-RED.txt")
        return
    if hasattr(context, "nodes"):
        context.nodes.order(heal=True)


def after_scenario(context: Any, scenario: Any) -> None:
    """Join the scenario's threads before the next one starts; print logs after a failure."""
    if hasattr(context, "load"):
        context.load.stopped.set()
    deadline_s = time.monotonic() + JOIN_TIMEOUT_S
    for thread in context.threads:
        thread.join(max(deadline_s - time.monotonic(), 0.1))
    if scenario.status != Status.passed and hasattr(context, "fleet"):
        _print_logs(context.fleet)
    if scenario.status != Status.passed and hasattr(context, "nodes"):
        for node in context.nodes.nodes:
            print(f"--- {node.name}\n{node.log_path.read_text()[-2500:]}")


def _print_logs(fleet: Fleet) -> None:
    for program in fleet.routers.values():
        if program.log_path is not None:
            print(f"--- {program.name}\n{program.log_path.read_text()[-1500:]}")
