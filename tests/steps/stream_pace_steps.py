"""Steps of gaps in the reading of engines, checked against simulated engines in steps."""

import itertools
import math
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from typing import Any

import msgspec
from behave import given as before
from behave import then, when
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from myrtlehook_core import CoreOptions
from myrtlehook_core.process.actions import ActionList
from myrtlehook_core.process.admission_messages import (
    AdmissionRelease,
    EngineEstimate,
    StreamPauseReport,
)
from myrtlehook_core.process.engine_loads import make_load_estimate
from myrtlehook_core.process.engine_models import make_estimate
from myrtlehook_core.process.engine_queues import handle_admission_release, handle_pause_report
from myrtlehook_core.process.outboxes import MessageOutbox
from myrtlehook_core.process.queue_contexts import QueueContext
from myrtlehook_core.process.reading_gaps import (
    ReadingBound,
    ReadingSpan,
    find_reading_start_s,
    sum_reading_s,
)
from myrtlehook_core.process.reading_plans import plan_reading
from myrtlehook_core.process.stream_paces import (
    StreamPace,
    adopt_stream_pace,
    has_recent_reports,
    is_reading_bounded,
    learn_reported_pause,
    record_reading,
)
from myrtlehook_core.process.stream_pauses import ObservedPause
from standins.engine_models import ENGINE, OwnedEngine, Traits, draw_tokens

EXAMPLES = 200
ENGINE_EXAMPLES = 12
TOLERANCE_S = 1e-9
CHUNK_TOKENS = 4096
EVENT_TOKENS = 10
STEP_S = 0.005
OUTPUT_TOKENS = 100
SHORT_OUTPUT_TOKENS = 2
WAITING = 6
LEARNING_S = 2.0
"""From then on a check counts streams: until then an owner learns of a new engine."""

PLAY_S = 14.0
FITTING_PART = 0.4
"""Prompts that fit take at most this part of the target to read."""

MAX_DRAWN_MEAN_OVER = 0.03
"""The most that the drawn engines' broken streams may come to on average."""

MAX_DRAWN_OVER = 0.2
MIN_DRAWN_READING = 0.85
"""For engines whose events take at most 1.15 of the target under reading. In most of them no stream
is broken; the gaps of a few are lost while the delay is believed to be far longer than it is."""


# -- the pure function ---------------------------------------------------------------


def _make_spans(lengths_s: Sequence[tuple[float, float]]) -> list[ReadingSpan]:
    spans = []
    end_s = 0.0
    for gap_s, length_s in lengths_s:
        start_s = end_s + gap_s
        end_s = start_s + length_s
        spans.append(ReadingSpan(start_s, end_s))
    return spans


def _exceeds(
    spans: Sequence[ReadingSpan], start_s: float, reading_s: float, bound: ReadingBound
) -> bool:
    """Return whether any window that ends within a prompt's reading holds too much reading."""
    protected = [
        ReadingSpan(max(span.start_s, bound.since_s), max(span.end_s, bound.since_s))
        for span in [*spans, ReadingSpan(start_s, start_s + reading_s)]
    ]
    ends_s = [start_s + reading_s * part / 10.0 for part in range(11)]
    return any(
        sum_reading_s(protected, end_s - bound.window_s, end_s) > bound.reading_s + TOLERANCE_S
        for end_s in ends_s
    )


@then("for any earlier reading, a prompt that fits starts at the earliest time within all bounds")
def check_earliest(context: Any) -> None:
    lengths_s = st.tuples(st.floats(0.0, 0.2), st.floats(0.001, 0.5))

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(
        st.lists(lengths_s, max_size=8),
        st.floats(0.1, 1.0),
        st.floats(0.3, 1.0),
        st.floats(0.01, 1.0),
        st.floats(-2.0, 0.0),
        st.floats(0.0, 0.3),
    )
    def check(
        lengths: list[tuple[float, float]],
        window_s: float,
        part: float,
        prompt_part: float,
        since_s: float,
        wait_s: float,
    ) -> None:
        spans = _make_spans(lengths)
        end_s = spans[-1].end_s if spans else 0.0
        bound = ReadingBound(window_s, part * window_s, end_s + since_s)
        reading_s = prompt_part * bound.reading_s
        earliest_s = end_s + wait_s
        start_s = find_reading_start_s(spans, reading_s, [bound], earliest_s)
        assert start_s >= earliest_s
        assert not _exceeds(spans, start_s, reading_s, bound)
        sooner_s = start_s - 1e-5
        assert sooner_s < earliest_s or _exceeds(spans, sooner_s, reading_s, bound)

    check()


