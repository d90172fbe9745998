"""Steps of engines that end while they run nothing."""

import json
import time
from typing import Any

from behave import given, then, when

from standins.attempts import make_headers, new_id, send
from standins.network import wait_for
from standins.nodes import Node

BACK_AFTER_S = 4.0
MAX_REQUESTS = 60
SETTLE_S = 1.0
"""For owners to read the entries, and to connect to their engines."""


def _send(node: Node) -> None:
    attempt_id = new_id()
    # Engines are chosen by the prompt.
    headers = make_headers(attempt_id, "planners", "400,6", f"{attempt_id}:200,aa:200")
    send(node, "POST", "/summary/week", headers, b"sound")


def _find_serving(node: Node) -> set[str]:
    """Return the engines that a router's requests were completed by, according to its log."""
    lines = [json.loads(line) for line in node.log_path.read_text().splitlines()]
    return {line["backend_server"] for line in lines if line["event"] == "request ended"} - {""}


@given("every engine has served each router")
def be_served(context: Any) -> None:
    engines = context.nodes.describe()["running_engines"]
    for node in context.nodes.nodes:
        wait_for(
            lambda node=node: _send(node) or len(_find_serving(node)) == len(engines),
            f"{node.name} to be served by {engines}",
        )


@given("the engines are of two software versions")
def set_versions(context: Any) -> None:
    engines = context.nodes.describe()["running_engines"]
    versions = {name: f"v{number}" for number, name in enumerate(engines, start=1)}
    context.nodes.order(software_versions=versions)
    time.sleep(SETTLE_S)


@when("an idle engine ends")
def end_idle_engine(context: Any) -> None:
    context.engine = context.nodes.describe()["running_engines"][0]
    context.back_at_s = time.monotonic() + BACK_AFTER_S
    context.nodes.order(faults={"engines": {"back_after_s": BACK_AFTER_S}}, end=[context.engine])


@when("requests are sent to both routers")
def send_requests(context: Any) -> None:
    for number in range(MAX_REQUESTS):
        _send(context.nodes.nodes[number % 2])
        if _is_unconfirmed(context):
            return


@then("before it is back a router no longer relies on its listed software version")
def check_unconfirmed(context: Any) -> None:
    wait_s = context.back_at_s - time.monotonic()
    wait_for(lambda: _is_unconfirmed(context), "a router to notice the end", wait_s)


def _is_unconfirmed(context: Any) -> bool:
    texts = [node.log_path.read_text() for node in context.nodes.nodes]
    logged = [json.loads(line) for text in texts for line in text.splitlines()]
    return any(
        line["event"] == "software version unconfirmed"
        and line["backend_server"].startswith(f"{context.engine}@")
        for line in logged
    )
