"""What workspaces asked for and got of a pool at this router in the last second, for the log.

A workspace's receipts over several seconds can be reconstructed from these sums even if the lines
of single requests were dropped or never written.
"""

from collections import Counter
from dataclasses import dataclass, field

TALLY_S = 1.0
"""The period that one report covers."""

MAX_TALLIED_WORKSPACES = 64
"""Number of workspaces that are counted separately within a period."""

MAX_REPORTED_WORKSPACES = 12
"""Number of workspaces in a report, those that asked for the most."""

OTHERS = "(others)"
"""Stands for the workspaces that are not counted separately."""


@dataclass(slots=True)
class ShareTally:
    """The tokens of one workspace within the period."""

    asked_tokens: int = 0
    granted_tokens: int = 0
    refused_tokens: int = 0
    tier_tokens: Counter[int] = field(default_factory=Counter)
    """The asked tokens by tier."""


@dataclass(slots=True)
class ShareTallies:
    """The tallies of one pool's workspaces within the current period."""

    begins_at_s: float = 0.0
    by_workspace: dict[str, ShareTally] = field(default_factory=dict)


def find_tally(tallies: ShareTallies, workspace: str) -> ShareTally:
    """Return a workspace's tally of the current period."""
    tally = tallies.by_workspace.get(workspace)
    if tally is None:
        if len(tallies.by_workspace) >= MAX_TALLIED_WORKSPACES:
            workspace = OTHERS
        tally = tallies.by_workspace.setdefault(workspace, ShareTally())
    return tally


def pop_due_tallies(tallies: ShareTallies, now_s: float) -> dict[str, ShareTally]:
    """Return the tallies of the period that has ended and begin the next; empty if none is due.

    Periods without a refusal are not reported.
    """
    if now_s < tallies.begins_at_s + TALLY_S:
        return {}
    ended, tallies.by_workspace = tallies.by_workspace, {}
    tallies.begins_at_s = now_s
    if not any(tally.refused_tokens for tally in ended.values()):
        return {}
    largest = sorted(ended, key=lambda name: (-ended[name].asked_tokens, name))
    return {name: ended[name] for name in largest[:MAX_REPORTED_WORKSPACES]}
