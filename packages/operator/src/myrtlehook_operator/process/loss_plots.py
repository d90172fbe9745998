"""Plots lost requests over time as PNG."""

from pathlib import Path

from myrtlehook_operator.request.losses import LossKind, LossReport


def plot_losses(report: LossReport, path: Path) -> None:
    """Plot the number of requests lost in each second, by kind.

    :raises ImportError: if matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seconds = [int(end.at_s - report.begins_s) for end in report.ends]
    length = max(seconds, default=0) + 1
    drawing, axes = pyplot.subplots(figsize=(9, 4))
    below = [0] * length
    for kind in LossKind:
        counts = [0] * length
        for second, end in zip(seconds, report.ends, strict=True):
            counts[second] += end.kind is kind
        axes.bar(range(length), counts, bottom=below, width=1.0, label=str(kind))
        below = [low + count for low, count in zip(below, counts, strict=True)]
    axes.set_xlabel("s since the first request")
    axes.set_ylabel("requests lost")
    axes.legend()
    drawing.tight_layout()
    drawing.savefig(path, dpi=100)
    pyplot.close(drawing)
