"""Max-min shares of a pool's capacity, from what all routers were asked for.

Each router reports what its callers asked of a pool within a sliding window to one router, the
pool's accountant (the highest rendezvous hash). The accountant works out the level at which
workspaces that ask for more are held, so that together they get what the pool can do. In a
large fleet one router of each availability zone, its collector, adds the reports of the zone
up and answers them with the level it was told last. An entry gives each request a tier: 0
within its workspace's level, 1 up to twice the level, and so on. Lower tiers are served first,
so that room that is left over is shared alike as well, whatever the engines can really do.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from myrtlehook_core.process.accountants import (
    PoolAccount,
    forget_late,
    note_report,
    sum_rows,
)
from myrtlehook_core.process.admission_messages import (
    DemandReport,
    DemandRow,
    ShareLevel,
)
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.posts import Post

BUCKET_S = 0.25
"""The window slides in steps of this length."""

LEVEL_LEASE_S = 1.0
"""A level that is not refreshed for this long counts no more."""

COLLECTED_ROUTERS = 24
"""From so many routers on, each zone's reports are added up before they leave it: a report
of a zone is no longer than that of one busy router, and levels are 0.2 s older."""

RETURNED_LEVELS = 0.5
"""A workspace that is refused may save this much of a level for later requests. More of it lets
requests in that engines cannot take once some of them are lost."""

HIGHEST_TIER = 15
"""Everything beyond so many levels counts alike."""


@dataclass(frozen=True, slots=True)
class Reporters:
    """The routers that report, in the sender's view."""

    router_id: str
    """The sender."""
    routers: tuple[str, ...]
    near: tuple[str, ...]
    """Those of the sender's availability zone."""


@dataclass(slots=True)
class DemandBucket:
    """What was asked within one step of the window."""

    begins_at_s: float
    asked_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace."""
    refused_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace, of what was asked in this step, whenever it was refused."""
    granted_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace, what engines took in this step, whenever it was asked."""


@dataclass(slots=True)
class PoolDemand:
    """What this router's callers have asked of one pool, and what it may serve of it."""

    buckets: deque[DemandBucket] = field(default_factory=deque)
    level: ShareLevel | None = None
    level_deadline_s: float = 0.0
    parts: dict[str, float] = field(default_factory=dict)
    """For each workspace that asks for too much, the part of it that one level holds."""
    reported: bool = False
    """Whether the last report had any rows."""
    credits_tokens: dict[str, list[float]] = field(default_factory=dict)
    """What each of them has not used yet of each tier."""


@dataclass(slots=True)
class Shares:
    """Both sides: this router's demand, and what it adds up as accountant."""

    demands: dict[str, PoolDemand] = field(default_factory=dict)
    accounts: dict[str, PoolAccount] = field(default_factory=dict)
    """By pool, what this router knows as its accountant."""
    collected: dict[str, PoolAccount] = field(default_factory=dict)
    """By pool, what this router adds up for its availability zone."""
    next_report_s: float = 0.0


def note_asked(shares: Shares, pool: str, workspace: str, tokens: int, now_s: float) -> int:
    """Count a new request and return its tier."""
    demand = shares.demands.setdefault(pool, PoolDemand())
    asked = _find_bucket(demand, now_s).asked_tokens
    asked[workspace] = asked.get(workspace, 0) + tokens
    part = demand.parts.get(workspace)
    if part is None or now_s >= demand.level_deadline_s:
        return 0
    return _spend_credit(demand, workspace, part, tokens)


def note_granted(shares: Shares, pool: str, workspace: str, tokens: int, now_s: float) -> None:
    """Count a request that an engine has taken."""
    demand = shares.demands.setdefault(pool, PoolDemand())
    granted = _find_bucket(demand, now_s).granted_tokens
    granted[workspace] = granted.get(workspace, 0) + tokens


def note_refused(
    shares: Shares, pool: str, workspace: str, tokens: int, tier: int, asked_at_s: float
) -> None:
    """Count a request that no engine took, in the step of the window in which it was asked.

    What it has spent of its workspace's share is given back.
    """
    demand = shares.demands.get(pool)
    if demand is None:
        return
    if tier == 0:
        _return_credit(demand, workspace, tokens)
    for bucket in reversed(demand.buckets):
        if bucket.begins_at_s <= asked_at_s:
            refused = bucket.refused_tokens
            refused[workspace] = refused.get(workspace, 0) + tokens
            return


def asks_above_share(shares: Shares, pool: str, workspace: str, now_s: float) -> bool:
    """Tell whether a workspace asks for more than its share, across all routers."""
    demand = shares.demands.get(pool)
    if demand is None or now_s >= demand.level_deadline_s:
        return False
    return workspace in demand.parts


