"""Handlers for notices that a backend server gives in an answer: leaving, or back-off."""

from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import ServerBackoffReported, ServerLeavingReported
from myrtlehook_core.process.backoffs import record_backoff
from myrtlehook_core.process.bidding import send_bid
from myrtlehook_core.process.leaving_servers import make_leaving_row, record_leaving
from myrtlehook_core.process.members import compute_news_sends
from myrtlehook_core.process.membership_messages import LeavingNotice
from myrtlehook_core.process.refusals import refuse_unservable

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore


def on_server_noticed(core: "RouterCore", event: events.ServerNoticed, now_s: float) -> None:
    """Handle the notices in an answer of a backend server."""
    if event.leaving:
        _record_leaving(core, event)
    if event.backoff_until_s > now_s:
        _record_backoff(core, event, now_s)


def handle_leaving_notice(
    core: "RouterCore", sender: str, message: LeavingNotice, now_s: float
) -> None:
    """Record, as a server's owner, that another router has learned that the server leaves."""
    if record_leaving(core.leaving_servers, message.row, compute_news_sends(core.table)):
        core.actions.add(ServerLeavingReported(message.row.backend_server, sender))


def _record_leaving(core: "RouterCore", event: events.ServerNoticed) -> None:
    """Record that a server leaves, and notify its owner, which would otherwise keep granting it.

    All other routers learn of it with the next probes; until then the owner refuses their
    requests for the server.
    """
    name = event.backend_server
    row = make_leaving_row(core.leaving_servers, name)
    if not record_leaving(core.leaving_servers, row, compute_news_sends(core.table)):
        return
    core.actions.add(ServerLeavingReported(name, "answer", event.request_id))
    owner = core.placement.server_owners.get(name)
    if owner is not None and owner != core.identity.router_id:
        core.outbox.add(owner, LeavingNotice(row))


def _record_backoff(core: "RouterCore", event: events.ServerNoticed, now_s: float) -> None:
    name = event.backend_server
    server = core.configuration.backend_servers.get(name)
    # The server's entry may be missing for a moment; the back-off applies once it is back.
    pool = "" if server is None else server.pool
    ingress = core.ingress
    if not record_backoff(ingress.backoffs, name, pool, event.backoff_until_s):
        return
    core.actions.add(ServerBackoffReported(name, event.backoff_until_s, event.request_id))
    owner = core.placement.server_owners.get(name)
    if owner is not None and ingress.advertised_requests.get(owner):
        # Bids carry the back-off. An owner that does not know of it would grant slots that are
        # returned unused.
        send_bid(ingress, pool, owner, core.outbox, now_s)
    refuse_unservable(ingress, core.ingress_context(), now_s)
