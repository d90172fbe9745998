"""Steps that run experiments with a stand-in for the users' bench, and check their results."""

import json
import os
import stat
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from result import Err

from bench.experiment_files import Experiment, Variant, load_experiment
from bench.experiment_runs import ExperimentPaths, execute_run, list_runs
from bench.experiment_tables import compare_variants, plot_differences, write_table

STAND_IN = """#!{python}
import json, pathlib, sys
arguments = sys.argv[1:]
seed = int(arguments[arguments.index("--seed") + 1])
rows = json.loads(pathlib.Path({figures!r}).read_text())
name = f"{{pathlib.Path.cwd().name}}-{{arguments[2]}}-{{seed}}"
worth = rows[pathlib.Path.cwd().name][arguments[2]][str(seed)]
entry = {{"days": [{{"G": worth, "rules": {{}}}}] if worth is not None else []}}
pathlib.Path("journal").mkdir(exist_ok=True)
identifier = name.replace("-", "")
pathlib.Path(f"journal/1-{{identifier}}.json").write_text(json.dumps(entry))
print(f"snapshot {{identifier}}")
"""


@given('an experiment of the variants "{names}" on the days "{days}" with {seeds:d} seeds')
def make_experiment(context: Any, names: str, days: str, seeds: int) -> None:
    context.experiment = Experiment(
        question="Is it better?",
        variants=tuple(Variant(name) for name in names.split(", ")),
        sites=("site",),
        days=tuple(days.split(", ")),
        seeds=tuple(range(1, seeds + 1)),
    )
    context.folder = Path(tempfile.mkdtemp(prefix="experiment-"))


def _run_plays(context: Any, get_worth: Any) -> None:
    folder = context.folder
    experiment = context.experiment
    figures = {
        variant.name: {
            day: {str(seed): get_worth(variant.name, day, seed) for seed in experiment.seeds}
            for day in experiment.days
        }
        for variant in experiment.variants
    }
    figures_path = folder / "figures.json"
    figures_path.write_text(json.dumps(figures))
    program = folder / "bench"
    program.write_text(STAND_IN.format(python=sys.executable, figures=str(figures_path)))
    program.chmod(program.stat().st_mode | stat.S_IXUSR)
    place = ExperimentPaths(program, {"site": folder / "site.toml"}, folder)
    played = []
    for play in list_runs(experiment):
        checkout = folder / play.variant.name
        checkout.mkdir(exist_ok=True)
        played.append(execute_run(play, experiment, place, checkout))
    context.played = played


@when('the bench plays it and "{name}" is worth {less:g} less, give or take {spread:g}')
def play_with_difference(context: Any, name: str, less: float, spread: float) -> None:
    def get_worth(variant: str, day: str, seed: int) -> float:
        base = 0.6 if day == "quiet-1" else 0.5
        if variant != name:
            return base
        # The sign alternates, so that the differences have the given spread.
        return base - less + (spread if (seed + len(day)) % 2 else -spread)

    _run_plays(context, get_worth)


@when('the bench gives no figure for "{name}"')
def play_without_figure(context: Any, name: str) -> None:
    _run_plays(context, lambda variant, day, seed: None if variant == name else 0.5)


@then(
    '"{name}" is judged "{verdict}" over {pairs:d} pairs, '
    "and the page names each play's journal entry"
)
def check_verdict(context: Any, name: str, verdict: str, pairs: int) -> None:
    (row,) = compare_variants(context.experiment, context.played)
    assert (row.variant, row.verdict, len(row.differences)) == (name, verdict, pairs), row
    page = context.folder / "page.md"
    write_table(context.experiment, context.played, page)
    plot_differences(context.experiment, context.played, page.with_suffix(".png"))
    text = page.read_text()
    assert f"| {verdict} |" in text, text
    assert all(item.journal_id and item.journal_id in text for item in context.played), text


@when('an experiment file names the option "{option}" and the days "{days}"')
def load_invalid_experiments(context: Any, option: str, days: str) -> None:
    path = Path(tempfile.mkdtemp(prefix="experiment-")) / "bad.json"
    variant = {"name": "a", "options": {option: True}}
    content = {"question": "?", "variants": [variant], "sites": ["s"], "days": json.loads(days)}
    path.write_text(json.dumps(content))
    context.findings = []
    for invalid in (content, {**content, "days": ["quiet-1"]}):
        path.write_text("// A comment.\n" + json.dumps(invalid))
        loaded = load_experiment(path)
        assert isinstance(loaded, Err), loaded
        context.findings += loaded.err_value


@then('its findings name "{names}"')
def check_findings(context: Any, names: str) -> None:
    text = " ".join(str(finding) for finding in context.findings)
    assert all(name in text for name in names.split(", ")), text


@when('a router starts with the options "{options}"')
def start_with_options(context: Any, options: str) -> None:
    folder = Path(tempfile.mkdtemp(prefix="options-"))
    (folder / "deploy").mkdir()
    (folder / "deploy" / "options.json").write_text(options)
    settings = folder / "node.conf"
    settings.write_text("NodeName=n\n")
    context.command = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "myrtlehook_platform"],
        cwd=folder,
        env=os.environ | {"MYRTLEHOOK_NODE_FILE": str(settings)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
