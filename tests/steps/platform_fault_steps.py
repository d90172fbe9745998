"""Steps of failures on the emulated platform: of servers, streams, callers and routers."""

import http.client
import signal
from typing import Any

from behave import given, then, when
from platform_steps import EVENT_ID, check_sealed, node, send_attempt

from standins.attempts import Attempt, make_headers, new_id
from standins.network import wait_for
from standins.nodes import Node


@given('server "{name}" refuses 1 request')
def refuse_one_request(context: Any, name: str) -> None:
    context.nodes.order(faults={name: {"refusals": 1}})


@given('server "{name}" loses 1 answer')
def lose_one_answer(context: Any, name: str) -> None:
    context.nodes.order(faults={name: {"reset_answers": 1}})


@given('server "{name}" resets 1 answer half-way that has no length')
def reset_one_answer(context: Any, name: str) -> None:
    context.nodes.order(faults={name: {"unframed_resets": 1}})


def inject_engine_faults(context: Any, **faults: int) -> None:
    names = [name for name in context.nodes.addresses if name.startswith("i-engine")]
    context.nodes.order(faults={name: faults for name in names})


@given("the next stream breaks off after {count:d} events")
def break_stream(context: Any, count: int) -> None:
    context.nodes.order(faults={"engines": {"break_after_events": count}})


@given("answers have no length")
def send_unframed(context: Any) -> None:
    context.nodes.order(faults={"engines": {"unframed": True}})


@given("the next answer has no length and ends inside the event after {count:d} events")
def cut_stream(context: Any, count: int) -> None:
    context.nodes.order(faults={"engines": {"unframed": True, "cut_after_events": count}})


@given("every engine answers 1 request under a wrong id")
def answer_under_wrong_ids(context: Any) -> None:
    inject_engine_faults(context, wrong_ids=1)


@given("every engine holds its streams after {count:d} events")
def hold_streams(context: Any, count: int) -> None:
    inject_engine_faults(context, hold_after_events=count)


@given('server "{name}" loses {count:d} answers')
def lose_answers(context: Any, name: str, count: int) -> None:
    context.nodes.order(faults={name: {"reset_answers": count}})


@given('server "{name}" answers {count:d} requests with a failure of its own')
def answer_with_errors(context: Any, name: str, count: int) -> None:
    context.nodes.order(faults={name: {"errors": count}})
    context.log_sizes = {found.name: found.log_path.stat().st_size for found in context.nodes.nodes}


@then("its events are numbered from 1 to {last:d} without a gap")
def check_events(context: Any, last: int) -> None:
    seen = [int(number) for number in EVENT_ID.findall(context.attempt.body)]
    assert seen == list(range(1, last + 1)), seen


@then("the answer broke off before its end")
def check_broken(context: Any) -> None:
    assert context.attempt.broken, context.attempt


@when('"{workspace}" opens a stream at router {router:d}')
def open_stream(context: Any, workspace: str, router: int) -> None:
    found = node(context, router)
    headers = make_headers(new_id(), workspace, "900,60", f"{new_id()}:300")
    context.attempt = Attempt(headers["Attempt-Id"])
    context.connection = http.client.HTTPConnection(found.ip, found.front_port, timeout=30)
    context.connection.request("POST", "/diagnosis/a", body=b"body", headers=headers)
    context.response = context.connection.getresponse()
    context.first_bytes = context.response.read1(65536)
    assert EVENT_ID.search(context.first_bytes), context.first_bytes


@when('"{workspace}" opens a stream at router {router:d} and leaves after the first event')
def open_and_leave(context: Any, workspace: str, router: int) -> None:
    open_stream(context, workspace, router)
    context.response.close()
    context.connection.close()


@given("every engine is silent")
def silence_engines(context: Any) -> None:
    inject_engine_faults(context, silent=True)


