"""Keeps the owners of a pool informed between two refreshes of its bids.

A request is offered to one owner first. If that owner has no free slot, others hear of the request
at once; when one of them grants it, the rest learn that it no longer waits. Both messages only
speed up what the next refresh does anyway, so that none of them is repeated.
"""

from myrtlehook_core.process.actions import BidsSpread, BidsUpdated
from myrtlehook_core.process.bidding import make_bid_rows, send_bid_rows
from myrtlehook_core.process.choosers import Draw
from myrtlehook_core.process.ingress import (
    IngressContext,
    IngressState,
    find_waiting_keys,
    make_bid_row,
)
from myrtlehook_core.process.messages import BidUpdate
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.request.requests import PoolKey


def spreads_bids(options: CoreOptions) -> bool:
    """Return whether owners are kept informed between two refreshes."""
    return options.most_spread_owners > 0


def spread_bids(
    ingress: IngressState,
    context: IngressContext,
    pool: str,
    pool_owners: tuple[str, ...],
    full_owner: str,
    now_s: float,
) -> None:
    """Offer a pool's waiting requests to owners that do not know of them.

    :param full_owner: the owner that has answered that it has no free slot.
    """
    keys = find_waiting_keys(ingress, pool)
    unaware = [
        owner
        for owner in pool_owners
        if owner != full_owner and any(_count_offered(ingress, owner, key) <= 0 for key in keys)
    ]
    owners = _draw_some(unaware, context.options.most_spread_owners, context.draw)
    if not owners:
        return
    for key in keys:
        ingress.queues[key].is_spread = True
    rows = make_bid_rows(ingress, keys, now_s)
    for owner in owners:
        send_bid_rows(ingress, pool, owner, rows, context.outbox, now_s)
    queues = [ingress.queues[key] for key in keys]
    oldest_s = min(queue.waiting[0].arrived_at_s for queue in queues)
    waiting = sum(len(queue.waiting) for queue in queues)
    context.actions.add(BidsSpread(pool, full_owner, tuple(owners), waiting, now_s - oldest_s))


def update_other_owners(
    ingress: IngressState, context: IngressContext, key: PoolKey, granting_owner: str, now_s: float
) -> None:
    """Tell the owners that expect more requests than wait that one has been granted elsewhere."""
    waiting = len(ingress.queues[key].waiting)
    mistaken = [
        owner
        for owner in ingress.advertised_requests
        if owner != granting_owner and _count_offered(ingress, owner, key) > waiting
    ]
    owners = _draw_some(mistaken, context.options.most_spread_owners, context.draw)
    if not owners:
        return
    row = make_bid_row(ingress, key, now_s)
    for owner in owners:
        ingress.advertised_requests[owner][key] = waiting
        context.outbox.add(owner, BidUpdate(key.pool, now_s, row))
    context.actions.add(BidsUpdated(len(owners)))


def _count_offered(ingress: IngressState, owner: str, key: PoolKey) -> int:
    return ingress.advertised_requests.get(owner, {}).get(key, 0)


def _draw_some(owners: list[str], count: int, draw: Draw) -> list[str]:
    """Return all owners, or as many as stated, drawn at random."""
    if len(owners) <= count:
        return owners
    first = int(draw() * len(owners))
    return [owners[(first + step) % len(owners)] for step in range(count)]
