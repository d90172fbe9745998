"""Restarts of other routers that the failure detector did not notice.

A router that is killed and started again within a second may never have been suspected, so its
ownership does not move and nobody hands anything over. Each message states the incarnation of the
process that sent it, by which a restart is noticed.
"""

from typing import TYPE_CHECKING

from myrtlehook_core.process.actions import RestartNoticed
from myrtlehook_core.process.admission_handover import announce_admissions
from myrtlehook_core.process.bidding import send_hold_lists
from myrtlehook_core.process.members import MemberState
from myrtlehook_core.process.quarantine_handlers import resend_ends
from myrtlehook_core.process.stream_origin_handlers import resend_origins

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore


def hand_over_after_restart(
    core: "RouterCore", router_id: str, process_incarnation: int, now_s: float
) -> None:
    """Send a router whose process is another one than before what it has to know.

    Members that are dead get this when they join again, since ownership moves then.
    """
    member = core.table.members.get(router_id)
    if member is None:
        return
    previous = member.process_incarnation
    member.process_incarnation = process_incarnation
    if previous in (0, process_incarnation) or member.state is MemberState.DEAD:
        return
    core.actions.add(RestartNoticed(router_id))
    servers = {
        name: owner for name, owner in core.placement.server_owners.items() if owner == router_id
    }
    announce_admissions(core.admissions, core.admission_context(), servers, now_s)
    send_hold_lists(core.ingress, servers, core.outbox)
    core.begin_ledger_handover(now_s)
    resend_ends(core, router_id, now_s)
    resend_origins(core, router_id, now_s)
