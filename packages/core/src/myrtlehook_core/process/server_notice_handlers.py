"""What the core does when a backend server says something of itself in an answer."""

from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import ServerBackoffReported, ServerLeavingReported
from myrtlehook_core.process.backoffs import record_backoff
from myrtlehook_core.process.bidding import send_bid
from myrtlehook_core.process.leaving_servers import make_row, note_leaving
from myrtlehook_core.process.members import count_news
from myrtlehook_core.process.membership_messages import LeavingNotice
from myrtlehook_core.process.refusals import refuse_unservable

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore


def on_server_noticed(core: "RouterCore", event: events.ServerNoticed, now_s: float) -> None:
    """Take what an answer said of its server."""
    if event.leaving:
        _note_leaving(core, event)
    if event.backoff_until_s > now_s:
        _note_backoff(core, event, now_s)


def take_leaving_notice(
    core: "RouterCore", sender: str, message: LeavingNotice, now_s: float
) -> None:
    """Take what a server has told another router, as the server's owner."""
    if note_leaving(core.leaving_servers, message.row, count_news(core.table)):
        core.actions.add(ServerLeavingReported(message.row.backend_server, sender))


def _note_leaving(core: "RouterCore", event: events.ServerNoticed) -> None:
    """Note that a server leaves, and tell its owner, which else goes on granting it.

    All others hear of it with the next probes; until then the owner refuses what they ask.
    """
    name = event.backend_server
    row = make_row(core.leaving_servers, name)
    if not note_leaving(core.leaving_servers, row, count_news(core.table)):
        return
    core.actions.add(ServerLeavingReported(name, "answer", event.request_id))
    owner = core.placement.server_owners.get(name)
    if owner is not None and owner != core.identity.router_id:
        core.outbox.add(owner, LeavingNotice(row))


def _note_backoff(core: "RouterCore", event: events.ServerNoticed, now_s: float) -> None:
    name = event.backend_server
    server = core.configuration.backend_servers.get(name)
    # Its entry may have gone for a moment: its word holds when it is back.
    pool = "" if server is None else server.pool
    entry = core.entry
    if not record_backoff(entry.backoffs, name, pool, event.backoff_until_s):
        return
    core.actions.add(ServerBackoffReported(name, event.backoff_until_s, event.request_id))
    owner = core.placement.server_owners.get(name)
    if owner is not None and entry.advertised_requests.get(owner):
        # Bids tell it: an owner that does not know would grant slots that come back unused.
        send_bid(entry, pool, owner, core.outbox, now_s)
    refuse_unservable(entry, core.entry_context(), now_s)
