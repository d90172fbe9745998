"""Checks that routers follow the notices of servers in answers: leaving, and back-off."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from soak.callers import AttemptRecord
from soak.checks import Violation, make_seal
from soak.schedules import Fault

BACKOFF_S = 1.5
"""The ``Retry-After`` of a server that refuses requests for a time."""

MAX_NOTICE_DELAY_S = 2.0
SETTLE_MARGIN_S = 0.5
MAX_EARLY_REQUESTS = 2
EXCUSING_FAULTS = ("pause", "kill", "stop")
"""Faults after which a router may receive a notice late or lose what it knew of it."""

LINK_KINDS = ("server_link", "silence")
"""A server that stands still reads late what arrived long before."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request as it reached a server."""

    router: str
    at_s: float
    started_s: float
    """When its client sent it. All times are of the monotonic clock."""
    ran: bool


@dataclass(frozen=True, slots=True)
class InjectedFaults:
    """The faults of a run, and the start time to which their times relate."""

    faults: tuple[Fault, ...]
    start_s: float

    def excuses(self, targets: set[str], from_s: float, to_s: float) -> bool:
        """Return whether a fault on one of these routers or server links was active then."""
        return any(
            fault.target in targets
            and (fault.how in EXCUSING_FAULTS or fault.kind in LINK_KINDS)
            and fault.at_s + self.start_s <= to_s
            and fault.until_s + self.start_s + SETTLE_MARGIN_S >= from_s
            for fault in self.faults
        )


def check_notices(
    attempts: Iterable[AttemptRecord],
    site: Mapping[str, Any],
    injected: InjectedFaults,
    routers: Mapping[str, str],
) -> list[Violation]:
    """Check every router and server of a run.

    :param site: the emulator's description of its site.
    :param routers: router names by address.
    """
    attempts_by_id = {attempt.attempt_id: attempt for attempt in attempts}
    violations = []
    for server, server_record in site["servers"].items():
        if server in site["ended"]:
            # A restart ends the notices of a server, and its arrivals do not show in which
            # incarnation they came.
            continue
        arrivals = [
            Arrival(
                routers[attempts_by_id[attempt_id].router],
                at_s,
                attempts_by_id[attempt_id].started_s,
                attempt_id in server_record["runs"],
            )
            for attempt_id, at_s in server_record["arrivals"]
            if attempt_id in attempts_by_id
        ]
        notified_at_s = _find_notice_times(server, attempts_by_id.values(), routers)
        violations += _check_leaving(server, arrivals, notified_at_s, injected)
        violations += _check_backoffs(server, arrivals, injected)
    return violations


def _find_notice_times(
    server: str, attempts: Iterable[AttemptRecord], routers: Mapping[str, str]
) -> dict[str, float]:
    """Return when each router had first forwarded an answer in which the server says it leaves.

    The seal identifies the server that answered: the request may have reached others before.
    """
    notified_at_s: dict[str, float] = {}
    for attempt in attempts:
        if attempt.server_leaves and attempt.seal == make_seal(server, attempt.attempt_id):
            router = routers[attempt.router]
            notified_at_s[router] = min(notified_at_s.get(router, attempt.ended_s), attempt.ended_s)
    return notified_at_s


def _check_leaving(
    server: str,
    arrivals: Iterable[Arrival],
    notified_at_s: Mapping[str, float],
    injected: InjectedFaults,
) -> list[Violation]:
    violations = []
    for arrival in arrivals:
        leaving_since_s = notified_at_s.get(arrival.router)
        if leaving_since_s is None or arrival.started_s <= leaving_since_s + MAX_NOTICE_DELAY_S:
            continue
        if not injected.excuses({arrival.router, server}, leaving_since_s, arrival.at_s):
            late_s = arrival.started_s - leaving_since_s
            detail = (
                f"{server} got a request of {arrival.router}, {late_s:.2f} s after it had said so"
            )
            violations.append(Violation("a server that leaves is left alone", detail))
    return violations


def _check_backoffs(
    server: str, arrivals: list[Arrival], injected: InjectedFaults
) -> list[Violation]:
    violations = []
    refusal_periods = [
        (fault.at_s + injected.start_s, fault.until_s + injected.start_s)
        for fault in injected.faults
        if fault.how == "turns_away" and fault.target == server
    ]
    for arrival in arrivals:
        if arrival.ran or not any(
            from_s <= arrival.at_s <= to_s for from_s, to_s in refusal_periods
        ):
            continue
        until_s = arrival.at_s + BACKOFF_S
        early = [
            other
            for other in arrivals
            if other.router == arrival.router
            and arrival.at_s + SETTLE_MARGIN_S < other.at_s < until_s
        ]
        is_excused = injected.excuses({arrival.router, server}, arrival.at_s, until_s)
        if len(early) > MAX_EARLY_REQUESTS and not is_excused:
            detail = f"{server} got {len(early)} requests of {arrival.router} too early"
            violations.append(Violation("a server is left alone for as long as it asked", detail))
    return violations
