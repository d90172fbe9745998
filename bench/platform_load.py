"""Load on the routed interface: routers beside the emulator asked directly, in one run."""

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
class LoadOrder:
    """How much load, and on what."""

    routers: int
    engines: int
    rate_per_s: float
    seconds: float
    seed: int
    flood_part: float
    """The part of all requests that one of the two workspaces sends."""


def measure_load(order: LoadOrder) -> dict[str, Any]:
    """Return what clients saw, through the routers and directly."""
    fleet = NodeFleet()
    try:
        fleet.start(order.routers, order.engines)
        through = [f"{node.ip}:{node.front_port}" for node in fleet.nodes]
        engines = _addresses(fleet, "i-engine")
        services = _addresses(fleet, "i-desk")
        return {
            "direct": _run_clients(order, _targets(engines, services)),
            "routers": _run_clients(order, _targets(through, through)),
        }
    finally:
        fleet.stop()


def plot_load(figures: dict[str, Any], path: Path) -> None:
    """Draw the time to the first byte by percentile, for each way and route."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawing, axes = pyplot.subplots(figsize=(9, 6))
    for way, routes in figures.items():
        for route, seen in routes.items():
            style = "-" if way == "routers" else "--"
            axes.plot(range(1, 100), seen["curve_ms"], style, label=f"{way} {route}")
    axes.set_xlabel("percentile")
    axes.set_ylabel("first byte, ms")
    axes.set_yscale("log")
    axes.legend()
    drawing.tight_layout()
    drawing.savefig(path, dpi=100)


def _addresses(fleet: NodeFleet, prefix: str) -> list[str]:
    return [address for name, address in fleet.addresses.items() if name.startswith(prefix)]


def _targets(model: list[str], plain: list[str]) -> dict[str, list[str]]:
    return {**dict.fromkeys(MODEL_PATHS, model), PLAIN_PATH: plain}


def _run_clients(order: LoadOrder, targets: dict[str, list[str]]) -> dict[str, Any]:
    content = {
        "targets": targets,
        "rate_per_s": order.rate_per_s,
        "seconds": order.seconds,
        "seed": order.seed,
        "flood_part": order.flood_part,
    }
    finished = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "emulator.clients"],
        input=json.dumps(content),
        stdout=subprocess.PIPE,
        text=True,
        check=True,
        cwd=ROOT,
    )
    seen: dict[str, Any] = json.loads(finished.stdout)
    return seen
