"""State of one routed request, and how its attempts and its end are reported and logged."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import urllib3
from result import Err, Ok, Result

from myrtlehook_core import (
    BackendServer,
    Outcome,
    RefusalReason,
    RequestKind,
    RetryReason,
    SendBelief,
    actions,
    events,
    find_share_tokens,
)
from myrtlehook_router.connection.answer_ends import AnswerEnd
from myrtlehook_router.connection.connection_pools import ConnectionPool
from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.connection.server_connections import Exchange
from myrtlehook_router.process import clocks
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.answer_end_logs import describe_answer_end, report_answer_end
from myrtlehook_router.request.broken_runs import check_server_after_broken_run
from myrtlehook_router.request.headers import HeaderNames, find_header
from myrtlehook_router.request.placements import (
    Placement,
    close_placement,
    end_placement,
    report_not_started,
    report_service,
    report_sound_parts,
    report_stream_pause,
)
from myrtlehook_router.request.refusal_sums import RefusedKind, count_refusal
from myrtlehook_router.request.request_ends import RequestEnd
from myrtlehook_router.request.request_tallies import Figure
from myrtlehook_router.request.routed import RoutedRequest
from myrtlehook_router.request.send_beliefs import describe_send_belief, report_doubtful_send
from myrtlehook_router.request.server_notices import NO_NOTICE, ServerNotice, report_notice
from myrtlehook_router.request.stream_pauses import (
    StreamPauses,
    begin_stream_attempt,
    record_stream_event,
)
from myrtlehook_router.request.tickets import CallerDisconnected

if TYPE_CHECKING:
    from myrtlehook_router.request.silences import Search

SERVER_REPLACED_STATUS = 421
"""The address now belongs to another server than the expected one, and that server declined."""

SOUND_OUTPUT_S = 0.1
"""A part that ends servers does so when they begin to write on it. An answer that has gone on for
this long, or has ended well, shows that all parts of its prompt are sound."""

MIN_FAILURE_STATUS = 300
"""From this status on, an answer does not show that its server has written on the prompt."""

UNITS_PER_SECOND = 1000.0
"""Service received from a plain service is counted in slot milliseconds."""

_log = get_logger("requests")
_stream_log = get_logger("requests", is_kept=True)
"""For lines that tell which software version wrote which events of a stream."""


STREAM_STATUS = 200
"""A streaming route forwards a response event by event only with this status."""

ATTEMPT_FIELDS = (
    "placement",
    "exchange",
    "reported_end",
    "backend_server",
    "software_version",
    "memory_source",
    "attempts",
    "sent_at_s",
    "send_belief",
    "heard_at_s",
    "first_byte_at_s",
    "has_output",
    "output_since_s",
    "shown_sound",
    "status",
    "notice",
)
"""The fields of a relay that describe its current attempt."""


@dataclass(slots=True)
class Relay:
    """One routed request, from its arrival to the end of its response."""

    request: RoutedRequest
    placement: Placement
    body: bytes | bytearray
    names: HeaderNames
    connection_pool: ConnectionPool
    prompt_tokens: int = 0
    event_tokens: int = 1
    output_tokens: int = 0
    exchange: Exchange | None = None
    reported_end: AnswerEnd | None = None
    """The latest end of a response that was counted and logged."""
    caller_disconnected: bool = False
    maybe_run: bool = False
    """Whether one of the attempts so far may have run."""
    backend_server: str = ""
    software_version: str = ""
    """Of that server, as listed when the request was sent there."""
    memory_source: str = ""
    """Another backend server, from whose cache this one fetches a prefix of the prompt."""
    attempts: int = 0
    sent_at_s: float = 0.0
    send_belief: SendBelief | None = None
    """What was believed of that server when the request was sent there."""
    last_event_id: str = ""
    """The last event of a resumable stream that was forwarded, in this or an earlier attempt of its
    client."""
    heard_at_s: float = 0.0
    """When the server of the current attempt was last heard from, or was sent the request."""
    searches: int = 0
    """How often a slot at another server was asked for after the first attempt had begun."""
    search_refusal: RefusalReason | None = None
    """The reason of the last refusal of such a slot."""
    first_byte_at_s: float = 0.0
    has_output: bool = False
    """The current attempt has produced output."""
    output_since_s: float = 0.0
    """When it produced its first output."""
    shown_sound: bool = False
    """Whether it has produced output for long enough that no part of its prompt is harmful."""
    status: int = 0
    """HTTP status of the current attempt's response; 0 without one."""
    pauses: StreamPauses = field(default_factory=StreamPauses)
    notice: ServerNotice = NO_NOTICE
    """What that response reports of the server: whether it is leaving or asks for a back-off."""
    silence_timer: Any = None
    """The timer after which the silence of the server is looked at."""
    search: "Search | None" = None
    """The search for a successor of a silent server, if one is under way."""
    successor: "Search | None" = None
    """The search whose successor the request was handed over to, until its response is read."""


