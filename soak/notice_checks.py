"""Checks that routers obey what servers say of themselves in answers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from soak.callers import Seen
from soak.checks import Violation, make_seal
from soak.schedules import Fault

BACKOFF_S = 1.5
"""What a server asks for that turns requests away."""

DRAIN_BOUND_S = 2.0
FREE_S = 0.5
MOST_TOO_EARLY = 2
EXCUSING = ("pause", "kill", "stop")
"""A router that was struck so, is late in hearing, or has forgotten."""

LINK_KINDS = ("server_link",)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request as it reached a server."""

    router: str
    at_s: float
    started_s: float
    """When its caller sent it; all times are of the steady clock."""
    ran: bool


@dataclass(frozen=True, slots=True)
class Struck:
    """The faults of a run, and when it began."""

    faults: tuple[Fault, ...]
    start_s: float

    def excuses(self, targets: set[str], from_s: float, to_s: float) -> bool:
        """Tell whether a router of these was struck, or the way to a server of these."""
        return any(
            fault.target in targets
            and (fault.how in EXCUSING or fault.kind in LINK_KINDS)
            and fault.at_s + self.start_s <= to_s
            and fault.until_s + self.start_s + FREE_S >= from_s
            for fault in self.faults
        )


def check_notices(
    seen: Iterable[Seen], site: Mapping[str, Any], struck: Struck, routers: Mapping[str, str]
) -> list[Violation]:
    """Check every router and server of a run.

    :param site: what the emulator describes.
    :param routers: name by address.
    """
    known = {one.attempt_id: one for one in seen}
    found = []
    for server, described in site["servers"].items():
        if server in site["ended"]:
            # Its word has ended with its start, and arrivals do not tell the two apart.
            continue
        arrivals = [
            Arrival(
                routers[known[attempt_id].router],
                at_s,
                known[attempt_id].started_s,
                attempt_id in described["runs"],
            )
            for attempt_id, at_s in described["arrivals"]
            if attempt_id in known
        ]
        told_s = _find_told(server, known.values(), routers)
        found += _check_leaving(server, arrivals, told_s, struck)
        found += _check_backoffs(server, arrivals, struck)
    return found


def _find_told(server: str, seen: Iterable[Seen], routers: Mapping[str, str]) -> dict[str, float]:
    """Return when each router had first passed on an answer of a server that says it leaves.

    The seal tells whose answer it is: a request may have reached others before.
    """
    told_s: dict[str, float] = {}
    for one in seen:
        if one.server_leaves and one.seal == make_seal(server, one.attempt_id):
            router = routers[one.router]
            told_s[router] = min(told_s.get(router, one.ended_s), one.ended_s)
    return told_s


def _check_leaving(
    server: str, arrivals: Iterable[Arrival], told_s: Mapping[str, float], struck: Struck
) -> list[Violation]:
    found = []
    for one in arrivals:
        since_s = told_s.get(one.router)
        if since_s is None or one.started_s <= since_s + DRAIN_BOUND_S:
            continue
        if not struck.excuses({one.router, server}, since_s, one.at_s):
            late_s = one.started_s - since_s
            detail = f"{server} got a request of {one.router}, {late_s:.2f} s after it had said so"
            found.append(Violation("a server that leaves is left alone", detail))
    return found


def _check_backoffs(server: str, arrivals: list[Arrival], struck: Struck) -> list[Violation]:
    found = []
    asked = [
        (fault.at_s + struck.start_s, fault.until_s + struck.start_s)
        for fault in struck.faults
        if fault.how == "turns_away" and fault.target == server
    ]
    for one in arrivals:
        if one.ran or not any(from_s <= one.at_s <= to_s for from_s, to_s in asked):
            continue
        until_s = one.at_s + BACKOFF_S
        early = [
            other
            for other in arrivals
            if other.router == one.router and one.at_s + FREE_S < other.at_s < until_s
        ]
        is_excused = struck.excuses({one.router, server}, one.at_s, until_s)
        if len(early) > MOST_TOO_EARLY and not is_excused:
            detail = f"{server} got {len(early)} requests of {one.router} too early"
            found.append(Violation("a server is left alone for as long as it asked", detail))
    return found
