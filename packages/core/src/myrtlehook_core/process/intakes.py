"""How a router takes a request for a model engine in, before any engine is asked.

It is counted for its workspace's share first, so that what is turned away for want of processor
time is asked for and refused like all else, and the share decides whose requests are.
"""

from dataclasses import dataclass

from myrtlehook_core.process.shares import Shares, asks_above_share, note_asked, note_refused
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
        tier=note_asked(shares, pool, workspace, find_share_tokens(request), now_s),
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
    tokens = find_share_tokens(request)
    note_refused(shares, request.pool, request.workspace, tokens, intake.tier, now_s)
    return True
