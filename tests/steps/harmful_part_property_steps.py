"""Properties of the quarantine of parts of prompts, in simulated histories of decision cores."""

import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from myrtlehook_core import (
    CoreOptions,
    PromptPart,
    RequestSpecification,
    RouterCore,
    events,
    fingerprint_request,
    make_part_digests,
    make_part_key,
)
from myrtlehook_core.process.quarantine import (
    MAX_SUSPECTS,
    PART_ENDS_TO_QUARANTINE,
    Quarantine,
    count_end,
    find_parts_quarantine_s,
    find_remaining_quarantine_s,
)
from myrtlehook_core.process.quarantine_messages import ServerEndReport
from myrtlehook_core.request.part_keys import PART_KEY_BYTES
from standins.histories import History, Network
from standins.pools import POOL, make_request

OPTIONS = CoreOptions(retry_burst=1000.0)
HISTORIES = 10
HISTORY_S = 16.0
HARMFUL_INTERVAL_S = 0.5
SOUND_INTERVAL_S = 0.07
SESSIONS = 12
CONTACT_WINDOW_S = 3.0
MAX_LATE_SENDS = 3
ENDS_IN_RULE = 5

_NUMBERS = itertools.count(1)


def _digest(part: str) -> bytes:
    """Return the digest of a part that is not the last one of its prompt."""
    parts = (PromptPart(part, 100), PromptPart("own", 1))
    return make_part_digests(POOL, parts)[0]


BAD = _digest("bad")


def _ask(history: History, ingress: str, parts: tuple[str, ...]) -> str:
    """Send a request whose prompt has these parts and one of its own; returns its id."""
    request_id = f"p{next(_NUMBERS)}"
    request = make_request(request_id, "a", 1, 100, history.now_s, True)
    own = request.prompt_parts[-1]
    prompt = (*(PromptPart(part, 100) for part in parts), own)
    request = replace(
        request,
        prompt_parts=prompt,
        part_digests=make_part_digests(POOL, prompt),
        fingerprint=fingerprint_request("a", "POST", "/", request_id.encode()),
    )
    history.ask(ingress, request)
    return request_id


def _has_bad_part(request: RequestSpecification) -> bool:
    return BAD in request.part_digests


def _start(seed: int, loss_probability: float, engines: int = 8) -> History:
    history = History(seed, 5, engines, Network(loss_probability, 0.1, 0.02), OPTIONS)
    history.run_until(1.5)
    return history


def _send_at(history: History, at_s: float, draw: random.Random, parts: tuple[str, ...]) -> None:
    """Schedule a request at a router that is alive then."""
    history.at(at_s, lambda: _ask(history, draw.choice(list(history.alive)), parts))


def _send_sound(history: History, draw: random.Random) -> None:
    for number in range(int((HISTORY_S - 3.0) / SOUND_INTERVAL_S)):
        session = f"session-{draw.randrange(SESSIONS)}"
        _send_at(history, 1.5 + number * SOUND_INTERVAL_S, draw, ("common", session))


def _restart(history: History, name: str) -> None:
    history.kill_router(name)
    history.start_router(name)


@then("in any history with lost messages and restarted routers, a part ends few engines")
def check_few_ended(context: Any) -> None:
    @settings(max_examples=HISTORIES)
    @drawn(st.integers(0, 10**6), st.sampled_from([0.0, 0.1]), st.integers(0, 2))
    def check(seed: int, loss_probability: float, restarts: int) -> None:
        history = _start(seed, loss_probability)
        history.ends_engine = _has_bad_part
        draw = random.Random(seed)
        _send_sound(history, draw)
        harmful: list[str] = []

        def send() -> None:
            harmful.append(_ask(history, draw.choice(list(history.alive)), ("common", "bad")))

        for number in range(int((HISTORY_S - 3.0) / HARMFUL_INTERVAL_S)):
            history.at(2.5 + number * HARMFUL_INTERVAL_S, send)
        for _ in range(restarts):
            name = draw.choice(list(history.alive))
            history.at(draw.uniform(2.5, HISTORY_S), partial(_restart, history, name))
        history.run_until(HISTORY_S + 3.0)
        ended_at_s = history.ended_at_s
        assert len(ended_at_s) >= 2, "hardly any engine has ended"
        known_s = ended_at_s[min(len(ended_at_s), ENDS_IN_RULE) - 1] + CONTACT_WINDOW_S
        outcomes = [history.outcomes[one] for one in harmful if one in history.outcomes]
        late = [at_s for one in outcomes for at_s in one.dispatched_at_s if at_s > known_s]
        assert len(late) <= MAX_LATE_SENDS, (late, ended_at_s)

    check()


