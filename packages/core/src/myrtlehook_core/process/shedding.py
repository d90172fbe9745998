"""Load shedding: which requests a router that is short of processor time refuses.

A request that waits for the processor misses its first-token target here, while another router
may be idle. If it is refused, its client retries on a new connection, which goes to another
router. An overloaded router therefore refuses a fraction of its requests at once. It refuses
requests of the workspaces that send it the most: first those beyond their shares, and only a
small fraction of those within.

Overload is detected by the lag of the process's event loop: if even the smallest lag within an
interval exceeds a bound, work arrives faster than it is done.
"""

import math
from dataclasses import dataclass, field

from myrtlehook_core.process.choosers import Draw

LAG_LIMIT_S = 0.012
"""Bound for the event loop's lag. A request passes through many turns of the loop and waits for
each of them."""

ADJUST_INTERVAL_S = 0.2
"""How often the fraction to refuse is adjusted."""

MIN_LAG_SAMPLES = 2
"""Least number of lag samples in an interval. A process that was suspended has a single large lag
and is not overloaded."""

MAX_STEP_FRACTION = 0.25
STEP_FACTOR = 0.03
MAX_REFUSED_FRACTION = 0.97

MAX_REFUSED_SHARE_FRACTION = 0.25
"""Largest fraction to refuse of the requests within a workspace's share, if the workspace asks for
more. All its clients may be connected to one router, so that requests refused there reduce the
share that the workspace gets from the whole fleet."""

EASING_FRACTION = 0.05
"""Fraction by which a router that is no longer overloaded lowers its refusals each interval."""

LARGE_WORKSPACE_FRACTION = 0.5
"""Workspaces that send at least this fraction of the requests of the largest one are shed."""

MIN_KEPT_COUNT = 0.1
"""Decayed counts up to this are dropped."""

COUNT_WINDOW_S = 1.0
"""Time constant of the decaying request counts that determine the largest workspaces."""

MIN_RETRY_AFTER_S = 0.2
"""Shortest retry-after time. Overload lasts at least until the next adjustment shows its end."""

RETRY_FRACTION = 0.5
"""Largest fraction of the served requests that may be scheduled retries. The rest is left for
requests that arrive for the first time."""

MAX_WAIT_FRACTION = 1.0 / 3.0
"""Longest retry-after time, as a fraction of the time to the client's deadline. A later retry has
no time left for an answer."""


@dataclass(slots=True)
class Shedding:
    """State of load shedding at this router."""

    refused_fraction: float = 0.0
    """Fraction of the requests to refuse, of those that are costly to serve."""
    least_lag_s: float = math.inf
    """Smallest lag in the current interval."""
    lag_samples: int = 0
    """Number of lag samples in the current interval."""
    interval_deadline_s: float = 0.0
    request_counts: dict[str, float] = field(default_factory=dict)
    """Decaying count of requests, by workspace."""
    excess_counts: dict[str, float] = field(default_factory=dict)
    """Decaying count of those beyond the workspace's share, by workspace."""
    due_refusals: dict[tuple[str, bool], float] = field(default_factory=dict)
    """Accumulated refusals due, by workspace and whether its requests exceed the share. A request
    is refused each time the sum reaches 1."""
    served_count: float = 0.0
    """Decaying count of requests that were not refused."""
    last_retry_s: float = 0.0
    """Latest retry time that was given to a refused client."""


def record_lag(shedding: Shedding, lag_s: float, now_s: float) -> bool:
    """Record a lag of the event loop and adjust the fraction to refuse once per interval.

    :returns: whether the fraction has changed.
    """
    shedding.least_lag_s = min(shedding.least_lag_s, lag_s)
    shedding.lag_samples += 1
    if now_s < shedding.interval_deadline_s or shedding.lag_samples < MIN_LAG_SAMPLES:
        return False
    least_lag_s = shedding.least_lag_s
    shedding.least_lag_s = math.inf
    shedding.lag_samples = 0
    shedding.interval_deadline_s = now_s + ADJUST_INTERVAL_S
    _decay_counts(shedding)
    step = STEP_FACTOR * (least_lag_s / LAG_LIMIT_S - 1.0)
    if least_lag_s < LAG_LIMIT_S:
        step -= EASING_FRACTION * shedding.refused_fraction
    step = min(step, MAX_STEP_FRACTION)
    before = shedding.refused_fraction
    shedding.refused_fraction = min(max(before + step, 0.0), MAX_REFUSED_FRACTION)
    if shedding.refused_fraction == 0.0:
        shedding.due_refusals.clear()
    return shedding.refused_fraction != before


