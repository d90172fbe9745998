"""Notices: what a backend server reports of its own state in the headers of a response.

A server may report that it is leaving and, when it refuses a request, how long this router is
to back off. Only the response to the request that was sent counts, and only from the server
that it was sent to: anything else on the connection may come from another server.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass

import urllib3

from myrtlehook_core import RetryReason, events
from myrtlehook_router.process import clocks
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.headers import HeaderNames
from myrtlehook_router.request.services import RequestServices

BACKOFF_STATUS = 503
"""Status of refusals that can ask for a back-off. A 429 is about a client's share of the server,
not about the server's state, so it is left out."""

MAX_BACKOFF_S = 3600.0
"""A longer back-off is cut to one hour, after which the server is tried again: at night there may
be nobody who would notice that it is never used."""

MIN_BLAMELESS_BACKOFF_S = 0.5
"""A refusal with a shorter back-off still counts as a failure of the server, so that a server that
refuses everything is ejected and gets fewer and fewer requests. The first ejection of a server
lasts this long as well."""

MAX_LOGGED_SERVERS = 1000
"""A process logs unreadable notices of at most this many servers."""

RETRY_AFTER = "Retry-After"
LEAVING_VALUE = "1"

_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")

_log = get_logger("servers")


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one response reports of its server."""

    leaving: bool = False
    backoff_s: float = 0.0
    """How long this router is to send nothing to the server; 0 if it asks for no back-off."""
    unreadable_values: tuple[str, ...] = ()
    """Header values that could not be parsed, as they were sent."""


NO_NOTICE = ServerNotice()


def read_notice(
    status: int, headers: Iterable[tuple[str, str]], names: HeaderNames
) -> ServerNotice:
    """Parse the notice in a response's headers.

    There may be several values, in one header or in several; the longest back-off counts. A date
    is not accepted, since the clocks of a server and of a router need not agree.
    """
    leaving, backoff_s = False, 0.0
    unreadable_values: list[str] = []
    for name, value in headers:
        lowercase_name = name.lower()
        if lowercase_name == names.server_leaving.lower():
            if LEAVING_VALUE in (part.strip() for part in value.split(",")):
                leaving = True
            else:
                unreadable_values.append(value)
        elif lowercase_name == RETRY_AFTER.lower() and status == BACKOFF_STATUS:
            for part in value.split(","):
                if _SECONDS.fullmatch(part.strip()):
                    backoff_s = max(backoff_s, float(part))
                else:
                    unreadable_values.append(part.strip())
    return ServerNotice(leaving, min(backoff_s, MAX_BACKOFF_S), tuple(unreadable_values))


def report_notice(
    services: RequestServices,
    request_id: str,
    backend_server: str,
    response: urllib3.BaseHTTPResponse,
    names: HeaderNames,
) -> ServerNotice:
    """Read the notice in a response, report it to the core if there is news, and return it."""
    notice = read_notice(response.status, response.headers.items(), names)
    if notice == NO_NOTICE:
        return notice
    if notice.unreadable_values:
        _record_unreadable(services, request_id, backend_server, notice)
    if notice.backoff_s:
        services.counters.add("backend.told.backoff")
    if notice.leaving:
        services.counters.add("backend.told.leaving")
    if notice.backoff_s or (notice.leaving and not _is_leaving(services, backend_server)):
        until_s = clocks.now_s() + notice.backoff_s if notice.backoff_s else 0.0
        services.mailbox.post(
            events.ServerNoticed(backend_server, request_id, notice.leaving, until_s)
        )
    return notice


def find_retry_reason(notice: ServerNotice) -> RetryReason:
    """Return the reason to retry a request that a server refused with this notice."""
    if notice.leaving:
        return RetryReason.SERVER_LEAVING
    if notice.backoff_s >= MIN_BLAMELESS_BACKOFF_S:
        return RetryReason.SERVER_BACKED_OFF
    return RetryReason.SERVER_REFUSED


def report_leaving(services: RequestServices, request_id: str, backend_server: str) -> None:
    """Report to the core that a server refused a request because it is leaving."""
    services.counters.add("backend.told.leaving")
    services.mailbox.post(events.ServerNoticed(backend_server, request_id, leaving=True))


def _is_leaving(services: RequestServices, backend_server: str) -> bool:
    server = services.configuration().backend_servers.get(backend_server)
    return server is not None and server.leaving


def _record_unreadable(
    services: RequestServices, request_id: str, backend_server: str, notice: ServerNotice
) -> None:
    """Count an unreadable notice, and log the first one of each server."""
    services.counters.add("backend.told.unreadable")
    logged_servers = services.logged_unreadable_servers
    if backend_server in logged_servers or len(logged_servers) >= MAX_LOGGED_SERVERS:
        return
    logged_servers.add(backend_server)
    _log.warning(
        "server told nothing readable",
        request_id=request_id,
        backend_server=backend_server,
        seen=notice.unreadable_values,
        expected="1 if the server is leaving; the back-off in seconds",
    )
