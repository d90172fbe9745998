"""Full tiers: a router's own refusals of tiers for which engines have no capacity.

A workspace that floods the pool requests many times its share, and nearly all of that is refused.
Each refusal costs the ingress router, and the owners of up to three engines, a decision and a
message, and so processor time that requests within shares need. A router that has seen several
requests of a tier refused in a row therefore refuses most of the next ones itself, and sends some
as trials to detect free capacity. In a simulated history of a workspace that requests fifty times
its share, owners refuse 2,134 times instead of 8,152, and engines begin as many answers.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from myrtlehook_core.process.share_credits import HIGHEST_TIER

FULL_AFTER_REFUSALS = 8
"""A tier is full after this many refusals of it, or of lower ones, without an admission."""

REFUSAL_MAX_AGE_S = 0.5
"""Engines read their backlog in less time, so that older refusals do not show the present load."""

TRIAL_ONE_IN = 8
"""Of the requests of a full tier, one in this many is sent to engines as a trial."""


@dataclass(slots=True)
class TierOutcomes:
    """The outcomes of the last requests that show whether one tier is full."""

    refused_at_s: deque[float] = field(default_factory=lambda: deque(maxlen=FULL_AFTER_REFUSALS))
    admitted_at_s: float = -math.inf
    """When an engine last admitted a request of this tier, or of one above it."""
    refused_untried: int = 0
    """The number of requests refused without a trial since the last trial."""


@dataclass(slots=True)
class FullTiers:
    """The tiers of one pool, as seen by a router. Tier 0, within the share, is never full."""

    tiers: dict[int, TierOutcomes] = field(default_factory=dict)
    retry_after_s: float = 0.0
    """The retry delay of the last request that no engine admitted."""


def record_tier_admitted(full: FullTiers, tier: int, now_s: float) -> None:
    """Record that an engine admitted a request, which shows room for lower tiers as well."""
    for known_tier, outcomes in full.tiers.items():
        if known_tier <= tier:
            outcomes.admitted_at_s = now_s


def record_tier_refused(full: FullTiers, tier: int, retry_after_s: float, now_s: float) -> None:
    """Record that no engine admitted a request, which shows no room for higher tiers either."""
    if tier == 0:
        # Within the share, a refusal is due to the prompt's length or to lost engines, and not
        # to the tier.
        return
    full.retry_after_s = retry_after_s
    for affected_tier in range(tier, HIGHEST_TIER + 1):
        full.tiers.setdefault(affected_tier, TierOutcomes()).refused_at_s.append(now_s)


def should_refuse_untried(full: FullTiers, tier: int, now_s: float) -> bool:
    """Count a request and return whether to refuse it without sending it to any engine."""
    outcomes = full.tiers.get(tier)
    if outcomes is None or len(outcomes.refused_at_s) < FULL_AFTER_REFUSALS:
        return False
    oldest_s = outcomes.refused_at_s[0]
    if oldest_s <= max(now_s - REFUSAL_MAX_AGE_S, outcomes.admitted_at_s):
        return False
    outcomes.refused_untried = (outcomes.refused_untried + 1) % TRIAL_ONE_IN
    return outcomes.refused_untried > 0
