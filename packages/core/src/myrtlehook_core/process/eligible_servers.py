"""Which backend servers of its pool may serve a request, by their region and software version."""

from dataclasses import replace

from myrtlehook_core.process.regions import Regions, find_region_refusal, is_region_allowed
from myrtlehook_core.request.outcomes import RefusalReason
from myrtlehook_core.request.requests import RequestSpecification
from myrtlehook_core.version.configurations import BackendServer, Configuration


def may_serve(regions: Regions, request: RequestSpecification, server: BackendServer) -> bool:
    """Return whether the request allows a backend server, its region and its version."""
    if server.name in request.excluded_servers:
        return False
    if request.software_version not in (None, server.software_version):
        return False
    return is_region_allowed(regions, request, server)


def exclude_server(
    regions: Regions,
    configuration: Configuration,
    request: RequestSpecification,
    backend_server: str,
) -> RequestSpecification:
    """Return a request that does without a server that failed it, if another one may serve it."""
    excluded = request.excluded_servers | {backend_server}
    elsewhere = replace(request, excluded_servers=excluded)
    is_refused = find_eligibility_refusal(regions, configuration, elsewhere) is not None
    return request if is_refused else elsewhere


def find_eligibility_refusal(
    regions: Regions, configuration: Configuration, request: RequestSpecification
) -> RefusalReason | None:
    """Return why no server may serve a request from here, or None if one may."""
    region_reason = find_region_refusal(regions, configuration, request)
    is_limited = request.software_version is not None or request.excluded_servers
    if region_reason is not None or not is_limited:
        return region_reason
    servers = configuration.backend_servers.values()
    if any(
        server.pool == request.pool and not server.leaving and may_serve(regions, request, server)
        for server in servers
    ):
        return None
    if request.software_version is None:
        return RefusalReason.NO_BACKEND_SERVER
    return RefusalReason.NO_SERVER_OF_VERSION
