"""When a router that is short of processor time turns requests away, and whose.

A request that waits for the processor misses its aim here, while another router may be
idle: its caller comes back on a new connection, which goes elsewhere. So an overloaded
router refuses a part of its requests at once, of the workspaces that send it the most: first
what exceeds their shares, and of the shares only a small part.

Overload shows in how late the process's loop is: if even its least late turn within an
interval is over a bound, work comes in faster than it is done.
"""

import math
from dataclasses import dataclass, field

from myrtlehook_core.process.choosers import Draw

LAG_LIMIT_S = 0.012
"""A turn takes part in many steps of a request, each of which waits this long."""

INTERVAL_S = 0.2
SMALLEST_LAGS = 2
"""A process that was frozen once is late once, and not overloaded."""

LARGEST_STEP_PART = 0.25
STEP_FACTOR = 0.03
LARGEST_PART = 0.97

LARGEST_SHARE_PART = 0.25
"""Of what is within the share of a workspace that asks for more. All callers of a workspace may
reach one router, so that what is refused there is refused of its share in the whole fleet."""

EASING_PART = 0.05
"""A router that keeps up again refuses this much less, of what it refused, each interval."""

LARGE_PART = 0.5
"""Workspaces that send at least this part of what the largest one sends are shed."""

SMALLEST_COUNT = 0.1

COUNT_S = 1.0
"""Requests are counted over about this long to find the largest workspaces."""

SHORTEST_RETURN_S = 0.2
"""A shortage lasts at least as long as it takes to notice its end."""

RETURN_PART = 0.5
"""Callers who come back as told are to be at most this part of what is served; the rest is
for requests that come for the first time."""

LONGEST_WAIT_PART = 1.0 / 3.0
"""Of the time that a caller has left: whoever returns later has no time for an answer."""


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
    excess: dict[str, float] = field(default_factory=dict)
    """Of them, those that exceeded their workspace's share."""
    owed: dict[tuple[str, bool], float] = field(default_factory=dict)
    """By workspace, and whether they exceed its share, refusals due; one is made at each whole
    number."""
    served: float = 0.0
    """Requests that were not refused, the earlier ones counting less and less."""
    next_return_s: float = 0.0
    """When the caller that was refused last was told to come back."""


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


def book_return(shedding: Shedding, now_s: float, remaining_s: float, draw: Draw) -> float:
    """Return after how many seconds a refused caller is to come back.

    Callers are told times that follow one another as fast as this router can serve some
    more. Those who cannot wait so long come back at times drawn from what they have left.
    """
    longest_s = remaining_s * LONGEST_WAIT_PART
    pace_s = COUNT_S / (RETURN_PART * max(shedding.served, 1.0))
    return_s = max(shedding.next_return_s, now_s + SHORTEST_RETURN_S) + pace_s
    if return_s - now_s <= longest_s:
        shedding.next_return_s = return_s
        return return_s - now_s
    return max(longest_s * (0.5 + 0.5 * draw()), 0.0)


def sheds(shedding: Shedding, workspace: str, tier: int = 0, above_share: bool = False) -> bool:
    """Count a request and tell whether it is to be refused.

    :param tier: how many levels its workspace had asked for before it.
    :param above_share: whether its workspace asks for more than its share.
    """
    exceeds = tier > 0
    shedding.counts[workspace] = shedding.counts.get(workspace, 0.0) + 1.0
    if exceeds:
        shedding.excess[workspace] = shedding.excess.get(workspace, 0.0) + 1.0
    most_part = LARGEST_SHARE_PART if above_share and not exceeds else LARGEST_PART
    shed = shedding.part > 0.0 and _owes_refusal(shedding, workspace, exceeds, most_part)
    if not shed:
        shedding.served += 1.0
    return shed


def _owes_refusal(shedding: Shedding, workspace: str, exceeds: bool, most_part: float) -> bool:
    largest = max(shedding.counts.values())
    if shedding.counts[workspace] < LARGE_PART * largest:
        return False
    large = sum(count for count in shedding.counts.values() if count >= LARGE_PART * largest)
    part = min(shedding.part * sum(shedding.counts.values()) / large, LARGEST_PART)
    part = min(_find_part(shedding, workspace, exceeds, part), most_part)
    owed = shedding.owed.get((workspace, exceeds), 0.0) + part
    shedding.owed[workspace, exceeds] = owed % 1.0
    return owed >= 1.0


def _find_part(shedding: Shedding, workspace: str, exceeds: bool, part: float) -> float:
    """Return the part to refuse of what exceeds a workspace's share, or of what does not.

    :param part: of all its requests; what exceeds its share is refused first.
    """
    excess_part = shedding.excess.get(workspace, 0.0) / shedding.counts[workspace]
    if exceeds:
        return part / excess_part
    return max(part - excess_part, 0.0) / (1.0 - excess_part)


def _forget_counts(shedding: Shedding) -> None:
    kept_part = 1.0 - INTERVAL_S / COUNT_S
    shedding.served *= kept_part
    shedding.counts = _forget(shedding.counts, kept_part)
    shedding.excess = _forget(shedding.excess, kept_part)


def _forget(counts: dict[str, float], kept_part: float) -> dict[str, float]:
    kept = {name: count * kept_part for name, count in counts.items()}
    return {name: count for name, count in kept.items() if count > SMALLEST_COUNT}
