"""When a router that is short of processor time turns requests away, and whose.

A request that waits for the processor misses its aim here, while another router may be
idle: its caller comes back on a new connection, which goes elsewhere. So an overloaded
router refuses a part of its requests at once, of the workspaces that send it the most.

Overload shows in how late the process's loop is: if even its least late turn within an
interval is over a bound, work comes in faster than it is done.
"""

import math
from dataclasses import dataclass, field

LAG_LIMIT_S = 0.012
"""A turn takes part in many steps of a request, each of which waits this long."""

INTERVAL_S = 0.2
SMALLEST_LAGS = 2
"""A process that was frozen once is late once, and not overloaded."""

LARGEST_STEP_PART = 0.25
STEP_FACTOR = 0.03
LARGEST_PART = 0.97

EASING_PART = 0.05
"""A router that keeps up again refuses this much less, of what it refused, each interval."""

LARGE_PART = 0.5
"""Workspaces that send at least this part of what the largest one sends are shed."""

SMALLEST_COUNT = 0.1

COUNT_S = 1.0
"""Requests are counted over about this long to find the largest workspaces."""


@dataclass(slots=True)
class Shedding:
    """What this router knows of its own overload."""

    part: float = 0.0
    """Of all requests that are costly to serve, the part to refuse."""
    least_lag_s: float = math.inf
    """In the present interval."""
    lags: int = 0
    """Noted in the present interval."""
    interval_deadline_s: float = 0.0
    counts: dict[str, float] = field(default_factory=dict)
    """Requests by workspace, the earlier ones counting less and less."""
    owed: dict[str, float] = field(default_factory=dict)
    """By workspace, refusals due; one is made at each whole number."""


def note_lag(shedding: Shedding, lag_s: float, now_s: float) -> bool:
    """Note how late the loop was; True when the part to refuse has changed."""
    shedding.least_lag_s = min(shedding.least_lag_s, lag_s)
    shedding.lags += 1
    if now_s < shedding.interval_deadline_s or shedding.lags < SMALLEST_LAGS:
        return False
    least_lag_s = shedding.least_lag_s
    shedding.least_lag_s = math.inf
    shedding.lags = 0
    shedding.interval_deadline_s = now_s + INTERVAL_S
    _forget_counts(shedding)
    step = STEP_FACTOR * (least_lag_s / LAG_LIMIT_S - 1.0)
    if least_lag_s < LAG_LIMIT_S:
        step -= EASING_PART * shedding.part
    step = min(step, LARGEST_STEP_PART)
    before = shedding.part
    shedding.part = min(max(before + step, 0.0), LARGEST_PART)
    if shedding.part == 0.0:
        shedding.owed.clear()
    return shedding.part != before


def sheds(shedding: Shedding, workspace: str) -> bool:
    """Count a request and tell whether it is to be refused."""
    shedding.counts[workspace] = shedding.counts.get(workspace, 0.0) + 1.0
    if shedding.part <= 0.0:
        return False
    largest = max(shedding.counts.values())
    if shedding.counts[workspace] < LARGE_PART * largest:
        return False
    large = sum(count for count in shedding.counts.values() if count >= LARGE_PART * largest)
    part = min(shedding.part * sum(shedding.counts.values()) / large, LARGEST_PART)
    owed = shedding.owed.get(workspace, 0.0) + part
    shedding.owed[workspace] = owed % 1.0
    return owed >= 1.0


def _forget_counts(shedding: Shedding) -> None:
    kept_part = 1.0 - INTERVAL_S / COUNT_S
    counts = {name: count * kept_part for name, count in shedding.counts.items()}
    shedding.counts = {name: count for name, count in counts.items() if count > SMALLEST_COUNT}