def _end_some(history: History, draw: random.Random, count: int) -> None:
    for server in draw.sample(list(history.servers), count):
        history.end_engine(server.name)


def _end_singly(history: History, draw: random.Random) -> None:
    for number in range(8):
        history.at(2.0 + number * 1.6, lambda: _end_some(history, draw, 1))


def _end_half(history: History, draw: random.Random) -> None:
    for number in range(4):
        history.at(2.0 + number * 3.0, lambda: _end_some(history, draw, 4))


def _end_all(history: History, draw: random.Random) -> None:
    for number in range(4):
        history.at(2.0 + number * 3.0, lambda: _end_some(history, draw, 8))


def _end_in_series(history: History, draw: random.Random) -> None:
    for number in range(6):
        history.at(3.0 + number * 0.2, lambda: _end_some(history, draw, 1))


TROUBLES: dict[str, Callable[[History, random.Random], None]] = {
    "single engines end": _end_singly,
    "half of all engines end at once": _end_half,
    "all engines end at once": _end_all,
    "engines end one after another soon": _end_in_series,
}


@then("in any history in which {trouble} by chance, no request is refused for its parts")
def check_chance_ends(context: Any, trouble: str) -> None:
    @settings(max_examples=HISTORIES)
    @drawn(st.integers(0, 10**6), st.sampled_from([0.0, 0.1]))
    def check(seed: int, loss_probability: float) -> None:
        history = _start(seed, loss_probability)
        draw = random.Random(seed)
        _send_sound(history, draw)
        TROUBLES[trouble](history, draw)
        history.run_until(HISTORY_S)
        assert history.ended_at_s, "no engine has ended"
        refused = [
            request_id
            for request_id, reasons in history.refusal_reasons.items()
            if "quarantined" in reasons and len(history.outcomes[request_id].dispatched) < 2
        ]
        # A request that was under way at two ends itself is quarantined by its fingerprint.
        assert not refused, refused
        assert not any(
            find_parts_quarantine_s(core.part_quarantine, [_digest(part)], history.now_s)
            for core in history.alive.values()
            for part in ("common", *(f"session-{number}" for number in range(SESSIONS)))
        )

    check()


def _find_running_at(history: History, request_id: str) -> str:
    """Return the engine that runs a request, or an empty text."""
    return next((one for one, runs in history.engine_runs.items() if request_id in runs), "")


def _is_refused(core: RouterCore, part: str, now_s: float) -> bool:
    return find_parts_quarantine_s(core.part_quarantine, [_digest(part)], now_s) > 0.0


@when('requests with the part "{part}" end engines of version "{version}" only')
def end_one_version(context: Any, part: str, version: str) -> None:
    history = context.history
    routers = list(history.alive)
    for number in range(24):
        history.ends_engine = lambda request: False
        request_id = _ask(history, routers[number % len(routers)], ("common", part))
        outcome = history.outcomes[request_id]
        while not (engine := _find_running_at(history, request_id)) and not outcome.refused_at_s:
            history.run_until(history.now_s + 0.002)
        if engine and history.find_software_version(engine) == version:
            history.end_engine(engine)
        history.run_until(history.now_s + 0.3)


@then('the part "{part}" is quarantined at every router after at most {count:d} ends of engines')
def check_quarantined(context: Any, part: str, count: int) -> None:
    history = context.history
    assert PART_ENDS_TO_QUARANTINE <= len(history.ended_at_s) <= count, history.ended_at_s
    for name, core in history.alive.items():
        assert _is_refused(core, part, history.now_s), name


