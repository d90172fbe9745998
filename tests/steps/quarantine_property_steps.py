"""Properties of the quarantine, in simulated histories of decision cores."""

import itertools
import random
from dataclasses import replace
from typing import Any

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from bench.core_drive import POOL as PLAIN_POOL
from bench.core_drive import Load
from bench.core_drive import make_configuration as make_plain_configuration
from myrtlehook_core import (
    CoreOptions,
    RefusalReason,
    RequestSpecification,
    RouterCore,
    RouterIdentity,
    actions,
    events,
    fingerprint_request,
)
from myrtlehook_core.process.quarantine import (
    FIRST_QUARANTINE_S,
    MAX_SUSPECTS,
    MAX_VERDICTS,
    Quarantine,
    count_end,
    find_remaining_quarantine_s,
    quarantine_request,
)
from myrtlehook_core.process.quarantine_messages import ServerEndReport
from standins.histories import History, Network
from standins.pools import make_request

OPTIONS = CoreOptions(retry_burst=1000.0)
"""With so many retries, only the quarantine keeps a request from being sent again."""

POISON = b"spoilt"
POPULAR = b"popular"
HISTORIES = 20
HISTORY_S = 20.0
REPEAT_S = 0.7
MAX_LATE_SENDS = 3
"""How often the request may still be sent after ``KNOWN_AFTER_S``."""

KNOWN_AFTER_S = 3.0
"""From the end of the third engine; all routers should quarantine the request by then."""


def _start_history(
    seed: int, routers: int, engines: int, network: Network, zones: int = 1
) -> History:
    history = History(seed, routers, engines, network, OPTIONS, zones=zones)
    history.run_until(1.5)
    return history


def send_request(history: History, ingress: str, number: int, fingerprint: bytes) -> str:
    """Send a request with a fingerprint to a router; returns the request's id."""
    request_id = f"{fingerprint.decode()}-{number}"
    request = make_request(request_id, "a", number, 200, history.now_s, True, fingerprint)
    history.ask(ingress, request)
    return request_id


def _restart(history: History, name: str) -> None:
    history.kill_router(name)
    history.start_router(name)


@then("in any history with lost messages and restarted routers a request ends few engines")
def check_few_ended_engines(context: Any) -> None:
    @settings(max_examples=HISTORIES)
    @drawn(st.integers(0, 10**6), st.sampled_from([0.0, 0.1]), st.integers(0, 2))
    def check(seed: int, loss_probability: float, restarts: int) -> None:
        history = _start_history(seed, 4, 6, Network(loss_probability, 0.1, 0.02))
        history.ends_engine = lambda request: request.fingerprint == POISON
        draw = random.Random(seed)
        request_ids = []
        for number in range(int(HISTORY_S / REPEAT_S)):
            at_s = 1.5 + number * REPEAT_S
            ingress = draw.choice(list(history.alive))
            history.at(at_s, lambda e=ingress, n=number: send_request(history, e, n, POISON))
            request_ids.append(f"spoilt-{number}")
        for _ in range(restarts):
            name = draw.choice(list(history.alive))
            at_s = draw.uniform(2.0, HISTORY_S)
            history.at(at_s, lambda n=name: _restart(history, n))
        history.run_until(HISTORY_S + 3.0)
        if len(history.ended_at_s) < 3:
            return
        known_s = history.ended_at_s[2] + KNOWN_AFTER_S
        outcomes = [history.outcomes[name] for name in request_ids if name in history.outcomes]
        late = [at_s for one in outcomes for at_s in one.dispatched_at_s if at_s > known_s]
        assert len(late) <= MAX_LATE_SENDS, (late, history.ended_at_s)

    check()


@then(
    "in any history with engines that end by chance, a request that many clients send is"
    " still served"
)
def check_chance_ends(context: Any) -> None:
    @settings(max_examples=HISTORIES)
    @drawn(st.integers(0, 10**6), st.sampled_from([0.0, 0.1]))
    def check(seed: int, loss_probability: float) -> None:
        history = _start_history(seed, 4, 6, Network(loss_probability, 0.1, 0.02))
        draw = random.Random(seed)
        for number in range(400):
            at_s = 1.5 + number * 0.05
            ingress = draw.choice(list(history.alive))
            history.at(at_s, lambda e=ingress, n=number: send_request(history, e, n, POPULAR))
        for number in range(13):
            name = f"e{draw.randrange(6)}"
            history.at(2.0 + number * 1.5, lambda n=name: history.end_engine(n))
        history.run_until(25.0)
        request_ids = [f"popular-{number}" for number in range(400)]
        quarantined = [
            name for name in request_ids if "quarantined" in history.refusal_reasons.get(name, [])
        ]
        served = [name for name in request_ids if history.outcomes[name].ended_at_s is not None]
        assert len(quarantined) <= 0.05 * len(request_ids), (
            f"{len(quarantined)} of {len(request_ids)} were quarantined"
        )
        assert len(served) >= 0.8 * len(request_ids), (
            f"{len(served)} of {len(request_ids)} were served"
        )
        assert not any(
            find_remaining_quarantine_s(core.quarantine, POPULAR, history.now_s)
            for core in history.alive.values()
        )

    check()


