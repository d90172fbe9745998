"""Max-min fair shares of a pool's capacity, computed from the demand at all routers.

Each router reports the demand of its clients on a pool within a sliding window to the pool's
accountant, which is the router with the highest rendezvous hash. The accountant computes the
level: the number of tokens to which workspaces with a higher demand are limited, so that the
demand of all workspaces together fits the pool's capacity. In a large fleet, one router of each
availability zone, the zone's collector, sums the reports of the zone and answers them with the
level that it received last. The ingress router gives each request a tier: 0 within its
workspace's level, 1 up to twice the level, and so on. Lower tiers are served first, so that
spare capacity is shared evenly too, whatever the engines' real capacity is.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from myrtlehook_core.process.accountants import (
    PoolAccount,
    expire_reports,
    replace_report,
    sum_reports,
)
from myrtlehook_core.process.actions import ActionList, ShareTalliesReported
from myrtlehook_core.process.admission_messages import (
    DemandReport,
    DemandRow,
    ShareLevel,
)
from myrtlehook_core.process.hashing import Capacities, rank_routers
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.process.share_credits import (
    ShareCredit,
    grow_credit,
    return_credit,
    set_limit,
    spend_credit,
)
from myrtlehook_core.process.share_tallies import ShareTallies, find_tally, pop_due_tallies

BUCKET_S = 0.25
"""Length of the steps in which the window slides."""

LEVEL_LEASE_S = 1.0
"""Time after which a level that was not refreshed is no longer applied."""

MIN_ROUTERS_FOR_COLLECTORS = 24
"""Number of routers from which on each zone's reports are summed by a collector. The report of a
zone is no longer than that of one busy router; in return, levels are 0.2 s older."""

CREDIT_MEMORY_S = 10.0
"""How long a workspace keeps its credit after the last level that applied to it. The demand of many
workspaces is now above the level and now below."""


@dataclass(frozen=True, slots=True)
class Reporters:
    """The routers that report demand, as the sending router knows them."""

    router_id: str
    """The sending router."""
    routers: tuple[str, ...]
    zone_routers: tuple[str, ...]
    """The routers of the sender's availability zone."""
    capacities: Capacities = field(default_factory=dict)


@dataclass(slots=True)
class DemandBucket:
    """Demand within one step of the window."""

    begins_at_s: float
    asked_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace."""
    refused_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace. Tokens asked for in this step and refused in this or a later one."""
    granted_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace. Tokens that engines admitted in this step, whenever they were asked for."""


@dataclass(slots=True)
class PoolDemand:
    """The demand of this router's clients on one pool, and the level that applies to it."""

    buckets: deque[DemandBucket] = field(default_factory=deque)
    level: ShareLevel | None = None
    level_deadline_s: float = 0.0
    level_received_at_s: float = 0.0
    tallies: ShareTallies = field(default_factory=ShareTallies)
    level_fractions: dict[str, float] = field(default_factory=dict)
    """The level as a fraction of the workspace's demand, for each workspace above the level."""
    reported: bool = False
    """Whether the last report contained rows."""
    reported_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace. The demand that the last report contained."""
    credits: dict[str, ShareCredit] = field(default_factory=dict)
    """For each workspace above the level now or lately."""
    window_s: float = 0.0
    """The window within which the level applies; 0 as long as none is known."""


@dataclass(slots=True)
class Shares:
    """The demand at this router, and the demand that it sums as an accountant or collector."""

    demands: dict[str, PoolDemand] = field(default_factory=dict)
    accounts: dict[str, PoolAccount] = field(default_factory=dict)
    """By pool. The reports that this router has received as the pool's accountant."""
    zone_accounts: dict[str, PoolAccount] = field(default_factory=dict)
    """By pool. The reports that this router has received as its zone's collector."""
    next_report_s: float = 0.0


def record_asked(shares: Shares, pool: str, workspace: str, tokens: int, now_s: float) -> int:
    """Record the demand of a new request and return the request's tier."""
    demand = shares.demands.setdefault(pool, PoolDemand())
    asked = _find_bucket(demand, now_s).asked_tokens
    asked[workspace] = asked.get(workspace, 0) + tokens
    tier = _assign_tier(demand, workspace, tokens, now_s)
    tally = find_tally(demand.tallies, workspace)
    tally.asked_tokens += tokens
    tally.tier_tokens[tier] += tokens
    return tier


def record_granted(shares: Shares, pool: str, workspace: str, tokens: int, now_s: float) -> None:
    """Record the tokens of a request that an engine has admitted."""
    demand = shares.demands.setdefault(pool, PoolDemand())
    granted = _find_bucket(demand, now_s).granted_tokens
    granted[workspace] = granted.get(workspace, 0) + tokens
    find_tally(demand.tallies, workspace).granted_tokens += tokens


def record_refused(
    shares: Shares, pool: str, workspace: str, tokens: int, tier: int, asked_at_s: float
) -> None:
    """Record a request that no engine admitted, in the window step in which it was asked for.

    A request of tier 0 returns its credit to its workspace.
    """
    demand = shares.demands.get(pool)
    if demand is None:
        return
    find_tally(demand.tallies, workspace).refused_tokens += tokens
    credit = demand.credits.get(workspace)
    if tier == 0 and credit is not None:
        return_credit(credit, tokens)
    for bucket in reversed(demand.buckets):
        if bucket.begins_at_s <= asked_at_s:
            refused = bucket.refused_tokens
            refused[workspace] = refused.get(workspace, 0) + tokens
            return


def is_above_share(shares: Shares, pool: str, workspace: str, now_s: float) -> bool:
    """Return whether a workspace's demand across all routers exceeds its share."""
    demand = shares.demands.get(pool)
    if demand is None or now_s >= demand.level_deadline_s:
        return False
    return workspace in demand.level_fractions