@before("an engine that has read without a break for {length_s:g} s")
def set_reading(context: Any, length_s: float) -> None:
    context.spans = [ReadingSpan(0.0, length_s)]


@when("at most {reading_s:g} s of any {window_s:g} s may be reading")
def set_bound(context: Any, reading_s: float, window_s: float) -> None:
    context.bound = ReadingBound(window_s, reading_s, -math.inf)


@when("at most {reading_s:g} s of any {window_s:g} s may be reading, for streams that began at its "
      "end")  # fmt: skip
def set_late_bound(context: Any, reading_s: float, window_s: float) -> None:
    context.bound = ReadingBound(window_s, reading_s, context.spans[-1].end_s)


@then("a prompt of {length_s:g} s starts at once")
def check_start_at_once(context: Any, length_s: float) -> None:
    check_start(context, length_s, 0.0)


@then("a prompt of {length_s:g} s starts {wait_s:g} s later")
def check_start(context: Any, length_s: float, wait_s: float) -> None:
    end_s = context.spans[-1].end_s
    start_s = find_reading_start_s(context.spans, length_s, [context.bound], end_s)
    assert abs(start_s - end_s - wait_s) < TOLERANCE_S, start_s


# -- load patterns -------------------------------------------------------------------


@before("an engine whose events take {event_s:g} s under reading, with a target of {target_s:g} s")
def set_traits(context: Any, event_s: float, target_s: float) -> None:
    context.traits = Traits(
        read_tokens_per_s=CHUNK_TOKENS / (event_s / EVENT_TOKENS - STEP_S),
        step_s=STEP_S,
        chunk_tokens=CHUNK_TOKENS,
        transit_s=0.003,
        slots=48,
        event_tokens=EVENT_TOKENS,
        pause_target_s=target_s,
    )
    context.changes = []
    context.played = {}
    context.play_s = PLAY_S
    context.short_part = 0.0


@when("more prompts of about {mean:g} tokens wait than it can read")
def flood_with_fitting(context: Any, mean: float) -> None:
    context.mean_tokens = mean
    context.longest_tokens = 4.0 * mean


@when("more prompts of about {mean:g} tokens wait than it can read, a few many times as long")
def flood_with_long(context: Any, mean: float) -> None:
    context.mean_tokens = mean
    context.longest_tokens = math.inf


@when("{part:g} of the answers have 2 tokens")
def set_short_outputs(context: Any, part: float) -> None:
    context.short_part = part


@when("its steps take twice as long from {start_s:g} s to {end_s:g} s")
def slow_down(context: Any, start_s: float, end_s: float) -> None:
    def change(engine: OwnedEngine) -> None:
        engine.at(start_s, partial(setattr, engine, "step_factor", 2.0))
        engine.at(end_s, partial(setattr, engine, "step_factor", 1.0))

    context.changes.append(change)
    context.play_s = end_s + 12.0
    context.counted_s = (start_s, end_s)


@when("reports of pauses are {trouble}")
def disturb_reports(context: Any, trouble: str) -> None:
    def change(engine: OwnedEngine) -> None:
        engine.deliver_report = _make_disturbance(engine, trouble)

    context.changes.append(change)


@when("the begins of {part:g} of the answers are not reported")
def lose_begins(context: Any, part: float) -> None:
    context.changes.append(lambda engine: setattr(engine, "lost_begins_part", part))


@when("its owner dies at {time_s:g} s and a new one takes over")
def replace_owner(context: Any, time_s: float) -> None:
    context.changes.append(lambda engine: engine.at(time_s, engine.replace_owner))
    context.counted_s = (time_s, time_s + 2.0)


