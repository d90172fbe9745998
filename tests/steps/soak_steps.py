"""Steps that run the randomized soak, and test its checks."""

import hashlib
import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from behave import given, then, when

from soak.callers import LAST_EVENT_NUMBER, AttemptRecord
from soak.checks import Violation, check_answers, check_deadlines, check_runs, make_seal
from soak.departure_checks import Departure, check_departures
from soak.notice_checks import InjectedFaults, check_notices
from soak.pause_checks import check_logged_pauses, check_unbroken_streams
from soak.runs import RunOptions, execute_run, leave_out_faults
from soak.schedules import Fault
from soak.silence_checks import check_kept_requests

SERVER = "i-engine-1"
ROUTER = "127.0.0.1:80"


@when("the soak plays seed {seed:d} for {seconds:g} s")
def play_seed(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(RunOptions(seed, seconds))


@when("the soak plays seed {seed:d} for {seconds:g} s, and engines differ in speed")
def play_paces(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(RunOptions(seed, seconds, paces=True))


@when("the soak plays seed {seed:d} for {seconds:g} s, and engines end")
def play_endings(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(RunOptions(seed, seconds, endings=True))


@when("the soak plays seed {seed:d} for {seconds:g} s, and engines of two software versions end")
def play_versions(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(RunOptions(seed, seconds, endings=True, versions=True))


@when("the soak plays seed {seed:d} for {seconds:g} s, engines end, and servers send notices")
def play_notices(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(RunOptions(seed, seconds, endings=True, notices=True))


@when("the soak plays seed {seed:d} for {seconds:g} s, servers send notices, the store is restored")
def play_copies(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(RunOptions(seed, seconds, notices=True, copies=True))


@when("the soak plays seed {seed:d} for {seconds:g} s, engines end, and frame answers differently")
def play_framings(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(RunOptions(seed, seconds, endings=True, framings=True))


@when("the soak plays seed {seed:d} for {seconds:g} s under all its faults")
def play_all(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(RunOptions(seed, seconds, endings=True, notices=True, copies=True))


@when("the soak plays seed {seed:d} for {seconds:g} s under all faults, and other programs write")
def play_foreign_values(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(
        RunOptions(seed, seconds, endings=True, notices=True, copies=True, foreign_values=True)
    )


@when("the soak plays seed {seed:d} for {seconds:g} s under all that it draws")
def play_everything(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(
        RunOptions(
            seed,
            seconds,
            endings=True,
            notices=True,
            copies=True,
            paces=True,
            versions=True,
            departures=True,
            framings=True,
            silences=True,
            foreign_values=True,
        )
    )


@when("the soak plays seed {seed:d} for {seconds:g} s under all its faults, and engines leave")
def play_departures(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(
        RunOptions(
            seed,
            seconds,
            routers=4,
            engines=5,
            endings=True,
            notices=True,
            copies=True,
            paces=True,
            versions=True,
            departures=True,
        )
    )


@when("the soak plays seed {seed:d} for {seconds:g} s, with silences and planned work only")
def play_only_silences(context: Any, seed: int, seconds: float) -> None:
    options = RunOptions(seed, seconds, versions=True, departures=True, framings=True)
    context.result = execute_run(leave_out_faults(options))


@when(
    "the soak plays seed {seed:d} for {seconds:g} s under all its faults, and servers fall silent"
)
def play_silences(context: Any, seed: int, seconds: float) -> None:
    context.result = execute_run(
        RunOptions(
            seed,
            seconds,
            endings=True,
            notices=True,
            copies=True,
            paces=True,
            versions=True,
            departures=True,
            framings=True,
            silences=True,
        )
    )


@then("no promise was broken, and clients were served")
def check_result(context: Any) -> None:
    assert not context.result.violations, context.result
    assert context.result.statuses.get(200, 0) > 0, context.result


@given('an attempt with a whole answer of "{server}" that was run once')
def make_attempt(context: Any, server: str) -> None:
    seal = hashlib.sha256(f"{server}/x1".encode()).hexdigest()[:16]
    events = list(range(1, LAST_EVENT_NUMBER + 1))
    context.whole = AttemptRecord(
        "x1", "/summary/a", ROUTER, 1.0, 1.5, 200, False, False, False, seal, "x1", "", events
    )


def _find_violations(seen: AttemptRecord, runs: dict[str, int]) -> list[Violation]:
    found = check_answers([seen], [SERVER])
    found += check_runs([seen], runs)
    return found + check_deadlines([seen], [], {ROUTER: "edge-1"}, 0.0)


@then("the checks find nothing")
def check_nothing(context: Any) -> None:
    assert not _find_violations(context.whole, {"x1": 1})


FAULTY_OUTCOMES: dict[str, Callable[[AttemptRecord], tuple[AttemptRecord, dict[str, int]]]] = {
    "seal": lambda whole: (replace(whole, seal="other"), {"x1": 1}),
    "events": lambda whole: (replace(whole, event_ids=[1, 3]), {"x1": 1}),
    "id": lambda whole: (replace(whole, shown_id="x2"), {"x1": 1}),
    "run": lambda whole: (whole, {"x1": 2}),
    "refusal": lambda whole: (replace(whole, status=503, retry_after=True), {"x1": 1}),
    "denial": lambda whole: (replace(whole, status=404), {}),
    "return": lambda whole: (replace(whole, status=503), {}),
    "sender": lambda whole: (whole, {"x1": 1, "x9": 1}),
    "deadline": lambda whole: (replace(whole, status=0, timed_out=True), {}),
}


@then("each of these faults breaks its promise")
def check_each_fault(context: Any) -> None:
    assert {row["fault"] for row in context.table} == set(FAULTY_OUTCOMES)
    for row in context.table:
        found = _find_violations(*FAULTY_OUTCOMES[row["fault"]](context.whole))
        promises = [violation.promise for violation in found]
        assert any(promise.startswith(row["promise"]) for promise in promises), (row, found)


BACKING_OFF = Fault(0.0, 9.0, "notice", "turns_away", SERVER)
PAUSED = Fault(0.0, 9.0, "router", "pause", "edge-1")
LINK_CUT = Fault(0.0, 9.0, "server_link", "one_way", SERVER)


def _check_arrivals(
    arrivals: list[tuple[str, float]],
    notified_ids: list[str],
    *faults: Fault,
    sealed_by: str = SERVER,
) -> list[Violation]:
    """Check requests that reached the server, each sent as it arrived, the first one refused.

    :param notified_ids: the requests whose answers said that the server leaves.
    :param sealed_by: the server whose answers the clients received.
    """
    seen = [
        AttemptRecord(
            name,
            "/summary/a",
            ROUTER,
            at_s,
            at_s,
            seal=make_seal(sealed_by, name),
            server_leaves=name in notified_ids,
        )
        for name, at_s in arrivals
    ]
    runs = {name: 1 for name, _ in arrivals[1:]}
    site = {"ended": [], "servers": {SERVER: {"arrivals": arrivals, "runs": runs}}}
    return check_notices(seen, site, InjectedFaults(faults, 0.0), {ROUTER: "edge-1"})


WITHIN_BACKOFF = [("a", 1.0), ("b", 1.6), ("c", 1.7), ("d", 1.8)]
AFTER_NOTICE = [("a", 1.0), ("b", 3.1)]


@then("3 requests within a server's back-off are found, and 2 are not")
def check_early(context: Any) -> None:
    assert len(_check_arrivals(WITHIN_BACKOFF, [], BACKING_OFF)) == 1
    assert not _check_arrivals(WITHIN_BACKOFF[:3], [], BACKING_OFF)
    assert not _check_arrivals([*WITHIN_BACKOFF[:3], ("d", 2.6)], [], BACKING_OFF)


@then("a request 2 s after its router forwarded that the server leaves is found")
def check_late(context: Any) -> None:
    assert len(_check_arrivals(AFTER_NOTICE, ["a"])) == 1
    assert not _check_arrivals([("a", 1.0), ("b", 2.9)], ["a"])
    assert not _check_arrivals(AFTER_NOTICE, [])
    # The server refused the first request, and another server, which leaves, answered it.
    assert not _check_arrivals(AFTER_NOTICE, ["a"], sealed_by="i-engine-2")


@then("neither is found where its router was paused, or the link to its server was cut")
def check_excused(context: Any) -> None:
    for excuse in (PAUSED, LINK_CUT):
        assert not _check_arrivals(WITHIN_BACKOFF, [], BACKING_OFF, excuse)
        assert not _check_arrivals(AFTER_NOTICE, ["a"], excuse)


def _check_departed(at_s: float, *faults: Fault) -> list[Violation]:
    """Check a request that reached the server at a time; the server had left at 1.0 s."""
    seen = [AttemptRecord("a", "/summary/a", ROUTER, at_s, at_s)]
    site = {"ended": [], "servers": {SERVER: {"arrivals": [("a", at_s)], "runs": {}}}}
    departures = [Departure(SERVER, 1.0)]
    return check_departures(seen, site, departures, faults, 0.0, {ROUTER: "edge-1"})


@then("a request 2 s after a server has left is found")
def check_found_departure(context: Any) -> None:
    assert len(_check_departed(3.1)) == 1
    assert not _check_departed(2.9)


@then("the bound counts from when the store can be reached again")
def check_departure_in_outage(context: Any) -> None:
    refusal = Fault(0.5, 2.0, "store", "refuses", "store")
    assert not _check_departed(3.9, refusal)
    assert len(_check_departed(4.1, refusal)) == 1
    link_cut = Fault(0.5, 2.0, "store_link", "silent", "edge-1")
    assert not _check_departed(3.9, link_cut)
    restoration = Fault(0.5, 1.8, "copy", "returns", "store")
    assert not _check_departed(6.7, refusal, restoration)
    assert len(_check_departed(6.9, refusal, restoration)) == 1
    assert len(_check_departed(3.1, restoration)) == 1
    other_cut = Fault(0.5, 2.0, "store_link", "silent", "edge-2")
    assert len(_check_departed(3.1, other_cut)) == 1


@then("a request of a router that was paused shortly before is not found")
def check_excused_departure(context: Any) -> None:
    assert not _check_departed(3.1, Fault(0.2, 0.4, "router", "pause", "edge-1"))
    assert len(_check_departed(4.1, Fault(0.2, 0.4, "router", "pause", "edge-1"))) == 1


BROKEN_STREAM = AttemptRecord("x1", "/summary/a", ROUTER, 1.0, 3.0, 200, broken=True)


@then("a stream that breaks off within its deadline is found")
def check_broken_stream(context: Any) -> None:
    assert len(check_unbroken_streams([BROKEN_STREAM], [], 0.0)) == 1


@then("it is not found while a fault is active, or after its deadline")
def check_excused_streams(context: Any) -> None:
    assert not check_unbroken_streams([BROKEN_STREAM], [PAUSED], 0.0)
    late = replace(BROKEN_STREAM, ended_s=BROKEN_STREAM.started_s + 4.0)
    assert not check_unbroken_streams([late], [], 0.0)


def _check_pauses(logged_s: list[float]) -> list[Violation]:
    """Check the logs of streams in which the clients saw pauses of 0.3 s."""
    seen = [
        AttemptRecord(f"x{number}", "/summary/a", ROUTER, 1.0, 2.0, 200, longest_pause_s=0.3)
        for number in range(20)
    ]
    lines = [
        json.dumps(
            {
                "event": "request ended",
                "outcome": "completed",
                "request_id": f"x{number}",
                "longest_pause_ms": pause_s * 1000.0,
            }
        )
        for number, pause_s in enumerate(logged_s)
    ]
    return check_logged_pauses(seen, ["\n".join([*lines, '{"event": "request en'])])


@then("logs that tell other pauses than clients saw are found, and logs without them")
def check_wrong_pauses(context: Any) -> None:
    assert _check_pauses([0.3] * 17 + [0.0] * 3)
    assert _check_pauses([0.3] * 2)


@then("logs that differ by 0.05 s, or in one stream of 20, are not found")
def check_right_pauses(context: Any) -> None:
    assert not _check_pauses([0.35] * 20)
    assert not _check_pauses([0.3] * 19 + [0.0])


SILENCE = Fault(2.0, 4.0, "silence", "one", SERVER)
SENT_REQUEST = AttemptRecord("x1", "/summary/a", ROUTER, 1.0, 4.9, sent_whole=True)


@then("an answer that breaks off before its deadline is found beside a silence")
def check_cut_answer(context: Any) -> None:
    cut = replace(SENT_REQUEST, status=200, broken=True)
    assert len(check_kept_requests([cut])) == 1
    stop = Fault(2.0, 4.0, "router", "stop", "edge-1")
    assert len(check_deadlines([cut], [stop], {ROUTER: "edge-1"}, 0.0, [SILENCE])) == 1


@then("a request that was sent whole and got no answer is found beside a silence")
def check_lost_request(context: Any) -> None:
    assert len(check_kept_requests([SENT_REQUEST])) == 1


@then("a request without an answer by its deadline is found beside a silence")
def check_unanswered_request(context: Any) -> None:
    unanswered = replace(SENT_REQUEST, ended_s=7.0, timed_out=True)
    assert len(check_kept_requests([unanswered])) == 1
    assert len(check_deadlines([unanswered], [], {ROUTER: "edge-1"}, 0.0, [SILENCE])) == 1


@then("an answer that ends at its deadline, or a request that was not sent whole, is not found")
def check_kept(context: Any) -> None:
    late = replace(SENT_REQUEST, ended_s=5.0, status=200, broken=True)
    assert not check_kept_requests([late, replace(SENT_REQUEST, sent_whole=False)])
    stop = Fault(2.0, 4.0, "router", "stop", "edge-1")
    assert not check_deadlines([late], [stop], {ROUTER: "edge-1"}, 0.0, [SILENCE])
    assert len(check_deadlines([late], [stop], {ROUTER: "edge-1"}, 0.0)) == 1


@then("a request that a server read as it went on after a silence is not found")
def check_late_reading(context: Any) -> None:
    assert not _check_departed(4.1, SILENCE)
    assert len(_check_departed(4.1, replace(SILENCE, target="i-engine-2"))) == 1


@then("a request 0.5 s after a silence is found")
def check_after_silence(context: Any) -> None:
    assert len(_check_departed(4.5, SILENCE)) == 1
