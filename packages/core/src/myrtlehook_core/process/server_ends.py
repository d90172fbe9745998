"""Ends of backend servers under one request: evidence that is counted in any order of arrival.

Several routers may hold the same ends and send them to one another. An end is identified by the
router that saw it and by that router's serial, so that each one counts once however often and
however late it arrives.
"""

from collections.abc import Iterable
from dataclasses import dataclass

CONCURRENT_WINDOW_S = 0.05
"""A run that began less than this after a server's end counts as under way at that time: a common
cause ends several servers within about 10 ms, and messages are under way for a few more. A router
waits as long before it sends a request under which a server ended to another server."""

COMMON_CAUSE_S = 0.1
"""Servers that end within this time of one another may have ended by a common cause; the routers
that see it do so within some milliseconds of one another, unless they are busy."""

MIN_LIFE_S = 0.5
"""Ends of one server that are reported within this time are the same end, seen by several runs."""

MAX_KEPT_ENDS = 4
"""The greatest number of ends that are kept for one request. A verdict holds the count of those
that had to be dropped."""

EndKey = tuple[str, int]
"""Identifies an end: the router that saw it, and that router's serial of it."""


@dataclass(frozen=True, slots=True)
class ServerEnd:
    """The end of one server while it ran a request, in the holding router's time."""

    reporter: str
    """The router that saw it."""
    serial: int
    """Greater for each end that the reporter sees, also across its restarts."""
    backend_server: str
    began_s: float
    """When the request was sent to the server."""
    ended_s: float
    """When the answer broke off."""
    is_weak: bool = False
    """Whether it takes more ends like this one to quarantine a request or part: the server had
    written on the request for some time, or the part is the first of its prompt."""
    request_digest: bytes = b""
    """Beginning of the request's fingerprint, where the end is kept for a part."""

    @property
    def key(self) -> EndKey:
        """What identifies the end at all routers."""
        return (self.reporter, self.serial)


def find_consecutive_ends(ends: Iterable[ServerEnd], after_s: float) -> list[ServerEnd]:
    """Return the longest series of ends of which each run began after the previous end.

    Ends of runs that were under way at the same time count once, since a lost rack would end all
    of their servers.

    :param after_s: the end before the first one of the series.
    """
    series: list[ServerEnd] = []
    for end in sorted(ends, key=lambda item: (item.ended_s, item.key)):
        if end.began_s >= after_s + CONCURRENT_WINDOW_S:
            series.append(end)
            after_s = end.ended_s
    return series


def find_separate_ends(ends: Iterable[ServerEnd]) -> list[ServerEnd]:
    """Return ends under different requests that did not come at the same moment.

    For a part of prompts: several requests that share it may be under way at a time, so that each
    server which ends by itself counts. A common cause, such as a lost rack, ends servers at once,
    and one request that ends several servers may do so by itself.
    """
    series: list[ServerEnd] = []
    requests: set[bytes] = set()
    for end in sorted(ends, key=lambda item: (item.ended_s, item.key)):
        if end.request_digest in requests:
            continue
        if any(is_same_end(end, other.backend_server, other.ended_s) for other in series):
            continue
        if not series or end.ended_s >= series[-1].ended_s + COMMON_CAUSE_S:
            series.append(end)
            requests.add(end.request_digest)
    return series


def is_same_end(end: ServerEnd, backend_server: str, ended_s: float) -> bool:
    """Return whether a server that ended at this time is the same one, in the same life."""
    return end.backend_server == backend_server and abs(end.ended_s - ended_s) < MIN_LIFE_S


def drop_excess_ends(ends: dict[EndKey, ServerEnd], series: list[ServerEnd]) -> None:
    """Drop ends beyond ``MAX_KEPT_ENDS``: those outside of the series first, then the oldest."""
    counted = {end.key for end in series}
    by_value = sorted(ends.values(), key=lambda item: (item.key in counted, item.ended_s))
    for end in by_value[: max(len(ends) - MAX_KEPT_ENDS, 0)]:
        del ends[end.key]
