"""What a router does about a backend server that is silent while it runs a request.

Silence is a sign of nothing: a server that sends no byte may be slow, stand still for a moment, be
cut off or be gone. So it ends no exchange. After some time a successor is sought, which is a slot
at another server; the silent one keeps the request until the successor has it in hand. If it goes
on before that, the successor is dropped. Only the end of the connection, the client or the deadline
end an exchange that has no successor.
"""

import contextlib
from dataclasses import dataclass, field, replace

import eventlet
import urllib3
from eventlet import hubs
from eventlet.event import Event
from eventlet.queue import Empty, LightQueue
from result import Err, Ok, Result

from myrtlehook_core import BackendServer, RetryReason, actions, events
from myrtlehook_router.process import clocks
from myrtlehook_router.process.line_limits import may_log
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.attempts import send_once
from myrtlehook_router.request.placements import Placement
from myrtlehook_router.request.relays import (
    MIN_FAILURE_STATUS,
    Relay,
    adopt_attempt,
    is_stream_begun,
    log_failed_attempt,
    record_heard,
    take_dispatch,
)
from myrtlehook_router.request.services import RequestServices
from myrtlehook_router.request.tickets import SearchCancelled, Ticket

STREAM_SILENCE_S = 1.2
"""A successor is sought for a resumable stream that has been silent for this long."""

FIRST_BYTE_TARGET_FACTOR = 3.0
"""A successor is sought for a repeatable request whose response has not begun within this many
times its first-token target."""

MIN_FIRST_BYTE_SILENCE_S = 0.5
"""Lower bound of that time."""

OVERLAP_S = 0.3
"""A successor that has not declined the request within this time has it in hand, even if its
response has not begun. Two servers must not run one request for longer."""

SEARCH_INTERVAL_S = 0.5
"""The shortest time between two searches for a successor of one request."""

MAX_SEARCH_INTERVAL_S = 2.0
"""The longest time, whatever a refusal says: servers that were silent may be back by then."""

SILENT_SERVER_MEMORY_S = 2.0
"""For this long after a server was found silent it gets no successor, unless it is heard from."""

MIN_RECHECK_S = 0.001
"""Shortest wait, for times that have just passed."""

_log = get_logger("requests", is_kept=True)


@dataclass(slots=True, eq=False)
class Search:
    """A search for the successor of one silent server."""

    successor: Relay
    """The state of the successor's attempt."""
    ticket: Ticket
    signals: LightQueue = field(default_factory=LightQueue)
    """Wakes the search while the successor's attempt is being sent."""
    is_cancelled: bool = False
    sent: Result[urllib3.HTTPResponse, RetryReason] | None = None
    """The outcome of sending it; None until then."""
    done: Event = field(default_factory=Event)
    """Sent when the search has ended."""

    def cancel(self) -> None:
        """End the search, as the silent server went on or the request has ended."""
        self.is_cancelled = True
        self.ticket.add_decision(SearchCancelled())
        self.signals.put_nowait(None)
        # Its attempt is then neither sent nor checked, as for a client that has left.
        self.successor.caller_disconnected = True
        if self.successor.exchange is not None:
            self.successor.exchange.abort()


def send_watched(
    relay: Relay, server: BackendServer, last_event_id: str | None
) -> Result[urllib3.HTTPResponse, RetryReason]:
    """Send the request once, and seek a successor if the server is silent for some time."""
    if relay.silence_timer is None and _may_seek(relay):
        _look_again_in(relay, _find_limit_s(relay) or STREAM_SILENCE_S)
    sent = send_once(relay, server, last_event_id)
    if isinstance(sent, Err) and is_handed_over(relay):
        return take_over(relay)
    return sent


def is_handed_over(relay: Relay) -> bool:
    """Return whether the request has a successor, after the exchange of its server has ended.

    A search that is under way is waited for.
    """
    _wait_for_search(relay)
    return relay.successor is not None


def take_over(relay: Relay) -> Result[urllib3.HTTPResponse, RetryReason]:
    """Wait for the response of the successor that the request has been handed over to."""
    while True:
        search = relay.successor
        assert search is not None
        while search.sent is None:
            search.signals.get()
        if isinstance(search.sent, Err):
            _wait_for_search(relay)
        if relay.successor is not search:
            # It has been silent too, and its own successor has the request.
            continue
        relay.successor = None
        adopt_attempt(relay, search.successor)
        return search.sent