def handle_caller_disconnect(relay: Relay) -> None:
    """Stop all work for a client that has closed its connection."""
    relay.caller_disconnected = True
    relay.placement.ticket.add_decision(CallerDisconnected())
    _cancel_search(relay)
    if relay.successor is not None:
        relay.successor.successor.caller_disconnected = True
    if relay.exchange is not None:
        relay.exchange.abort()


def forget_body(relay: Relay) -> None:
    """Release the body of a request that has ended; other objects may refer to the relay longer."""
    relay.body = b""
    if relay.exchange is not None:
        relay.exchange.forget_body()


def adopt_attempt(relay: Relay, successor: Relay) -> None:
    """Make the attempt of a successor the request's own."""
    for name in ATTEMPT_FIELDS:
        setattr(relay, name, getattr(successor, name))
    relay.maybe_run = relay.maybe_run or successor.maybe_run
    begin_stream_attempt(relay.pauses)


def is_stream_begun(relay: Relay) -> bool:
    """Return whether the current attempt's response is a stream that has begun."""
    is_streaming = relay.request.route.kind is RequestKind.STREAMING
    return is_streaming and relay.status == STREAM_STATUS


def _cancel_search(relay: Relay) -> None:
    if relay.search is not None and not relay.search.is_cancelled:
        relay.search.cancel()


def check_server_after_failure(relay: Relay, failure: SendFailure) -> None:
    """Check whether the server has ended, if its response broke off.

    Skipped for a time-out, and where the response broke off because the client disconnected.
    """
    if failure is SendFailure.BROKEN and not relay.caller_disconnected:
        check_server_after_broken_run(
            relay.placement,
            relay.backend_server,
            relay.sent_at_s,
            relay.software_version,
            relay.shown_sound,
        )


def report_refused_connection(relay: Relay) -> None:
    """Report to the core that nothing listens at a server's address, so its process has ended."""
    services = relay.placement.services
    services.counters.add("backend.refused_connections")
    services.mailbox.post(events.ServerFoundEnded(relay.backend_server, relay.sent_at_s))


def take_dispatch(relay: Relay, dispatch: actions.Dispatch) -> Result[BackendServer, RetryReason]:
    """Return the server that a dispatch names, as it is listed now.

    The error is why the request cannot be sent there: since the dispatch the server was removed, or
    listed with another software version than the one at which the stream may go on.
    """
    relay.backend_server = dispatch.backend_server
    relay.memory_source = dispatch.memory_source
    servers = relay.placement.services.configuration().backend_servers
    server = servers.get(dispatch.backend_server)
    if server is None:
        return Err(RetryReason.SERVER_LEAVING)
    if dispatch.software_version not in (None, server.software_version):
        return Err(RetryReason.SERVER_REPLACED)
    return Ok(server)


def begin_attempt(relay: Relay) -> None:
    """Reset the state of the current attempt, before the request is sent once more."""
    relay.attempts += 1
    relay.sent_at_s = clocks.now_s()
    relay.heard_at_s = relay.sent_at_s
    _record_send_belief(relay)
    relay.has_output = False
    relay.shown_sound = False
    begin_stream_attempt(relay.pauses)
    relay.status = 0
    relay.notice = NO_NOTICE


def _record_send_belief(relay: Relay) -> None:
    """Record what is believed of the server to which the request is about to be sent."""
    services = relay.placement.services
    relay.send_belief = services.find_send_belief(relay.backend_server)
    if relay.send_belief is not None:
        report_doubtful_send(
            services.doubtful_send_lines,
            services.counters,
            relay.request.request_id,
            relay.backend_server,
            relay.send_belief,
            relay.sent_at_s,
        )


def record_response_head(relay: Relay, response: urllib3.HTTPResponse) -> None:
    """Record a response's status and the notice about its server; report the notice to the core."""
    relay.status = response.status
    if response.status == SERVER_REPLACED_STATUS:
        # The response comes from another server, to which the address now belongs.
        return
    relay.notice = report_notice(
        relay.placement.services,
        relay.request.request_id,
        relay.backend_server,
        response,
        relay.names,
    )


