"""The command line of the benchmarks: ``python -m bench COMMAND``."""

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from bench import experiments_command  # noqa: E402

POLICIES = ("fleet", "local", "single")
"""Policies of one fleet run.

``fleet``: routers exchange totals; ``local``: each router counts only its own service;
``single``: one router serves all requests.
"""


def main() -> None:
    """Run one benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    router = commands.add_parser("router", help="one router: latency, streams, memory")
    router.add_argument("--json", type=Path, help="write the figures here as well")
    fleet = commands.add_parser("fleet", help="a fleet, compared with its baselines")
    _add_fleet_options(fleet)
    commands.add_parser("slopes", help="costs of the core's events at full table sizes")
    load = commands.add_parser("load", help="the routed interface on the emulated platform")
    _add_load_options(load)
    experiment = commands.add_parser(
        "experiment", help="variants on the users' bench, compared in pairs"
    )
    experiments_command.add_options(experiment)
    arguments = parser.parse_args()
    if arguments.command == "router":
        _run_router(arguments)
    elif arguments.command == "slopes":
        _run_slopes()
    elif arguments.command == "experiment":
        experiments_command.run_command(arguments)
    elif arguments.command == "load":
        _run_load(arguments)
    else:
        _run_fleet(arguments)


def _add_fleet_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--routers", type=int, default=8)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--workspaces", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--policy", nargs="+", default=list(POLICIES), choices=POLICIES, help="all by default"
    )
    parser.add_argument("--fault", default="none", help="none, cut, kill-owner, freeze, ...")
    parser.add_argument("--fault-at", type=float, default=10.0, help="seconds into the run")
    parser.add_argument("--fault-for", type=float, default=10.0, help="seconds")
    parser.add_argument("--refresh-ms", type=float, default=0.0, help="interval of reports")
    parser.add_argument("--json", type=Path, help="write all figures here")
    parser.add_argument("--plot", type=Path, help="write a PNG here")


def _add_load_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--rate", type=float, default=30.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--flood", type=float, default=0.5, help="one workspace's fraction of the rate"
    )
    parser.add_argument("--json", type=Path, help="write all figures here")
    parser.add_argument("--plot", type=Path, help="write a PNG here")


def _run_load(arguments: argparse.Namespace) -> None:
    from bench.platform_load import LoadOptions, measure_load, plot_load

    figures = measure_load(
        LoadOptions(
            routers=arguments.routers,
            engines=arguments.engines,
            rate_per_s=arguments.rate,
            seconds=arguments.seconds,
            seed=arguments.seed,
            flood_part=arguments.flood,
        )
    )
    for path_name, routes in figures.items():
        for route, report in routes.items():
            summary = {key: value for key, value in report.items() if key != "curve_ms"}
            print(path_name, route, json.dumps(summary))
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(figures) + "\n")
    if arguments.plot is not None:
        plot_load(figures, arguments.plot)


def _run_router(arguments: argparse.Namespace) -> None:
    from bench.router_bench import measure_router

    figures = measure_router()
    print(json.dumps(figures, indent=1))
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(figures, indent=1) + "\n")


def _run_slopes() -> None:
    from bench.admission_slopes import measure_admission_slopes
    from bench.notice_slopes import measure_notice_slopes
    from bench.quarantine_slopes import measure_quarantine_slopes
    from bench.slopes import measure_slopes

    slopes = [*measure_admission_slopes(), *measure_notice_slopes()]
    slopes += [*measure_quarantine_slopes(), *measure_slopes()]
    for slope in slopes:
        print(f"{slope.name}: {slope.value:.3g} {slope.unit}")


def _run_fleet(arguments: argparse.Namespace) -> None:
    from bench.bounds import check_bounds
    from bench.fleet_bench import FleetOptions, measure_policy
    from bench.plots import plot_figures

    options = FleetOptions(
        routers=arguments.routers,
        engines=arguments.engines,
        workspaces=arguments.workspaces,
        seconds=arguments.seconds,
        seed=arguments.seed,
        fault=arguments.fault,
        fault_at_s=arguments.fault_at,
        fault_for_s=arguments.fault_for,
        refresh_interval_s=arguments.refresh_ms / 1000.0,
    )
    figures = []
    for policy in arguments.policy:
        measured = measure_policy(options, policy)
        figures.append(measured)
        summary = asdict(measured)
        del summary["gaps"], summary["service"]
        print(json.dumps(summary), flush=True)
    results = check_bounds(figures)
    for result in results:
        verdict = "holds" if result.holds else "BROKEN"
        print(f"{result.name}: {result.measured} against {result.bound}: {verdict}")
    if arguments.json is not None:
        arguments.json.write_text(json.dumps([asdict(item) for item in figures]) + "\n")
    if arguments.plot is not None:
        plot_figures(figures, arguments.plot)
    if not all(result.holds for result in results):
        sys.exit(1)


if __name__ == "__main__":
    main()