def _wait_for_search(relay: Relay) -> None:
    """Wait for a search that is under way, also for one that was given up.

    The core has to hear that its successor was sent before it decides on the request again.
    """
    if relay.search is not None:
        relay.search.done.wait()


def _may_seek(relay: Relay) -> bool:
    """Return whether the request may be sent to one more server while it may be running."""
    route = relay.request.route
    return route.repeatable and relay.attempts < route.attempts


def _find_limit_s(relay: Relay) -> float | None:
    """Return the silence after which a successor is sought; None if none may be sought now."""
    route = relay.request.route
    if not relay.status:
        return max(FIRST_BYTE_TARGET_FACTOR * route.aim_s, MIN_FIRST_BYTE_SILENCE_S)
    return STREAM_SILENCE_S if route.resumable and is_stream_begun(relay) else None


def _look_again_in(relay: Relay, delay_s: float) -> None:
    # A stream that begins meanwhile has the shorter limit.
    longest_s = STREAM_SILENCE_S if relay.request.route.resumable else delay_s
    delay_s = max(min(delay_s, longest_s), MIN_RECHECK_S)
    relay.silence_timer = hubs.get_hub().schedule_call_global(delay_s, _check_silence, relay)


def _check_silence(relay: Relay) -> None:
    """Seek a successor if the server has been silent for long; called by the event loop."""
    relay.silence_timer = None
    if relay.placement.closed or relay.caller_disconnected or not _may_seek(relay):
        return
    limit_s = _find_limit_s(relay)
    if limit_s is None:
        return
    exchange = relay.exchange
    if exchange is None or not exchange.is_waiting:
        # The request waits for a slot, for its client or for this router, not for the server.
        _look_again_in(relay, limit_s)
        return
    left_s = max(relay.heard_at_s, exchange.read_since_s) + limit_s - clocks.now_s()
    if left_s > 0.0:
        _look_again_in(relay, left_s)
    else:
        eventlet.spawn_n(_seek, relay)


def _seek(relay: Relay) -> None:
    """Seek a successor, and look at the silence again afterwards; the task of a search."""
    services = relay.placement.services
    services.silent_until_s[relay.backend_server] = clocks.now_s() + SILENT_SERVER_MEMORY_S
    search = _open_search(relay)
    pause_s = SEARCH_INTERVAL_S
    if search is not None:
        services.counters.add("silence.sought")
        _log_silence(relay, "server silent")
        relay.search = search
        try:
            pause_s = max(pause_s, _run_search(relay, search))
        except Exception:
            # A fault in a search must not end the request, which its server still runs.
            _log.exception("search fault", request_id=relay.request.request_id)
            search.cancel()
            _drop(relay, search, was_sent=True)
        finally:
            relay.search = None
            search.done.send()
            if relay.placement is not search.successor.placement:
                services.tickets.close(search.ticket.request_id)
    if not relay.placement.closed:
        _look_again_in(relay, min(pause_s, MAX_SEARCH_INTERVAL_S))


def _open_search(relay: Relay) -> Search | None:
    placement = relay.placement
    relay.searches += 1
    specification = placement.specification
    successor_id = f"{specification.request_id}/successor-{relay.searches}"
    ticket = placement.services.tickets.open(successor_id)
    if ticket is None:
        return None
    successor_placement = Placement(
        replace(specification, request_id=successor_id),
        ticket,
        placement.services,
        placement.environ,
        earlier_ids=(*placement.earlier_ids, specification.request_id),
    )
    successor = replace(
        relay,
        placement=successor_placement,
        exchange=None,
        reported_end=None,
        maybe_run=False,
        pauses=replace(relay.pauses),
        search=None,
        successor=None,
        silence_timer=None,
    )
    return Search(successor, ticket)


def _run_search(relay: Relay, search: Search) -> float:
    """Run a search to its end; returns when the next one may begin, at the earliest."""
    placement = relay.placement
    silent_servers = frozenset(_list_silent_servers(placement.services))
    placement.services.mailbox.post(
        events.SuccessorSought(
            placement.specification.request_id, search.ticket.request_id, silent_servers
        )
    )
    decision = search.ticket.wait(max(relay.request.deadline_s - clocks.now_s(), MIN_RECHECK_S))
    if isinstance(decision, actions.Refuse):
        _report_refusal(relay, decision)
        _drop(relay, search, was_sent=False)
        return decision.retry_after_s
    server = _find_server(search, decision)
    if server is None:
        _drop(relay, search, was_sent=False)
        _log_silence(relay, "successor not sent")
        return 0.0
    eventlet.spawn_n(_send, relay, search, server, relay.last_event_id or None)
    if _is_in_hand(relay, search):
        _hand_over(relay, search)
        return 0.0
    failure = None if search.is_cancelled or search.sent is None else search.sent.err()
    search.cancel()
    relay.attempts = max(relay.attempts, search.successor.attempts)
    relay.maybe_run = relay.maybe_run or search.successor.maybe_run
    _drop(relay, search, was_sent=True, failure=failure)
    return 0.0


