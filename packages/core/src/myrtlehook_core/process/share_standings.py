"""Counting of requests for model engines towards the shares of their workspaces.

Each request is counted when it arrives at its router, before any decision, so that requests that
are shed for lack of processor time count as requested and refused like all others.
"""

from dataclasses import dataclass

from myrtlehook_core.process.shares import (
    Shares,
    is_above_share,
    record_asked,
    record_granted,
    record_refused,
)
from myrtlehook_core.process.shedding import Shedding, should_refuse
from myrtlehook_core.request.requests import RequestSpecification, find_share_tokens


@dataclass(frozen=True, slots=True)
class ShareStanding:
    """Where a request stands in relation to its workspace's share."""

    tier: int
    """How many times over its workspace has requested its share; 0 is within it."""
    above_share: bool
    """Whether its workspace requests more than its share."""


def count_arrival(shares: Shares, request: RequestSpecification, now_s: float) -> ShareStanding:
    """Count a new request for its workspace, and return how it stands to the share."""
    pool, workspace = request.pool, request.workspace
    return ShareStanding(
        tier=record_asked(shares, pool, workspace, find_share_tokens(request), now_s),
        above_share=is_above_share(shares, pool, workspace, now_s),
    )


def should_shed(
    shares: Shares,
    shedding: Shedding,
    request: RequestSpecification,
    standing: ShareStanding,
    now_s: float,
) -> bool:
    """Return whether to shed a request for lack of processor time; it then counts as refused."""
    if not should_refuse(shedding, request.workspace, standing.tier, standing.above_share):
        return False
    count_refused_request(shares, request, standing.tier, now_s)
    return True


def count_refused_request(
    shares: Shares, request: RequestSpecification, tier: int, asked_at_s: float
) -> None:
    """Count a request that no engine runs.

    :param asked_at_s: when it was counted on arrival.
    """
    tokens = find_share_tokens(request)
    record_refused(shares, request.pool, request.workspace, tokens, tier, asked_at_s)


def count_granted_request(shares: Shares, request: RequestSpecification, now_s: float) -> None:
    """Count a request that an engine has admitted."""
    record_granted(shares, request.pool, request.workspace, find_share_tokens(request), now_s)
