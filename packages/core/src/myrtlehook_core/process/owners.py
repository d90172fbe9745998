"""The slot owner: grants the slots of the backend servers that this router owns."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core.process.actions import Outbox, PollLoad, ServerEjected
from myrtlehook_core.process.backoffs import Backoffs, backs_off
from myrtlehook_core.process.bids import (
    REFLECT_REFRESHES,
    PoolBids,
    expire_bids,
    list_candidates,
    note_early_charge,
    note_granted,
    pick_bidder,
    take_bid,
    take_bid_row,
)
from myrtlehook_core.process.choosers import (
    Candidate,
    Chooser,
    Draw,
    choose_lowest,
    make_weighted_chooser,
)
from myrtlehook_core.process.ejections import may_use, note_end
from myrtlehook_core.process.events import LoadReported
from myrtlehook_core.process.messages import (
    Bid,
    EarlyCharge,
    Grant,
    HoldList,
    HoldQuery,
    HoldSummary,
    Release,
)
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.posts import Post
from myrtlehook_core.process.slots import (
    Hold,
    ServerSlots,
    count_free_slots,
    expire_holds,
    held_by,
    release_hold,
    renew_holds,
    replace_holds,
    take_load,
)
from myrtlehook_core.version.configurations import BackendServer, Configuration

GRANT_ID_SPACE = 1 << 48
"""Grant ids start at a random number of this space, so that owners do not collide."""


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
    """What the owner's functions need besides their own state."""

    options: CoreOptions
    configuration: Configuration
    other_owners: Callable[[str], tuple[str, ...]]
    """The other routers that own servers of a pool."""
    backoffs: Backoffs
    """Of the servers that want nothing of this router."""
    draw: Draw
    out: Outbox
    post: Post


def set_owned_servers(owner: SlotOwner, names: set[str], now_s: float) -> None:
    """Take over the servers that are newly owned, and drop what is owned no longer."""
    for name in list(owner.servers):
        if name not in names:
            del owner.servers[name]
            owner.next_poll_s.pop(name, None)
    for name in sorted(names):
        if name not in owner.servers:
            owner.servers[name] = ServerSlots(owned_since_s=now_s)
            owner.next_poll_s[name] = now_s


def drop_beliefs(owner: SlotOwner, now_s: float) -> None:
    """Forget bids, holds and reports, as after a pause; owned servers are adopted anew."""
    owner.bids.clear()
    for name in list(owner.servers):
        owner.servers[name] = ServerSlots(owned_since_s=now_s)


def receive_bid(
    owner: SlotOwner, context: OwnerContext, sender: str, bid: Bid, now_s: float
) -> bool:
    """Take a bid and grant what is free; False when the bid was stale."""
    bids = owner.bids.setdefault(bid.pool, PoolBids())
    if not take_bid(bids, sender, bid, now_s + context.options.bid_lease_s):
        return False
    grant_slots(owner, context, bid.pool, now_s)
    return True


def receive_release(
    owner: SlotOwner, context: OwnerContext, sender: str, release: Release, now_s: float
) -> None:
    """Free a slot and grant it again."""
    server = owner.servers.get(release.backend_server)
    if server is None:
        return
    release_hold(server, release.grant_id, now_s + context.options.hold_lease_s)
    if release.used and note_end(server.health, release.failed, now_s):
        context.out.add(ServerEjected(release.backend_server, server.health.ejected_until_s))
    configured = context.configuration.backend_servers.get(release.backend_server)
    if configured is None:
        return
    bids = owner.bids.setdefault(configured.pool, PoolBids())
    deadline_s = now_s + context.options.bid_lease_s
    take_bid_row(bids, sender, release.row, release.bid_sent_at_s, deadline_s)
    grant_slots(owner, context, configured.pool, now_s)


def receive_hold_summary(
    owner: SlotOwner, context: OwnerContext, sender: str, summary: HoldSummary, now_s: float
) -> None:
    """Renew a holder's leases, and ask for its list when the counts differ."""
    server = owner.servers.get(summary.backend_server)
    if server is None:
        return
    if len(held_by(server, sender)) == summary.held_slots:
        renew_holds(server, sender, now_s + context.options.hold_lease_s)
    else:
        # A lease that its holder may not know of is not renewed, and so expires.
        context.post.add(sender, HoldQuery(summary.backend_server))


def receive_hold_list(
    owner: SlotOwner, context: OwnerContext, sender: str, message: HoldList, now_s: float
) -> None:
    """Adopt the holds that a router lists, as a new owner does."""
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


def receive_load(
    owner: SlotOwner, context: OwnerContext, report: LoadReported, now_s: float
) -> None:
    """Take a load report of an owned server."""
    server = owner.servers.get(report.backend_server)
    if server is None:
        return
    take_load(server, report.running_requests)
    configured = context.configuration.backend_servers.get(report.backend_server)
    if configured is not None:
        grant_slots(owner, context, configured.pool, now_s)