def _drop(relay: Relay, search: Search, was_sent: bool, failure: RetryReason | None = None) -> None:
    """Report to the core that the request goes on where it is."""
    placement = relay.placement
    placement.services.mailbox.post(
        events.SuccessorDropped(
            placement.specification.request_id, search.ticket.request_id, was_sent, failure
        )
    )


def _list_silent_servers(services: RequestServices) -> list[str]:
    """Return the servers that are believed to be silent; forgets old beliefs."""
    now_s = clocks.now_s()
    silent_until_s = services.silent_until_s
    for name in [name for name, until_s in silent_until_s.items() if now_s >= until_s]:
        del silent_until_s[name]
    return list(silent_until_s)


def _find_server(search: Search, decision: object) -> BackendServer | None:
    """Return the server that a successor may be sent to now; None if it may not be sent."""
    if search.is_cancelled or not isinstance(decision, actions.Dispatch):
        return None
    if clocks.now_s() >= decision.lease_deadline_s:
        return None
    if decision.backend_server in _list_silent_servers(search.successor.placement.services):
        return None
    server = take_dispatch(search.successor, decision)
    return None if isinstance(server, Err) else server.ok_value


def _send(relay: Relay, search: Search, server: BackendServer, last_event_id: str | None) -> None:
    """Send the successor's attempt, in a task of its own, as the search stops waiting earlier."""
    sent: Result[urllib3.HTTPResponse, RetryReason] = Err(RetryReason.ANSWER_BROKEN)
    try:
        sent = send_once(search.successor, server, last_event_id)
    finally:
        search.sent = sent
        search.signals.put_nowait(None)
    if relay.successor is search and isinstance(sent, Ok):
        # It has been heard from, so that its own successor is no longer wanted.
        adopt_attempt(relay, search.successor)
        record_heard(relay)


def _is_in_hand(relay: Relay, search: Search) -> bool:
    """Wait until a successor has the request in hand, or does not take it."""
    with contextlib.suppress(Empty):
        search.signals.get(timeout=OVERLAP_S)
    if search.is_cancelled or relay.placement.closed:
        return False
    if relay.exchange is not None and relay.exchange.has_gone_on():
        return False
    if search.sent is None:
        silent_servers = _list_silent_servers(relay.placement.services)
        return search.successor.backend_server not in silent_servers
    if isinstance(search.sent, Err):
        log_failed_attempt(search.successor, search.sent.err_value)
        return False
    return search.sent.ok_value.status < MIN_FAILURE_STATUS


def _hand_over(relay: Relay, search: Search) -> None:
    """Make a successor's attempt the request's own, and cancel the run of the silent server."""
    services = relay.placement.services
    first_id = relay.placement.specification.request_id
    services.counters.add("silence.handed_over")
    _log_silence(relay, "handed over", successor=search.successor.backend_server)
    services.mailbox.post(events.RunHandedOver(first_id, search.ticket.request_id))
    first = relay.exchange
    adopt_attempt(relay, search.successor)
    relay.successor = search
    if first is not None:
        first.abort()


def _report_refusal(relay: Relay, refusal: actions.Refuse) -> None:
    relay.search_refusal = refusal.reason
    relay.placement.services.counters.add(f"silence.refused.{refusal.reason}")
    _log_silence(relay, "no successor", reason=refusal.reason)


def _log_silence(relay: Relay, event: str, **details: str) -> None:
    """Log what becomes of a silence, within the limit of such lines."""
    services = relay.placement.services
    now_s = clocks.now_s()
    if not may_log(services.silence_lines, now_s):
        return
    _log.info(
        event,
        request_id=relay.request.request_id,
        backend_server=relay.backend_server,
        software_version=relay.software_version,
        silent_ms=round((now_s - relay.heard_at_s) * 1000.0),
        attempts=relay.attempts,
        searches=relay.searches,
        last_event_id=relay.last_event_id,
        remaining_ms=round((relay.request.deadline_s - now_s) * 1000.0),
        **details,
    )
