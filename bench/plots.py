"""Plots of a fleet measurement as PNG."""

from pathlib import Path

from bench.fleet_bench import FleetFigures


def plot_figures(figures: list[FleetFigures], path: Path) -> None:
    """Plot the gap over time for each policy, and service per workspace for the first policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    plot_figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 8))
    for policy_figures in figures:
        upper.plot(
            [at_s for at_s, _ in policy_figures.gaps],
            [gap for _, gap in policy_figures.gaps],
            label=policy_figures.policy,
        )
    upper.set_xlabel("s")
    upper.set_ylabel("gap, tokens a share")
    upper.set_yscale("symlog", linthresh=100)
    upper.legend()
    first = figures[0]
    times = [at_s for at_s, _ in first.gaps]
    for workspace, values in first.service.items():
        lower.plot(times, values, label=workspace, linewidth=1)
    lower.set_xlabel("s")
    lower.set_ylabel(f"service a share, tokens ({first.policy})")
    lower.legend(fontsize=7)
    plot_figure.tight_layout()
    plot_figure.savefig(path, dpi=100)
