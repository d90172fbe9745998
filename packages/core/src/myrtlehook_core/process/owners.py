"""The slot owner: grants slots of the backend servers that this router owns to routers."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import ActionList, PollLoad, ServerEjected
from myrtlehook_core.process.backoffs import Backoffs, is_backing_off
from myrtlehook_core.process.bids import (
    EARLY_CHARGE_REFRESHES,
    PoolBids,
    count_waiting_requests,
    expire_bids,
    limits_choice,
    list_candidates,
    pick_bidder,
    record_bid,
    record_bid_row,
    record_early_charge,
    subtract_granted_request,
)
from myrtlehook_core.process.choosers import (
    Candidate,
    Chooser,
    Draw,
    choose_lowest,
    make_weighted_chooser,
)
from myrtlehook_core.process.ejections import may_send_request, record_outcome
from myrtlehook_core.process.events import LoadReported
from myrtlehook_core.process.messages import (
    Bid,
    BidUpdate,
    EarlyCharge,
    Grant,
    HoldList,
    HoldQuery,
    HoldSummary,
    NoFreeSlot,
    Release,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.process.regions import NO_REGIONS, Regions, find_region
from myrtlehook_core.process.slots import (
    Hold,
    ServerSlots,
    count_free_slots,
    expire_holds,
    find_held_grants,
    record_load,
    release_hold,
    renew_holds,
    replace_holds,
)
from myrtlehook_core.version.configurations import BackendServer, Configuration

GRANT_ID_SPACE = 1 << 48
"""Each owner draws its first grant id from this range, so that ids of owners do not collide."""


@dataclass(slots=True)
class SlotOwner:
    """The servers that this router owns, their holds, and the bids for their pools."""

    next_grant_id: int
    servers: dict[str, ServerSlots] = field(default_factory=dict)
    bids: dict[str, PoolBids] = field(default_factory=dict)
    next_poll_s: dict[str, float] = field(default_factory=dict)
    expired_holds: int = 0


@dataclass(slots=True)
class OwnerContext:
    """Dependencies of the owner's functions besides the owner's own state."""

    options: CoreOptions
    configuration: Configuration
    list_other_owners: Callable[[str], tuple[str, ...]]
    """The other routers that own servers of a pool."""
    backoffs: Backoffs
    """Back-offs that backend servers have requested from this router."""
    draw: Draw
    actions: ActionList
    outbox: MessageOutbox
    regions: Regions = NO_REGIONS


def set_owned_servers(owner: SlotOwner, names: set[str], now_s: float) -> None:
    """Adopt servers that are newly owned, and drop those that no longer are."""
    for name in list(owner.servers):
        if name not in names:
            del owner.servers[name]
            owner.next_poll_s.pop(name, None)
    for name in sorted(names):
        if name not in owner.servers:
            owner.servers[name] = ServerSlots(owned_since_s=now_s)
            owner.next_poll_s[name] = now_s


def reset_owner_state(owner: SlotOwner, now_s: float) -> None:
    """Drop bids, holds and load reports after a pause, and adopt the owned servers again."""
    owner.bids.clear()
    for name in list(owner.servers):
        owner.servers[name] = ServerSlots(owned_since_s=now_s)


def handle_bid(
    owner: SlotOwner, context: OwnerContext, sender: str, bid: Bid, now_s: float
) -> bool:
    """Record a bid and grant free slots of its pool.

    :returns: False when the bid was stale.
    """
    bids = owner.bids.setdefault(bid.pool, PoolBids())
    if not record_bid(bids, sender, bid, now_s + context.options.bid_lease_s, now_s):
        return False
    grant_slots(owner, context, bid.pool, now_s)
    if bid.wants_answer and count_waiting_requests(bids, sender) > 0:
        context.outbox.add(sender, NoFreeSlot(bid.pool))
    return True


def handle_bid_update(
    owner: SlotOwner, context: OwnerContext, sender: str, update: BidUpdate, now_s: float
) -> None:
    """Replace one row of a router's bid."""
    bids = owner.bids.setdefault(update.pool, PoolBids())
    deadline_s = now_s + context.options.bid_lease_s
    record_bid_row(bids, sender, update.row, update.sent_at_s, deadline_s, now_s)


