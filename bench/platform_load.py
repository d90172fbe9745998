"""Load on the routed interface, through routers and directly on the emulator, in one run."""

import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.nodes import ROOT, NodeFleet

MODEL_PATHS = ("/diagnosis/a", "/summary/a")
PLAIN_PATH = "/setpoint/a"


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """The parameters of a load measurement."""

    routers: int
    engines: int
    rate_per_s: float
    seconds: float
    seed: int
    flood_part: float
    """The fraction of all requests that one of the two workspaces sends."""


def measure_load(options: LoadOptions) -> dict[str, Any]:
    """Return the clients' reports, through the routers and directly."""
    fleet = NodeFleet()
    try:
        fleet.start(options.routers, options.engines)
        routers = [f"{node.ip}:{node.front_port}" for node in fleet.nodes]
        engines = _list_addresses(fleet, "i-engine")
        services = _list_addresses(fleet, "i-desk")
        return {
            "direct": _run_clients(options, _make_targets(engines, services)),
            "routers": _run_clients(options, _make_targets(routers, routers)),
        }
    finally:
        fleet.stop()


def plot_load(figures: dict[str, Any], path: Path) -> None:
    """Plot the time to the first byte by percentile, for each path to the servers and route."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 6))
    for path_name, routes in figures.items():
        for route, report in routes.items():
            style = "-" if path_name == "routers" else "--"
            axes.plot(range(1, 100), report["curve_ms"], style, label=f"{path_name} {route}")
    axes.set_xlabel("percentile")
    axes.set_ylabel("first byte, ms")
    axes.set_yscale("log")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def _list_addresses(fleet: NodeFleet, prefix: str) -> list[str]:
    return [address for name, address in fleet.addresses.items() if name.startswith(prefix)]


def _make_targets(model: list[str], plain: list[str]) -> dict[str, list[str]]:
    return {**dict.fromkeys(MODEL_PATHS, model), PLAIN_PATH: plain}


def _run_clients(options: LoadOptions, targets: dict[str, list[str]]) -> dict[str, Any]:
    content = {
        "targets": targets,
        "rate_per_s": options.rate_per_s,
        "seconds": options.seconds,
        "seed": options.seed,
        "flood_part": options.flood_part,
    }
    finished = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "emulator.clients"],
        input=json.dumps(content),
        stdout=subprocess.PIPE,
        text=True,
        check=True,
        cwd=ROOT,
    )
    report: dict[str, Any] = json.loads(finished.stdout)
    return report
