"""Handlers that record, look up and hand over the origins of streams; see ``stream_origins``."""

from dataclasses import replace
from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import Refuse, StreamOriginFound
from myrtlehook_core.process.ended_servers import UNKNOWN_VERSION, is_version_confirmed
from myrtlehook_core.process.hash_rings import find_keepers
from myrtlehook_core.process.request_placing import place_request
from myrtlehook_core.process.share_standings import count_refused_request
from myrtlehook_core.process.stream_origin_messages import (
    StreamOriginNotice,
    StreamOriginQuery,
    StreamOriginUnknown,
)
from myrtlehook_core.process.stream_origins import (
    ASKED_AT_ONCE,
    KEEPER_COUNT,
    LOOKUP_TIMEOUT_S,
    MAX_ASKED,
    MAX_LOOKUPS,
    RESEND_INTERVAL_S,
    UNKNOWN_RETRY_AFTER_S,
    OriginLookup,
    ResumedRequest,
    compute_expiry_s,
    drop_expired_origins,
    find_origin,
    record_origin,
    update_ring,
)
from myrtlehook_core.request.outcomes import RefusalReason
from myrtlehook_core.request.requests import RequestSpecification

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore


def on_stream_begun(core: "RouterCore", event: events.StreamBegun, now_s: float) -> None:
    """Bind a running stream to the version that wrote its first event, and tell its keepers."""
    running = core.admissions.open.get(event.request_id) or core.ingress.running.get(
        event.request_id
    )
    if running is None:
        return
    version = event.software_version
    if version and not is_version_confirmed(core.ended_servers, running.backend_server, now_s):
        version = UNKNOWN_VERSION
    if running.request.software_version is None:
        running.request = replace(running.request, software_version=version)
    request = running.request
    if not request.stream_key or not version:
        return
    expires_at_s = compute_expiry_s(request.deadline_s, now_s)
    record_origin(core.stream_origins, request.stream_key, version, expires_at_s)
    core.stream_origins.own[request.stream_key] = ()
    _tell_keepers(core, request.stream_key, now_s)


def needs_origin(core: "RouterCore", request: RequestSpecification) -> bool:
    """Return whether a request resumes a stream whose version has to be found first.

    Where no server of the pool states a version, there is nothing to keep to.
    """
    if not request.resumes or request.software_version is not None:
        return False
    servers = core.configuration.backend_servers.values()
    return any(server.software_version for server in servers if server.pool == request.pool)


def look_up_origin(core: "RouterCore", resumed: ResumedRequest, now_s: float) -> None:
    """Find the version that began a request's stream, then go on with the request or refuse it."""
    request = resumed.request
    if not request.stream_key:
        _use_single_version(core, resumed, now_s)
        return
    origins = core.stream_origins
    origin = find_origin(origins, request.stream_key, now_s)
    if origin is not None:
        _go_on(core, resumed, origin.software_version, core.identity.router_id, now_s)
        return
    if len(origins.lookups) >= MAX_LOOKUPS:
        _refuse(core, resumed)
        return
    lookup = origins.lookups.setdefault(request.stream_key, OriginLookup(now_s + LOOKUP_TIMEOUT_S))
    lookup.waiting.append(resumed)
    if not lookup.asked:
        _ask_further_routers(core, request.stream_key, lookup, now_s)


def abandon_lookup(core: "RouterCore", request_id: str) -> bool:
    """Forget a request whose client has disconnected; return False if it waits for no origin."""
    for lookup in core.stream_origins.lookups.values():
        for resumed in lookup.waiting:
            if resumed.request.request_id == request_id:
                lookup.waiting.remove(resumed)
                return True
    return False


def handle_origin_notice(
    core: "RouterCore", sender: str, message: StreamOriginNotice, now_s: float
) -> None:
    """Record the origin of a stream, and go on with the requests that wait for it."""
    origins = core.stream_origins
    expires_at_s = compute_expiry_s(now_s + message.left_ms / 1000.0, now_s)
    origin = record_origin(origins, message.stream_key, message.software_version, expires_at_s)
    lookup = origins.lookups.pop(message.stream_key, None)
    for resumed in lookup.waiting if lookup is not None else ():
        _go_on(core, resumed, origin.software_version, sender, now_s)


def handle_origin_query(
    core: "RouterCore", sender: str, message: StreamOriginQuery, now_s: float
) -> None:
    """Answer a router that looks up the origin of a stream."""
    origin = find_origin(core.stream_origins, message.stream_key, now_s)
    if origin is None:
        core.outbox.add(sender, StreamOriginUnknown(message.stream_key))
        return
    left_ms = round((origin.expires_at_s - now_s) * 1000.0)
    notice = StreamOriginNotice(message.stream_key, origin.software_version, left_ms)
    core.outbox.add(sender, notice)


