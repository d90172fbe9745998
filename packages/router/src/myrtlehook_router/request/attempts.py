"""One attempt of a routed request at one backend server."""

import urllib3
from result import Err, Ok, Result

from myrtlehook_core import BackendServer, RetryReason
from myrtlehook_router.connection.backends import SendFailure
from myrtlehook_router.connection.server_connections import Exchange, OutgoingRequest
from myrtlehook_router.process import clocks
from myrtlehook_router.request.headers import find_header, keep_end_to_end, router_only
from myrtlehook_router.request.relays import (
    REPLACED_STATUS,
    Relay,
    begin_attempt,
    note_broken,
    note_head,
)
from myrtlehook_router.request.server_notices import find_retry_reason

READ_BYTES = 64 * 1024
DISCARDED_PIECES = 16
"""An answer that is not passed on is read to its end up to so many pieces."""

FIRST_BYTE_AIMS = 3.0
"""A request that may be repeated is tried elsewhere after so many aims of silence,"""

FIRST_BYTE_S = 0.5
"""but not before this."""


def send_once(
    relay: Relay, server: BackendServer, last_event_id: str | None
) -> Result[urllib3.HTTPResponse, RetryReason]:
    """Send the request once and check that the answer's head belongs to it."""
    begin_attempt(relay)
    exchange = Exchange(relay.clients, _outgoing(relay, server, last_event_id))
    relay.exchange = exchange
    if relay.caller_left:
        return Err(RetryReason.CONNECT_FAILED)
    route = relay.request.route
    patience_s = max(FIRST_BYTE_AIMS * route.aim_s, FIRST_BYTE_S)
    sent = exchange.send(read_deadline_s(relay, patience_s), fresh_connection=False)
    if isinstance(sent, Err):
        if sent.err_value is SendFailure.NOT_SENT:
            return Err(RetryReason.CONNECT_FAILED)
        relay.maybe_run = True
        note_broken(relay, sent.err_value)
        return Err(RetryReason.ANSWER_BROKEN)
    response = sent.ok_value
    if find_header(response.headers.items(), relay.names.request_id) != relay.request.request_id:
        return _distrust(relay, exchange, "id")
    note_head(relay, response)
    if relay.names.not_run in response.headers or response.status == REPLACED_STATUS:
        _read_to_end(exchange, relay.request.deadline_s)
        return Err(_name_refusal(relay))
    if response.status < 300 and relay.names.seal not in response.headers:
        return _distrust(relay, exchange, "seal")
    relay.first_byte_at_s = clocks.now_s()
    return Ok(response)


def _name_refusal(relay: Relay) -> RetryReason:
    """Return why a server did not run the request."""
    if relay.status == REPLACED_STATUS:
        return RetryReason.SERVER_REPLACED
    return find_retry_reason(relay.notice)


def read_deadline_s(relay: Relay, patience_s: float) -> float:
    """Return until when a server may be silent: less while another one may be asked."""
    route = relay.request.route
    if route.repeatable and relay.attempts < route.attempts:
        return min(relay.request.deadline_s, clocks.now_s() + patience_s)
    return relay.request.deadline_s


def _distrust(relay: Relay, exchange: Exchange, part: str) -> Err[RetryReason]:
    """Drop an answer that is not the one to this request."""
    relay.place.services.counters.add(f"backend.wrong_{part}")
    exchange.abort()
    relay.maybe_run = True
    return Err(RetryReason.ANSWER_BROKEN)


def _read_to_end(exchange: Exchange, deadline_s: float) -> None:
    for _ in range(DISCARDED_PIECES):
        piece = exchange.read_some(READ_BYTES, deadline_s)
        if isinstance(piece, Err) or not piece.ok_value:
            return
    exchange.abort()


def _outgoing(relay: Relay, server: BackendServer, last_event_id: str | None) -> OutgoingRequest:
    names = relay.names
    replaced = {"authorization", names.deadline_ms.lower(), names.last_event_id.lower()}
    headers = keep_end_to_end(relay.request.headers, router_only(names) | replaced)
    remaining_ms = int((relay.request.deadline_s - clocks.now_s()) * 1000.0)
    headers.append((names.deadline_ms, str(max(remaining_ms, 1))))
    if server.instance:
        headers.append((names.expected_instance, server.instance))
    if relay.request.authenticated:
        headers.append((names.workspace, relay.request.workspace.name))
    if last_event_id is not None:
        headers.append((names.last_event_id, last_event_id))
    source = relay.place.services.configuration().backend_servers.get(relay.memory_source)
    if source is not None:
        headers.append((names.memory_fetch, source.address))
    return OutgoingRequest(
        method=relay.request.method,
        address=server.address,
        target=relay.request.target,
        headers=tuple(headers),
        body=relay.body,
    )
