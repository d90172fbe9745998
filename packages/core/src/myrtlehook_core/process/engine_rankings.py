"""The order in which a router asks engines to serve a request."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from myrtlehook_core.process.admission_requests import (
    AdmissionContext,
    is_usable_engine,
    may_be_served_by,
)
from myrtlehook_core.process.early_beginnings import choose_early_engines
from myrtlehook_core.process.engine_speeds import rank_weighted
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.request.requests import RequestSpecification

NO_STEPS: Mapping[str, int] = MappingProxyType({})

MAX_ZONE_LOCAL_SHARED_TOKENS = 1000
"""Longer shared parts have one home engine among all zones, shorter ones may have one in each. In
the large deployment, reading a token again costs as much as sending 30 bytes between zones, and an
answer has 2 to 9 KB."""


@dataclass(frozen=True, slots=True)
class EngineRanking:
    """The engines that a request may be sent to, in order of preference."""

    names: tuple[str, ...]
    early_engines: tuple[str, ...]
    """The engines that are first asked for an early beginning of the answer, in this order."""
    home: str
    """The home among all zones, if several engines are asked for an early beginning; else ""."""
    near_first: bool
    """Whether the first engine is the home in this router's zone, put before the home among all."""


def rank_engines(
    context: AdmissionContext,
    request: RequestSpecification,
    tier: int = 0,
    steps: Mapping[str, int] = NO_STEPS,
) -> EngineRanking:
    """Rank the pool's usable engines, beginning with the likely cache of the prompt's parts.

    Rendezvous hashing of the shared part gives each prompt a home engine among all zones.
    A prompt with short shared parts also has a home in each zone with enough engines, which
    is asked first: its parts are then read once in each zone, but its answer, which has many
    times more bytes than the parts have tokens, does not cross zones.

    :param tier: how many times over the request's workspace has requested its share.
    :param steps: by engine, its weight as a power of two where that is not 0.
    """
    servers = [
        server
        for server in context.ingress_context.configuration.backend_servers.values()
        if server.pool == request.pool and is_usable_engine(context, server.name)
        if may_be_served_by(context, request, server)
    ]
    key = f"engine/{find_affinity_key(request)}"
    names = [server.name for server in servers]
    ranked = rank_weighted(key, names, steps) if steps else rank_routers(key, names, len(names))
    home = ranked[0] if ranked else ""
    near = {
        server.name for server in servers if server.availability_zone == context.availability_zone
    }
    options = context.ingress_context.options
    shared_tokens = sum(part.tokens for part in request.prompt_parts[:-1])
    near_first = (
        shared_tokens <= MAX_ZONE_LOCAL_SHARED_TOKENS and len(near) >= options.fewest_near_engines
    )
    if near_first:
        near_home = next(name for name in ranked if name in near)
        ranked = (near_home, *(name for name in ranked if name != near_home))
    if not options.early_engines_drawn or tier or not ranked:
        return EngineRanking(ranked, ranked[:1] if near_first else (), "", near_first)
    homes = tuple(dict.fromkeys((ranked[0], home)))
    early_engines = choose_early_engines(
        homes, ranked, options.early_engines_drawn, context.ingress_context.draw
    )
    return EngineRanking(ranked, early_engines, home, near_first)


def find_affinity_key(request: RequestSpecification) -> str:
    """Return the key by which requests with the same shared part get the same home engine."""
    parts = request.prompt_parts
    if len(parts) >= 2:
        return parts[-2].part_id
    return parts[0].part_id if parts else request.request_id