def schedule_retry(shedding: Shedding, now_s: float, remaining_s: float, draw: Draw) -> float:
    """Return the number of seconds after which a refused client should retry.

    Retries are scheduled one after another, at a rate that this router can serve in addition to new
    requests. A client whose deadline is too close for its place in the schedule gets a random
    time before that deadline.
    """
    longest_s = remaining_s * MAX_WAIT_FRACTION
    spacing_s = COUNT_WINDOW_S / (RETRY_FRACTION * max(shedding.served_count, 1.0))
    retry_at_s = max(shedding.last_retry_s, now_s + MIN_RETRY_AFTER_S) + spacing_s
    if retry_at_s - now_s <= longest_s:
        shedding.last_retry_s = retry_at_s
        return retry_at_s - now_s
    return max(longest_s * (0.5 + 0.5 * draw()), 0.0)


def should_refuse(
    shedding: Shedding, workspace: str, tier: int = 0, above_share: bool = False
) -> bool:
    """Count a request and return whether to refuse it.

    :param tier: the request's tier, 0 within its workspace's share.
    :param above_share: whether its workspace asks for more than its share.
    """
    exceeds = tier > 0
    shedding.request_counts[workspace] = shedding.request_counts.get(workspace, 0.0) + 1.0
    if exceeds:
        shedding.excess_counts[workspace] = shedding.excess_counts.get(workspace, 0.0) + 1.0
    largest_fraction = (
        MAX_REFUSED_SHARE_FRACTION if above_share and not exceeds else MAX_REFUSED_FRACTION
    )
    shed = shedding.refused_fraction > 0.0 and _is_refusal_due(
        shedding, workspace, exceeds, largest_fraction
    )
    if not shed:
        shedding.served_count += 1.0
    return shed


def _is_refusal_due(
    shedding: Shedding, workspace: str, exceeds: bool, largest_fraction: float
) -> bool:
    largest = max(shedding.request_counts.values())
    if shedding.request_counts[workspace] < LARGE_WORKSPACE_FRACTION * largest:
        return False
    large = sum(
        count
        for count in shedding.request_counts.values()
        if count >= LARGE_WORKSPACE_FRACTION * largest
    )
    fraction = min(
        shedding.refused_fraction * sum(shedding.request_counts.values()) / large,
        MAX_REFUSED_FRACTION,
    )
    fraction = min(_split_fraction(shedding, workspace, exceeds, fraction), largest_fraction)
    due = shedding.due_refusals.get((workspace, exceeds), 0.0) + fraction
    shedding.due_refusals[workspace, exceeds] = due % 1.0
    return due >= 1.0


def _split_fraction(shedding: Shedding, workspace: str, exceeds: bool, fraction: float) -> float:
    """Return the fraction to refuse of a workspace's requests beyond its share, or of those within.

    :param fraction: the fraction to refuse of all its requests; those beyond the share go first.
    """
    excess_fraction = (
        shedding.excess_counts.get(workspace, 0.0) / shedding.request_counts[workspace]
    )
    if exceeds:
        return fraction / excess_fraction
    return max(fraction - excess_fraction, 0.0) / (1.0 - excess_fraction)


def _decay_counts(shedding: Shedding) -> None:
    kept_fraction = 1.0 - ADJUST_INTERVAL_S / COUNT_WINDOW_S
    shedding.served_count *= kept_fraction
    shedding.request_counts = _decay(shedding.request_counts, kept_fraction)
    shedding.excess_counts = _decay(shedding.excess_counts, kept_fraction)


def _decay(counts: dict[str, float], kept_fraction: float) -> dict[str, float]:
    kept = {name: count * kept_fraction for name, count in counts.items()}
    return {name: count for name, count in kept.items() if count > MIN_KEPT_COUNT}
