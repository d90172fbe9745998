"""Which tiers engines take nothing of at the moment, as a router's own requests show.

A workspace that floods asks for many times its share, and nearly all of that is refused. Each
such refusal costs its router, and the owners of up to three engines, a decision and a message:
processor time that then lacks for requests that are within shares. So a router that has seen
several requests of a tier refused in a row refuses most of the next ones itself, and asks with
some to notice when there is room again. In a history of a workspace that asks for fifty times its
share, owners refuse 2,134 times instead of 8,152, and engines begin as much.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from myrtlehook_core.process.shares import HIGHEST_TIER

EVIDENCE = 8
"""A tier is full after so many refusals of it, or of lower ones, with nothing of it taken."""

EVIDENCE_AGE_S = 0.5
"""Engines read what they hold ahead in less; older refusals tell nothing of the present."""

ASKING_PART = 8
"""Of the requests of a full tier, one in so many is asked for all the same."""


@dataclass(slots=True)
class TierEvidence:
    """What became of the last requests of one tier and those below it."""

    refused_at_s: deque[float] = field(default_factory=lambda: deque(maxlen=EVIDENCE))
    taken_at_s: float = -math.inf
    """When an engine last took a request of this tier, or of one above it."""
    passed_over: int = 0
    """Requests that were not asked for, since the last one that was."""


@dataclass(slots=True)
class FullTiers:
    """What a router knows of a pool's tiers. Tier 0 is never full: it is within the share."""

    tiers: dict[int, TierEvidence] = field(default_factory=dict)
    retry_after_s: float = 0.0
    """When the engine that was asked last would have had room."""


def note_taken(full: FullTiers, tier: int, now_s: float) -> None:
    """Note that an engine has taken a request: what is below its tier has room as well."""
    for known, evidence in full.tiers.items():
        if known <= tier:
            evidence.taken_at_s = now_s


def note_untaken(full: FullTiers, tier: int, retry_after_s: float, now_s: float) -> None:
    """Note that no engine took a request: what is above its tier has no room either."""
    if tier == 0:
        # Refused for its prompt's length, or while engines are lost; not for its rank.
        return
    full.retry_after_s = retry_after_s
    for above in range(tier, HIGHEST_TIER + 1):
        full.tiers.setdefault(above, TierEvidence()).refused_at_s.append(now_s)


def is_full(full: FullTiers, tier: int, now_s: float) -> bool:
    """Count a request and tell whether to refuse it without asking any engine."""
    evidence = full.tiers.get(tier)
    if evidence is None or len(evidence.refused_at_s) < EVIDENCE:
        return False
    oldest_s = evidence.refused_at_s[0]
    if oldest_s <= max(now_s - EVIDENCE_AGE_S, evidence.taken_at_s):
        return False
    evidence.passed_over = (evidence.passed_over + 1) % ASKING_PART
    return evidence.passed_over > 0
