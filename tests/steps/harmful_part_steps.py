"""Steps of requests that share a part under which engines end, at real routers."""

import threading
import time
from typing import Any

from behave import given, then, when

from standins.part_callers import PartLoad, SentRequest

BEFORE_S = 4.0
"""How long sound requests come alone."""

SOUND_PER_S = 12.0
OTHERS_PER_S = 8.0
BACK_AFTER_S = 1.5
POLL_S = 0.05
CONTACT_WINDOW_S = 3.0
ENDS_IN_RULE = 5
PATHS = ("/diagnosis/a", "/summary/a")


@given('the part "{part}" of a prompt ends each engine that begins to write an answer on it')
def set_ending_part(context: Any, part: str) -> None:
    faults = {"ending_part": part, "back_after_s": BACK_AFTER_S}
    context.nodes.order(faults={"engines": faults})
    context.ended_before = len(context.nodes.describe()["ended"])
    context.salt = f"s{context.ended_before}"


def _watch_ends(context: Any, stopped: threading.Event) -> None:
    """Record when engines end."""
    while not stopped.wait(POLL_S):
        ended = len(context.nodes.describe()["ended"]) - context.ended_before
        while len(context.ended_at_s) < ended:
            context.ended_at_s.append(time.monotonic())


@when(
    'requests with the parts "{parts}" come every {interval_s:g} s for {seconds:d} s'
    " beside sound ones"
)
def send_all(context: Any, parts: str, interval_s: float, seconds: int) -> None:
    def list_nodes() -> list[Any]:
        return list(context.nodes.nodes)

    context.ended_at_s = []
    shared = tuple(parts.split(","))
    # The part is another one in each scenario, as the routers stay.
    bad = f"bad{context.salt}"
    context.nodes.order(faults={"engines": {"ending_part": bad}})
    shared = tuple(bad if part == "bad" else part for part in shared)
    harmful = PartLoad(list_nodes, "dispatch", PATHS, shared, 1.0 / interval_s, 1)
    sound = PartLoad(list_nodes, "dispatch", PATHS, ("common", "fine"), SOUND_PER_S, 2)
    others = PartLoad(list_nodes, "planners", PATHS, ("other", "fine"), OTHERS_PER_S, 3)
    stopped = threading.Event()
    watch = threading.Thread(target=_watch_ends, args=(context, stopped))
    threads = [
        threading.Thread(target=load.run, args=(BEFORE_S + seconds, stopped))
        for load in (sound, others)
    ]
    for thread in (watch, *threads):
        thread.start()
    time.sleep(BEFORE_S)
    context.began_s = time.monotonic()
    harmful.run(seconds, stopped)
    for thread in threads:
        thread.join()
    stopped.set()
    watch.join()
    context.harmful = harmful.sent
    context.sound = {"the same first part": sound.sent, "other parts": others.sent}


def _find_known_s(context: Any) -> float:
    """Return when all routers should know the part."""
    ended_at_s = context.ended_at_s
    return ended_at_s[min(len(ended_at_s), ENDS_IN_RULE) - 1] + CONTACT_WINDOW_S


@then(
    "at most {count:d} of them reach engines that were sent later than {window_s:d} s"
    " after the fifth end"
)
def check_late(context: Any, count: int, window_s: int) -> None:
    assert window_s == CONTACT_WINDOW_S
    ended = len(context.ended_at_s)
    assert ended >= 2, f"only {ended} engines ended"
    servers = context.nodes.describe()["servers"].values()
    reached = {attempt_id for server in servers for attempt_id in server["runs"]}
    late = [
        request
        for request in context.harmful
        if request.attempt_id in reached and request.sent_at_s > _find_known_s(context)
    ]
    print(f"{ended} engines ended, {len(late)} of {len(context.harmful)} were sent late")
    assert len(late) <= count, f"{len(late)} were sent late; {ended} engines ended"


def _compute_answered_share(requests: list[SentRequest]) -> float:
    answered = sum(request.status == 200 and not request.broken for request in requests)
    return answered / max(len(requests), 1)


@then("sound requests are answered at least half as often as before, with the same first part too")
def check_sound(context: Any) -> None:
    for name, requests in context.sound.items():
        before = [one for one in requests if one.sent_at_s < context.began_s]
        known_s = _find_known_s(context) + CONTACT_WINDOW_S
        after = [one for one in requests if one.sent_at_s > known_s]
        shares = _compute_answered_share(before), _compute_answered_share(after)
        quarantined = sum(one.status == 503 for one in after)
        print(f"{name}: {shares[0]:.2f} before, {shares[1]:.2f} after, {quarantined} with 503")
        assert len(after) >= 20, f"only {len(after)} came afterwards"
        assert shares[1] >= 0.5 * shares[0], (name, shares)
