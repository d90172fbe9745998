"""Regression bounds: ratios against the baselines of the same run, never absolute times."""

import json
from dataclasses import dataclass
from pathlib import Path

from bench.fleet_bench import FleetFigures

BOUNDS_PATH = Path(__file__).parent / "bounds.json"


@dataclass(frozen=True, slots=True)
class BoundResult:
    """One bound, what was measured, and whether it holds."""

    name: str
    measured: float
    bound: float
    holds: bool


def judge(figures: list[FleetFigures]) -> list[BoundResult]:
    """Judge the fleet's figures against those of the baselines that ran beside it."""
    bounds = json.loads(BOUNDS_PATH.read_text())
    by_policy = {item.policy: item for item in figures}
    fleet = by_policy.get("fleet")
    if fleet is None:
        return []
    results = []
    single, local = by_policy.get("single"), by_policy.get("local")
    if single is not None:
        gap = fleet.fairness_gap_tokens / single.fairness_gap_tokens
        results.append(_at_most("gap_to_single", gap, bounds))
        use = fleet.utilisation / single.utilisation
        results.append(_at_least("utilisation_to_single", use, bounds))
    if local is not None:
        gap = fleet.fairness_gap_tokens / local.fairness_gap_tokens
        results.append(_at_most("gap_to_local", gap, bounds))
    # Allowed: this factor times the p95 alone, and one mean request besides.
    beyond_s = fleet.small_flood_first_s["p95"] - fleet.mean_request_s
    factor = beyond_s / max(fleet.small_alone_first_s["p95"], 1e-9)
    results.append(_at_most("small_first_token_factor", factor, bounds))
    return results


def _at_most(name: str, measured: float, bounds: dict[str, float]) -> BoundResult:
    return BoundResult(name, round(measured, 3), bounds[name], measured <= bounds[name])


def _at_least(name: str, measured: float, bounds: dict[str, float]) -> BoundResult:
    return BoundResult(name, round(measured, 3), bounds[name], measured >= bounds[name])
