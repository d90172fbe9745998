"""Placement of one request: submit it to the core, wait for a slot, and report its end."""

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
from myrtlehook_router.request.callers import CallerRequest, has_caller_disconnected
from myrtlehook_router.request.request_tallies import (
    Figure,
    make_tally_key,
    tally,
    tally_arrival,
    tally_refusal,
)
from myrtlehook_router.request.services import RequestServices
from myrtlehook_router.request.tickets import CallerDisconnected, SearchCancelled, Ticket

CALLER_CHECK_INTERVAL_S = 0.5
"""How often the task of a waiting request checks that its client is still connected."""

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
    RefusalReason.REGION_NOT_ALLOWED: "it may not be served in the region of this router",
    RefusalReason.NO_REGION_ALLOWED: "its route and its workspace allow no region in common",
    RefusalReason.NO_SERVER_IN_REGION: "no backend server is in a region where it may be served",
    RefusalReason.NO_BACKEND_SERVER: "no backend server is configured for this pool",
    RefusalReason.NO_SERVER_OF_VERSION: "no backend server has the version that began this stream",
    RefusalReason.STREAM_ORIGIN_UNKNOWN: "the version that began this stream is not known",
    RefusalReason.BACKED_OFF: "each backend server wants nothing of this router for now",
    RefusalReason.QUARANTINED: "backend servers ended again and again while they ran this request",
    RefusalReason.RETRIES_EXHAUSTED: "no backend server would start the request",
    RefusalReason.DRAINING: "this router is stopping; ask another",
    RefusalReason.NOT_CONFIGURED: "this router knows no configuration yet",
    RefusalReason.CONFIGURATION_REMOVED: "the workspace is no longer configured",
    RefusalReason.CALLER_GONE: "the caller has gone",
    RefusalReason.ROUTER_FAULT: "the router met a fault of its own",
}


OUTCOME_FIGURES = {
    Outcome.COMPLETED: Figure.IN_TIME,
    Outcome.NOT_RUN: Figure.REFUSED,
    Outcome.UNKNOWN: Figure.UNFINISHED,
}


@dataclass(slots=True)
class Placement:
    """A request that was submitted to the core, from its arrival until its ticket is closed."""

    specification: RequestSpecification
    ticket: Ticket
    services: RequestServices
    environ: dict[str, Any]
    closed: bool = False
    figure: Figure | None = None
    """What it is counted as, where its outcome does not tell: a whole answer may be late."""
    earlier_ids: tuple[str, ...] = ()
    """Ids under which the request was submitted before it was handed over to another server; their
    tickets stay open until its end."""


def queue_caller_request(
    services: RequestServices,
    request: CallerRequest,
    workspace: Workspace,
    pool: Pool,
    target: str,
    body: bytes | bytearray,
    prefix_key: str,
) -> Result[Placement, Refusal]:
    """Make the specification of a request and submit it to the core.

    :param target: the request target for the backend server, with its query.
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

    Two workspaces may choose the same request id, and must not affect each other's requests.
    """
    return f"{workspace}/{request_id}"


def queue_request(
    services: RequestServices,
    specification: RequestSpecification,
    environ: dict[str, Any],
    standing: ShareStanding | None = None,
) -> Result[Placement, Refusal]:
    """Submit a request to the core, unless another one with its id is still open.

    :param standing: its standing against its workspace's share; None if it was not counted yet.
    """
    ticket = services.tickets.open(specification.request_id)
    if ticket is None:
        reason = RefusalReason.DUPLICATE_REQUEST_ID
        return Err(Refusal(reason, "a request of this id is still open"))
    tally_arrival(services.tallies, specification, clocks.now_s())
    services.mailbox.post(events.RequestArrived(specification, standing))
    return Ok(Placement(specification, ticket, services, environ))


