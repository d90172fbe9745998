"""Steps of servers that leave beside troubles of the store and of routers."""

from typing import Any

from behave import given, then, when

from myrtlehook_core import RefusalReason
from standins.departures import BOUND_S, play_long_outage, play_without_readers, start_run

ENGINES = 6
MIN_SERVED_PART = 0.99
"""Of requests while nothing leaves; a busy machine serves a few of them too late."""


@given("{routers:d} routers, whose paths to the store can fail, before 6 engines")
def start_routers(context: Any, routers: int) -> None:
    context.run = start_run(routers, ENGINES)
    context.add_cleanup(context.run.nodes.stop)


@when('an engine leaves by way of "{way}", and {trouble}')
def leave_beside_trouble(context: Any, way: str, trouble: str) -> None:
    context.departure = context.run.play(way, trouble)


@when('an engine leaves by way of "{way}" just after the paths of all readers are {fault}')
def leave_without_readers(context: Any, way: str, fault: str) -> None:
    context.departure = play_without_readers(context.run, way, fault)


@then("no router with a path to the store sends to it later than {bound_s:g} s after that")
@then("no request reaches it later than {bound_s:g} s after the store took that")
def check_none_late(context: Any, bound_s: float) -> None:
    assert bound_s == BOUND_S
    departure = context.departure
    assert departure.sent > 0
    assert not departure.late, f"{departure}; logs: {context.run.nodes.folder}"


@when("the store is away for {away_s:g} s, and all engines write their entries again afterwards")
def lose_store(context: Any, away_s: float) -> None:
    context.sent, context.served = play_long_outage(context.run, away_s)


@then("requests are served meanwhile, and none is refused for want of a server")
def check_all_served(context: Any) -> None:
    seen = f"{context.served} of {context.sent} served; logs: {context.run.nodes.folder}"
    assert context.sent > 0
    logs = [node.log_path.read_text() for node in context.run.nodes.nodes]
    assert not any(RefusalReason.NO_BACKEND_SERVER in log for log in logs), seen
    assert context.served >= MIN_SERVED_PART * context.sent, seen