@when('{count:d} requests with the parts "{first}" and "{second}" end one engine each')
def end_with_two_parts(context: Any, count: int, first: str, second: str) -> None:
    history = context.history
    history.ends_engine = _has_bad_part
    routers = list(history.alive)
    for number in range(count):
        _ask(history, routers[number % len(routers)], (first, second))
        history.run_until(history.now_s + 0.7)


@then('every router refuses "{refused}" and none refuses "{served}"')
def check_refused_part(context: Any, refused: str, served: str) -> None:
    now_s = context.history.now_s
    for name, core in context.history.alive.items():
        assert _is_refused(core, refused, now_s), name
        assert not _is_refused(core, served, now_s), name


@when(
    "{count:d} requests that are sent again and again end engines, both with the parts"
    ' "{first}" and "{second}"'
)
def end_by_themselves(context: Any, count: int, first: str, second: str) -> None:
    history = context.history
    routers = list(history.alive)
    prompt = (PromptPart(first, 100), PromptPart(second, 100), PromptPart("own", 100))
    context.fingerprints = [f"{number}-alone".encode() for number in range(count)]
    history.ends_engine = lambda request: request.fingerprint in context.fingerprints
    for number in range(6 * count):
        request = make_request(f"q{number}", "a", 1, 100, history.now_s, True)
        request = replace(
            request,
            fingerprint=context.fingerprints[number % count],
            prompt_parts=prompt,
            part_digests=make_part_digests(POOL, prompt),
        )
        history.ask(routers[number % len(routers)], request)
        history.run_until(history.now_s + 0.25)
    context.parts = (first, second)
    assert len(history.ended_at_s) >= 2 * count, history.ended_at_s


@then("every router quarantines both requests, and refuses neither part")
def check_only_requests(context: Any) -> None:
    now_s = context.history.now_s
    for name, core in context.history.alive.items():
        for fingerprint in context.fingerprints:
            assert find_remaining_quarantine_s(core.quarantine, fingerprint, now_s) > 0.0, name
        assert not any(_is_refused(core, part, now_s) for part in context.parts), name


@when("engines end under a part whose answers begin elsewhere between the ends")
def end_under_sound_part(context: Any) -> None:
    history = context.history
    routers = list(history.alive)
    for number in range(5):
        _ask(history, routers[(number + 1) % len(routers)], ("first", "popular"))
        history.run_until(history.now_s + 0.5)
        request_id = _ask(history, routers[number % len(routers)], ("first", "popular"))
        while not (engine := _find_running_at(history, request_id)):
            history.run_until(history.now_s + 0.002)
        history.end_engine(engine)
        history.run_until(history.now_s + 0.5)


@then("no router refuses that part")
def check_not_refused(context: Any) -> None:
    now_s = context.history.now_s
    assert len(context.history.ended_at_s) == 5
    for name, core in context.history.alive.items():
        assert not _is_refused(core, "popular", now_s), name
        assert not _is_refused(core, "first", now_s), name


@then(
    "{count:d} parts under which servers ended leave {counted:d} counted, and requests as they were"
)
def check_bounds(context: Any, count: int, counted: int) -> None:
    assert counted == MAX_SUSPECTS
    quarantine = Quarantine(first_serial=1)
    for number in range(count):
        key = make_part_key(_digest(str(number)), "v1")
        assert len(key) == PART_KEY_BYTES
        report = ServerEndReport(key, f"e{number}", 80, 0, "r1", number)
        assert count_end(quarantine, report, 10.0) is not None
    assert len(quarantine.suspects) == counted
    history = _start(1, 0.0)
    name, core = next(iter(history.alive.items()))
    history.feed(name, events.ServerEndedInRun(b"request", "e1", 1.0, 1.4))
    core.part_quarantine.suspects.update(quarantine.suspects)
    assert list(core.quarantine.suspects) == [b"request"]
