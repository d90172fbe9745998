"""Messages of the ingress router: bids and lease renewals to owners, reports to ledgers."""

from myrtlehook_core.process.backoffs import list_backed_off
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.ingress import (
    IngressState,
    find_waiting_keys,
    get_account,
    make_bid_row,
)
from myrtlehook_core.process.messages import (
    Bid,
    BidRow,
    FloorRow,
    HoldList,
    HoldRow,
    HoldSummary,
    Report,
    ReportRow,
    WaitingState,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.process.placements import Placement, find_ledgers
from myrtlehook_core.request.charges import ServiceAccount
from myrtlehook_core.request.queues import WorkspaceQueue
from myrtlehook_core.request.requests import PoolKey, RequestSpecification

NO_TOTAL = -1
"""Sent in a report row when no total is known, or when no handover is under way."""

MAX_LISTED_HOLDS = 8
"""Largest number of leases on one server that are renewed by a list. A list needs no query from
the owner when a release was lost."""

STANDBY_REPORT_REFRESHES = 5
"""Number of refreshes after which a report goes to the standby ledgers too."""


def send_first_bid(
    ingress: IngressState,
    placement: Placement,
    request: RequestSpecification,
    preferred: str | None,
    draw: Draw,
    outbox: MessageOutbox,
    now_s: float,
    wants_answer: bool = False,
) -> None:
    """Advertise a queue that just became non-empty to one owner of its pool.

    One owner is enough while the pool has free slots. Several owners would each grant a slot for
    the same request.

    :param preferred: this router, if it owns a free slot of the pool.
    :param wants_answer: whether the owner answers if it has no free slot.
    """
    owners = placement.pool_owners.get(request.pool, ())
    if not owners:
        return
    if request.prefix_key:
        # Requests with the same prefix go to the same owner, and so to the same few engines.
        owner = rank_routers(f"prefix/{request.prefix_key}", owners, 1)[0]
    elif preferred is not None:
        owner = preferred
    else:
        owner = owners[int(draw() * len(owners))]
    key = PoolKey(request.workspace, request.pool)
    ingress.first_owners[key] = owner
    send_bid(ingress, request.pool, owner, outbox, now_s, wants_answer=wants_answer)


def send_bid(
    ingress: IngressState,
    pool: str,
    owner: str,
    outbox: MessageOutbox,
    now_s: float,
    wants_answer: bool = False,
) -> None:
    """Send one owner a bid at once with the queues that are already advertised to it.

    :param wants_answer: whether the owner answers if it has no free slot.
    """
    advertised = {key for key in ingress.advertised_requests.get(owner, {}) if key.pool == pool}
    keys = [
        key
        for key, queue in ingress.queues.items()
        if queue.waiting and (key in advertised or ingress.first_owners.get(key) == owner)
        if key.pool == pool
    ]
    rows = make_bid_rows(ingress, keys, now_s)
    send_bid_rows(ingress, pool, owner, rows, outbox, now_s, wants_answer)


def send_bids(
    ingress: IngressState,
    placement: Placement,
    options: CoreOptions,
    outbox: MessageOutbox,
    now_s: float,
) -> None:
    """Send bids with all waiting requests to the owners of each pool.

    An owner gets no bid if it has nothing to learn: no queue waits, and none was advertised to it.
    """
    settled_before_s = now_s - options.spread_delay_s
    ingress.closed_servers.clear()
    advertised_pools = {key.pool for keys in ingress.advertised_requests.values() for key in keys}
    pools = {key.pool for key, queue in ingress.queues.items() if queue.waiting}
    for pool in sorted(pools | advertised_pools):
        pool_rows = make_bid_rows(ingress, find_waiting_keys(ingress, pool), now_s)
        for owner in placement.pool_owners.get(pool, ()):
            keys = _find_keys_to_advertise(ingress, pool, owner, settled_before_s)
            advertised = any(key.pool == pool for key in ingress.advertised_requests.get(owner, {}))
            if keys or advertised:
                rows = {key: pool_rows[key] for key in keys}
                send_bid_rows(ingress, pool, owner, rows, outbox, now_s)


def _is_settled(queue: WorkspaceQueue, settled_before_s: float) -> bool:
    if queue.is_spread:
        return True
    return queue.became_nonempty_s is not None and queue.became_nonempty_s <= settled_before_s


def send_reports(
    ingress: IngressState,
    placement: Placement,
    options: CoreOptions,
    draw: Draw,
    outbox: MessageOutbox,
    keys: set[PoolKey],
    now_s: float,
) -> None:
    """Report cumulative service to the ledgers of the given workspaces.

    The first ledger gets every report and answers with totals. The others are standby ledgers:
    they get reports less often, as the state to continue from if the first one fails.
    """
    ingress.refreshes += 1
    standby = ingress.refreshes % STANDBY_REPORT_REFRESHES == 0 or now_s < ingress.handover_until_s
    ranks = options.ledger_count if standby else 1
    rows: dict[tuple[str, bool], list[ReportRow]] = {}
    for key in sorted(keys, key=lambda item: (item.workspace, item.pool)):
        row, waiting = _make_report_row(ingress, key, options, draw, now_s)
        _mark_reported(ingress.accounts[key], standby)
        for rank, ledger in enumerate(find_ledgers(placement, key, options.ledger_count)):
            if rank < ranks:
                rows.setdefault((ledger, waiting and rank == 0), []).append(row)
    for (ledger, wants_totals), report_rows in rows.items():
        floors = _collect_floors(ingress, {row.pool for row in report_rows})
        outbox.add(ledger, Report(wants_totals, floors, tuple(report_rows)))


def find_keys_to_report(ingress: IngressState) -> set[PoolKey]:
    """Return the queues whose service changed or that have requests waiting."""
    standby = ingress.refreshes % STANDBY_REPORT_REFRESHES == STANDBY_REPORT_REFRESHES - 1
    changed = {
        key
        for key, account in ingress.accounts.items()
        if account.changed or (standby and account.standby_changed)
    }
    waiting = {key for key, queue in ingress.queues.items() if queue.waiting}
    return changed | waiting


def repeat_releases(ingress: IngressState, placement: Placement, outbox: MessageOutbox) -> None:
    """Send each release of the last refresh interval a second time, in case the first was lost."""
    for release in ingress.unconfirmed_releases:
        owner = placement.server_owners.get(release.backend_server)
        if owner is not None:
            outbox.add(owner, release)
    ingress.unconfirmed_releases.clear()


def send_hold_summaries(ingress: IngressState, placement: Placement, outbox: MessageOutbox) -> None:
    """Renew the leases on every backend server that runs a request of this router."""
    counts: dict[str, int] = {}
    for running in ingress.running.values():
        counts[running.backend_server] = counts.get(running.backend_server, 0) + 1
    # A last, empty list for servers no longer in use frees slots whose release was lost.
    for backend_server in sorted(set(counts) | ingress.summarised_servers):
        owner = placement.server_owners.get(backend_server)
        count = counts.get(backend_server, 0)
        if owner is None:
            continue
        if count <= MAX_LISTED_HOLDS:
            send_hold_list(ingress, backend_server, owner, outbox)
        else:
            outbox.add(owner, HoldSummary(backend_server, count))
    ingress.summarised_servers = frozenset(counts)


def send_hold_list(
    ingress: IngressState, backend_server: str, owner: str, outbox: MessageOutbox
) -> None:
    """Send an owner the list of all slots of one server that this router holds."""
    rows = tuple(
        HoldRow(running.grant_id, running.request.workspace)
        for running in ingress.running.values()
        if running.backend_server == backend_server
    )
    outbox.add(owner, HoldList(backend_server, rows))


def send_holds_to_new_owners(
    ingress: IngressState,
    previous_owners: dict[str, str],
    placement: Placement,
    outbox: MessageOutbox,
) -> None:
    """Send each new owner of a server the list of slots that this router holds there."""
    moved = {
        name: owner
        for name, owner in placement.server_owners.items()
        if previous_owners.get(name) != owner
    }
    send_hold_lists(ingress, moved, outbox)


def send_hold_lists(ingress: IngressState, owners: dict[str, str], outbox: MessageOutbox) -> None:
    """Send owners the lists of slots that this router holds on some servers.

    :param owners: the servers, and the owner of each.
    """
    used = {running.backend_server for running in ingress.running.values()}
    for backend_server in sorted(used & owners.keys()):
        send_hold_list(ingress, backend_server, owners[backend_server], outbox)


def _find_keys_to_advertise(
    ingress: IngressState, pool: str, owner: str, settled_before_s: float
) -> list[PoolKey]:
    """Return the queues to advertise to an owner: settled ones, and new ones assigned to it."""
    keys = []
    for key, queue in ingress.queues.items():
        if key.pool != pool or not queue.waiting:
            continue
        if _is_settled(queue, settled_before_s) or ingress.first_owners.get(key) == owner:
            keys.append(key)
    return keys


def make_bid_rows(
    ingress: IngressState, keys: list[PoolKey], now_s: float
) -> dict[PoolKey, BidRow]:
    """Return the bid rows of some queues; made once for all owners that get them."""
    return {key: make_bid_row(ingress, key, now_s) for key in keys}


def send_bid_rows(
    ingress: IngressState,
    pool: str,
    owner: str,
    rows: dict[PoolKey, BidRow],
    outbox: MessageOutbox,
    now_s: float,
    wants_answer: bool = False,
) -> None:
    """Send one owner a bid with some queues; the owner forgets all others of the pool."""
    other_counts = {
        key: count
        for key, count in ingress.advertised_requests.get(owner, {}).items()
        if key.pool != pool
    }
    counts = {key: row.waiting_requests for key, row in rows.items()}
    ingress.advertised_requests[owner] = other_counts | counts
    backed_off = list_backed_off(ingress.backoffs, pool, now_s)
    closed = ingress.closed_servers.get(pool, set()).difference(backed_off)
    excluded_servers = (*backed_off, *sorted(closed))
    outbox.add(owner, Bid(pool, now_s, tuple(rows.values()), excluded_servers, wants_answer))


def _mark_reported(account: ServiceAccount, standby: bool) -> None:
    """Mark an account as reported; its change stays marked until standby ledgers got it too."""
    account.standby_changed = not standby and (account.changed or account.standby_changed)
    account.changed = False


def _collect_floors(ingress: IngressState, pools: set[str]) -> tuple[FloorRow, ...]:
    known = sorted(pools & ingress.floors_units.keys())
    return tuple(FloorRow(pool, ingress.floors_units[pool]) for pool in known)


def _make_report_row(
    ingress: IngressState, key: PoolKey, options: CoreOptions, draw: Draw, now_s: float
) -> tuple[ReportRow, bool]:
    account = get_account(ingress, key, draw)
    account.report_sequence += 1
    queue = ingress.queues.get(key)
    waiting = queue is not None and bool(queue.waiting)
    total = ingress.totals.get(key) if now_s < ingress.handover_until_s else None
    row = ReportRow(
        workspace=key.workspace,
        pool=key.pool,
        row_id=account.row_id,
        sequence=account.report_sequence,
        served_units=round(account.served_units),
        waiting_state=int(_update_waiting_state(account, waiting, options, now_s)),
        known_total_units=NO_TOTAL if total is None else round(total.total_units),
    )
    return row, waiting


def _update_waiting_state(
    account: ServiceAccount, waiting: bool, options: CoreOptions, now_s: float
) -> WaitingState:
    if not waiting:
        return WaitingState.NOTHING
    if now_s - account.last_waiting_s > options.idle_grace_s:
        account.returned_at_s = now_s
    account.last_waiting_s = now_s
    returned = now_s - account.returned_at_s <= options.idle_grace_s
    return WaitingState.RETURNED if returned else WaitingState.STEADY