@when("at {time_s:g} s a new owner takes over that is told of {reading_ms:d} and {idle_ms:d} ms "
      "between events")  # fmt: skip
def mislead_new_owner(context: Any, time_s: float, reading_ms: int, idle_ms: int) -> None:
    def mislead(estimate: EngineEstimate) -> EngineEstimate:
        return msgspec.structs.replace(estimate, reading_event_ms=reading_ms, idle_event_ms=idle_ms)

    def change(engine: OwnedEngine) -> None:
        engine.at(time_s, partial(engine.replace_owner, mislead))

    context.changes.append(change)


@when("the begins of {part:g} of the answers are not reported from {time_s:g} s on")
def lose_later_begins(context: Any, part: float, time_s: float) -> None:
    context.changes.append(
        lambda engine: engine.at(time_s, partial(setattr, engine, "lost_begins_part", part))
    )


@when("from {start_s:g} s to {end_s:g} s prompts are sent that its owner has not granted")
def send_ungranted(context: Any, start_s: float, end_s: float) -> None:
    def change(engine: OwnedEngine) -> None:
        for number in range(round((end_s - start_s) / 0.1)):
            engine.at(start_s + 0.1 * number, partial(engine.send_foreign, 4000, OUTPUT_TOKENS))

    context.changes.append(change)
    context.counted_s = (end_s + 1.0, PLAY_S)


def _make_disturbance(engine: OwnedEngine, trouble: str) -> Callable[[Callable[[], None]], None]:
    numbers = itertools.count()

    def lose(deliver: Callable[[], None]) -> None:
        if next(numbers) % 3 == 0:
            deliver()

    def delay(deliver: Callable[[], None]) -> None:
        engine.at(engine.now_s + 0.5, deliver)

    def double(deliver: Callable[[], None]) -> None:
        deliver()
        engine.at(engine.now_s + 0.1, deliver)

    def disturb_by_turns(deliver: Callable[[], None]) -> None:
        (lose, delay, double)[next(numbers) % 3](deliver)

    return {
        "lost, 2 of 3": lose,
        "late by 0.5 s": delay,
        "doubled": double,
        "lost, late, doubled by turns": disturb_by_turns,
    }[trouble]


def _play(context: Any, paces: bool, seed: int = 1) -> OwnedEngine:
    if (paces, seed) not in context.played:
        engine = OwnedEngine(context.traits, seed, CoreOptions(paces_streams=paces))
        for change in context.changes:
            change(engine)
        flood_streams(
            engine,
            context.mean_tokens,
            context.longest_tokens,
            context.play_s,
            context.short_part,
        )
        engine.run_until(context.play_s)
        context.played[paces, seed] = engine
    played: OwnedEngine = context.played[paces, seed]
    return played


def flood_streams(
    engine: OwnedEngine, mean: float, longest: float, until_s: float, short_part: float = 0.0
) -> None:
    """Keep streams of random sizes waiting at the owner up to a time."""

    def refill() -> None:
        while len(engine.load.waiting) < WAITING:
            is_short = short_part > 0.0 and engine.random.random() < short_part
            output_tokens = SHORT_OUTPUT_TOKENS if is_short else OUTPUT_TOKENS
            engine.ask(round(min(draw_tokens(engine, mean), longest)), output_tokens)
        if engine.now_s < until_s:
            engine.at(engine.now_s + 0.005, refill)

    engine.at(engine.now_s, refill)


def _count_over(context: Any, paces: bool) -> float:
    start_s, end_s = getattr(context, "counted_s", (LEARNING_S, context.play_s))
    return _play(context, paces).part_over_target(start_s, end_s)


@then("without gaps, more than {part:g} of its streams pause for too long")
@then("without gaps, more than {part:g} of the streams begun in that time pause for too long")
def check_broken_without(context: Any, part: float) -> None:
    over = _count_over(context, False)
    assert over > part, over


@then("with gaps, at most {part:g} of its streams do")
@then("with gaps, at most {part:g} of them do")
@then("with gaps, at most {part:g} of the streams begun in the 2 s after that do")
@then("with gaps, at most {part:g} of the streams begun from 7.5 s on do")
def check_kept_with(context: Any, part: float) -> None:
    over = _count_over(context, True)
    assert over <= part, over


