"""Places a new request: opens its admission to an engine, or queues it for a slot."""

from typing import TYPE_CHECKING

from myrtlehook_core.process.admissions import is_admitted_by_tokens, open_admission
from myrtlehook_core.process.bid_spreading import spreads_bids
from myrtlehook_core.process.bidding import send_first_bid, send_reports
from myrtlehook_core.process.owners import count_free_in_pool
from myrtlehook_core.process.runs import accept_request
from myrtlehook_core.process.share_standings import ShareStanding, count_arrival
from myrtlehook_core.request.requests import RequestSpecification

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore


def place_request(
    core: "RouterCore", request: RequestSpecification, standing: ShareStanding | None, now_s: float
) -> None:
    """Place a request that may run now.

    :param standing: how it relates to its workspace's share; None if it was not counted yet.
    """
    ingress = core.ingress
    if is_admitted_by_tokens(core.ingress_context(), request):
        standing = standing or count_arrival(core.shares, request, now_s)
        open_admission(core.admissions, core.admission_context(), request, standing, now_s)
        return
    key = accept_request(ingress, core.ingress_context(), request, now_s)
    if key is None or key not in ingress.unreported_keys:
        return
    ingress.unreported_keys.discard(key)
    if core.options.exchange_totals:
        # Reported at once, so that the ledger raises the total of a workspace that was idle to
        # the floor before it is served.
        send_reports(ingress, core.placement, core.options, core.draw, core.outbox, {key}, now_s)
    context = core.owner_context()
    free = count_free_in_pool(core.owner, context, key.pool, now_s)
    preferred = core.identity.router_id if free > 0 else None
    send_first_bid(
        ingress,
        core.placement,
        request,
        preferred,
        core.draw,
        core.outbox,
        now_s,
        wants_answer=spreads_bids(core.options),
    )
