"""At which software version each stream began, so that it goes on at that version only.

What backend servers of two software versions write does not fit together. A stream's client may
resume it at any router, often because the one where it began is gone. So the router that forwards
the first event of an attempt records the server's version, and sends it to two keepers, which
follow the stream's key on a hash ring. A router at which a client resumes a stream that it does
not know asks the keepers, and then further routers along the ring, since views of the fleet may
differ. If none of them knows the stream, it is refused: neither its version nor that of the
servers that are listed at present can be concluded from anything else.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from myrtlehook_core.process.hash_rings import HashRing, build_ring
from myrtlehook_core.process.share_standings import ShareStanding
from myrtlehook_core.request.requests import RequestSpecification

KEEPER_COUNT = 2
"""The number of routers, besides the one that forwards a stream, that keep its origin: two, because
one may be lost together with that router."""

ASKED_AT_ONCE = KEEPER_COUNT + 1
"""The number of routers asked in one go. The router that forwarded the stream passes over itself
when it chooses keepers, so one more router than there are keepers is asked."""

MAX_ASKED = 2 * ASKED_AT_ONCE
"""The greatest number of routers asked about one stream."""

RESEND_INTERVAL_S = 0.08
"""After this long, routers that have not answered are asked again, together with further ones."""

LOOKUP_TIMEOUT_S = 0.5
"""After this long without an answer the request is refused. Its client gives up on a silent attempt
after some seconds, and may find a router that is in touch with the keepers."""

UNKNOWN_RETRY_AFTER_S = 0.5
"""When a client may resume a stream again whose origin was not found in time."""

MIN_ORIGIN_MEMORY_S = 30.0
"""An origin is kept at least this long, since the client's deadline may be later than that of the
attempt, and may start from a new attempt's arrival."""

MAX_ORIGIN_MEMORY_S = 600.0
"""The longest that an origin is kept, however late its stream's deadline is."""

MAX_ORIGINS = 20_000
"""The greatest number of origins that a router keeps; the least recently recorded are evicted."""

MAX_LOOKUPS = 1_000
"""The greatest number of streams whose origins a router looks up at a time."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software version that began a stream."""

    software_version: str
    expires_at_s: float


@dataclass(frozen=True, slots=True)
class ResumedRequest:
    """A request that waits for the origin of its stream."""

    request: RequestSpecification
    standing: ShareStanding | None


@dataclass(slots=True)
class OriginLookup:
    """The search for the origin of one stream."""

    deadline_s: float
    next_send_s: float = -math.inf
    waiting: list[ResumedRequest] = field(default_factory=list)
    asked: list[str] = field(default_factory=list)
    unknown_to: set[str] = field(default_factory=set)
    """The asked routers that answered that they do not know the stream."""


@dataclass(slots=True)
class StreamOrigins:
    """What one router knows of the origins of streams, by stream key."""

    known: OrderedDict[bytes, StreamOrigin] = field(default_factory=OrderedDict)
    own: OrderedDict[bytes, tuple[str, ...]] = field(default_factory=OrderedDict)
    """The streams that this router forwards or has forwarded, and the keepers it has told."""
    lookups: dict[bytes, OriginLookup] = field(default_factory=dict)
    ring: HashRing = field(default_factory=HashRing)


def record_origin(
    origins: StreamOrigins, stream_key: bytes, software_version: str, expires_at_s: float
) -> StreamOrigin:
    """Record the version at which a stream began, and return what is known of it.

    The version that was recorded first stays: all later attempts went on at that one.
    """
    known = origins.known.get(stream_key)
    if known is not None:
        software_version = known.software_version
        expires_at_s = max(expires_at_s, known.expires_at_s)
    origin = StreamOrigin(software_version, expires_at_s)
    origins.known[stream_key] = origin
    origins.known.move_to_end(stream_key)
    while len(origins.known) > MAX_ORIGINS:
        evicted, _ = origins.known.popitem(last=False)
        origins.own.pop(evicted, None)
    return origin


def compute_expiry_s(deadline_s: float, now_s: float) -> float:
    """Return until when the origin of a stream with this deadline is kept."""
    wanted_s = max(deadline_s - now_s, MIN_ORIGIN_MEMORY_S)
    return now_s + min(wanted_s, MAX_ORIGIN_MEMORY_S)


def find_origin(origins: StreamOrigins, stream_key: bytes, now_s: float) -> StreamOrigin | None:
    """Return the known origin of a stream, or None."""
    origin = origins.known.get(stream_key)
    return None if origin is None or now_s >= origin.expires_at_s else origin


def update_ring(origins: StreamOrigins, routers: tuple[str, ...]) -> HashRing:
    """Return the hash ring of the routers that are considered alive."""
    if origins.ring.routers != routers:
        origins.ring = build_ring(routers)
    return origins.ring


def drop_expired_origins(origins: StreamOrigins, now_s: float) -> None:
    """Drop origins of streams that cannot be resumed any more, as far as they come first.

    Those that are kept for longer hold up the later ones, which do not count as known any more.
    """
    while origins.known:
        key, origin = next(iter(origins.known.items()))
        if now_s < origin.expires_at_s:
            return
        del origins.known[key]
        origins.own.pop(key, None)
