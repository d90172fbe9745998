"""Regions: where a request may be served, as its route and its workspace allow.

A router of a region that is not allowed refuses the request.
Any other router sends it only to backend servers of allowed regions, and no engine fetches its
prompt's memory from elsewhere. A server whose region is not known is in no allowed region.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from myrtlehook_core.request.outcomes import RefusalReason
from myrtlehook_core.request.requests import RequestSpecification
from myrtlehook_core.version.configurations import BackendServer, Configuration


@dataclass(frozen=True, slots=True)
class Regions:
    """The region of this router, and that of each availability zone."""

    own: str = ""
    by_zone: Mapping[str, str] = field(default_factory=dict)


NO_REGIONS = Regions()
"""For a router whose settings name no regions."""


def intersect_regions(limits: Iterable[frozenset[str] | None]) -> frozenset[str] | None:
    """Return the regions that all limits allow; None if there is no limit."""
    allowed: frozenset[str] | None = None
    for limit in limits:
        if limit is not None:
            allowed = limit if allowed is None else allowed & limit
    return allowed


def unite_regions(limits: Iterable[frozenset[str] | None]) -> frozenset[str] | None:
    """Return the regions that at least one limit allows; None if one allows all, or none is given.

    Stops at the first request without a limit.
    """
    allowed: frozenset[str] = frozenset()
    for limit in limits:
        if limit is None:
            return None
        if not limit <= allowed:
            allowed |= limit
    return allowed or None


def is_region_allowed(
    regions: Regions, request: RequestSpecification, server: BackendServer
) -> bool:
    """Return whether a backend server is in a region in which the request may be served."""
    allowed = request.allowed_regions
    return allowed is None or find_region(regions, server) in allowed


def find_region(regions: Regions, server: BackendServer) -> str:
    """Return the region of a backend server; empty if it is not known."""
    return regions.by_zone.get(server.availability_zone, "")


def find_region_refusal(
    regions: Regions, configuration: Configuration, request: RequestSpecification
) -> RefusalReason | None:
    """Return why a request may not be served from here, or None if it may."""
    if request.allowed_regions is None:
        return None
    if not request.allowed_regions:
        return RefusalReason.NO_REGION_ALLOWED
    if regions.own not in request.allowed_regions:
        return RefusalReason.REGION_NOT_ALLOWED
    servers = configuration.backend_servers.values()
    if any(
        server.pool == request.pool and is_region_allowed(regions, request, server)
        for server in servers
    ):
        return None
    return RefusalReason.NO_SERVER_IN_REGION