def handle_origin_unknown(
    core: "RouterCore", sender: str, message: StreamOriginUnknown, now_s: float
) -> None:
    """Ask further routers once those asked do not know a stream; refuse it if none is left."""
    lookup = core.stream_origins.lookups.get(message.stream_key)
    if lookup is None:
        return
    lookup.unknown_to.add(sender)
    if lookup.unknown_to.issuperset(lookup.asked):
        _ask_further_routers(core, message.stream_key, lookup, now_s)


def tick_lookups(core: "RouterCore", now_s: float) -> None:
    """Ask again for origins that were not answered, and give up lookups that take too long."""
    lookups = core.stream_origins.lookups
    for stream_key, lookup in list(lookups.items()):
        if now_s >= lookup.deadline_s or not lookup.waiting:
            _give_up(core, stream_key)
        elif now_s >= lookup.next_send_s:
            _ask_further_routers(core, stream_key, lookup, now_s)


def hand_over_origins(core: "RouterCore", now_s: float) -> None:
    """Tell routers that have become keepers the origins of the streams forwarded here."""
    drop_expired_origins(core.stream_origins, now_s)
    for stream_key in core.stream_origins.own:
        _tell_keepers(core, stream_key, now_s)


def resend_origins(core: "RouterCore", router_id: str, now_s: float) -> None:
    """Tell a keeper that has restarted unnoticed the origins of the streams forwarded here."""
    own = core.stream_origins.own
    for stream_key, keepers in own.items():
        own[stream_key] = tuple(keeper for keeper in keepers if keeper != router_id)
        _tell_keepers(core, stream_key, now_s)


def _tell_keepers(core: "RouterCore", stream_key: bytes, now_s: float) -> None:
    """Send the origin of a stream to those of its keepers that were not told yet."""
    origins = core.stream_origins
    origin = find_origin(origins, stream_key, now_s)
    if origin is None:
        return
    ring = update_ring(origins, core.placement.eligible)
    keepers = find_keepers(ring, stream_key, KEEPER_COUNT, core.identity.router_id)
    left_ms = round((origin.expires_at_s - now_s) * 1000.0)
    for keeper in keepers:
        if keeper not in origins.own[stream_key]:
            core.outbox.add(
                keeper, StreamOriginNotice(stream_key, origin.software_version, left_ms)
            )
    origins.own[stream_key] = keepers


def _ask_further_routers(
    core: "RouterCore", stream_key: bytes, lookup: OriginLookup, now_s: float
) -> None:
    """Ask the next routers along the ring, and again those that have not answered."""
    ring = update_ring(core.stream_origins, core.placement.eligible)
    ranked = find_keepers(ring, stream_key, MAX_ASKED, core.identity.router_id)
    further = [router for router in ranked if router not in lookup.asked][:ASKED_AT_ONCE]
    lookup.asked += further
    unanswered = [router for router in lookup.asked if router not in lookup.unknown_to]
    if not unanswered:
        _give_up(core, stream_key)
        return
    lookup.next_send_s = now_s + RESEND_INTERVAL_S
    for router_id in unanswered:
        core.outbox.add(router_id, StreamOriginQuery(stream_key))


def _use_single_version(core: "RouterCore", resumed: ResumedRequest, now_s: float) -> None:
    """Go on with a request that does not name its stream, if servers have a single version."""
    servers = core.configuration.backend_servers.values()
    pool = resumed.request.pool
    versions = {server.software_version for server in servers if server.pool == pool}
    if len(versions) == 1:
        _go_on(core, resumed, versions.pop(), core.identity.router_id, now_s)
    else:
        _refuse(core, resumed)


def _go_on(
    core: "RouterCore", resumed: ResumedRequest, software_version: str, source: str, now_s: float
) -> None:
    request = replace(resumed.request, software_version=software_version)
    core.actions.add(StreamOriginFound(request.request_id, software_version, source))
    place_request(core, request, resumed.standing, now_s)


def _give_up(core: "RouterCore", stream_key: bytes) -> None:
    lookup = core.stream_origins.lookups.pop(stream_key)
    for resumed in lookup.waiting:
        _refuse(core, resumed, tuple(lookup.asked), len(lookup.unknown_to))


def _refuse(
    core: "RouterCore", resumed: ResumedRequest, asked: tuple[str, ...] = (), answers: int = 0
) -> None:
    """Refuse a request, since its stream might go on at another version than it began."""
    request_id = resumed.request.request_id
    if resumed.standing is not None:
        arrived_at_s = resumed.request.arrived_at_s
        count_refused_request(core.shares, resumed.request, resumed.standing.tier, arrived_at_s)
    core.actions.add(StreamOriginFound(request_id, None, "", asked, answers))
    core.actions.add(Refuse(request_id, RefusalReason.STREAM_ORIGIN_UNKNOWN, UNKNOWN_RETRY_AFTER_S))
