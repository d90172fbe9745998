"""One attempt to run a routed request on one backend server."""

import urllib3
from result import Err, Ok, Result

from myrtlehook_core import BackendServer, RetryReason
from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.connection.server_connections import Exchange, OutgoingRequest
from myrtlehook_router.process import clocks
from myrtlehook_router.request.headers import (
    encode_header_value,
    find_header,
    list_router_only_headers,
    select_end_to_end_headers,
)
from myrtlehook_router.request.relays import (
    SERVER_REPLACED_STATUS,
    Relay,
    begin_attempt,
    check_server_after_failure,
    record_heard,
    record_response_head,
    report_refused_connection,
)
from myrtlehook_router.request.server_notices import find_retry_reason

READ_BYTES = 64 * 1024
MAX_DISCARDED_READS = 16
"""A response that is not forwarded is read to its end, so that its connection can be reused, but
in at most this many reads."""


def send_once(
    relay: Relay, server: BackendServer, last_event_id: str | None
) -> Result[urllib3.HTTPResponse, RetryReason]:
    """Send the request once and check that the response's head belongs to this request.

    The error is the reason; ``relay.maybe_run`` is set where the request may have run.
    """
    begin_attempt(relay)
    relay.software_version = server.software_version
    exchange = Exchange(relay.connection_pool, _make_outgoing_request(relay, server, last_event_id))
    relay.exchange = exchange
    if relay.caller_disconnected:
        return Err(RetryReason.CONNECT_FAILED)
    sent = exchange.send(relay.request.deadline_s, fresh_connection=False)
    if isinstance(sent, Err):
        if sent.err_value is SendFailure.REFUSED:
            report_refused_connection(relay)
        if sent.err_value in (SendFailure.NOT_SENT, SendFailure.REFUSED):
            return Err(RetryReason.CONNECT_FAILED)
        relay.maybe_run = True
        if not exchange.was_aborted:
            check_server_after_failure(relay, sent.err_value)
        return Err(RetryReason.ANSWER_BROKEN)
    record_heard(relay)
    response = sent.ok_value
    if find_header(response.headers.items(), relay.names.request_id) != relay.request.request_id:
        return _reject_answer(relay, exchange, "id")
    record_response_head(relay, response)
    if relay.names.not_run in response.headers or response.status == SERVER_REPLACED_STATUS:
        _drain_answer(exchange, relay.request.deadline_s)
        return Err(_find_not_run_reason(relay))
    if response.status < 300 and relay.names.seal not in response.headers:
        return _reject_answer(relay, exchange, "seal")
    relay.first_byte_at_s = clocks.now_s()
    return Ok(response)


def _find_not_run_reason(relay: Relay) -> RetryReason:
    """Return the retry reason for a request that the server did not run."""
    if relay.status == SERVER_REPLACED_STATUS:
        return RetryReason.SERVER_REPLACED
    return find_retry_reason(relay.notice)


def _reject_answer(relay: Relay, exchange: Exchange, wrong_part: str) -> Err[RetryReason]:
    """Abort an exchange whose response does not belong to this request.

    :param wrong_part: what was missing or wrong in the response's head; ends the counter's name.
    """
    relay.placement.services.counters.add(f"backend.wrong_{wrong_part}")
    exchange.abort()
    relay.maybe_run = True
    return Err(RetryReason.ANSWER_BROKEN)


def _drain_answer(exchange: Exchange, deadline_s: float) -> None:
    for _ in range(MAX_DISCARDED_READS):
        piece = exchange.read_some(READ_BYTES, deadline_s)
        if isinstance(piece, Err) or not piece.ok_value:
            return
    exchange.abort()


def _make_outgoing_request(
    relay: Relay, server: BackendServer, last_event_id: str | None
) -> OutgoingRequest:
    names = relay.names
    replaced = {"authorization", names.deadline_ms.lower(), names.last_event_id.lower()}
    headers = select_end_to_end_headers(
        relay.request.headers, list_router_only_headers(names) | replaced
    )
    remaining_ms = int((relay.request.deadline_s - clocks.now_s()) * 1000.0)
    headers.append((names.deadline_ms, str(max(remaining_ms, 1))))
    if server.instance:
        headers.append((names.expected_instance, server.instance))
    if relay.request.authenticated:
        headers.append((names.workspace, encode_header_value(relay.request.workspace.name)))
    if last_event_id is not None:
        headers.append((names.last_event_id, last_event_id))
    source = relay.placement.services.configuration().backend_servers.get(relay.memory_source)
    if source is not None:
        headers.append((names.memory_fetch, source.address))
    return OutgoingRequest(
        method=relay.request.method,
        address=server.address,
        target=relay.request.target,
        headers=tuple(headers),
        body=relay.body,
        key=relay.request.request_id,
    )
