"""Credits: how much of its share a workspace may still use at one router, by tier.

Credit grows with time, at this router's part of the level, whatever the workspace asks for
meanwhile. If it grew with each request, by the level as a fraction of the demand, a workspace that
suddenly asks for more would receive more than its share until the sums of all routers show its
new demand, and until their window contains nothing but that.
"""

import math
from dataclasses import dataclass, field

MAX_RETURNED_PART = 0.5
"""Limit, as a part of what a workspace may use within a window here, up to which refused requests
restore its credit. A higher limit admits requests that engines cannot serve once some of them are
lost."""

HIGHEST_TIER = 15
"""Tier of all demand beyond this number of levels."""


@dataclass(slots=True)
class ShareCredit:
    """The credit of one workspace at this router."""

    limit_tokens: float
    """What each tier may use within a window here, and so the most that it can save."""
    updated_at_s: float
    confirmed_at_s: float
    """When a level last applied to the workspace."""
    tier_tokens: list[float] = field(default_factory=lambda: [0.0] * (HIGHEST_TIER + 1))
    """Unused credit by tier; below 0 where a request was larger than the credit."""


def set_limit(credit: ShareCredit, limit_tokens: float, window_s: float, now_s: float) -> None:
    """Replace what the workspace may use within a window, from now on."""
    grow_credit(credit, window_s, now_s)
    credit.limit_tokens = limit_tokens
    credit.confirmed_at_s = now_s


def grow_credit(credit: ShareCredit, window_s: float, now_s: float) -> None:
    """Add the credit of the time since the last call."""
    grown_tokens = credit.limit_tokens * (now_s - credit.updated_at_s) / window_s
    credit.updated_at_s = now_s
    credit.tier_tokens = [
        # A limit that has fallen takes nothing away that was saved before.
        max(tokens, min(tokens + grown_tokens, credit.limit_tokens))
        for tokens in credit.tier_tokens
    ]


def spend_credit(credit: ShareCredit, level_fraction: float, tokens: int) -> int:
    """Charge a request to the lowest tier that has any credit left, and return the tier.

    The credit may fall below 0, and the debt is made good by later growth: a tier that required
    credit for the whole request would be used up by short prompts, and be closed to long ones.

    :param level_fraction: the level as a fraction of the workspace's demand at all routers, which
        tells how many tiers its demand takes up.
    """
    tiers = min(math.ceil(1.0 / level_fraction), HIGHEST_TIER + 1)
    for tier in range(tiers):
        if credit.tier_tokens[tier] > 0.0:
            credit.tier_tokens[tier] -= tokens
            return tier
    return tiers - 1


def return_credit(credit: ShareCredit, tokens: int) -> None:
    """Return the credit of a refused request of tier 0, so that a later request can use it.

    A share limits the tokens that a workspace receives, not those that it asks for. Requests with
    long prompts are refused more often than those with short ones for the same demand. If refused
    requests used up the share, a workspace would receive less the longer its prompts are. Credit
    beyond the share is not returned: engines cannot serve all of that demand, so the workspace
    with the largest demand would receive the most.
    """
    limit_tokens = max(credit.tier_tokens[0], MAX_RETURNED_PART * credit.limit_tokens)
    credit.tier_tokens[0] = min(credit.tier_tokens[0] + tokens, limit_tokens)
