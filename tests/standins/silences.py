"""Requests whose servers stand still for a time and go on, and what changes meanwhile."""

import itertools
import threading
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from emulator.sites import MODEL_SERVICE, PLAIN_SERVICE, make_configuration, make_route
from standins.cut_answers import Case, Outcome
from standins.nodes import NodeFleet
from standins.wire_answers import PATHS, SILENT, Plan, make_wire_pieces

PAUSE_MS = 20.0
CHANGE_INTERVAL_S = 0.4
ADDED_ROUTES = 50


@dataclass(frozen=True, slots=True)
class Point:
    """A point of a request: the number of pieces of its answer that are written before it."""

    name: str
    pieces: int


BEFORE_HEAD = Point("before the head", 0)
AFTER_HEAD = Point("before the first piece", 1)
BETWEEN = Point("between pieces", 5)
BEFORE_END = Point("before the end", -1)
POINTS = (BEFORE_HEAD, AFTER_HEAD, BETWEEN, BEFORE_END)


def make_silent_case(
    path: str, framing: str, point: Point, silent_ms: float, again: bool = False
) -> Case:
    """Return a request whose server stands still at a point of its answer.

    :param again: whether the servers of later runs stand still as well.
    """
    plan = Plan(
        PATHS[path], framing, SILENT, pause_ms=PAUSE_MS, silent_ms=silent_ms, silent_again=again
    )
    wire = make_wire_pieces(plan, "a" * 16)
    return Case(path, "1.1", replace(plan, cut=sum(map(len, wire[: point.pieces]))))


def find_cut(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Return the answers that began and broke off, or had no whole head."""
    return [one for one in outcomes if one.status in (0, 200) and not one.is_complete]


def find_not_whole(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Return the requests whose clients do not hold the whole answer."""
    return [one for one in outcomes if not (one.looks_complete and one.is_whole)]


def change_configuration(nodes: NodeFleet, numbers: Iterator[int]) -> None:
    """Publish the next configuration, which differs from the last one in one kind of setting."""
    number = next(numbers)
    usual = make_configuration(number)
    kinds = (
        {"Limits": usual["Limits"] | {"IdleTimeoutMs": 2000, "HeaderTimeoutMs": 500}},
        {"Limits": usual["Limits"] | {"TokensPerS": 30000, "MaxBodyBytes": 4096}},
        {"Routes": _change_routes(TimeoutMs=5500)},
        {"Routes": _change_routes(MaxAttempts=3)},
        {"Routes": [*usual["Routes"], *_make_added_routes()]},
        {"Services": [dict(one, MaxConnections=60) for one in usual["Services"]]},
    )
    changes = kinds[number % len(kinds)]
    nodes.order(configuration=make_configuration(number, **changes))


def _change_routes(**changes: int) -> list[dict[str, object]]:
    return [dict(route, **changes) for route in make_configuration(1)["Routes"]]


def _make_added_routes() -> list[dict[str, object]]:
    services = itertools.cycle((MODEL_SERVICE, PLAIN_SERVICE))
    return [
        make_route(f"added-{number}", "streaming", service)
        for number, service in zip(range(ADDED_ROUTES), services, strict=False)
    ]


def repeat_until(ended: threading.Event, work: Callable[[], None]) -> None:
    """Do work at intervals until an event is set."""
    while not ended.wait(CHANGE_INTERVAL_S):
        work()
