"""Regression bounds on ratios to the baselines of the same run, never on absolute times."""

import json
from dataclasses import dataclass
from pathlib import Path

from bench.fleet_bench import FleetFigures

BOUNDS_PATH = Path(__file__).parent / "bounds.json"


@dataclass(frozen=True, slots=True)
class BoundResult:
    """One bound, the measured value, and whether the bound holds."""

    name: str
    measured: float
    bound: float
    holds: bool


def check_bounds(figures: list[FleetFigures]) -> list[BoundResult]:
    """Check the fleet's figures against those of the baselines of the same run."""
    bounds = json.loads(BOUNDS_PATH.read_text())
    by_policy = {item.policy: item for item in figures}
    fleet = by_policy.get("fleet")
    if fleet is None:
        return []
    results = []
    single, local = by_policy.get("single"), by_policy.get("local")
    if single is not None:
        gap_ratio = fleet.fairness_gap_tokens / single.fairness_gap_tokens
        results.append(_at_most("gap_to_single", gap_ratio, bounds))
        utilisation_ratio = fleet.utilisation / single.utilisation
        results.append(_at_least("utilisation_to_single", utilisation_ratio, bounds))
    if local is not None:
        gap_ratio = fleet.fairness_gap_tokens / local.fairness_gap_tokens
        results.append(_at_most("gap_to_local", gap_ratio, bounds))
    # The bound allows this factor times the p95 without load, plus one mean request.
    excess_s = fleet.small_flood_first_s["p95"] - fleet.mean_request_s
    factor = excess_s / max(fleet.small_alone_first_s["p95"], 1e-9)
    results.append(_at_most("small_first_token_factor", factor, bounds))
    return results


def _at_most(name: str, measured: float, bounds: dict[str, float]) -> BoundResult:
    return BoundResult(name, round(measured, 3), bounds[name], measured <= bounds[name])


def _at_least(name: str, measured: float, bounds: dict[str, float]) -> BoundResult:
    return BoundResult(name, round(measured, 3), bounds[name], measured >= bounds[name])