@then("with gaps, at most {part:g} of the streams of {count:d} such engines do")
def check_kept_on_average(context: Any, part: float, count: int) -> None:
    engines = [_play(context, True, seed) for seed in range(1, count + 1)]
    over = [engine.part_over_target(LEARNING_S, context.play_s) for engine in engines]
    assert sum(over) / count <= part, over


@then("it reads at least {part:g} of what it reads without gaps")
def check_reading(context: Any, part: float) -> None:
    ratio = _play(context, True).read_tokens / _play(context, False).read_tokens
    assert ratio >= part, ratio


@then("12 s after that its reading is not bounded any more")
def check_unbounded(context: Any) -> None:
    engine = _play(context, True)
    assert not is_reading_bounded(engine.load.stream_pace, engine.now_s), engine.load.stream_pace


@then("its owner has told once that it bounds the reading, and once that it does not")
def check_told_changes(context: Any) -> None:
    assert _play(context, True).bound_changes == [True, False]


@then("its owner has told at most twice whether it bounds the reading")
def check_no_flapping(context: Any) -> None:
    changes = _play(context, True).bound_changes
    assert len(changes) <= 2, changes


@then("with gaps, the same prompts are granted at the same times as without")
def check_same_grants(context: Any) -> None:
    assert _play(context, True).grants == _play(context, False).grants


@then("its owner has learned of pauses near the target")
def check_learned(context: Any) -> None:
    assert _play(context, True).load.stream_pace.reports > 0


@then("without gaps, its owner has learned nothing of the pace")
def check_nothing_learned(context: Any) -> None:
    pace = _play(context, False).load.stream_pace
    assert (pace.reports, pace.reading_event_s) == (0, 0.0), pace.reports


class _CountedSpans(list[ReadingSpan]):
    """Counts the spans that are looked at."""

    looked_at = 0

    def __iter__(self) -> Iterator[ReadingSpan]:
        return self._count(super().__iter__())

    def __reversed__(self) -> Iterator[ReadingSpan]:
        return self._count(super().__reversed__())

    def _count(self, spans: Iterator[ReadingSpan]) -> Iterator[ReadingSpan]:
        for span in spans:
            self.looked_at += 1
            yield span


@before(
    "an engine that has read {length_s:g} s in each of the last {count:d} times of {cycle_s:g} s"
)
def set_regular_reading(context: Any, length_s: float, count: int, cycle_s: float) -> None:
    context.spans = _CountedSpans(_make_spans([(cycle_s - length_s, length_s)] * count))


@then("the sum of the reading in the last {time_s:g} s is {sum_s:g} s, found from at most {most:d} "
      "times of reading")  # fmt: skip
def check_sum(context: Any, time_s: float, sum_s: float, most: int) -> None:
    end_s = context.spans[-1].end_s
    found_s = sum_reading_s(context.spans, end_s - time_s, end_s)
    assert abs(found_s - sum_s) < TOLERANCE_S, found_s
    assert context.spans.looked_at <= most, context.spans.looked_at


@then("a prompt of {length_s:g} s starts at once, found from at most {most:d} times of reading")
def check_start_found_soon(context: Any, length_s: float, most: int) -> None:
    check_start(context, length_s, 0.0)
    assert context.spans.looked_at <= most, context.spans.looked_at


@then("a plan for a target of {target_s:g} s holds at most {most:d} times of reading")
def check_plan_size(context: Any, target_s: float, most: int) -> None:
    engine = OwnedEngine(Traits(pause_target_s=target_s))
    engine.ask(1000, 1000)
    engine.run_until(LEARNING_S)
    end_s = context.spans[-1].end_s
    load = engine.load
    load.stream_pace = StreamPace(
        reading_event_s=0.45, reported_at_s=end_s, adopted_until_s=end_s + 1.0
    )
    load.stream_pace.spans.extend(context.spans)
    load.read_until_s = end_s
    plan = plan_reading(load, end_s)
    assert plan.bounds
    assert 0 < len(plan.spans) <= most, len(plan.spans)


