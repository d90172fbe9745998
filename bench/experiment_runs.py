"""Runs an experiment's variants on clean checkouts, at most ``jobs`` runs at a time."""

import json
import re
import shutil
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from bench.experiment_files import Experiment, Variant

ROOT = Path(__file__).resolve().parent.parent
SNAPSHOT_PATTERN = re.compile(r"^snapshot (\w+)$", re.MULTILINE)
OPTIONS_FILE = Path("deploy/options.json")


@dataclass(frozen=True, slots=True)
class ExperimentPaths:
    """The paths that an experiment uses."""

    bench: Path
    """The users' bench program."""
    sites: dict[str, Path]
    """Site files by their names in experiments."""
    work: Path
    """The folder for checkouts; it must not be inside a temporary folder."""


@dataclass(frozen=True, slots=True)
class BenchRun:
    """One run of the users' bench: one variant on one day."""

    variant: Variant
    site: str
    day: str
    seed: int | None


@dataclass(frozen=True, slots=True)
class BenchResult:
    """The bench's result for one run."""

    run: BenchRun
    journal_id: str
    worth: float | None
    """None if the bench gave no figure; its output says why."""
    broken_rules: dict[str, int] = field(default_factory=dict)
    output: str = ""


def list_runs(experiment: Experiment) -> list[BenchRun]:
    """Return all runs; those of one day and seed are adjacent."""
    return [
        BenchRun(variant, site, day, seed)
        for site in experiment.sites
        for day in experiment.days
        for seed in experiment.seeds or (None,)
        for variant in experiment.variants
    ]


def run_experiment(experiment: Experiment, paths: ExperimentPaths, jobs: int) -> list[BenchResult]:
    """Execute all runs, and copy the bench's journal entries into this repository."""
    checkouts = {
        variant.name: check_out(variant, paths.work / variant.name)
        for variant in experiment.variants
    }
    with ThreadPoolExecutor(jobs) as pool:
        runs = list_runs(experiment)
        results = list(
            pool.map(
                lambda run: execute_run(run, experiment, paths, checkouts[run.variant.name]),
                runs,
            )
        )
    for checkout in checkouts.values():
        shutil.copytree(checkout / "journal", ROOT / "journal", dirs_exist_ok=True)
    return results


def check_out(variant: Variant, folder: Path) -> Path:
    """Make a clean checkout of a variant, with its options beside the deploy file."""
    if folder.exists():
        shutil.rmtree(folder)
    subprocess.run(["git", "clone", "-q", str(ROOT), str(folder)], check=True)
    if variant.commit:
        subprocess.run(["git", "checkout", "-q", variant.commit], cwd=folder, check=True)
    if variant.options:
        (folder / OPTIONS_FILE).write_text(json.dumps(variant.options, indent=1) + "\n")
    return folder


def execute_run(
    run: BenchRun, experiment: Experiment, paths: ExperimentPaths, checkout: Path
) -> BenchResult:
    """Run the users' bench for one variant on one day."""
    reason = f"{experiment.question} Variant {run.variant.name}."
    command = [str(paths.bench), "run", str(paths.sites[run.site]), run.day, "--why", reason]
    if run.seed is not None:
        command += ["--seed", str(run.seed)]
    if not experiment.charged:
        command.append("--no-cpu")
    finished = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
    snapshot = SNAPSHOT_PATTERN.search(finished.stdout)
    if snapshot is None:
        return BenchResult(run, "", None, output=finished.stdout[-2000:] + finished.stderr[-2000:])
    entry = _read_journal_entry(checkout, snapshot[1])
    # "G" is the worth; "figure" is the same, capped at the day's upper mark.
    day = entry["days"][0] if entry.get("days") else {}
    return BenchResult(run, snapshot[1], day.get("G"), day.get("rules") or {}, finished.stdout)


def _read_journal_entry(checkout: Path, journal_id: str) -> dict:
    (path,) = (checkout / "journal").glob(f"*-{journal_id}.json")
    entry: dict = json.loads(path.read_text())
    return entry
