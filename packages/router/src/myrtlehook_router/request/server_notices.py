"""What a backend server says of itself in the head of an answer.

It may say that it leaves, and, where it turns a request away, for how long it wants nothing
more from this router. Only the answer to the request that was sent is listened to, from the
server that it was meant for: what else arrives on a connection may be of another one.
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
"""A 429 tells of one caller's share, and not of the server."""

LONGEST_BACKOFF_S = 3600.0
"""A server that asks for more is asked again after an hour: nobody may be there at night who
would notice that it never is."""

NAMED_BACKOFF_S = 0.5
"""A server that wants to be left alone for less still counts as failing, so that one which
turns everything away gets ever fewer requests: an ejection begins with as much."""

UNREADABLE_TOLD = 1000
"""Of so many servers a process tells that they sent something unreadable."""

RETRY_AFTER = "Retry-After"
LEAVING_VALUE = "1"

_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")

_log = get_logger("servers")


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """The words of one answer."""

    leaving: bool = False
    backoff_s: float = 0.0
    """For so long the server wants nothing from this router; 0 where it does not say."""
    unreadable: tuple[str, ...] = ()
    """Values that say nothing, as they were sent."""


NO_NOTICE = ServerNotice()


def read_notice(
    status: int, headers: Iterable[tuple[str, str]], names: HeaderNames
) -> ServerNotice:
    """Read what an answer's head says of its server.

    Several values may stand in one header or in several: the longest time counts. A date is
    no time here, since the clocks of a server and of a router need not agree.
    """
    leaving, backoff_s = False, 0.0
    unreadable: list[str] = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == names.server_leaving.lower():
            if LEAVING_VALUE in (part.strip() for part in value.split(",")):
                leaving = True
            else:
                unreadable.append(value)
        elif lowered == RETRY_AFTER.lower() and status == BACKOFF_STATUS:
            for part in value.split(","):
                if _SECONDS.fullmatch(part.strip()):
                    backoff_s = max(backoff_s, float(part))
                else:
                    unreadable.append(part.strip())
    return ServerNotice(leaving, min(backoff_s, LONGEST_BACKOFF_S), tuple(unreadable))


def note_answer(
    services: RequestServices,
    request_id: str,
    backend_server: str,
    response: urllib3.BaseHTTPResponse,
    names: HeaderNames,
) -> ServerNotice:
    """Take what an answer says of its server; returns it."""
    notice = read_notice(response.status, response.headers.items(), names)
    if notice == NO_NOTICE:
        return notice
    if notice.unreadable:
        _note_unreadable(services, request_id, backend_server, notice)
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


def name_refusal(notice: ServerNotice) -> RetryReason:
    """Return why a server did not run a request, by what it said of itself."""
    if notice.leaving:
        return RetryReason.SERVER_LEAVING
    if notice.backoff_s >= NAMED_BACKOFF_S:
        return RetryReason.SERVER_BACKED_OFF
    return RetryReason.SERVER_REFUSED


def note_leaving(services: RequestServices, request_id: str, backend_server: str) -> None:
    """Take it that a server has refused a request because it leaves."""
    services.counters.add("backend.told.leaving")
    services.mailbox.post(events.ServerNoticed(backend_server, request_id, leaving=True))


def _is_leaving(services: RequestServices, backend_server: str) -> bool:
    server = services.configuration().backend_servers.get(backend_server)
    return server is not None and server.leaving


def _note_unreadable(
    services: RequestServices, request_id: str, backend_server: str, notice: ServerNotice
) -> None:
    """Count what cannot be read, and tell of the first of each server."""
    services.counters.add("backend.told.unreadable")
    told = services.unreadable_notices
    if backend_server in told or len(told) >= UNREADABLE_TOLD:
        return
    told.add(backend_server)
    _log.warning(
        "server told nothing readable",
        request_id=request_id,
        backend_server=backend_server,
        seen=notice.unreadable,
        expected="1 for a server that leaves; seconds to be left alone for",
    )
