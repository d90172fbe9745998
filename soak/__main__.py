"""The command line of the soak: ``python -m soak --runs 50``."""

import random
import sys
from pathlib import Path

import typer

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from soak.runs import RunOptions, RunResult, execute_run, leave_out_faults  # noqa: E402
from standins.processes import end_processes_at_exit  # noqa: E402


def main(
    runs: int = typer.Option(5, help="number of runs, each with its own seed"),
    seed: int = typer.Option(-1, help="seed of the first run; random if left out"),
    seconds: float = typer.Option(10.0, help="how long clients send requests in each run"),
    routers: int = typer.Option(3, help="router processes in each run"),
    engines: int = typer.Option(3, help="model engines in each run"),
    endings: bool = typer.Option(True, help="whether engine processes end as well"),
    copies: bool = typer.Option(True, help="whether the store is restored from a copy"),
    notices: bool = typer.Option(
        True, help="whether servers announce in answers that they leave or back off"
    ),
    paces: bool = typer.Option(True, help="whether engines differ in speed, with slow spells"),
    versions: bool = typer.Option(True, help="whether engines are of two software versions"),
    departures: bool = typer.Option(
        True, help="whether engines leave by their entries, and others start"
    ),
    framings: bool = typer.Option(True, help="whether engines frame their answers differently"),
    silences: bool = typer.Option(True, help="whether servers stand still for a time and go on"),
    foreign_values: bool = typer.Option(
        True, help="whether other programs write values of any kind into the store"
    ),
    only_silences: bool = typer.Option(
        False,
        "--only-silences",
        help="whether silences and planned work are the only faults, strictly judged",
    ),
) -> None:
    """Run real routers under random faults and check their promises; exits with 1 if one broke."""
    end_processes_at_exit()
    first = seed if seed >= 0 else random.SystemRandom().randrange(1_000_000_000)
    failed_runs = 0
    for number in range(first, first + runs):
        options = RunOptions(
            number,
            seconds,
            routers,
            engines,
            endings,
            notices,
            copies,
            paces,
            versions,
            departures,
            framings,
            silences,
            foreign_values,
        )
        result = execute_run(leave_out_faults(options) if only_silences else options)
        failed_runs += bool(result.violations)
        _print(result)
    print(f"{runs} runs, {failed_runs} with a broken promise")
    sys.exit(1 if failed_runs else 0)


def _print(result: RunResult) -> None:
    faults = ", ".join(
        f"{fault.at_s:.1f}-{fault.until_s:.1f} s {fault.kind}:{fault.how} {fault.target}".strip()
        for fault in result.faults
    )
    statuses = ", ".join(f"{code}: {count}" for code, count in sorted(result.statuses.items()))
    print(f"seed {result.options.seed}: {result.attempts} attempts ({statuses}); {faults}")
    for violation in result.violations:
        print(f"  BROKEN {violation.promise}: {violation.detail}; logs in {result.logs}")
    sys.stdout.flush()


typer.run(main)
