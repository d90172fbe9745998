"""Steps of what operators see: counts of what callers got, engines, causes of lateness."""

import io
import json
import re
from collections import Counter
from dataclasses import replace
from typing import Any

from behave import given, then, when
from platform_steps import METRICS_PORT, node
from rich.console import Console

from myrtlehook_core import RequestSpecification
from myrtlehook_core.process.admission_messages import StreamPauseReport
from myrtlehook_core.process.engine_loads import EngineFigures
from myrtlehook_core.process.engine_models import make_estimate
from myrtlehook_core.process.statuses import describe_engine
from myrtlehook_core.process.stream_pauses import count_recent_pauses, record_pause_report
from myrtlehook_operator.process import reports
from myrtlehook_operator.request.losses import report_losses
from myrtlehook_operator.request.request_events import collect_events
from myrtlehook_router.request.request_tallies import (
    OTHERS,
    Dimension,
    Figure,
    RequestTallies,
    describe_tallies,
    make_tally_key,
    tally,
    tally_arrival,
    tally_refusal,
)
from standins.engine_models import ENGINE, OwnedEngine, Traits, flood
from standins.network import wait_for
from standins.nodes import fetch
from standins.pools import make_request


@given("a router that counts what callers got")
def start_counting(context: Any) -> None:
    context.tallies = RequestTallies()
    context.asked = 0


@given("a router that does not count what callers got")
def start_without_counting(context: Any) -> None:
    context.tallies = RequestTallies(enabled=False)
    context.asked = 0


def _make_request(context: Any, workspace: str, route: str, body: str) -> RequestSpecification:
    context.asked += 1
    request = make_request(f"r{context.asked}", workspace, 0, 100, 0.0, True, body.encode())
    return replace(request, route=route, body_bytes=len(body))


def _serve(context: Any, request: RequestSpecification, figure: Figure, now_s: float) -> None:
    tally_arrival(context.tallies, request, now_s)
    if figure is Figure.REFUSED:
        tally_refusal(context.tallies, request, now_s)
    else:
        tally(context.tallies, make_tally_key(request), figure, now_s)


@when('at {now_s:g} s "{workspace}" on "{route}" gets: {figures}')
def serve_all(context: Any, now_s: float, workspace: str, route: str, figures: str) -> None:
    for figure in figures.split(", "):
        context.request = _make_request(context, workspace, route, f"body {context.asked}")
        _serve(context, context.request, Figure(figure), now_s)


@when('at {now_s:g} s "{workspace}" on "{route}" without a body gets: {figures}')
def serve_lookups(context: Any, now_s: float, workspace: str, route: str, figures: str) -> None:
    for figure in figures.split(", "):
        request = replace(_make_request(context, workspace, route, ""), fingerprint=b"the same")
        _serve(context, request, Figure(figure), now_s)


@when("at {now_s:g} s the same caller sends it again, with another id, and gets: {figure}")
def serve_again(context: Any, now_s: float, figure: str) -> None:
    again = replace(context.request, request_id=f"{context.request.request_id}-{now_s}")
    _serve(context, again, Figure(figure), now_s)


def _list_counts(context: Any, dimension: str, name: str, now_s: float) -> dict[str, int]:
    counts = describe_tallies(context.tallies, now_s)[dimension].get(name, {})
    return {figure: count for figure, count in counts.items() if count}


@then('at {now_s:g} s by "{dimension}" "{name}" has nothing')
def check_nothing(context: Any, now_s: float, dimension: str, name: str) -> None:
    assert not _list_counts(context, dimension, name, now_s)


@then('at {now_s:g} s by "{dimension}" "{name}" has {counts}')
def check_counts(context: Any, now_s: float, dimension: str, name: str, counts: str) -> None:
    expected = {item.split()[0]: int(item.split()[1]) for item in counts.split(", ")}
    found = _list_counts(context, dimension, name, now_s)
    assert found == expected, found


@when("{count:d} workspaces ask for one request each, and one for {busy:d}")
def flood_names(context: Any, count: int, busy: int) -> None:
    for number in range(busy):
        _serve(context, _make_request(context, "busy", "draft", f"b{number}"), Figure.IN_TIME, 1.0)
    for number in range(count):
        request = _make_request(context, f"w{number}", "draft", f"w{number}")
        _serve(context, request, Figure.IN_TIME, 1.0)


@then("the status shows {count:d} workspaces and the others as one, {requests:d} requests in all")
def check_shown(context: Any, count: int, requests: int) -> None:
    shown = describe_tallies(context.tallies, 2.0)["workspace"]
    assert len(shown) == count + 1 and list(shown)[-1] == OTHERS, list(shown)
    assert sum(counts["asked"] for counts in shown.values()) == requests, shown


@then("the busiest workspace is shown with its {busy:d} requests")
def check_busiest(context: Any, busy: int) -> None:
    shown = describe_tallies(context.tallies, 2.0)["workspace"]
    assert next(iter(shown.items()))[1]["asked"] == busy, shown


@then("the metrics have at most {count:d} workspaces, {requests:d} requests in all")
def check_totals(context: Any, count: int, requests: int) -> None:
    names = context.tallies.totals.names[Dimension.WORKSPACE]
    assert len(names) <= count, len(names)
    assert sum(counts[Figure.ASKED] for counts in names.values()) == requests


@given("the log line of a whole answer")
def make_line(context: Any) -> None:
    context.line = {
        "event": "request ended",
        "request_id": "x1",
        "route": "draft",
        "workspace": "a",
        "outcome": "completed",
        "detail": "streamed",
        "attempts": 1,
        "waited_ms": 500.0,
        "first_byte_ms": 100.0,
        "aim_ms": 600,
        "pause_target_ms": 400,
    }


