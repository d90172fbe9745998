"""The accountant of a pool: one router that works out the level of everyone's shares.

It keeps sums over the last report of each router, so that a report costs its own rows. The
level is worked out anew at each report.
"""

from dataclasses import dataclass, field

from myrtlehook_core.process.actions import ShareLevelNoted
from myrtlehook_core.process.admission_messages import DemandReport, DemandRow, ShareLevel

REPORT_LEASE_S = 1.0
"""A report that is not refreshed for this long counts no more."""

UNLIMITED = -1

TAKEN_FACTOR = 1.1
"""What engines may do beyond what they have lately taken, while next to nothing is refused: then
there is no level, unless they do more than is configured."""

SAFE_FACTOR = 0.8
"""Of what engines have lately taken, the part that is shared out while much is refused, so that
they take all that is within the shares."""

BEYOND_FACTOR = 0.7
"""The same part where engines take more than is configured. What is within shares comes before all
else, whatever its length; the rest leaves room for the short requests that fit into it."""

LEAST_PART = 0.05
"""Of what is configured, this part is shared out although engines take nothing: a level of no
tokens would be none at all."""

TELL_INTERVAL_S = 1.0
"""How often on-call is told of a level, while there is one."""

TOLD_WORKSPACES = 8
"""Of those above the level, so many are told, the largest first."""


@dataclass(frozen=True, slots=True)
class HeardReport:
    """The last report of one router."""

    rows: tuple[DemandRow, ...]
    deadline_s: float


@dataclass(slots=True)
class PoolAccount:
    """What an accountant knows of one pool."""

    heard: dict[str, HeardReport] = field(default_factory=dict)
    """By router."""
    asked_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace, the sum over all reports."""
    refused_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace, what of that no engine took."""
    granted_tokens: dict[str, int] = field(default_factory=dict)
    """By workspace, what engines took."""
    next_told_s: float = 0.0


def take_demand(
    accounts: dict[str, PoolAccount],
    sender: str,
    report: DemandReport,
    configured_tokens: float,
    now_s: float,
) -> ShareLevel:
    """Take a router's report and return the level in force."""
    account = accounts.setdefault(report.pool, PoolAccount())
    note_report(account, sender, report.rows, now_s)
    return _work_out_level(account, report.pool, configured_tokens)


def note_report(
    account: PoolAccount, sender: str, rows: tuple[DemandRow, ...], now_s: float
) -> None:
    """Put a router's report in the place of its last one."""
    _forget_report(account, sender)
    account.heard[sender] = HeardReport(rows, now_s + REPORT_LEASE_S)
    _add_rows(account, rows, 1)
    forget_late(account, now_s)


def describe_level(
    account: PoolAccount, level: ShareLevel, configured_tokens: float, now_s: float
) -> ShareLevelNoted | None:
    """Return what on-call is to know of a level; None while there is nothing new to tell."""
    if level.level_tokens == UNLIMITED or now_s < account.next_told_s:
        return None
    account.next_told_s = now_s + TELL_INTERVAL_S
    largest = sorted(level.rows, key=lambda row: row.asked_tokens, reverse=True)
    return ShareLevelNoted(
        pool=level.pool,
        level_tokens=level.level_tokens,
        configured_tokens=configured_tokens,
        shared_tokens=find_shared_tokens(account, configured_tokens),
        asked_tokens=sum(account.asked_tokens.values()),
        refused_tokens=sum(account.refused_tokens.values()),
        reports=len(account.heard),
        above=tuple(largest[:TOLD_WORKSPACES]),
    )


def sum_rows(account: PoolAccount) -> tuple[DemandRow, ...]:
    """Return what all reports that count say together."""
    names = account.asked_tokens.keys() | account.granted_tokens.keys()
    return tuple(
        DemandRow(
            name,
            account.asked_tokens.get(name, 0),
            account.refused_tokens.get(name, 0),
            account.granted_tokens.get(name, 0),
        )
        for name in sorted(names)
    )


def find_shared_tokens(account: PoolAccount, configured_tokens: float) -> float:
    """Return what is to be shared out: what engines take, whatever a configuration says.

    :param configured_tokens: what the engines produce within the window, by the configuration.

    Engines that are lost, slow or read prompts anew do less than is configured. Shares of what
    they cannot do would leave the whole shortage to the workspaces just above the level: those
    below it come first, whatever there is. Engines that keep most of their prompts do more.
    Shares of less than that would leave the rest to whoever asks in the shortest prompts: only
    what is within a share is asked for again after a refusal. What still waits does not count
    as taken: shares of it would let more of it wait.
    """
    refused = sum(account.refused_tokens.values())
    taken = sum(account.granted_tokens.values())
    while_calm = min(TAKEN_FACTOR * taken - refused, configured_tokens)
    within_tokens = min(SAFE_FACTOR * taken, configured_tokens)
    beyond_tokens = BEYOND_FACTOR * taken
    return max(within_tokens, beyond_tokens, while_calm, LEAST_PART * configured_tokens)


def find_level(demands: list[int], capacity: float) -> float | None:
    """Return the most that each may get so that all together get the capacity.

    :returns: None when everyone can have all that they ask for.
    """
    left = capacity
    rising = sorted(demands)
    for index, demand in enumerate(rising):
        equal = left / (len(rising) - index)
        if demand > equal:
            return equal
        left -= demand
    return None


def _work_out_level(account: PoolAccount, pool: str, configured_tokens: float) -> ShareLevel:
    shared_tokens = find_shared_tokens(account, configured_tokens)
    level = find_level(list(account.asked_tokens.values()), shared_tokens)
    if level is None:
        return ShareLevel(pool, UNLIMITED, ())
    above = tuple(row for row in sum_rows(account) if row.asked_tokens > level)
    return ShareLevel(pool, round(level), above)


def forget_late(account: PoolAccount, now_s: float) -> None:
    """Drop reports that were not refreshed in time."""
    late = [router for router, known in account.heard.items() if now_s >= known.deadline_s]
    for router in late:
        _forget_report(account, router)


def _forget_report(account: PoolAccount, router: str) -> None:
    known = account.heard.pop(router, None)
    if known is not None:
        _add_rows(account, known.rows, -1)


def _add_rows(account: PoolAccount, rows: tuple[DemandRow, ...], sign: int) -> None:
    for row in rows:
        _add(account.asked_tokens, row.workspace, sign * row.asked_tokens)
        _add(account.refused_tokens, row.workspace, sign * row.refused_tokens)
        _add(account.granted_tokens, row.workspace, sign * row.granted_tokens)


def _add(sums: dict[str, int], workspace: str, tokens: int) -> None:
    total = sums.get(workspace, 0) + tokens
    if total > 0:
        sums[workspace] = total
    else:
        sums.pop(workspace, None)