@given("a fleet of {routers:d} routers and {engines:d} engines")
def start_fleet(context: Any, routers: int, engines: int) -> None:
    context.history = _start_history(1, routers, engines, Network())


@given("a fleet of {routers:d} routers in {zones:d} zones and {engines:d} engines")
def start_zones(context: Any, routers: int, zones: int, engines: int) -> None:
    context.history = _start_history(1, routers, engines, Network(), zones)


@when('"{name}" is sent to every engine, and all of them end at once')
def end_all(context: Any, name: str) -> None:
    history = context.history
    ingresses = list(history.alive)
    for number in range(40):
        send_request(history, ingresses[number % len(ingresses)], number, name.encode())
    history.run_until(history.now_s + 0.05)
    running = [engine for engine, runs in history.engine_runs.items() if runs]
    assert len(running) >= 4, f"it runs at {running} only"
    for engine in running:
        history.end_engine(engine)
    history.run_until(history.now_s + 0.5)


@when(
    '"{name}" is under way at {count:d} ends of engines that had written on it for {written_s:g} s'
)
def end_while_writing(context: Any, name: str, count: int, written_s: float) -> None:
    history = context.history
    history.find_answer_s = lambda request: 5.0
    for _ in range(count):
        number = len(history.ended_at_s)
        request_id = send_request(history, list(history.alive)[0], number, name.encode())
        history.run_until(history.now_s + 0.1 + written_s)
        # Its in-answer resumption would be under way at the next end as well.
        engine = next(one for one, runs in history.engine_runs.items() if request_id in runs)
        history.end_engine(engine)
        history.run_until(history.now_s + 0.02)
        history.feed(history.outcomes[request_id].ingress, events.RequestAbandoned(request_id))
        history.run_until(history.now_s + 2.0)


def _find_quarantining_routers(history: History, name: str) -> list[str]:
    return [
        ingress
        for ingress, core in history.alive.items()
        if find_remaining_quarantine_s(core.quarantine, name.encode(), history.now_s)
    ]


@then('no router quarantines "{name}"')
def check_none_quarantines(context: Any, name: str) -> None:
    assert not _find_quarantining_routers(context.history, name), _find_quarantining_routers(
        context.history, name
    )


@when('"{name}" ends two engines')
def end_two(context: Any, name: str) -> None:
    history = context.history
    history.ends_engine = lambda request: request.fingerprint == name.encode()
    ingresses = list(history.alive)
    send_request(history, ingresses[0], 1, name.encode())
    while len(history.ended_at_s) < 2:
        history.run_until(history.now_s + 0.01)
        assert history.now_s < 10.0, "no two engines have ended"


@then('all routers quarantine "{name}" within {seconds:d} second')
def check_all_quarantine(context: Any, name: str, seconds: int) -> None:
    history = context.history
    history.run_until(history.now_s + seconds)
    missing = set(history.alive) - set(_find_quarantining_routers(history, name))
    assert not missing, f"{missing} do not quarantine it"


@when("a router starts again")
def start_again(context: Any) -> None:
    context.restarted = list(context.history.alive)[5]
    _restart(context.history, context.restarted)


@then('that router quarantines "{name}" within {seconds:d} second')
def check_restarted_quarantines(context: Any, name: str, seconds: int) -> None:
    context.history.run_until(context.history.now_s + seconds)
    assert context.restarted in _find_quarantining_routers(context.history, name)


@when('a run of "{name}" completes while half of the messages are lost')
def complete_run(context: Any, name: str) -> None:
    history = context.history
    history.run_until(history.now_s + 0.5)
    assert len(_find_quarantining_routers(history, name)) == len(history.alive)
    history.network = Network(loss_probability=0.5)
    core = history.alive[list(history.alive)[3]]
    # Stands for a run that began before the quarantine, as none begins during it.
    core.quarantine.sound_runs[name.encode()] = history.now_s


@then('no router quarantines "{name}" after {seconds:d} seconds')
def check_lifted(context: Any, name: str, seconds: int) -> None:
    context.history.run_until(context.history.now_s + seconds)
    check_none_quarantines(context, name)


@when("it completes after its quarantine, at a router that then restarts")
def complete_run_later(context: Any) -> None:
    history = context.history
    history.run_until(history.now_s + FIRST_QUARANTINE_S + 1.0)
    assert not _find_quarantining_routers(history, "spoilt")
    history.ends_engine = lambda request: False
    ingress = list(history.alive)[2]
    request_id = send_request(history, ingress, 2, POISON)
    history.run_until(history.now_s + 1.0)
    assert history.outcomes[request_id].ended_at_s is not None
    _restart(history, ingress)
    history.run_until(history.now_s + 1.0)