def log_stream(relay: Relay, event: str, last_event_id: str, **details: str | None) -> None:
    """Log where a stream that may be resumed began, broke off, went on, or why it did not.

    :param last_event_id: the last event of the stream that was forwarded so far.
    """
    _stream_log.info(
        event,
        request_id=relay.request.request_id,
        resumes=find_header(relay.request.headers, relay.names.resumes),
        backend_server=relay.backend_server,
        software_version=relay.software_version,
        last_event_id=last_event_id,
        **details,
    )


def report_malformed_stream(relay: Relay) -> None:
    """Abort the current response, as its bytes are no events; count and log that."""
    relay.placement.services.counters.add("stream.malformed")
    log_stream(relay, "stream malformed", relay.last_event_id)
    assert relay.exchange is not None
    relay.exchange.abort()


def _report_answer_end(relay: Relay) -> dict[str, object]:
    """Count and log how the current response ended; returns its log fields."""
    end = None if relay.exchange is None else relay.exchange.end
    if end is None or end is relay.reported_end:
        return describe_answer_end(end)
    relay.reported_end = end
    services = relay.placement.services
    report_answer_end(
        services.answer_end_lines,
        services.counters,
        relay.request.request_id,
        relay.backend_server,
        end,
        clocks.now_s(),
    )
    return describe_answer_end(end)


def report_failed_attempt(relay: Relay, reason: RetryReason) -> None:
    """Log a failed attempt and report it to the core, which then decides on the request again."""
    log_failed_attempt(relay, reason)
    relay.searches += 1
    report_not_started(relay.placement, reason)


def log_failed_attempt(relay: Relay, reason: RetryReason) -> None:
    """Log an attempt that did not bring the answer."""
    _log.info(
        "attempt failed",
        request_id=relay.request.request_id,
        backend_server=relay.backend_server,
        reason=reason,
        maybe_run=relay.maybe_run,
        status=relay.status or None,
        leaving=relay.notice.leaving,
        backoff_s=relay.notice.backoff_s,
        **_report_answer_end(relay),
        **describe_send_belief(relay.send_belief, relay.sent_at_s),
    )


def record_heard(relay: Relay) -> None:
    """Record that bytes of the current attempt's response have arrived, which ends a silence."""
    now_s = clocks.now_s()
    services = relay.placement.services
    if services.silent_until_s:
        services.silent_until_s.pop(relay.backend_server, None)
    if relay.search is not None and not relay.search.is_cancelled:
        services.counters.add("silence.went_on")
        services.counters.time("silence", now_s - relay.heard_at_s)
        relay.search.cancel()
    relay.heard_at_s = now_s


def record_output(relay: Relay, events_seen: int) -> None:
    """Count the tokens of a stream's events; report an attempt's first output to the core."""
    if not events_seen:
        return
    relay.output_tokens += events_seen * relay.event_tokens
    pause_s = record_stream_event(relay.pauses, clocks.now_s())
    if pause_s:
        report_stream_pause(relay.placement, pause_s)
    if not relay.has_output:
        relay.has_output = True
        relay.output_since_s = clocks.now_s()
        report_service(relay.placement, compute_cost_units(relay))
    elif not relay.shown_sound and clocks.now_s() >= relay.output_since_s + SOUND_OUTPUT_S:
        _report_shown_sound(relay)


def _report_shown_sound(relay: Relay) -> None:
    relay.shown_sound = True
    report_sound_parts(relay.placement, relay.software_version)


def compute_cost_units(relay: Relay) -> float:
    """Return the service that a request has received, in tokens or slot milliseconds.

    An output token counts as much as two tokens of the prompt.
    """
    if relay.prompt_tokens:
        return float(relay.prompt_tokens + 2 * relay.output_tokens)
    if not relay.sent_at_s:
        return 0.0
    return (clocks.now_s() - relay.sent_at_s) * UNITS_PER_SECOND


def refuse_relay(relay: Relay, reason: RefusalReason) -> None:
    """End a request that never ran as refused; log it, or count it in a sum of refusals."""
    request = relay.request
    kind = RefusedKind(reason, request.route.name, request.workspace.name)
    sums = relay.placement.services.refusal_sums
    tokens = find_share_tokens(relay.placement.specification)
    if reason is RefusalReason.CALLER_GONE:
        relay.placement.figure = Figure.UNFINISHED
    is_logged = count_refusal(sums, kind, request.request_id, relay.prompt_tokens, tokens)
    end_relay(relay, Outcome.NOT_RUN, RequestEnd.REFUSED, f"refused: {reason}", is_logged=is_logged)


