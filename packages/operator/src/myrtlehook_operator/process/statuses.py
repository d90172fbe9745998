"""Joins the status answers of routers into rows, one for each engine, workspace and route.

A figure that a router adds to its answer becomes a column without a change here.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

OTHERS = "(others)"


def list_engine_rows(statuses: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return what each engine's owner reports of it."""
    rows = [
        {**engine, "owner": status["vm"]}
        for status in statuses
        for engine in status.get("engines", ())
    ]
    return sorted(rows, key=lambda row: str(row["backend_server"]))


def list_request_rows(statuses: Sequence[dict[str, Any]]) -> list[list[dict[str, Any]]]:
    """Return for each dimension what all routers counted, the busiest first."""
    dimensions = dict.fromkeys(
        dimension for status in statuses for dimension in status.get("requests", ())
    )
    return [_sum_dimension(statuses, dimension) for dimension in dimensions]


def _sum_dimension(statuses: Iterable[dict[str, Any]], dimension: str) -> list[dict[str, Any]]:
    sums: dict[str, Counter[str]] = {}
    for status in statuses:
        for name, counts in status.get("requests", {}).get(dimension, {}).items():
            sums.setdefault(name, Counter()).update(counts)
    names = sorted(sums, key=lambda name: (name == OTHERS, -sums[name]["asked"], name))
    return [{dimension: name, **sums[name]} for name in names]