@when("its first event came after {first_ms:g} ms and its longest pause was {pause_ms:g} ms")
def set_times(context: Any, first_ms: float, pause_ms: float) -> None:
    line = context.line | {"first_event_ms": first_ms, "longest_pause_ms": pause_ms}
    context.lines = [json.dumps(line)]


@then('the losses count it by route as "{kind}" with the reason "{reason}"')
def check_loss(context: Any, kind: str, reason: str) -> None:
    rows = report_losses([context.lines]).tables["route"]
    assert [(row.place, row.kind, row.reason) for row in rows] == [("draft", kind, reason)], rows


@then('the losses count it by route as "none" with the reason ""')
def check_no_loss(context: Any) -> None:
    assert not report_losses([context.lines]).lost


@then('its explanation tells "{facts}"')
def check_facts(context: Any, facts: str) -> None:
    cause = collect_events("x1", [context.lines])[0].cause
    assert cause is not None and facts in cause.facts, cause


@then('its explanation tells ""')
def check_no_cause(context: Any) -> None:
    assert collect_events("x1", [context.lines])[0].cause is None


@given("an engine that has begun {count:d} answers, and of which {pauses:d} pauses were reported "
       "lately")  # fmt: skip
def run_engine(context: Any, count: int, pauses: int) -> None:
    engine = context.engine = OwnedEngine(Traits())
    flood(engine, 1_000.0, 8, until_s=5.0)
    while len(engine.forecasts) < count:
        engine.run_until(engine.now_s + 0.02)
    for number in range(pauses):
        report = StreamPauseReport(f"q{number}", ENGINE, 390, 400)
        record_pause_report(engine.load.pauses, report, engine.now_s)


def _describe_engine(engine: OwnedEngine, now_s: float) -> Any:
    load = engine.load
    return describe_engine(
        EngineFigures(
            backend_server=ENGINE,
            estimate=make_estimate(load.model, now_s),
            window_tokens=engine.window_tokens,
            backlog_tokens=0.0,
            waiting_requests=len(load.waiting),
            granted_requests=len(load.granted),
            forecast_error_s=load.model.forecast_error_s,
            recent_pauses=count_recent_pauses(load.pauses, now_s),
        )
    )


@then("its status has a rate, a delay, its forecast error, what runs and waits, and {pauses:d} "
      "pauses")  # fmt: skip
def check_engine_status(context: Any, pauses: int) -> None:
    engine: OwnedEngine = context.engine
    status = _describe_engine(engine, engine.now_s)
    assert status.rate_tokens_per_s > 0 and status.delay_ms > 0.0, status
    errors_s = [abs(item.begun_s - item.expected_s) for item in engine.forecasts]
    assert 0.0 < status.forecast_error_ms / 1000.0 <= max(errors_s), status
    assert status.running_requests and status.waiting_requests, status
    assert status.recent_pauses == pauses, status


@then("a minute later its status has {pauses:d} pauses")
def check_later_pauses(context: Any, pauses: int) -> None:
    status = _describe_engine(context.engine, context.engine.now_s + 60.0)
    assert status.recent_pauses == pauses, status


@given("the status of {count:d} routers, of which one reports a figure more")
def make_statuses(context: Any, count: int) -> None:
    context.statuses = [
        {
            "vm": f"vm-{number}",
            "configuration_number": 1,
            "configuration_digest": "d",
            "configuration_source": "platform",
            "queued_requests": 0,
            "running_requests": 0,
            "draining": False,
            "servers": [],
            "queues": [],
            "peers": [],
            "engines": [{"backend_server": f"engine-{number}", "rate_tokens_per_s": 40_000}],
            "requests": {"workspace": {"a": {"asked": 3 + number}}},
        }
        for number in range(count)
    ]
    context.statuses[1]["requests"]["workspace"]["a"]["booked"] = 2


@when("the tool prints them")
def print_them(context: Any) -> None:
    console = Console(record=True, width=200, file=io.StringIO())
    usual, reports.OUT = reports.OUT, console
    try:
        reports.print_statuses(context.statuses, [])
    finally:
        reports.OUT = usual
    context.printed = console.export_text()


@then('it prints "asked {asked:d}", "booked {booked:d}" and a row for each engine')
def check_printed(context: Any, asked: int, booked: int) -> None:
    rows = [re.split(r"[│┃]", line) for line in context.printed.splitlines()]
    cells = [[cell.strip() for cell in row] for row in rows]
    assert any({"workspace", "asked", "booked"} <= set(row) for row in cells), context.printed
    assert any({"a", str(asked), str(booked)} <= set(row) for row in cells), context.printed
    for number in range(len(context.statuses)):
        assert any({f"engine-{number}", "40000", f"vm-{number}"} <= set(row) for row in cells)


@then('the metrics of router {router:d} count for "{dimension}" "{name}": {counts}')
def check_request_metrics(
    context: Any, router: int, dimension: str, name: str, counts: str
) -> None:
    expected = {item.split()[0]: float(item.split()[1]) for item in counts.split(", ")}
    metric = f"myrtlehook_requests_by_{dimension}_total"
    pattern = rf'{metric}\{{outcome="(\w+)",{dimension}="{name}"\}} (\S+)'
    alternative = rf'{metric}\{{{dimension}="{name}",outcome="(\w+)"\}} (\S+)'

    def is_counted() -> bool:
        body = fetch(node(context, router).ip, METRICS_PORT, "/metrics")[1].decode()
        found = re.findall(pattern, body) + re.findall(alternative, body)
        context.counted = Counter({outcome: float(count) for outcome, count in found})
        return all(context.counted[outcome] >= count for outcome, count in expected.items())

    wait_for(is_counted, f"the metrics to count {counts} for {name}")
