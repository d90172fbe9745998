"""Checks that servers which have left get no requests, by what reached them."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from emulator.sites import RESTORED_ENTRY_EXPIRY_S
from soak.callers import AttemptRecord
from soak.checks import Violation
from soak.schedules import Fault
from soak.silence_checks import was_read_late

DRAIN_BOUND_S = 2.0
"""From the store's acceptance of a departure until the server receives no more requests."""

CONTACT_WINDOW_S = 3.0
"""A router is bound once it has been free of faults for this long."""

STORE_OUTAGES = ("refuses", "nonsense")
ROUTER_OUTAGES = ("kill", "stop", "pause")
STEP_S = 0.05


@dataclass(frozen=True, slots=True)
class Departure:
    """A server that has left, and when the store took that, by the monotonic clock."""

    server: str
    left_at_s: float


def check_departures(
    attempts: Iterable[AttemptRecord],
    site: Mapping[str, Any],
    departures: Sequence[Departure],
    faults: Sequence[Fault],
    start_s: float,
    routers: Mapping[str, str],
) -> list[Violation]:
    """Check what reached each server after it had left.

    :param site: the emulator's description of its site.
    :param start_s: the time to which the times of the faults relate.
    :param routers: router names by address.
    """
    senders = {attempt.attempt_id: routers[attempt.router] for attempt in attempts}
    violations = []
    for departure in departures:
        if departure.server in site["ended"]:
            # It has started again, and only what reached it since is recorded.
            continue
        bound_from_s = _find_reported_s(departure.left_at_s, faults, start_s, routers.values())
        for attempt_id, at_s in site["servers"][departure.server]["arrivals"]:
            router = senders.get(attempt_id)
            if router is None or at_s <= bound_from_s + DRAIN_BOUND_S:
                continue
            if _is_excused(router, departure.server, at_s, faults, start_s):
                continue
            late_s = at_s - departure.left_at_s
            detail = f"{departure.server} got a request of {router}, {late_s:.2f} s after it left"
            violations.append(Violation("a server that has left is left alone", detail))
    return violations


def _find_reported_s(
    left_at_s: float, faults: Sequence[Fault], start_s: float, routers: Iterable[str]
) -> float:
    """Return when the store could first tell any running router of a departure."""
    names = set(routers)
    reported_s = left_at_s
    while _is_store_out_of_reach(reported_s - start_s, faults, names):
        reported_s += STEP_S
    for fault in faults:
        restored_s = fault.until_s + start_s
        if fault.kind == "copy" and left_at_s <= restored_s <= reported_s:
            # The departure was lost before any router could read it. Only the restored entry's
            # expiry tells of it.
            return max(reported_s, restored_s + RESTORED_ENTRY_EXPIRY_S)
    return reported_s


def _is_store_out_of_reach(at_s: float, faults: Sequence[Fault], routers: set[str]) -> bool:
    active = [fault for fault in faults if fault.at_s <= at_s < fault.until_s]
    if any(fault.kind == "store" and fault.how in STORE_OUTAGES for fault in active):
        return True
    cut_off = {
        fault.target
        for fault in active
        if fault.kind == "store_link" or (fault.kind == "router" and fault.how in ROUTER_OUTAGES)
    }
    return routers <= cut_off


def _is_excused(
    router: str, server: str, at_s: float, faults: Sequence[Fault], start_s: float
) -> bool:
    """Return whether the router, or its link to the server, had a fault shortly before."""
    return any(
        fault.at_s + start_s <= at_s < fault.until_s + start_s + CONTACT_WINDOW_S
        and (
            (fault.target == router and fault.kind == "router" and fault.how in ROUTER_OUTAGES)
            or (fault.target == server and fault.kind == "server_link")
        )
        for fault in faults
    ) or was_read_late(server, at_s, faults, start_s)
