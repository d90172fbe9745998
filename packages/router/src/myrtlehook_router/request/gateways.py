"""The WSGI application of the routed interface, which relays requests to backend servers."""

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http.client import responses
from typing import Any

from result import Err

from myrtlehook_core import (
    RefusalReason,
    RequestSpecification,
    ShareStanding,
    choose_pool,
    count_arrival,
    find_share_tokens,
    fingerprint_request,
    intersect_regions,
    make_part_digests,
    make_stream_key,
    schedule_retry,
    should_shed,
)
from myrtlehook_router.connection.connection_pools import ConnectionPool
from myrtlehook_router.connection.heads import BREAK_OFF_KEY
from myrtlehook_router.connection.watches import CallerWatch
from myrtlehook_router.process import clocks
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.answering import answer_fault, run_relay
from myrtlehook_router.request.answers import Answer, Refusal
from myrtlehook_router.request.callers import get_caller_socket, read_request_body
from myrtlehook_router.request.headers import HeaderNames, find_header
from myrtlehook_router.request.placements import REFUSAL_MESSAGES, queue_request, scope_id
from myrtlehook_router.request.prompts import read_prompt
from myrtlehook_router.request.refusal_sums import RefusedKind, count_refusal
from myrtlehook_router.request.refusals import make_routed_refusal
from myrtlehook_router.request.relays import Relay, forget_body, handle_caller_disconnect
from myrtlehook_router.request.request_tallies import (
    Figure,
    TallyKey,
    tally,
    tally_arrival,
    tally_refusal,
)
from myrtlehook_router.request.routed import RoutedRequest, read_request
from myrtlehook_router.request.services import RequestServices

MIN_WRITE_CHUNK_KEY = "eventlet.minimum_write_chunk_size"
"""The key in the WSGI environment of the size up to which the server buffers small writes.

It is set to 0, so that each event of a stream is written at once."""

DRAINING_REFUSAL = Refusal(RefusalReason.DRAINING, REFUSAL_MESSAGES[RefusalReason.DRAINING], 0.0)
"""Allows a retry at once, since a client's next connection goes to another router."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_log = get_logger("callers")


@dataclass(frozen=True, slots=True)
class GatewayServices:
    """Dependencies of the handling of routed requests, shared by all of them."""

    requests: RequestServices
    names: HeaderNames
    connection_pool: ConnectionPool


class WatchedBody:
    """The body of a response; the client's connection is watched until it is closed."""

    def __init__(
        self,
        body: Iterable[bytes],
        watch: CallerWatch,
        break_off: Callable[[], None],
        on_close: Callable[[], None],
    ) -> None:
        """Begin to forward a body.

        :param break_off: called if the body breaks off.
        :param on_close: called at its end.
        """
        self._on_close = on_close
        self._body = body
        self._watch = watch
        self._break_off = break_off

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._body
        except Exception:
            self._break_off()
            raise

    def close(self) -> None:
        """Stop the watch and close the body, which releases the request's resources."""
        self._watch.stop()
        close = getattr(self._body, "close", None)
        if close is not None:
            close()
        self._on_close()