# -- owners --------------------------------------------------------------------------


def _begin_run(context: Any) -> tuple[OwnedEngine, str, float]:
    """Let one answer begin; returns the engine, the request, and when its answer began."""
    engine = OwnedEngine(context.traits)
    engine.run_until(LEARNING_S)
    engine.ask(4000, 1000)
    engine.run_until(LEARNING_S + 1.0)
    request_id, item = next(iter(engine.load.granted.items()))
    assert item.begun
    return engine, request_id, item.begun_at_s


def _release(engine: OwnedEngine, message: AdmissionRelease, now_s: float) -> float:
    """Handle a release; returns the believed time between events without reading."""
    queue_context = QueueContext(
        engine.options, engine.configuration, lambda name: True, ActionList(), MessageOutbox()
    )
    handle_admission_release(engine.queues, queue_context, message, now_s)
    return engine.load.stream_pace.idle_event_s


@then("releases of <kind> show nothing of the time between events")
def check_odd_releases(context: Any) -> None:
    for (kind,) in context.table.rows:
        engine, request_id, begun_at_s = _begin_run(context)
        odd = {
            "a run that failed": (request_id, True, True, 50),
            "a request withdrawn": (request_id, False, False, 50),
            "a request not known": ("other", True, False, 50),
            "a run with only one pause": (request_id, True, False, 990),
        }
        name, ran, failed, pause_ms = odd[kind]
        message = AdmissionRelease(name, ENGINE, ran, failed, pause_ms)
        assert _release(engine, message, begun_at_s + 1.0) == math.inf, kind


@then("a reported pause of {pause_s:g} s with a target of {target_s:g} s makes its stream not late")
def check_not_late(context: Any, pause_s: float, target_s: float) -> None:
    assert not _report_pause(context, pause_s, target_s)


@then("a reported pause of {pause_s:g} s with a target of {target_s:g} s makes its stream late")
def check_late(context: Any, pause_s: float, target_s: float) -> None:
    assert _report_pause(context, pause_s, target_s)


def _report_pause(context: Any, pause_s: float, target_s: float) -> bool:
    """Report a pause of a running stream; returns whether the stream counts as late."""
    engine, request_id, begun_at_s = _begin_run(context)
    report = StreamPauseReport(
        request_id, ENGINE, round(pause_s * 1000.0), round(target_s * 1000.0)
    )
    handle_pause_report(engine.queues, report, begun_at_s + 1.0)
    return engine.load.granted[request_id].is_late


@then("reports of requests not known, at an engine that has read, teach its owner nothing")
def check_unknown_requests(context: Any) -> None:
    engine, _, begun_at_s = _begin_run(context)
    record_reading(engine.load.stream_pace, begun_at_s, begun_at_s + 1.0)
    for number in range(9):
        report = StreamPauseReport(f"x{number}", ENGINE, 900, 400)
        handle_pause_report(engine.queues, report, begun_at_s + 1.0)
    assert engine.load.stream_pace.reports == 0


@then("the release of a run of several events shows it, once")
def check_release(context: Any) -> None:
    engine, request_id, begun_at_s = _begin_run(context)
    message = AdmissionRelease(request_id, ENGINE, True, False, 50)
    assert _release(engine, message, begun_at_s + 1.0) == 0.05
    engine.load.stream_pace.idle_event_s = math.inf
    assert _release(engine, message, begun_at_s + 1.1) == math.inf


def _make_learned_pace() -> StreamPace:
    return StreamPace(True, 0.45, 0.05, reports=5, reported_at_s=1.0, bounded_targets_s={0.4})


@then("a stream pace survives the estimate that goes with each grant")
def check_survival(context: Any) -> None:
    engine = OwnedEngine(Traits())
    engine.load.stream_pace = _make_learned_pace()
    adopted = StreamPace()
    adopt_stream_pace(adopted, make_load_estimate(engine.load, 1.5), 0.4, 3.0)
    assert has_recent_reports(adopted, 3.0)
    assert abs(adopted.reading_event_s - 0.45) < TOLERANCE_S
    assert abs(adopted.idle_event_s - 0.05) < TOLERANCE_S