def end_relay(
    relay: Relay,
    outcome: Outcome,
    cause: RequestEnd,
    detail: str,
    failed: bool = False,
    is_logged: bool = True,
) -> None:
    """Report to the core how a request ended, and log it; safe to call again.

    :param is_logged: False where the log counts the request in a sum of refusals.
    """
    placement = relay.placement
    if placement.closed:
        return
    _cancel_search(relay)
    if relay.silence_timer is not None:
        relay.silence_timer.cancel()
    if outcome is Outcome.COMPLETED:
        placement.figure = _find_figure(relay)
    is_success = outcome is Outcome.COMPLETED and relay.status < MIN_FAILURE_STATUS
    if is_success and not relay.shown_sound:
        _report_shown_sound(relay)
    if relay.attempts:
        longest_pause_s = relay.pauses.longest_in_attempt_s
        end_placement(placement, compute_cost_units(relay), outcome, failed, longest_pause_s)
        _observe_stream(relay)
    close_placement(placement, outcome)
    placement.services.counters.add(f"request_end.{cause}")
    answer_end = _report_answer_end(relay)
    if not is_logged:
        return
    now_s = clocks.now_s()
    arrived_at_s = relay.request.arrived_at_s
    _log.info(
        "request ended",
        request_id=relay.request.request_id,
        route=relay.request.route.name,
        workspace=relay.request.workspace.name,
        configuration=relay.request.configuration_number,
        configuration_now=placement.services.configuration().version.number,
        prompt_tokens=relay.prompt_tokens,
        share_tokens=find_share_tokens(placement.specification),
        aim_ms=round(relay.request.route.aim_s * 1000.0),
        backend_server=relay.backend_server,
        software_version=relay.software_version,
        **describe_send_belief(relay.send_belief, relay.sent_at_s),
        **answer_end,
        attempts=relay.attempts,
        outcome=outcome,
        ended_by=cause,
        detail=detail,
        server_silent_ms=_compute_elapsed_ms(relay.heard_at_s, now_s) if relay.attempts else None,
        searches=relay.searches or None,
        search_refusal=relay.search_refusal,
        waited_ms=_compute_elapsed_ms(arrived_at_s, relay.sent_at_s),
        first_byte_ms=_compute_elapsed_ms(arrived_at_s, relay.first_byte_at_s),
        first_event_ms=_compute_elapsed_ms(arrived_at_s, relay.pauses.first_event_at_s),
        longest_pause_ms=round(relay.pauses.longest_s * 1000.0, 1),
        pause_target_ms=round(relay.pauses.target_s * 1000.0),
        elapsed_ms=_compute_elapsed_ms(arrived_at_s, now_s),
        remaining_ms=_compute_elapsed_ms(now_s, relay.request.deadline_s),
    )


def close_relay(relay: Relay) -> None:
    """End a request whose response was not written completely."""
    if relay.exchange is not None:
        relay.exchange.abort()
    cause = RequestEnd.CALLER_LEFT if relay.caller_disconnected else RequestEnd.CALLER_CUT
    detail = "the caller left" if relay.caller_disconnected else "cut off"
    end_relay(relay, Outcome.UNKNOWN, cause, detail)


def _find_figure(relay: Relay) -> Figure:
    """Return whether a whole answer was in time for its route's targets."""
    pauses = relay.pauses
    begun_at_s = pauses.first_event_at_s or relay.first_byte_at_s
    if begun_at_s - relay.request.arrived_at_s > relay.request.route.aim_s:
        return Figure.LATE_FIRST_EVENT
    if 0.0 < pauses.target_s < pauses.longest_s:
        return Figure.LATE_PAUSE
    return Figure.IN_TIME


def _observe_stream(relay: Relay) -> None:
    """Add a stream's first event and longest pause to the histograms of its route."""
    if not relay.pauses.first_event_at_s:
        return
    counters = relay.placement.services.counters
    route = relay.request.route.name
    first_event_s = relay.pauses.first_event_at_s - relay.request.arrived_at_s
    counters.time(f"first_event.{route}", first_event_s)
    counters.time(f"longest_pause.{route}", relay.pauses.longest_s)


def find_break_cause(relay: Relay) -> RequestEnd:
    """Return what ended a request whose response broke off and is not requested again."""
    if relay.caller_disconnected:
        return RequestEnd.CALLER_LEFT
    if clocks.now_s() >= relay.request.deadline_s:
        return RequestEnd.DEADLINE_PASSED
    return RequestEnd.NOT_RESUMED if relay.searches else RequestEnd.SERVER_BROKE_OFF


def _compute_elapsed_ms(from_s: float, to_s: float) -> float | None:
    return round((to_s - from_s) * 1000.0, 1) if to_s else None