def handle_release(
    owner: SlotOwner, context: OwnerContext, sender: str, release: Release, now_s: float
) -> None:
    """Free a released slot, record the bid row that came with it, and grant free slots."""
    server = owner.servers.get(release.backend_server)
    if server is None:
        return
    release_hold(server, release.grant_id, now_s + context.options.hold_lease_s)
    if release.used and record_outcome(server.health, release.failed, now_s):
        context.actions.add(ServerEjected(release.backend_server, server.health.ejected_until_s))
    configured = context.configuration.backend_servers.get(release.backend_server)
    if configured is None:
        return
    bids = owner.bids.setdefault(configured.pool, PoolBids())
    deadline_s = now_s + context.options.bid_lease_s
    record_bid_row(bids, sender, release.bid_row, release.bid_sent_at_s, deadline_s, now_s)
    grant_slots(owner, context, configured.pool, now_s)


def handle_hold_summary(
    owner: SlotOwner, context: OwnerContext, sender: str, summary: HoldSummary, now_s: float
) -> None:
    """Renew a holder's leases, or query the list of its holds when the counts differ."""
    server = owner.servers.get(summary.backend_server)
    if server is None:
        return
    if len(find_held_grants(server, sender)) == summary.held_slots:
        renew_holds(server, sender, now_s + context.options.hold_lease_s)
    else:
        # Leases are not renewed here: one that its holder does not know of has to expire.
        context.outbox.add(sender, HoldQuery(summary.backend_server))


def handle_hold_list(
    owner: SlotOwner, context: OwnerContext, sender: str, message: HoldList, now_s: float
) -> None:
    """Replace the known holds of a router by those that it lists.

    A new owner learns the holds on its servers this way.
    """
    server = owner.servers.get(message.backend_server)
    if server is None:
        return
    settled_before_s = now_s - context.options.grant_lease_s
    deadline_s = now_s + context.options.hold_lease_s
    listed = {
        row.grant_id: Hold(sender, row.workspace, settled_before_s, deadline_s)
        for row in message.rows
    }
    replace_holds(server, listed, sender, settled_before_s)


def handle_load(
    owner: SlotOwner, context: OwnerContext, report: LoadReported, now_s: float
) -> None:
    """Record a load report of an owned server, and grant slots that it shows to be free."""
    server = owner.servers.get(report.backend_server)
    if server is None:
        return
    record_load(server, report.running_requests)
    configured = context.configuration.backend_servers.get(report.backend_server)
    if configured is not None:
        grant_slots(owner, context, configured.pool, now_s)


def handle_early_charge(
    owner: SlotOwner, context: OwnerContext, message: EarlyCharge, now_s: float
) -> None:
    """Record the early charge of another owner's grant until bids include it."""
    bids = owner.bids.get(message.pool)
    if bids is None:
        return
    expires_at_s = now_s + EARLY_CHARGE_REFRESHES * context.options.refresh_interval_s
    record_early_charge(bids, message.workspace, message.virtual_service_units, expires_at_s)


def tick_owner(owner: SlotOwner, context: OwnerContext, now_s: float) -> None:
    """Expire leases and bids, poll load reports, and grant slots that have become free."""
    for server in owner.servers.values():
        owner.expired_holds += expire_holds(server, now_s)
    for bids in owner.bids.values():
        expire_bids(bids, now_s)
    for name in owner.servers:
        configured = context.configuration.backend_servers.get(name)
        if configured is None or math.isinf(context.options.load_interval_s):
            continue
        if is_backing_off(context.backoffs, name, now_s):
            continue
        if now_s >= owner.next_poll_s.get(name, 0.0):
            owner.next_poll_s[name] = now_s + context.options.load_interval_s
            context.actions.add(PollLoad(name, configured.address))
    for pool in owner.bids:
        grant_slots(owner, context, pool, now_s)


def grant_slots(owner: SlotOwner, context: OwnerContext, pool: str, now_s: float) -> None:
    """Grant free slots of a pool until none is left or no waiting request can use one."""
    bids = owner.bids.get(pool)
    if bids is None or not bids.routers:
        return
    free = _find_free_slots(owner, context, pool, now_s)
    if not free:
        return
    choose = _select_chooser(context, pool)
    while free:
        name = max(free, key=lambda server: (free[server], server))
        region = find_region(context.regions, context.configuration.backend_servers[name])
        candidates = list_candidates(bids, _make_share_lookup(context.configuration), name, region)
        if not candidates and not limits_choice(bids):
            return
        if not candidates:
            # Every router with waiting requests excludes this server or its region.
            del free[name]
            continue
        _grant_one(owner, context, bids, name, choose(candidates, context.draw), now_s)
        free[name] -= 1
        if free[name] == 0:
            del free[name]