@before("an owner that bounds the reading for targets of 0.4 and 0.2 s")
def set_bounded_targets(context: Any) -> None:
    context.pace = StreamPace(reading_event_s=0.45, idle_event_s=0.05, reported_at_s=0.0)
    record_reading(context.pace, 0.0, 20.0)
    for target_s in (0.2, 0.4):
        for number in range(3):
            at_s = 1.0 + 0.1 * number
            learn_reported_pause(context.pace, ObservedPause(at_s, 0.45, target_s), at_s)
    assert context.pace.bounded_targets_s == {0.2, 0.4}


@when("for {time_s:g} s all reported pauses are of {pause_s:g} s with a target of {target_s:g} s")
def report_pauses(context: Any, time_s: float, pause_s: float, target_s: float) -> None:
    for number in range(round(time_s)):
        at_s = 2.0 + number
        learn_reported_pause(context.pace, ObservedPause(at_s, pause_s, target_s), at_s)


@then("the reading is bounded for the target of {target_s:g} s alone")
def check_bounded_targets(context: Any, target_s: float) -> None:
    assert context.pace.bounded_targets_s == {target_s}, context.pace.bounded_targets_s


@then("an estimate of an owner that bounds no reading changes nothing")
def check_no_adoption(context: Any) -> None:
    engine = OwnedEngine(Traits())
    estimate = make_load_estimate(engine.load, 1.5)
    assert estimate == make_estimate(engine.load.model, 1.5)
    adopted = StreamPace()
    adopt_stream_pace(adopted, estimate, 0.4, 3.0)
    assert adopted == StreamPace()


@then("reports of no pause, of no target and of requests that are not known bound no reading")
def check_odd_reports(context: Any) -> None:
    engine = OwnedEngine(Traits())
    for number, (pause_ms, target_ms) in enumerate([(0, 400), (-5, 400), (900, 0), (900, 400)] * 9):
        report = StreamPauseReport(f"x{number}", ENGINE, pause_ms, target_ms)
        handle_pause_report(engine.queues, report, 1.0)
    assert not has_recent_reports(engine.load.stream_pace, 1.0)


# -- drawn engines -------------------------------------------------------------------


@then("whatever engine is drawn, fitting prompts break few streams and cost little reading")
def check_drawn(context: Any) -> None:
    overs = []

    @settings(
        max_examples=ENGINE_EXAMPLES,
        deadline=None,
        phases=[Phase.explicit, Phase.reuse, Phase.generate],
    )
    @given(
        st.floats(0.2, 0.6),
        st.floats(0.9, 1.15),
        st.floats(0.08, 0.2),
        st.integers(5, 12),
        st.integers(1, 2**30),
    )
    def check(
        target_s: float, event_part: float, step_part: float, event_tokens: int, seed: int
    ) -> None:
        piece_s = event_part * target_s / event_tokens
        step_s = step_part * piece_s
        read_s = piece_s - step_s
        traits = Traits(
            read_tokens_per_s=CHUNK_TOKENS / read_s,
            step_s=step_s,
            chunk_tokens=CHUNK_TOKENS,
            transit_s=0.002,
            slots=48,
            event_tokens=event_tokens,
            pause_target_s=target_s,
        )
        longest = FITTING_PART * target_s * CHUNK_TOKENS / (read_s + step_s)
        engines = []
        for paces in (False, True):
            engine = OwnedEngine(traits, seed, CoreOptions(paces_streams=paces))
            flood_streams(engine, longest / 2.0, longest, PLAY_S)
            engine.run_until(PLAY_S)
            engines.append(engine)
        free, paced = engines
        over = paced.part_over_target(LEARNING_S, PLAY_S)
        overs.append(over)
        assert over <= MAX_DRAWN_OVER, (traits, seed, over)
        ratio = paced.read_tokens / free.read_tokens
        assert ratio >= MIN_DRAWN_READING, (traits, seed, ratio)

    check()
    assert sum(overs) / len(overs) <= MAX_DRAWN_MEAN_OVER, overs
