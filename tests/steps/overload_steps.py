"""Steps of overloaded routers' refusals: what is logged, and when clients retry."""

import http.client
import json
import random
import subprocess
import sys
import threading
from collections import Counter
from typing import Any

from behave import then, when
from platform_operator_steps import run_losses
from platform_steps import METRICS_PORT, node

from myrtlehook_core import Shedding, schedule_retry
from myrtlehook_operator.request.losses import report_losses
from myrtlehook_operator.request.request_events import collect_events, parse_line
from standins.attempts import make_headers, new_id
from standins.network import wait_for
from standins.nodes import fetch

LOGGING_PROGRAM = """
import sys
from myrtlehook_core import RefusalReason
from myrtlehook_router.process.log_streams import BoundedStream, KeptStream
from myrtlehook_router.process.logs import get_logger, set_up_logs
from myrtlehook_router.request.refusal_sums import (
    RefusalSums, RefusedKind, count_refusal, log_refusal_sums
)

stream = BoundedStream(sys.stdout.fileno())
set_up_logs("vm-1", stream, KeptStream(stream))
log = get_logger("test")
kept_log = get_logger("test", is_kept=True)

def refuse(sums, count, workspace):
    kind = RefusedKind(RefusalReason.ROUTER_OVERLOADED, "route", workspace)
    for number in range(count):
        if count_refusal(sums, kind, f"{workspace}-{number}", 7):
            log.info("request refused", request_id=f"{workspace}-{number}",
                     reason=kind.reason, route="route", workspace=workspace)

def write_all():
    while stream._lines or stream._unwritten:
        stream.write_queued()
"""


def run_program(context: Any, *statements: str) -> None:
    program = LOGGING_PROGRAM + "\n".join(statements)
    finished = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", program],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    context.lines = finished.stdout.splitlines()


@when("a process logs {count:d} lines before its log is read")
def log_many(context: Any, count: int) -> None:
    run_program(
        context,
        f"for number in range({count}): log.info('line', number=number)",
        "write_all()",
        "dropped = stream.pop_unreported_drops()",
        "if dropped: log.warning('log lines dropped', lines=dropped)",
        "write_all()",
    )


@then("{count:d} whole lines arrive")
def check_lines(context: Any, count: int) -> None:
    whole = [line for line in context.lines if parse_line(line) is not None]
    assert len(whole) == len(context.lines) == count, (len(whole), len(context.lines))


@when("a process logs {count:d} lines, then {kept:d} that are kept, before its log is read")
def log_many_and_kept(context: Any, count: int, kept: int) -> None:
    run_program(
        context,
        f"for number in range({count}): log.info('line', number=number)",
        f"for number in range({kept}): kept_log.info('belief', number=number)",
        "write_all()",
    )


@then("{count:d} of the kept lines arrive")
def check_kept_lines(context: Any, count: int) -> None:
    found = [parse_line(line) for line in context.lines]
    arrived = sum(content is not None and content["event"] == "belief" for content in found)
    assert arrived == count, arrived


@then("the loss report names a log that dropped {count:d} lines")
def check_dropped_lines(context: Any, count: int) -> None:
    report = report_losses([context.lines])
    assert report.dropped_lines == {"vm-1": count}, report.dropped_lines


@when("a process refuses {many:d} requests of one kind and {few:d} of another in a second")
def refuse_many(context: Any, many: int, few: int) -> None:
    run_program(
        context,
        "sums = RefusalSums()",
        f"refuse(sums, {many}, 'large')",
        f"refuse(sums, {few}, 'small')",
        "log_refusal_sums(sums)",
        "write_all()",
    )


@then("at most {count:d} lines are logged for them")
def check_few_lines(context: Any, count: int) -> None:
    assert len(context.lines) <= count, len(context.lines)


@then("the losses count {count:d} refused requests, {summed:d} of them in sums")
def check_sums(context: Any, count: int, summed: int) -> None:
    report = report_losses([context.lines])
    assert (report.requests, report.lost, report.summed) == (count, count, summed), report
    by_workspace = {loss.place: loss.requests for loss in report.tables["workspace"]}
    assert by_workspace == {"large": count - 10, "small": 10}, by_workspace


@then("the story of a request that a sum names contains that sum")
def check_story(context: Any) -> None:
    story = collect_events("large-20", [context.lines])
    assert [line.event for line in story] == ["requests refused"], story


@when('"{workspace}" sends {count:d} requests at once to router {router:d}')
def send_at_once(context: Any, workspace: str, count: int, router: int) -> None:
    found = node(context, router)

    def send() -> None:
        connection = http.client.HTTPConnection(found.ip, found.front_port, timeout=30)
        headers = make_headers(new_id(), workspace)
        for _ in range(count // 4):
            connection.request("GET", "/setpoint/a", headers=headers)
            connection.getresponse().read()
        connection.close()

    threads = [threading.Thread(target=send) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.router = router


@then("the losses agree with the counters of router {router:d} within 1 part in 100")
def check_agreement(context: Any, router: int) -> None:
    _, body = fetch(node(context, router).ip, METRICS_PORT, "/metrics")
    counted = sum(
        float(line.rpartition(" ")[2])
        for line in body.decode().splitlines()
        if 'name="refusal.unauthenticated"' in line
    )

    def agree() -> bool:
        rows = run_losses(context)["tables"]["reason"]
        context.reported = sum(
            row["requests"] for row in rows if row["reason"] == "unauthenticated"
        )
        return abs(context.reported - counted) <= 0.01 * counted

    assert counted >= 100, counted
    wait_for(agree, f"the loss report to count {counted} refusals")
    lines = node(context, router).log_path.read_text().splitlines()
    summed = [line for line in lines if json.loads(line)["event"] == "requests refused"]
    assert summed, "no sums were needed"


@when("{callers:d} callers with {left_s:g} s left are refused at once at {rate:g} a second")
def refuse_callers(context: Any, callers: int, left_s: float, rate: float) -> None:
    shedding = Shedding(refused_fraction=0.5, served_count=rate)
    draw = random.Random(1).random
    context.waits_s = [schedule_retry(shedding, 0.0, left_s, draw) for _ in range(callers)]


@then("each is asked to wait between {least_s:g} and {most_s:g} s")
def check_waits(context: Any, least_s: float, most_s: float) -> None:
    assert all(least_s <= wait_s <= most_s for wait_s in context.waits_s), context.waits_s


@then("in no tenth of a second over {most:d} return")
def check_returns(context: Any, most: int) -> None:
    tenths = Counter(int(wait_s * 10.0) for wait_s in context.waits_s)
    assert max(tenths.values()) <= most, tenths
