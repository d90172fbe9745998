"""One routed request on its way: what is known of it, and how its end is told."""

from dataclasses import dataclass

import urllib3

from myrtlehook_core import Outcome, RefusalReason, RetryReason, find_share_tokens
from myrtlehook_router.connection.backends import SendFailure
from myrtlehook_router.connection.server_connections import ConnectionPool, Exchange
from myrtlehook_router.process import clocks
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.broken_runs import note_broken_run
from myrtlehook_router.request.headers import HeaderNames
from myrtlehook_router.request.placements import (
    Placement,
    close_placement,
    end_placement,
    report_not_started,
    report_service,
)
from myrtlehook_router.request.refusal_sums import RefusedKind, count_refusal
from myrtlehook_router.request.routed import RoutedRequest
from myrtlehook_router.request.server_notices import NO_NOTICE, ServerNotice, report_notice
from myrtlehook_router.request.tickets import CallerLeft

REPLACED_STATUS = 421
"""Another server than the expected one has the address, and declined."""

UNITS_A_SECOND = 1000.0
"""Service of a plain service is counted in slot milliseconds."""

_log = get_logger("requests")


@dataclass(slots=True)
class Relay:
    """One request on its way, from its arrival to its answer's end."""

    request: RoutedRequest
    place: Placement
    body: bytes
    names: HeaderNames
    clients: ConnectionPool
    prompt_tokens: int = 0
    event_tokens: int = 1
    output_tokens: int = 0
    exchange: Exchange | None = None
    caller_left: bool = False
    maybe_run: bool = False
    """An earlier attempt may have run."""
    backend_server: str = ""
    memory_source: str = ""
    """Another backend server, from which this one takes the beginning of the prompt."""
    attempts: int = 0
    sent_at_s: float = 0.0
    first_byte_at_s: float = 0.0
    begun: bool = False
    """The present attempt has brought output."""
    status: int = 0
    """Of the present attempt's answer; 0 without one."""
    notice: ServerNotice = NO_NOTICE
    """What that answer says of its server."""


def note_caller_left(relay: Relay) -> None:
    """End what is done for a caller that has closed its connection."""
    relay.caller_left = True
    relay.place.ticket.decide(CallerLeft())
    if relay.exchange is not None:
        relay.exchange.abort()


def note_broken(relay: Relay, failure: SendFailure) -> None:
    """Look whether the server ended with an answer that broke off, unless it was only silent."""
    if failure is SendFailure.BROKEN and not relay.caller_left:
        note_broken_run(relay.place, relay.backend_server, relay.sent_at_s)


def begin_attempt(relay: Relay) -> None:
    """Note that the request is about to be sent to another server, or again."""
    relay.attempts += 1
    relay.sent_at_s = clocks.now_s()
    relay.begun = False
    relay.status = 0
    relay.notice = NO_NOTICE


def note_head(relay: Relay, response: urllib3.HTTPResponse) -> None:
    """Take an answer's status and what it says of its server."""
    relay.status = response.status
    if response.status == REPLACED_STATUS:
        # Another server says it, which has the address by now.
        return
    relay.notice = report_notice(
        relay.place.services,
        relay.request.request_id,
        relay.backend_server,
        response,
        relay.names,
    )


def give_back(relay: Relay, reason: RetryReason) -> None:
    """Tell the core and the log that an attempt came to nothing."""
    _log.info(
        "attempt failed",
        request_id=relay.request.request_id,
        backend_server=relay.backend_server,
        reason=reason,
        maybe_run=relay.maybe_run,
        status=relay.status or None,
        leaving=relay.notice.leaving,
        backoff_s=relay.notice.backoff_s,
    )
    report_not_started(relay.place, reason)


def note_output(relay: Relay, events_seen: int) -> None:
    """Count the tokens of a stream's events; the core hears of an attempt's first at once."""
    if not events_seen:
        return
    relay.output_tokens += events_seen * relay.event_tokens
    if not relay.begun:
        relay.begun = True
        report_service(relay.place, cost_units(relay))


def cost_units(relay: Relay) -> float:
    """Return the service that a request has received, in tokens or slot milliseconds."""
    if relay.prompt_tokens:
        return float(relay.prompt_tokens + 2 * relay.output_tokens)
    if not relay.sent_at_s:
        return 0.0
    return (clocks.now_s() - relay.sent_at_s) * UNITS_A_SECOND


def refuse_relay(relay: Relay, reason: RefusalReason) -> None:
    """Tell the core and the log that a request that never ran was refused."""
    request = relay.request
    kind = RefusedKind(reason, request.route.name, request.workspace.name)
    sums = relay.place.services.refusal_sums
    tokens = find_share_tokens(relay.place.specification)
    is_told = count_refusal(sums, kind, request.request_id, relay.prompt_tokens, tokens)
    end_relay(relay, Outcome.NOT_RUN, f"refused: {reason}", is_told=is_told)


def end_relay(
    relay: Relay, outcome: Outcome, detail: str, failed: bool = False, is_told: bool = True
) -> None:
    """Tell the core and the log how a request ended; safe to call again.

    :param is_told: False where the log counts the request in a sum.
    """
    place = relay.place
    if place.closed:
        return
    if relay.attempts:
        end_placement(place, cost_units(relay), outcome, failed)
    close_placement(place, outcome)
    if not is_told:
        return
    now_s = clocks.now_s()
    arrived_at_s = relay.request.arrived_at_s
    _log.info(
        "request ended",
        request_id=relay.request.request_id,
        route=relay.request.route.name,
        workspace=relay.request.workspace.name,
        prompt_tokens=relay.prompt_tokens,
        share_tokens=find_share_tokens(place.specification),
        aim_ms=round(relay.request.route.aim_s * 1000.0),
        backend_server=relay.backend_server,
        attempts=relay.attempts,
        outcome=outcome,
        detail=detail,
        waited_ms=_elapsed_ms(arrived_at_s, relay.sent_at_s),
        first_byte_ms=_elapsed_ms(arrived_at_s, relay.first_byte_at_s),
        elapsed_ms=_elapsed_ms(arrived_at_s, now_s),
        remaining_ms=_elapsed_ms(now_s, relay.request.deadline_s),
    )


def close_relay(relay: Relay) -> None:
    """End a request whose answer was not written to its end."""
    if relay.exchange is not None:
        relay.exchange.abort()
    detail = "the caller left" if relay.caller_left else "cut off"
    end_relay(relay, Outcome.UNKNOWN, detail)


def _elapsed_ms(from_s: float, to_s: float) -> float | None:
    return round((to_s - from_s) * 1000.0, 1) if to_s else None
