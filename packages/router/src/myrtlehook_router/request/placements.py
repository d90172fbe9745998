"""Getting a slot for one request: queue it, wait, and give up when told to."""

from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from myrtlehook_core import (
    Outcome,
    Pool,
    RefusalReason,
    RequestSpecification,
    RetryReason,
    ShareStanding,
    Workspace,
    actions,
    events,
    fingerprint_request,
)
from myrtlehook_router.process import clocks
from myrtlehook_router.request.answers import Refusal
from myrtlehook_router.request.callers import CallerRequest, caller_has_gone
from myrtlehook_router.request.services import RequestServices
from myrtlehook_router.request.tickets import CallerLeft, Ticket

CALLER_CHECK_S = 0.5
"""How often a waiting request looks whether its caller is still there."""

REFUSAL_MESSAGES = {
    RefusalReason.QUEUE_FULL: "this workspace has too many requests waiting here",
    RefusalReason.QUEUE_BYTES_FULL: "this workspace has too many bytes waiting here",
    RefusalReason.RATE_LIMITED: "this workspace sends faster than its limit",
    RefusalReason.ROUTER_FULL: "this router has too many requests waiting",
    RefusalReason.ROUTER_BYTES_FULL: "this router has too many bytes waiting",
    RefusalReason.ROUTER_OVERLOADED: "this router and its neighbours are overloaded",
    RefusalReason.DEADLINE_UNREACHABLE: "the queue is too long for this deadline",
    RefusalReason.SHARE_EXCEEDED: "the workspace asks for more than its share",
    RefusalReason.DEADLINE_PASSED: "the deadline passed before a slot was free",
    RefusalReason.NO_BACKEND_SERVER: "no backend server is configured for this pool",
    RefusalReason.BACKED_OFF: "each backend server wants nothing of this router for now",
    RefusalReason.QUARANTINED: "backend servers ended again and again while they ran this request",
    RefusalReason.RETRIES_EXHAUSTED: "no backend server would start the request",
    RefusalReason.DRAINING: "this router is stopping; ask another",
    RefusalReason.NOT_CONFIGURED: "this router knows no configuration yet",
    RefusalReason.CONFIGURATION_REMOVED: "the workspace is no longer configured",
    RefusalReason.CALLER_GONE: "the caller has gone",
    RefusalReason.ROUTER_FAULT: "the router met a fault of its own",
}


@dataclass(slots=True)
class Place:
    """One request's place: its ticket and what is counted of it."""

    specification: RequestSpecification
    ticket: Ticket
    services: RequestServices
    environ: dict[str, Any]
    closed: bool = False


def open_place(
    services: RequestServices,
    request: CallerRequest,
    workspace: Workspace,
    pool: Pool,
    target: str,
    body: bytes,
    prefix_key: str,
) -> Result[Place, Refusal]:
    """Queue a request.

    :param target: what is asked of the backend server, with its query.
    """
    now_s = clocks.now_s()
    if request.timeout_ms is None:
        deadline_s = now_s + pool.default_timeout_s
    else:
        deadline_s = now_s + request.timeout_ms / 1000.0
    specification = RequestSpecification(
        request_id=scope_id(workspace.name, request.request_id),
        workspace=workspace.name,
        pool=pool.name,
        body_bytes=len(body),
        arrived_at_s=now_s,
        deadline_s=deadline_s,
        no_repeat=request.no_repeat or pool.no_repeat,
        prefix_key=prefix_key,
        fingerprint=fingerprint_request(workspace.name, request.method, target, body),
    )
    return queue_request(services, specification, request.environ)


def scope_id(workspace: str, request_id: str) -> str:
    """Return the id of a request within this process.

    Two workspaces may choose the same request id; neither may touch the other's.
    """
    return f"{workspace}/{request_id}"


def queue_request(
    services: RequestServices,
    specification: RequestSpecification,
    environ: dict[str, Any],
    intake: ShareStanding | None = None,
) -> Result[Place, Refusal]:
    """Hand a specified request to the core.

    :param intake: how it stands to its workspace's share, if it was counted there.
    """
    ticket = services.tickets.open(specification.request_id)
    if ticket is None:
        reason = RefusalReason.DUPLICATE_REQUEST_ID
        return Err(Refusal(reason, "a request of this id is still open"))
    services.mailbox.post(events.RequestArrived(specification, intake))
    return Ok(Place(specification, ticket, services, environ))


def wait_for_slot(place: Place) -> Result[actions.Dispatch, Refusal]:
    """Wait until the request may be sent, or has its final refusal."""
    while True:
        decision = place.ticket.wait(CALLER_CHECK_S)
        if decision is None or isinstance(decision, CallerLeft):
            if decision is not None or caller_has_gone(place.environ):
                place.services.mailbox.post(events.RequestAbandoned(place.specification.request_id))
                return Err(_refusal(RefusalReason.CALLER_GONE, 1.0))
            continue
        if isinstance(decision, actions.Refuse):
            return Err(_refusal(decision.reason, decision.retry_after_s))
        if clocks.now_s() < decision.lease_deadline_s:
            return Ok(decision)
        # This process was held up between the decision and the sending.
        not_started(place, RetryReason.LEASE_EXPIRED)


def not_started(place: Place, reason: RetryReason) -> None:
    """Say that a dispatched request certainly was not run; another decision follows."""
    place.services.mailbox.post(events.RunNotStarted(place.specification.request_id, reason))


def observe(place: Place, observed_units: float) -> None:
    """Say how much service a running request has had so far."""
    place.services.mailbox.post(
        events.ServiceObserved(place.specification.request_id, observed_units)
    )


def end_place(place: Place, cost_units: float, outcome: Outcome, failed: bool = False) -> None:
    """Say that a dispatched request has ended; safe to call again."""
    if place.closed:
        return
    ended = events.RunEnded(
        place.specification.request_id, cost_units, failed, outcome is Outcome.COMPLETED
    )
    place.services.mailbox.post(ended)
    close_place(place, outcome)


def close_place(place: Place, outcome: Outcome) -> None:
    """Give up the ticket; safe to call again."""
    if place.closed:
        return
    place.closed = True
    place.services.tickets.close(place.specification.request_id)
    place.services.counters.add(f"outcome.{outcome}")
    waited_s = clocks.now_s() - place.specification.arrived_at_s
    place.services.counters.time("request", waited_s)


def server_address(place: Place, backend_server: str) -> str | None:
    """Return where a backend server is, unless the configuration dropped it just now."""
    server = place.services.configuration().backend_servers.get(backend_server)
    return None if server is None else server.address


def _refusal(reason: RefusalReason, retry_after_s: float) -> Refusal:
    return Refusal(reason, REFUSAL_MESSAGES.get(reason, str(reason)), retry_after_s)
