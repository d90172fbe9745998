"""Steps of requests that are sent a second time, after their first answer was broken."""

import json
from typing import Any

from behave import given, then, when

from emulator.sites import make_configuration
from myrtlehook_core import BackendServer, RetryReason, SourceOrder, actions, events
from standins.wired_routers import WiredRouters

SERVICE = "desk"
ROUTE = "setpoint"
"""Its requests may be repeated, and sent to two servers."""


@given("two routers that know {count:d} servers of a plain service")
def know_servers(context: Any, count: int) -> None:
    context.routers = WiredRouters()
    context.servers = [
        BackendServer(f"i-{number}", SERVICE, f"10.0.1.{number}:80", "hall-1", 4, False, False)
        for number in range(1, count + 1)
    ]


@when("the answer to a request is broken")
def break_answer(context: Any) -> None:
    routers = context.routers
    with routers.running():
        routers.post(events.ConfigurationRead(json.dumps(make_configuration(1))))
        routers.post(events.SourceAnswered(routers.now_s))
        routers.post(events.BackendServersRead(tuple(context.servers), SourceOrder(1, 1)))
        routers.run(1.0)
        specification = routers.make_request(0, ROUTE, "a-1")
        ticket = routers.tickets[0].open(specification.request_id)
        routers.post(events.RequestArrived(specification))
        routers.run(0.5)
        context.first = ticket.wait(0.001)
        broken = events.RunNotStarted(specification.request_id, RetryReason.ANSWER_BROKEN)
        routers.post(broken)
        routers.run(0.5)
        context.second = ticket.wait(0.001)


@then("it is sent to {where}")
def check_second(context: Any, where: str) -> None:
    assert isinstance(context.first, actions.Dispatch), context.first
    assert isinstance(context.second, actions.Dispatch), context.second
    is_same = context.second.backend_server == context.first.backend_server
    assert is_same == (where == "the same again"), (context.first, context.second)