def count_free_in_pool(owner: SlotOwner, context: OwnerContext, pool: str, now_s: float) -> int:
    """Return how many slots of a pool this router could grant now."""
    return sum(_find_free_slots(owner, context, pool, now_s).values())


def _grant_one(
    owner: SlotOwner,
    context: OwnerContext,
    bids: PoolBids,
    backend_server: str,
    candidate: Candidate,
    now_s: float,
) -> None:
    options = context.options
    region = find_region(context.regions, context.configuration.backend_servers[backend_server])
    router = pick_bidder(bids, candidate.workspace, backend_server, context.draw, region)
    subtract_granted_request(bids, router, candidate.workspace)
    pool = context.configuration.backend_servers[backend_server].pool
    if options.early_charge:
        _charge_early(context, bids, pool, candidate, now_s)
    grant_id = owner.next_grant_id
    owner.next_grant_id += 1
    # The holder's next hold summary or list renews the lease. The first deadline is short, so that
    # a grant whose message is lost frees its slot soon.
    first_deadline_s = now_s + options.unconfirmed_lease_s
    hold = Hold(router, candidate.workspace, now_s, first_deadline_s)
    owner.servers[backend_server].holds[grant_id] = hold
    sent_at_s = bids.routers[router].sent_at_s
    floor_units = round(bids.floor_units)
    message = Grant(grant_id, backend_server, pool, candidate.workspace, sent_at_s, floor_units)
    context.outbox.add(router, message)


def _charge_early(
    context: OwnerContext, bids: PoolBids, pool: str, candidate: Candidate, now_s: float
) -> None:
    """Charge a grant here at once and, in a pool with few owners, at the other owners too.

    Without this charge, all owners would grant to the same workspace between two refreshes: the
    one whose virtual service was lowest at the last refresh.
    """
    virtual_units = candidate.mean_cost_units / candidate.share
    expires_at_s = now_s + EARLY_CHARGE_REFRESHES * context.options.refresh_interval_s
    record_early_charge(bids, candidate.workspace, virtual_units, expires_at_s)
    others = context.list_other_owners(pool)
    if len(others) > context.options.charge_fanout:
        return
    for owner in others:
        context.outbox.add(owner, EarlyCharge(pool, candidate.workspace, virtual_units))


def _find_free_slots(
    owner: SlotOwner, context: OwnerContext, pool: str, now_s: float
) -> dict[str, int]:
    free: dict[str, int] = {}
    for name, server in owner.servers.items():
        configured = context.configuration.backend_servers.get(name)
        if configured is None or configured.pool != pool:
            continue
        if not _may_grant(server, configured, context, now_s):
            continue
        limit = configured.slots + context.options.overfill_slots
        if server.health.is_failing:
            limit = 1
        count = count_free_slots(server, limit, now_s)
        if count > 0:
            free[name] = count
    return free


def _may_grant(
    server: ServerSlots, configured: BackendServer, context: OwnerContext, now_s: float
) -> bool:
    if configured.leaving:
        return False
    if not may_send_request(server.health, len(server.holds), now_s):
        return False
    return now_s >= server.owned_since_s + context.options.adopt_delay_s


def _select_chooser(context: OwnerContext, pool: str) -> Chooser:
    # Where owners send each other early charges, strictly lowest first is best: they do not
    # herd on one workspace. In pools with more owners, a random choice has to spread them.
    few = len(context.list_other_owners(pool)) <= context.options.charge_fanout
    if few or not context.options.weighted_choice:
        return choose_lowest
    return make_weighted_chooser(context.options.choice_spread_units)


def _make_share_lookup(configuration: Configuration) -> Callable[[str], float | None]:
    def find_share(workspace: str) -> float | None:
        found = configuration.workspaces.get(workspace)
        return None if found is None else found.share

    return find_share