def receive_early_charge(
    owner: SlotOwner, context: OwnerContext, message: EarlyCharge, now_s: float
) -> None:
    """Take another owner's grant into account until bids show it."""
    bids = owner.bids.get(message.pool)
    if bids is None:
        return
    reflected_at_s = now_s + REFLECT_REFRESHES * context.options.refresh_interval_s
    note_early_charge(bids, message.workspace, message.virtual_units, reflected_at_s)


def tick_owner(owner: SlotOwner, context: OwnerContext, now_s: float) -> None:
    """Expire leases and bids, poll load reports, and grant what has become free."""
    for server in owner.servers.values():
        owner.expired_holds += expire_holds(server, now_s)
    for bids in owner.bids.values():
        expire_bids(bids, now_s)
    for name in owner.servers:
        configured = context.configuration.backend_servers.get(name)
        if configured is None or math.isinf(context.options.load_interval_s):
            continue
        if backs_off(context.backoffs, name, now_s):
            continue
        if now_s >= owner.next_poll_s.get(name, 0.0):
            owner.next_poll_s[name] = now_s + context.options.load_interval_s
            context.out.add(PollLoad(name, configured.address))
    for pool in owner.bids:
        grant_slots(owner, context, pool, now_s)


def grant_slots(owner: SlotOwner, context: OwnerContext, pool: str, now_s: float) -> None:
    """Grant every free slot of a pool while any bid waits; none is held back."""
    bids = owner.bids.get(pool)
    if bids is None or not bids.routers:
        return
    free = _free_slots(owner, context, pool, now_s)
    if not free:
        return
    choose = _chooser(context, pool)
    while free:
        name = max(free, key=lambda server: (free[server], server))
        candidates = list_candidates(bids, _share_lookup(context.configuration), name)
        if not candidates and not any(bid.barred_servers for bid in bids.routers.values()):
            return
        if not candidates:
            # Whoever has work waiting sends this server nothing.
            del free[name]
            continue
        _grant_one(owner, context, bids, name, choose(candidates, context.draw), now_s)
        free[name] -= 1
        if free[name] == 0:
            del free[name]


def count_free_in_pool(owner: SlotOwner, context: OwnerContext, pool: str, now_s: float) -> int:
    """Return how many slots of a pool this router could grant at once."""
    return sum(_free_slots(owner, context, pool, now_s).values())


def _grant_one(
    owner: SlotOwner,
    context: OwnerContext,
    bids: PoolBids,
    backend_server: str,
    candidate: Candidate,
    now_s: float,
) -> None:
    options = context.options
    router = pick_bidder(bids, candidate.workspace, backend_server, context.draw)
    note_granted(bids, router, candidate.workspace)
    pool = context.configuration.backend_servers[backend_server].pool
    if options.early_charge:
        _charge_early(context, bids, pool, candidate, now_s)
    grant_id = owner.next_grant_id
    owner.next_grant_id += 1
    # The holder's next list renews the lease; a grant that is lost expires soon.
    first_deadline_s = now_s + options.unconfirmed_lease_s
    hold = Hold(router, candidate.workspace, now_s, first_deadline_s)
    owner.servers[backend_server].holds[grant_id] = hold
    sent_at_s = bids.routers[router].sent_at_s
    floor_units = round(bids.floor_units)
    message = Grant(grant_id, backend_server, pool, candidate.workspace, sent_at_s, floor_units)
    context.post.add(router, message)


def _charge_early(
    context: OwnerContext, bids: PoolBids, pool: str, candidate: Candidate, now_s: float
) -> None:
    """Charge a grant here at once and, in a small pool, at its other owners too.

    Between two refreshes the owners would otherwise all feed the workspace that
    was lowest at the last one.
    """
    virtual_units = candidate.mean_cost_units / candidate.share
    reflected_at_s = now_s + REFLECT_REFRESHES * context.options.refresh_interval_s
    note_early_charge(bids, candidate.workspace, virtual_units, reflected_at_s)
    others = context.other_owners(pool)
    if len(others) > context.options.charge_fanout:
        return
    for owner in others:
        context.post.add(owner, EarlyCharge(pool, candidate.workspace, virtual_units))


def _free_slots(owner: SlotOwner, context: OwnerContext, pool: str, now_s: float) -> dict[str, int]:
    free: dict[str, int] = {}
    for name, server in owner.servers.items():
        configured = context.configuration.backend_servers.get(name)
        if configured is None or configured.pool != pool:
            continue
        if not _may_grant(server, configured, context, now_s):
            continue
        limit = configured.slots + context.options.overfill_slots
        if server.health.suspect:
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
    if not may_use(server.health, len(server.holds), now_s):
        return False
    return now_s >= server.owned_since_s + context.options.adopt_delay_s


def _chooser(context: OwnerContext, pool: str) -> Chooser:
    # Owners that hear of each other's grants at once do not herd, so strictly
    # lowest first is best there; where they do not, chance must spread them.
    few = len(context.other_owners(pool)) <= context.options.charge_fanout
    if few or not context.options.weighted_choice:
        return choose_lowest
    return make_weighted_chooser(context.options.choice_spread_units)


def _share_lookup(configuration: Configuration) -> Callable[[str], float | None]:
    def find_share(workspace: str) -> float | None:
        found = configuration.workspaces.get(workspace)
        return None if found is None else found.share

    return find_share
