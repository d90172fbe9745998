"""The command ``python -m bench experiment FILE``."""

import argparse
import sys
from pathlib import Path

from result import Err

from bench.experiment_files import load_experiment
from bench.experiment_runs import ExperimentPaths, run_experiment
from bench.experiment_tables import plot_differences, write_table

EXIT_BAD_FILE = 2


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the command's options to its parser."""
    parser.add_argument("file", type=Path, help="JSON with comments; see bench/experiments")
    parser.add_argument("--bench", type=Path, required=True, help="the users' bench program")
    parser.add_argument(
        "--site", action="append", default=[], metavar="NAME=FILE", help="a site file"
    )
    parser.add_argument("--work", type=Path, required=True, help="folder for checkouts")
    parser.add_argument("--jobs", type=int, default=4)


def run_command(arguments: argparse.Namespace) -> None:
    """Run an experiment, and write its page and plot beside the file."""
    loaded = load_experiment(arguments.file)
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_FILE)
    experiment = loaded.ok_value
    sites = {name: Path(path) for name, _, path in (text.partition("=") for text in arguments.site)}
    missing = [name for name in experiment.sites if name not in sites]
    if missing:
        print(f"--site: saw none for {', '.join(missing)}, give NAME=FILE", file=sys.stderr)
        sys.exit(EXIT_BAD_FILE)
    paths = ExperimentPaths(arguments.bench, sites, arguments.work)
    results = run_experiment(experiment, paths, arguments.jobs)
    write_table(experiment, results, arguments.file.with_suffix(".md"))
    plot_differences(experiment, results, arguments.file.with_suffix(".png"))
    for item in results:
        if item.worth is None:
            print(f"{item.run}: no figure\n{item.output}", file=sys.stderr)
    print(arguments.file.with_suffix(".md").read_text())