def _spend_credit(demand: PoolDemand, workspace: str, part: float, tokens: int) -> int:
    """Spread a workspace's requests over its tiers, each up to one level.

    Every request earns each tier its part of credit; the lowest tier that can pay at
    least half of the request takes it.
    """
    tiers = min(math.ceil(1.0 / part), HIGHEST_TIER + 1)
    credits_tokens = demand.credits_tokens.setdefault(workspace, [])
    credits_tokens.extend([0.0] * (tiers - len(credits_tokens)))
    for tier in range(tiers):
        credits_tokens[tier] += part * tokens
    for tier in range(tiers):
        if credits_tokens[tier] >= tokens / 2.0:
            credits_tokens[tier] -= tokens
            return tier
    return tiers - 1


def _return_credit(demand: PoolDemand, workspace: str, tokens: int) -> None:
    """Let a workspace spend on a later request the share that an engine has not taken.

    A share is what a workspace receives. Long prompts are refused more often than short ones
    that ask for as much; if a refused request spent its share, its workspace would receive
    less the longer its prompts are. What exceeds a share is not given back: engines cannot take
    all of that, and whoever asks the most would get the most.
    """
    credits_tokens = demand.credits_tokens.get(workspace)
    if not credits_tokens or demand.level is None:
        return
    most_tokens = max(credits_tokens[0], RETURNED_LEVELS * demand.level.level_tokens)
    credits_tokens[0] = min(credits_tokens[0] + tokens, most_tokens)


def send_demands(
    shares: Shares, reporters: Reporters, window_s: float, post: Post, now_s: float
) -> None:
    """Report what was asked here; nothing while nothing is."""
    for pool, demand in shares.demands.items():
        while demand.buckets and now_s - demand.buckets[0].begins_at_s > window_s:
            demand.buckets.popleft()
        rows = _sum_buckets(demand.buckets)
        if not rows and not demand.reported:
            continue
        demand.reported = bool(rows)
        accountant = find_accountant(pool, reporters.routers)
        collector = find_collector(pool, reporters) or accountant
        if collector is not None:
            post.add(collector, DemandReport(pool, rows, collector != accountant))


def send_collected(shares: Shares, reporters: Reporters, post: Post, now_s: float) -> None:
    """Send on to the accountants what this router has added up for its zone.

    Where another router collects by now, or the accountant itself, a sum would count what
    that one counts already.
    """
    for pool, account in list(shares.collected.items()):
        forget_late(account, now_s)
        accountant = find_accountant(pool, reporters.routers)
        collector = find_collector(pool, reporters)
        is_collector = collector == reporters.router_id != accountant
        if accountant is not None and is_collector:
            post.add(accountant, DemandReport(pool, sum_rows(account)))
        if not is_collector or not account.heard:
            del shares.collected[pool]


def take_zone_report(
    shares: Shares, sender: str, report: DemandReport, now_s: float
) -> ShareLevel | None:
    """Add a report of the own zone up; returns the level in force, if it is known."""
    account = shares.collected.setdefault(report.pool, PoolAccount())
    note_report(account, sender, report.rows, now_s)
    demand = shares.demands.get(report.pool)
    if demand is None or now_s >= demand.level_deadline_s:
        return None
    return demand.level


def find_collector(pool: str, reporters: Reporters) -> str | None:
    """Return the router that adds up a pool's demand for its availability zone.

    None in a small fleet, whose routers all report to the accountant.
    """
    if len(reporters.routers) < COLLECTED_ROUTERS:
        return None
    found = rank_routers(f"shares/{pool}", reporters.near, 1)
    return found[0] if found else None


def find_accountant(pool: str, routers: tuple[str, ...]) -> str | None:
    """Return the router that adds up a pool's demand."""
    found = rank_routers(f"shares/{pool}", routers, 1)
    return found[0] if found else None


def take_level(shares: Shares, level: ShareLevel, now_s: float) -> None:
    """Take the level that the accountant worked out."""
    demand = shares.demands.setdefault(level.pool, PoolDemand())
    demand.level = level
    demand.level_deadline_s = now_s + LEVEL_LEASE_S
    demand.parts = {
        row.workspace: level.level_tokens / row.asked_tokens
        for row in level.rows
        if level.level_tokens > 0 and row.asked_tokens > 0
    }
    for workspace in demand.credits_tokens.keys() - demand.parts.keys():
        del demand.credits_tokens[workspace]


def _find_bucket(demand: PoolDemand, now_s: float) -> DemandBucket:
    """Return the window's present step, which may be a new one."""
    if not demand.buckets or now_s - demand.buckets[-1].begins_at_s >= BUCKET_S:
        demand.buckets.append(DemandBucket(now_s))
    return demand.buckets[-1]


def _sum_buckets(buckets: Iterable[DemandBucket]) -> tuple[DemandRow, ...]:
    asked: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    granted: Counter[str] = Counter()
    for bucket in buckets:
        asked.update(bucket.asked_tokens)
        refused.update(bucket.refused_tokens)
        granted.update(bucket.granted_tokens)
    return tuple(
        DemandRow(name, asked[name], refused[name], granted[name])
        for name in sorted(asked.keys() | granted.keys())
    )