def wait_for_slot(placement: Placement) -> Result[actions.Dispatch, Refusal]:
    """Wait until the core dispatches the request to a backend server or refuses it.

    A busy event loop may bring a slot before the end of the client's connection, which has arrived
    earlier. So the connection is checked here as well, and nothing is sent for clients that left.
    """
    while True:
        decision = placement.ticket.wait(CALLER_CHECK_INTERVAL_S)
        if isinstance(decision, actions.Refuse):
            return Err(_refusal(decision.reason, decision.retry_after_s))
        if isinstance(decision, CallerDisconnected) or has_caller_disconnected(placement.environ):
            placement.services.mailbox.post(
                events.RequestAbandoned(placement.specification.request_id)
            )
            return Err(_refusal(RefusalReason.CALLER_GONE, 1.0))
        if decision is None or isinstance(decision, SearchCancelled):
            continue
        if clocks.now_s() < decision.lease_deadline_s:
            return Ok(decision)
        # This process was delayed between the decision and now, so the slot's lease has expired.
        report_not_started(placement, RetryReason.LEASE_EXPIRED)


def report_not_started(placement: Placement, reason: RetryReason) -> None:
    """Report that a dispatched request was certainly not run; the core then decides again."""
    placement.services.mailbox.post(
        events.RunNotStarted(placement.specification.request_id, reason)
    )


def report_stream_begun(placement: Placement, software_version: str) -> None:
    """Report the version of the server that wrote the first event of a running request's stream."""
    placement.services.mailbox.post(
        events.StreamBegun(placement.specification.request_id, software_version)
    )


def report_sound_parts(placement: Placement, software_version: str) -> None:
    """Report that a server of this version writes an answer on a running request's prompt."""
    if placement.specification.part_digests:
        placement.services.mailbox.post(
            events.PartsShownSound(placement.specification.request_id, software_version)
        )


def report_service(placement: Placement, observed_units: float) -> None:
    """Report how much service a running request has consumed so far."""
    placement.services.mailbox.post(
        events.ServiceObserved(placement.specification.request_id, observed_units)
    )


def report_stream_pause(placement: Placement, pause_s: float) -> None:
    """Report a long pause between two events of a running request's stream."""
    placement.services.mailbox.post(
        events.StreamPaused(placement.specification.request_id, pause_s)
    )


def end_placement(
    placement: Placement,
    cost_units: float,
    outcome: Outcome,
    failed: bool = False,
    longest_pause_s: float = 0.0,
) -> None:
    """Report that a dispatched request has ended and close its ticket; safe to call again."""
    if placement.closed:
        return
    event = events.RunEnded(
        placement.specification.request_id,
        cost_units,
        failed,
        outcome is Outcome.COMPLETED,
        longest_pause_s,
    )
    placement.services.mailbox.post(event)
    close_placement(placement, outcome)


def close_placement(placement: Placement, outcome: Outcome) -> None:
    """Close a request's ticket, count its outcome and record its duration; safe to call again."""
    if placement.closed:
        return
    placement.closed = True
    for request_id in (*placement.earlier_ids, placement.specification.request_id):
        placement.services.tickets.close(request_id)
    placement.services.counters.add(f"outcome.{outcome}")
    _tally_end(placement, outcome)
    elapsed_s = clocks.now_s() - placement.specification.arrived_at_s
    placement.services.counters.time("request", elapsed_s)


def _tally_end(placement: Placement, outcome: Outcome) -> None:
    tallies = placement.services.tallies
    figure = placement.figure or OUTCOME_FIGURES[outcome]
    if figure is Figure.REFUSED:
        tally_refusal(tallies, placement.specification, clocks.now_s())
    else:
        tally(tallies, make_tally_key(placement.specification), figure, clocks.now_s())


def find_server_address(placement: Placement, backend_server: str) -> str | None:
    """Return a backend server's address, or None if the configuration no longer has it."""
    server = placement.services.configuration().backend_servers.get(backend_server)
    return None if server is None else server.address


def _refusal(reason: RefusalReason, retry_after_s: float) -> Refusal:
    return Refusal(reason, REFUSAL_MESSAGES.get(reason, str(reason)), retry_after_s)