@when('"{workspace}" leaves {count:d} requests at router {router:d} once an engine runs them')
def abandon_requests(context: Any, workspace: str, count: int, router: int) -> None:
    found = node(context, router)
    for _ in range(count):
        headers = make_headers(new_id(), workspace, "300,60", f"{new_id()}:300")
        context.attempt = Attempt(headers["Attempt-Id"])
        connection = http.client.HTTPConnection(found.ip, found.front_port, timeout=30)
        connection.request("POST", "/diagnosis/a", body=b"body", headers=headers)
        attempt_id = context.attempt.attempt_id
        wait_for(lambda wanted=attempt_id: context.nodes.count_runs(wanted) > 0, "a run")
        connection.close()


@then("no router has ejected an engine")
def check_none_ejected(context: Any) -> None:
    for found in context.nodes.nodes:
        lines = found.log_path.read_text().splitlines()
        ejected = [line for line in lines if '"ejected"' in line and "i-engine" in line]
        assert not ejected, ejected


@then("the engines cancel that run")
def check_cancelled(context: Any) -> None:
    def is_cancelled() -> bool:
        servers = context.nodes.describe()["servers"].values()
        return any(context.attempt.attempt_id in server["cancelled"] for server in servers)

    wait_for(is_cancelled, "the run is cancelled")
    inject_engine_faults(context, hold_after_events=0, silent=False)


@when("the platform stops router {router:d}")
def stop_router(context: Any, router: int) -> None:
    node(context, router).process.send_signal(signal.SIGTERM)


@then("router {router:d} is not ready")
def check_not_ready(context: Any, router: int) -> None:
    found = node(context, router)
    wait_for(lambda: context.nodes.fetch_readiness(found) == 503, "readiness 503")


@then("the stream goes on to its whole end once the engines go on")
def check_stream_ends(context: Any) -> None:
    inject_engine_faults(context, hold_after_events=0, silent=False)
    body = context.first_bytes + context.response.read()
    seen = [int(number) for number in EVENT_ID.findall(body)]
    assert seen == list(range(1, 21)), seen
    context.connection.close()


@then("router 1 has ended with status {status:d}")
def check_ended(context: Any, status: int) -> None:
    process = context.nodes.nodes[0].process
    assert process.wait(timeout=30) == status
    stopped = context.nodes.nodes.pop(0)
    ips = [stopped.ip, *(other.ip for other in context.nodes.nodes)]
    context.nodes.start_node(stopped.name, stopped.ip, ips)
    context.nodes.nodes.insert(0, context.nodes.nodes.pop())
    context.nodes.wait_ready()


@then('"{workspace}" is served at "{path}" by router {router:d} at once')
def check_served_at_once(context: Any, workspace: str, path: str, router: int) -> None:
    send_attempt(context, router, workspace, "POST", path, "", b"body")
    check_sealed(context, 200)
    for found in context.nodes.nodes:
        assert not _find_ejections(context, found), found.log_path.read_text()[-2000:]


def _find_ejections(context: Any, found: Node) -> list[str]:
    """Return the ejections that a router logged since the scenario injected its fault."""
    text = found.log_path.read_bytes()[context.log_sizes[found.name] :].decode()
    return [line for line in text.splitlines() if '"ejected"' in line]


@then('the log of router 1 or 2 has "{text}"')
def check_logs(context: Any, text: str) -> None:
    def is_logged() -> bool:
        return any(text in found.log_path.read_text() for found in context.nodes.nodes)

    wait_for(is_logged, f"{text!r} in a log")


@when('{count:d} callers ask for "{path}" at router 1 and keep their connections open')
def open_idle_connections(context: Any, count: int, path: str) -> None:
    found = node(context, 1)
    context.idle_connections = []
    for _ in range(count):
        connection = http.client.HTTPConnection(found.ip, found.front_port, timeout=30)
        connection.request("GET", path, headers=make_headers(new_id(), "planners"))
        response = connection.getresponse()
        response.read()
        context.idle_connections.append((connection, response.will_close))


@then("some of their connections were ended after the answer")
def check_some_closed(context: Any) -> None:
    ended = [will_close for _, will_close in context.idle_connections]
    assert any(ended) and not all(ended), ended


@given("nothing is wrong")
def inject_no_fault(context: Any) -> None:
    """Inject no fault; for outlines whose other rows inject one."""
