"""When an entry tells owners what waits, renews its leases, and reports service."""

from myrtlehook_core.process.backoffs import list_backed_off
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.entries import (
    Entry,
    account_of,
    make_bid_row,
)
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.messages import (
    Bid,
    FloorRow,
    HoldList,
    HoldRow,
    HoldSummary,
    Report,
    ReportRow,
    WaitingState,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.placements import Placement, find_ledgers
from myrtlehook_core.process.posts import Post
from myrtlehook_core.request.charges import ServiceAccount
from myrtlehook_core.request.queues import WorkspaceQueue
from myrtlehook_core.request.requests import PoolKey, RequestSpecification

NO_TOTAL = -1

LISTED_HOLDS = 8
"""Up to so many leases on one server are renewed by name, which needs no question
when a release was lost."""

STANDBY_EVERY = 5
"""Every so many refreshes the standing-by ledgers hear as well."""


def offer_first(
    entry: Entry,
    placement: Placement,
    request: RequestSpecification,
    preferred: str | None,
    draw: Draw,
    post: Post,
    now_s: float,
) -> None:
    """Offer a queue that just became non-empty to one owner.

    One owner is enough while the pool has free slots, and several would each
    grant a slot for the same request.

    :param preferred: this router, if it owns a free slot of the pool.
    """
    owners = placement.pool_owners.get(request.pool, ())
    if not owners:
        return
    if request.prefix_key:
        # The same prefix finds the same owner, and so the same few engines.
        owner = rank_routers(f"prefix/{request.prefix_key}", owners, 1)[0]
    elif preferred is not None:
        owner = preferred
    else:
        owner = owners[int(draw() * len(owners))]
    key = PoolKey(request.workspace, request.pool)
    entry.first_offers[key] = owner
    bid_to(entry, request.pool, owner, post, now_s)


def bid_to(
    entry: Entry, pool: str, owner: str, post: Post, now_s: float, unusable: str = ""
) -> None:
    """Tell one owner now what is already offered to it.

    :param unusable: a backend server that nothing is sent to from here, whatever the owner
        believes; the next bid does not say so any more.
    """
    settled = {key for key in entry.told.get(owner, {}) if key.pool == pool}
    keys = [
        key
        for key, queue in entry.queues.items()
        if queue.waiting and (key in settled or entry.first_offers.get(key) == owner)
        if key.pool == pool
    ]
    _send_bid(entry, pool, owner, keys, post, now_s, unusable)


def send_bids(
    entry: Entry, placement: Placement, options: CoreOptions, post: Post, now_s: float
) -> None:
    """Tell owners all that waits, pool by pool; silence where nothing does."""
    settled_s = now_s - options.spread_delay_s
    told_pools = {key.pool for keys in entry.told.values() for key in keys}
    pools = {key.pool for key, queue in entry.queues.items() if queue.waiting}
    for pool in sorted(pools | told_pools):
        for owner in placement.pool_owners.get(pool, ()):
            keys = _keys_for(entry, pool, owner, settled_s)
            told = any(key.pool == pool for key in entry.told.get(owner, {}))
            if keys or told:
                _send_bid(entry, pool, owner, keys, post, now_s)


def _is_settled(queue: WorkspaceQueue, settled_s: float) -> bool:
    return queue.offered_s is not None and queue.offered_s <= settled_s


def send_reports(
    entry: Entry,
    placement: Placement,
    options: CoreOptions,
    draw: Draw,
    post: Post,
    keys: set[PoolKey],
    now_s: float,
) -> None:
    """Report cumulative service to the ledgers of the given workspaces.

    The first ledger answers and hears everything; the others stand by, and hear
    less often what they would have to go on from.
    """
    entry.refreshes += 1
    standby = entry.refreshes % STANDBY_EVERY == 0 or now_s < entry.handover_until_s
    ranks = options.ledger_count if standby else 1
    rows: dict[tuple[str, bool], list[ReportRow]] = {}
    for key in sorted(keys, key=lambda item: (item.workspace, item.pool)):
        row, waiting = _make_report_row(entry, key, options, draw, now_s)
        _note_owed(entry.accounts[key], standby)
        for rank, ledger in enumerate(find_ledgers(placement, key, options.ledger_count)):
            if rank < ranks:
                rows.setdefault((ledger, waiting and rank == 0), []).append(row)
    for (ledger, wants_totals), held in rows.items():
        floors = _floors_of(entry, {row.pool for row in held})
        post.add(ledger, Report(wants_totals, floors, tuple(held)))


def keys_to_report(entry: Entry) -> set[PoolKey]:
    """Return the workspaces whose service changed or that have work waiting."""
    standby = entry.refreshes % STANDBY_EVERY == STANDBY_EVERY - 1
    changed = {
        key
        for key, account in entry.accounts.items()
        if account.changed or (standby and account.standby_changed)
    }
    waiting = {key for key, queue in entry.queues.items() if queue.waiting}
    return changed | waiting


def repeat_releases(entry: Entry, placement: Placement, post: Post) -> None:
    """Send each release of the last refresh interval a second time."""
    for release in entry.unconfirmed_releases:
        owner = placement.server_owners.get(release.backend_server)
        if owner is not None:
            post.add(owner, release)
    entry.unconfirmed_releases.clear()


def send_hold_summaries(entry: Entry, placement: Placement, post: Post) -> None:
    """Renew the leases on every backend server that runs a request of this router."""
    counts: dict[str, int] = {}
    for running in entry.running.values():
        counts[running.backend_server] = counts.get(running.backend_server, 0) + 1
    # One last summary of nothing frees a slot whose release was lost.
    for backend_server in sorted(set(counts) | entry.summarised):
        owner = placement.server_owners.get(backend_server)
        count = counts.get(backend_server, 0)
        if owner is None:
            continue
        if count <= LISTED_HOLDS:
            send_hold_list(entry, backend_server, owner, post)
        else:
            post.add(owner, HoldSummary(backend_server, count))
    entry.summarised = frozenset(counts)


def send_hold_list(entry: Entry, backend_server: str, owner: str, post: Post) -> None:
    """Tell an owner every slot of one server that this router holds."""
    rows = tuple(
        HoldRow(running.grant_id, running.request.workspace)
        for running in entry.running.values()
        if running.backend_server == backend_server
    )
    post.add(owner, HoldList(backend_server, rows))


def send_holds_to_new_owners(
    entry: Entry, before: dict[str, str], placement: Placement, post: Post
) -> None:
    """Tell each new owner of a server what this router runs there."""
    used = {running.backend_server for running in entry.running.values()}
    for backend_server in sorted(used):
        owner = placement.server_owners.get(backend_server)
        if owner is not None and before.get(backend_server) != owner:
            send_hold_list(entry, backend_server, owner, post)


def _keys_for(entry: Entry, pool: str, owner: str, settled_s: float) -> list[PoolKey]:
    """Return the queues to show to an owner: old ones, and young ones offered to it."""
    keys = []
    for key, queue in entry.queues.items():
        if key.pool != pool or not queue.waiting:
            continue
        if _is_settled(queue, settled_s) or entry.first_offers.get(key) == owner:
            keys.append(key)
    return keys


def _send_bid(
    entry: Entry,
    pool: str,
    owner: str,
    keys: list[PoolKey],
    post: Post,
    now_s: float,
    unusable: str = "",
) -> None:
    others = {key: told for key, told in entry.told.get(owner, {}).items() if key.pool != pool}
    counts = {key: len(entry.queues[key].waiting) for key in keys}
    entry.told[owner] = others | counts
    rows = tuple(make_bid_row(entry, key) for key in keys)
    barred = list_backed_off(entry.backoffs, pool, now_s)
    if unusable and unusable not in barred:
        barred = (*barred, unusable)
    post.add(owner, Bid(pool, now_s, rows, barred))


def _note_owed(account: ServiceAccount, standby: bool) -> None:
    """Remember a change until the standing-by ledgers have heard of it too."""
    account.standby_changed = not standby and (account.changed or account.standby_changed)
    account.changed = False


def _floors_of(entry: Entry, pools: set[str]) -> tuple[FloorRow, ...]:
    known = sorted(pools & entry.floors_units.keys())
    return tuple(FloorRow(pool, entry.floors_units[pool]) for pool in known)


def _make_report_row(
    entry: Entry, key: PoolKey, options: CoreOptions, draw: Draw, now_s: float
) -> tuple[ReportRow, bool]:
    account = account_of(entry, key, draw)
    account.report_sequence += 1
    queue = entry.queues.get(key)
    waiting = queue is not None and bool(queue.waiting)
    total = entry.totals.get(key) if now_s < entry.handover_until_s else None
    row = ReportRow(
        workspace=key.workspace,
        pool=key.pool,
        row_id=account.row_id,
        sequence=account.report_sequence,
        served_units=round(account.served_units),
        waiting=int(_note_waiting(account, waiting, options, now_s)),
        known_total_units=NO_TOTAL if total is None else round(total.total_units),
    )
    return row, waiting


def _note_waiting(
    account: ServiceAccount, waiting: bool, options: CoreOptions, now_s: float
) -> WaitingState:
    if not waiting:
        return WaitingState.NOTHING
    if now_s - account.waiting_seen_s > options.idle_grace_s:
        account.waiting_since_s = now_s
    account.waiting_seen_s = now_s
    returned = now_s - account.waiting_since_s <= options.idle_grace_s
    return WaitingState.RETURNED if returned else WaitingState.STEADY
