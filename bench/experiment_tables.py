"""Compares an experiment's variants in pairs of the same day and seed, as table and plot."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from pathlib import Path
from statistics import mean, stdev

from bench.experiment_files import Experiment
from bench.experiment_runs import BenchResult

NOISE_WORTH = 0.03
"""Differences up to this are noise on a single seed, as the bench's page says."""

STANDARD_ERRORS = 2.0
"""With more than two pairs, a mean difference counts if it exceeds this many standard errors."""


@dataclass(frozen=True, slots=True)
class Comparison:
    """One variant compared with the baseline variant on one site."""

    site: str
    variant: str
    differences: tuple[float, ...]
    """Differences of worth, one for each day and seed that both variants were run on."""

    @property
    def mean(self) -> float:
        """Mean difference."""
        return mean(self.differences) if self.differences else 0.0

    @property
    def spread(self) -> float:
        """Standard deviation of the differences."""
        return stdev(self.differences) if len(self.differences) > 1 else 0.0

    @property
    def verdict(self) -> str:
        """``better``, ``worse`` or ``noise``."""
        bound = NOISE_WORTH
        if len(self.differences) > 2:
            bound = STANDARD_ERRORS * self.spread / sqrt(len(self.differences))
        if not self.differences or abs(self.mean) <= bound:
            return "noise"
        return "better" if self.mean > 0 else "worse"


def compare_variants(experiment: Experiment, results: Sequence[BenchResult]) -> list[Comparison]:
    """Compare every variant with the first one, on each site."""
    first = experiment.variants[0].name
    worths = {
        (item.run.site, item.run.variant.name, item.run.day, item.run.seed): item.worth
        for item in results
    }
    comparisons = []
    for site in experiment.sites:
        for variant in experiment.variants[1:]:
            differences = [
                worth - base
                for (at, name, day, seed), worth in worths.items()
                if at == site and name == variant.name and worth is not None
                if (base := worths.get((site, first, day, seed))) is not None
            ]
            comparisons.append(Comparison(site, variant.name, tuple(differences)))
    return comparisons


def write_table(experiment: Experiment, results: Sequence[BenchResult], path: Path) -> None:
    """Write an experiment's results as a Markdown page."""
    kind = "processor time charged" if experiment.charged else "processor time not counted"
    lines = [f"# {experiment.question}", "", f"Worth of single plays, {kind}.", ""]
    lines += ["| site | day | seed | variant | worth | broken rules | journal |"]
    lines += ["|---|---|---|---|---|---|---|"]
    for item in results:
        seed = "own" if item.run.seed is None else str(item.run.seed)
        worth = "none" if item.worth is None else f"{item.worth:.3f}"
        broken = ", ".join(f"{rule} {count}" for rule, count in item.broken_rules.items())
        cells = [item.run.site, item.run.day, seed, item.run.variant.name, worth, broken]
        lines.append("| " + " | ".join([*cells, item.journal_id]) + " |")
    first = experiment.variants[0].name
    lines += ["", f"Held against `{first}`, by day and seed:", ""]
    lines += ["| site | variant | pairs | mean difference | spread | verdict |"]
    lines += ["|---|---|---|---|---|---|"]
    for row in compare_variants(experiment, results):
        cells = [row.site, row.variant, str(len(row.differences))]
        cells += [f"{row.mean:+.3f}", f"{row.spread:.3f}", row.verdict]
        lines.append("| " + " | ".join(cells) + " |")
    path.write_text("\n".join(lines) + "\n")


def plot_differences(experiment: Experiment, results: Sequence[BenchResult], path: Path) -> None:
    """Plot each variant's differences as points, with one row per site and variant."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = compare_variants(experiment, results)
    figure, axes = pyplot.subplots(figsize=(8, 1.0 + 0.35 * len(rows)))
    for height, row in enumerate(rows):
        axes.plot(row.differences, [height] * len(row.differences), "o", alpha=0.5)
        axes.plot([row.mean], [height], "k|", markersize=14)
    axes.axvspan(-NOISE_WORTH, NOISE_WORTH, alpha=0.1)
    axes.set_yticks(range(len(rows)), [f"{row.site}: {row.variant}" for row in rows])
    axes.set_xlabel(f"worth, less that of {experiment.variants[0].name}")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