def report_tallies(shares: Shares, actions: ActionList, now_s: float) -> None:
    """Report each pool's tallies of the last second, if one has ended and requests were refused."""
    for pool, demand in shares.demands.items():
        due = pop_due_tallies(demand.tallies, now_s)
        if not due:
            continue
        applies = demand.level is not None and now_s < demand.level_deadline_s
        actions.add(
            ShareTalliesReported(
                pool=pool,
                level_tokens=demand.level.level_tokens if demand.level and applies else None,
                level_age_s=now_s - demand.level_received_at_s,
                tallies=due,
            )
        )


def _assign_tier(demand: PoolDemand, workspace: str, tokens: int, now_s: float) -> int:
    level_fraction = demand.level_fractions.get(workspace)
    if level_fraction is None or now_s >= demand.level_deadline_s:
        return 0
    credit = demand.credits.get(workspace)
    if credit is None:
        # None of its requests has been reported yet, so no part of the level is this router's.
        credit = demand.credits[workspace] = ShareCredit(0.0, now_s, now_s)
    grow_credit(credit, demand.window_s, now_s)
    return spend_credit(credit, level_fraction, tokens)


def send_demand_reports(
    shares: Shares, reporters: Reporters, window_s: float, outbox: MessageOutbox, now_s: float
) -> None:
    """Report the demand at this router for each pool.

    When the demand on a pool has ended, one empty report is sent, and then none.
    """
    for pool, demand in shares.demands.items():
        while demand.buckets and now_s - demand.buckets[0].begins_at_s > window_s:
            demand.buckets.popleft()
        rows = _sum_buckets(demand.buckets)
        if not rows and not demand.reported:
            continue
        demand.reported = bool(rows)
        demand.reported_tokens = {row.workspace: row.asked_tokens for row in rows}
        accountant = find_accountant(pool, reporters)
        collector = find_collector(pool, reporters) or accountant
        if collector is not None:
            outbox.add(collector, DemandReport(pool, rows, collector != accountant))


def send_zone_reports(
    shares: Shares, reporters: Reporters, outbox: MessageOutbox, now_s: float
) -> None:
    """Send the demand that this router has summed for its zone to the accountants.

    A sum is dropped if this router is no longer the pool's collector, or is its accountant itself:
    the demand would be counted twice.
    """
    for pool, account in list(shares.zone_accounts.items()):
        expire_reports(account, now_s)
        accountant = find_accountant(pool, reporters)
        collector = find_collector(pool, reporters)
        is_collector = collector == reporters.router_id != accountant
        if accountant is not None and is_collector:
            outbox.add(accountant, DemandReport(pool, sum_reports(account)))
        if not is_collector or not account.reports:
            del shares.zone_accounts[pool]


def record_zone_report(
    shares: Shares, sender: str, report: DemandReport, now_s: float
) -> ShareLevel | None:
    """Record a report from this router's zone; return the current level, or None if unknown."""
    account = shares.zone_accounts.setdefault(report.pool, PoolAccount())
    replace_report(account, sender, report.rows, now_s)
    demand = shares.demands.get(report.pool)
    if demand is None or now_s >= demand.level_deadline_s:
        return None
    return demand.level


def find_collector(pool: str, reporters: Reporters) -> str | None:
    """Return the router that sums a pool's demand for the availability zone.

    None in a small fleet, whose routers all report to the accountant.
    """
    if len(reporters.routers) < MIN_ROUTERS_FOR_COLLECTORS:
        return None
    found = rank_routers(f"shares/{pool}", reporters.zone_routers, 1, reporters.capacities)
    return found[0] if found else None


def find_accountant(pool: str, reporters: Reporters) -> str | None:
    """Return the router that sums a pool's demand and computes its level."""
    found = rank_routers(f"shares/{pool}", reporters.routers, 1, reporters.capacities)
    return found[0] if found else None


def apply_level(shares: Shares, level: ShareLevel, window_s: float, now_s: float) -> None:
    """Apply the level that a pool's accountant has computed.

    :param window_s: the window within which it applies.
    """
    demand = shares.demands.setdefault(level.pool, PoolDemand())
    demand.level = level
    demand.level_deadline_s = now_s + LEVEL_LEASE_S
    demand.level_received_at_s = now_s
    demand.window_s = window_s
    demand.level_fractions = {
        row.workspace: level.level_tokens / row.asked_tokens
        for row in level.rows
        if level.level_tokens > 0 and row.asked_tokens > 0
    }
    _update_credits(demand, level, now_s)


def _update_credits(demand: PoolDemand, level: ShareLevel, now_s: float) -> None:
    """Limit the credit of the workspaces above the level to this router's part of the level.

    That is its part of the demand. Only workspaces with clients here have a credit: in a large
    fleet, many more are above the level.
    """
    for workspace in demand.reported_tokens.keys() - demand.credits.keys():
        if workspace in demand.level_fractions:
            demand.credits[workspace] = ShareCredit(0.0, now_s, now_s)
    for workspace, credit in list(demand.credits.items()):
        level_fraction = demand.level_fractions.get(workspace)
        if level_fraction is not None:
            own_tokens = demand.reported_tokens.get(workspace, 0)
            # This router's last report may be newer than the sum of all routers.
            limit_tokens = min(level_fraction * own_tokens, float(level.level_tokens))
            set_limit(credit, limit_tokens, demand.window_s, now_s)
        elif now_s >= credit.confirmed_at_s + CREDIT_MEMORY_S:
            del demand.credits[workspace]


def _find_bucket(demand: PoolDemand, now_s: float) -> DemandBucket:
    """Return the current step of the window, and open a new one if it is due."""
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
