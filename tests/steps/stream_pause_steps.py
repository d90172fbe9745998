"""Steps of pauses between the events of streams."""

from dataclasses import replace
from typing import Any

from behave import given as before
from behave import then, when

from myrtlehook_core import CoreOptions, events
from myrtlehook_router.request.stream_pauses import (
    StreamPauses,
    begin_stream_attempt,
    record_stream_event,
)
from standins.histories import History, Network
from standins.pools import make_request

TARGET_S = 0.4
TOLERANCE_S = 1e-6
START_S = 1.0


@before("a stream whose pauses may last {target_s:g} s")
def start_stream(context: Any, target_s: float) -> None:
    context.pauses = StreamPauses(target_s=target_s)
    context.reported_s = []


@when("its events arrive at {times} s")
def receive_events(context: Any, times: str) -> None:
    for text in times.replace(" and ", ", ").split(", "):
        pause_s = record_stream_event(context.pauses, float(text))
        if pause_s:
            context.reported_s.append(pause_s)


@when("it goes on at another engine, with events at {times} s")
def resume_stream(context: Any, times: str) -> None:
    begin_stream_attempt(context.pauses)
    receive_events(context, times)


@then("the pauses {first_s:g} and {second_s:g} s are reported")
def check_reported(context: Any, first_s: float, second_s: float) -> None:
    rounded = [round(pause_s, 6) for pause_s in context.reported_s]
    assert rounded == [first_s, second_s], rounded


@then("no pauses are reported")
def check_none_reported(context: Any) -> None:
    assert not context.reported_s, context.reported_s


@then("its longest pause is {longest_s:g} s")
def check_longest(context: Any, longest_s: float) -> None:
    assert abs(context.pauses.longest_s - longest_s) < TOLERANCE_S, context.pauses


@then("its longest pause at that engine is {longest_s:g} s")
def check_longest_in_attempt(context: Any, longest_s: float) -> None:
    assert abs(context.pauses.longest_in_attempt_s - longest_s) < TOLERANCE_S, context.pauses


@before("{routers:d} routers, 1 engine and a streaming request at each router")
def start_streams(context: Any, routers: int) -> None:
    context.history = History(1, routers, 1, Network(), CoreOptions())
    context.history.run_until(START_S)
    context.streams = {}
    for number, name in enumerate(context.history.alive):
        request = make_request(f"s-{number}", "a", number, 100, START_S, True)
        request = replace(request, pause_target_s=TARGET_S)
        context.streams[name] = request.request_id
        context.history.ask(name, request)
    context.history.run_until(START_S + 0.1)


@when("all streams have ended")
def end_streams(context: Any) -> None:
    context.history.run_until(START_S + 1.0)


@when("each router sees a pause of {pause_s:g} s in its stream")
def see_pauses(context: Any, pause_s: float) -> None:
    history: History = context.history
    for name, request_id in context.streams.items():
        history.feed(name, events.StreamPaused(request_id, pause_s))
    history.run_until(history.now_s + 0.05)


def _list_known_pauses(context: Any) -> list[tuple[float, float]]:
    return [
        (pause.pause_s, pause.target_s)
        for core in context.history.alive.values()
        for load in core.engine_queues.loads.values()
        for pause in load.pauses.recent
    ]


@then("the engine's owner knows of {count:d} pauses of {pause_s:g} s with a target of "
      "{target_s:g} s")  # fmt: skip
def check_known(context: Any, count: int, pause_s: float, target_s: float) -> None:
    assert _list_known_pauses(context) == [(pause_s, target_s)] * count


@then("the engine's owner knows of no pauses")
def check_none_known(context: Any) -> None:
    assert not _list_known_pauses(context)
