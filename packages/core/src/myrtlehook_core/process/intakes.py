"""How requests for model engines count for the shares of their workspaces.

Each is counted when its router takes it in, before anything is decided, so that what is turned
away for want of processor time is asked for and refused like all else.
"""

from dataclasses import dataclass

from myrtlehook_core.process.shares import (
    Shares,
    asks_above_share,
    record_asked,
    record_granted,
    record_refused,
)
from myrtlehook_core.process.shedding import Shedding, sheds
from myrtlehook_core.request.requests import RequestSpecification, find_share_tokens


@dataclass(frozen=True, slots=True)
class Intake:
    """How a request stands to its workspace's share."""

    tier: int
    """How many levels its workspace had asked for before it."""
    above_share: bool
    """Whether its workspace asks for more than its share."""


def count_in(shares: Shares, request: RequestSpecification, now_s: float) -> Intake:
    """Count a new request for its workspace."""
    pool, workspace = request.pool, request.workspace
    return Intake(
        tier=record_asked(shares, pool, workspace, find_share_tokens(request), now_s),
        above_share=asks_above_share(shares, pool, workspace, now_s),
    )


def turn_away(
    shares: Shares,
    shedding: Shedding,
    request: RequestSpecification,
    intake: Intake,
    now_s: float,
) -> bool:
    """Tell whether a request is to be refused for want of processor time; counted then."""
    if not sheds(shedding, request.workspace, intake.tier, intake.above_share):
        return False
    count_refused(shares, request, intake.tier, now_s)
    return True


def count_refused(
    shares: Shares, request: RequestSpecification, tier: int, asked_at_s: float
) -> None:
    """Count a request that nobody runs.

    :param asked_at_s: when it was counted as asked for.
    """
    tokens = find_share_tokens(request)
    record_refused(shares, request.pool, request.workspace, tokens, tier, asked_at_s)


def count_granted(shares: Shares, request: RequestSpecification, now_s: float) -> None:
    """Count a request that an engine has taken."""
    record_granted(shares, request.pool, request.workspace, find_share_tokens(request), now_s)