def make_gateway(services: GatewayServices) -> Callable[..., Iterable[bytes]]:
    """Make the WSGI application."""

    def application(environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        environ[MIN_WRITE_CHUNK_KEY] = 0
        answer = _answer_or_report_fault(services, environ)
        headers = list(answer.headers)
        if isinstance(answer.body, list):
            length = sum(len(piece) for piece in answer.body)
            headers.append(("Content-Length", str(length)))
        if services.requests.is_draining():
            headers.append(("Connection", "close"))
        start_response(f"{answer.status} {responses.get(answer.status, 'Status')}", headers)
        return answer.body

    return application


def _answer_or_report_fault(services: GatewayServices, environ: dict[str, Any]) -> Answer:
    try:
        return _answer(services, environ)
    except Exception:
        # The request has not been sent to a backend server: faults in a relay are handled
        # in `_run_request`. So it is certain that the request was not run.
        request_id = find_header(environ["headers_raw"], services.names.request_id) or ""
        services.requests.counters.add("request.fault")
        _log.exception("request fault", request_id=request_id)
        reason = RefusalReason.ROUTER_FAULT
        return make_routed_refusal(
            services.names, request_id, Refusal(reason, REFUSAL_MESSAGES[reason])
        )


def _answer(services: GatewayServices, environ: dict[str, Any]) -> Answer:
    parsed = read_request(environ, services.requests.configuration(), services.names)
    if isinstance(parsed, Err):
        return _refuse(services, environ, parsed.err_value)
    request = parsed.ok_value
    limits = services.requests.configuration().limits
    body = read_request_body(environ, limits.body_bytes, request.workspace.name, request.deadline_s)
    if isinstance(body, Err):
        return _refuse(services, environ, body.err_value, request)
    if services.requests.is_refusing():
        return _refuse(services, environ, DRAINING_REFUSAL, request)
    return _run_request(services, request, body.ok_value)


def _run_request(
    services: GatewayServices, request: RoutedRequest, body: bytes | bytearray
) -> Answer:
    specification = specify_request(services, request, body)
    pool = services.requests.configuration().pools.get(specification.pool)
    # Requests to model engines are counted for shares and may be shed: most of the processor time
    # is spent on relaying their streams.
    is_model_pool = pool is not None and pool.engine_capacity is not None
    standing = (
        count_arrival(services.requests.shares, specification, clocks.now_s())
        if is_model_pool
        else None
    )
    if standing is not None and _should_shed_request(services, specification, standing):
        refusal = _make_overload_refusal(services, request)
        return _refuse(services, request.environ, refusal, request, specification)
    queued = queue_request(services.requests, specification, request.environ, standing)
    if isinstance(queued, Err):
        return _refuse(services, request.environ, queued.err_value, request, specification)
    relay = Relay(
        request=request,
        placement=queued.ok_value,
        body=body,
        names=services.names,
        connection_pool=services.connection_pool,
        prompt_tokens=specification.prompt_tokens,
    )
    if pool is not None and pool.engine_capacity is not None:
        relay.event_tokens = pool.engine_capacity.event_tokens
        relay.pauses.target_s = request.route.pause_target_s
    connection = get_caller_socket(request.environ)
    watch = CallerWatch(connection, lambda: handle_caller_disconnect(relay))
    try:
        answer = run_relay(relay)
    except Exception:
        # A fault in one request must not stop the router.
        services.requests.counters.add("request.fault")
        _log.exception("request fault", request_id=request.request_id)
        answer = answer_fault(relay)
    if isinstance(answer.body, list):
        watch.stop()
        forget_body(relay)
        return answer
    watched = WatchedBody(
        answer.body, watch, request.environ[BREAK_OFF_KEY], lambda: forget_body(relay)
    )
    return Answer(answer.status, watched, answer.headers)


def _should_shed_request(
    services: GatewayServices, specification: RequestSpecification, standing: ShareStanding
) -> bool:
    """Return whether to shed a request because processor time is short."""
    shares = services.requests.shares
    return should_shed(shares, services.requests.shedding, specification, standing, clocks.now_s())


def _make_overload_refusal(services: GatewayServices, request: RoutedRequest) -> Refusal:
    """Make the refusal of a request because this router and its neighbours are overloaded."""
    now_s = clocks.now_s()
    shedding = services.requests.shedding
    wait_s = schedule_retry(shedding, now_s, request.deadline_s - now_s, random.random)
    reason = RefusalReason.ROUTER_OVERLOADED
    return Refusal(reason, REFUSAL_MESSAGES[reason], wait_s)


def specify_request(
    services: GatewayServices, request: RoutedRequest, body: bytes | bytearray
) -> RequestSpecification:
    """Make the specification of a request for the core."""
    route = request.route
    own_priority = request.workspace.priority
    prompt = read_prompt(request.headers, services.names)
    resumes = find_header(request.headers, services.names.resumes)
    # All attempts at a stream are for the pool that was chosen for the one that began it.
    pool = choose_pool(route, resumes or request.request_id)
    return RequestSpecification(
        request_id=scope_id(request.workspace.name, request.request_id),
        workspace=request.workspace.name,
        pool=pool,
        body_bytes=len(body),
        arrived_at_s=request.arrived_at_s,
        deadline_s=request.deadline_s,
        repeatable=route.repeatable,
        attempts=route.attempts,
        prompt_tokens=prompt.tokens,
        output_tokens=prompt.output_tokens,
        prompt_parts=prompt.parts,
        aim_deadline_s=request.arrived_at_s + route.aim_s,
        priority=route.priority if own_priority is None else own_priority,
        route=route.name,
        pause_target_s=route.pause_target_s,
        fingerprint=fingerprint_request(
            request.workspace.name, request.method, request.target, body
        ),
        part_digests=make_part_digests(pool, prompt.parts),
        allowed_regions=intersect_regions(
            (route.allowed_regions, request.workspace.allowed_regions)
        ),
        stream_key=_find_stream_key(services, request, pool, resumes),
        resumes=route.resumable and _resumes_stream(services, request, resumes),
    )


def _resumes_stream(services: GatewayServices, request: RoutedRequest, resumes: str | None) -> bool:
    """Return whether the client has events of the stream from an earlier attempt."""
    return bool(resumes or find_header(request.headers, services.names.last_event_id))


def _find_stream_key(
    services: GatewayServices, request: RoutedRequest, pool: str, resumes: str | None
) -> bytes:
    """Return the key of a stream that may be resumed; empty if its first attempt is not known."""
    is_named = bool(resumes) or not _resumes_stream(services, request, resumes)
    if not request.route.resumable or not is_named:
        return b""
    return make_stream_key(request.workspace.name, pool, resumes or request.request_id)


def _refuse(
    services: GatewayServices,
    environ: dict[str, Any],
    refusal: Refusal,
    request: RoutedRequest | None = None,
    specification: RequestSpecification | None = None,
) -> Answer:
    """Refuse a request that was not submitted to the core.

    :param request: None if its headers were refused.
    :param specification: None if it was refused before its specification was made.
    """
    request_id = find_header(environ["headers_raw"], services.names.request_id) or ""
    services.requests.counters.add(f"refusal.{refusal.reason}")
    _tally_refusal(services, request, specification)
    route = request.route.name if request else ""
    workspace = request.workspace.name if request else ""
    kind = RefusedKind(refusal.reason, route, workspace)
    prompt_tokens = specification.prompt_tokens if specification else 0
    share_tokens = find_share_tokens(specification) if specification else 0
    sums = services.requests.refusal_sums
    if count_refusal(sums, kind, request_id, prompt_tokens, share_tokens):
        _log.info(
            "request refused",
            request_id=request_id,
            reason=refusal.reason,
            route=route or None,
            workspace=workspace or None,
            prompt_tokens=prompt_tokens,
            share_tokens=share_tokens,
            configuration=services.requests.configuration().version.number,
        )
    return make_routed_refusal(services.names, request_id, refusal)


def _tally_refusal(
    services: GatewayServices,
    request: RoutedRequest | None,
    specification: RequestSpecification | None,
) -> None:
    """Count a request that was not submitted to the core."""
    tallies = services.requests.tallies
    now_s = clocks.now_s()
    if specification is not None:
        tally_arrival(tallies, specification, now_s)
        tally_refusal(tallies, specification, now_s)
    elif request is not None:
        key = TallyKey(request.workspace.name, request.route.name)
        tally(tallies, key, Figure.ASKED, now_s)
        tally(tallies, key, Figure.REFUSED, now_s)