@then('after one more engine ends under "{name}" no router quarantines it')
def check_count_reset(context: Any, name: str) -> None:
    history = context.history
    request_id = send_request(history, list(history.alive)[4], 3, name.encode())
    while not history.outcomes[request_id].dispatched:
        history.run_until(history.now_s + 0.005)
        assert history.now_s < 100.0, "it was not sent anywhere"
    history.end_engine(history.outcomes[request_id].dispatched[0])
    history.run_until(history.now_s + 0.5)
    check_none_quarantines(context, name)


_SERIALS = itertools.count(1)


def _make_end_report(
    began_age_ms: int = 80, ended_age_ms: int = 0, name: bytes = POISON
) -> ServerEndReport:
    return ServerEndReport(name, "e1", began_age_ms, ended_age_ms, "r1", next(_SERIALS))


@then(
    "a request that ends an engine after each quarantine is quarantined for 60, 120 and 240 seconds"
)
def check_doubling(context: Any) -> None:
    quarantine = Quarantine(first_serial=1)
    now_s = 10.0
    assert count_end(quarantine, _make_end_report(), now_s) is not None
    for expected_s in (60.0, 120.0, 240.0):
        now_s += 1.0
        suspect = count_end(quarantine, _make_end_report(), now_s)
        assert suspect is not None
        quarantine_request(quarantine, POISON, suspect, now_s)
        assert find_remaining_quarantine_s(quarantine, POISON, now_s) == expected_s
        now_s += expected_s
        assert find_remaining_quarantine_s(quarantine, POISON, now_s) == 0.0


def _quarantine_poison(quarantine: Quarantine, now_s: float) -> None:
    """Record that two servers ended under the poison request, one after the other."""
    assert count_end(quarantine, _make_end_report(200, 150), now_s) is not None
    suspect = count_end(quarantine, _make_end_report(80), now_s)
    assert suspect is not None
    quarantine_request(quarantine, POISON, suspect, now_s)


@then(
    "a quarantined request is refused while it waits for an engine, and while it waits for a slot"
)
def check_waiting_refused(context: Any) -> None:
    _check_refused_at_engine()
    context.refused = _refuse_at_slot()


def _check_refused_at_engine() -> None:
    history = _start_history(1, 1, 1, Network())
    ingress, core = next(iter(history.alive.items()))
    for number in range(12):
        # Long prompts, so that most wait.
        request = make_request(f"w{number}", "a", 1, 3000, history.now_s, True, POISON)
        history.ask(ingress, request)
    waiting = [one for one in core.admissions.open.values() if not one.granted]
    assert waiting, "nothing waits"
    _quarantine_poison(core.quarantine, history.now_s)
    history.run_until(history.now_s + 0.1)
    reasons = [history.refusal_reasons.get(one.request.request_id) for one in waiting]
    assert all(found == ["quarantined"] for found in reasons), reasons


def _refuse_at_slot() -> list[actions.Refuse]:
    core = RouterCore(RouterIdentity("r0", "r0", 1), CoreOptions(), random.Random(1).random)
    core.handle(events.Tick(), 0.0)
    core.exchange.current = make_plain_configuration([Load("w0", 1.0, 10.0, (0,))], 1, 1)
    for name in ("w0/1", "w0/2"):
        request = RequestSpecification(name, "w0", PLAIN_POOL, 10, 0.1, 100.0, fingerprint=POISON)
        core.handle(events.RequestArrived(request), 0.1)
    _quarantine_poison(core.quarantine, 0.12)
    done = core.handle(events.Tick(), 0.12)
    done += core.handle(events.RequestArrived(replace(request, request_id="w0/3")), 0.13)
    refused = [item for item in done if isinstance(item, actions.Refuse)]
    assert [item.request_id for item in refused] == ["w0/1", "w0/2", "w0/3"], done
    assert {item.reason for item in refused} == {RefusalReason.QUARANTINED}, refused
    return refused


@then("it is told to retry after the quarantine")
def check_retry_after(context: Any) -> None:
    retry_after_s = [item.retry_after_s for item in context.refused]
    assert all(59.0 < after_s <= FIRST_QUARANTINE_S for after_s in retry_after_s), retry_after_s


@then("two requests have the same fingerprint if and only if caller, method, path and body agree")
def check_fingerprints(context: Any) -> None:
    word = st.text(alphabet="ab/", max_size=3)
    request = st.tuples(word, word, word, st.binary(max_size=3))

    @drawn(request, request)
    def check(one: Any, other: Any) -> None:
        agree = fingerprint_request(*one) == fingerprint_request(*other)
        assert agree == (one == other)

    check()


@then(
    "{count:d} requests that ended servers leave {counted:d} counted and {quarantined:d}"
    " quarantined"
)
def check_bounds(context: Any, count: int, counted: int, quarantined: int) -> None:
    assert (counted, quarantined) == (MAX_SUSPECTS, MAX_VERDICTS)
    quarantine = Quarantine(first_serial=1)
    for number in range(count):
        name = str(number).encode()
        suspect = count_end(quarantine, _make_end_report(name=name), 10.0)
        assert suspect is not None
        quarantine_request(quarantine, name, suspect, 10.0)
    assert (len(quarantine.suspects), len(quarantine.verdicts)) == (counted, quarantined)
