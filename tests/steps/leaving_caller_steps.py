"""Steps of callers that leave before their requests are sent."""

from dataclasses import replace
from typing import Any

from behave import given, then, when

from myrtlehook_core import (
    Configuration,
    CoreOptions,
    PoolKind,
    RequestSpecification,
    actions,
    events,
)
from standins import histories
from standins.histories import History, Network
from standins.pools import POOL, make_request

START_S = 1.0


class _HeldCalls(History):
    """A fleet whose calls stay where they are once a slot is granted."""

    def __init__(self, *arguments: Any) -> None:
        self.slots_granted: list[tuple[str, str]] = []
        """The router and the request of each grant, in order."""
        super().__init__(*arguments)

    def _dispatch(self, name: str, core: Any, action: actions.Dispatch) -> None:
        self.slots_granted.append((name, action.request_id))


def _make_call(number: int, now_s: float) -> RequestSpecification:
    request = make_request(f"call-{number}", "a", number, 0, now_s, False)
    return replace(request, prompt_tokens=0, output_tokens=0, prompt_parts=())


@given("{routers:d} routers and a plain service")
def start_fleet(context: Any, routers: int) -> None:
    make_usual = histories.make_configuration

    def make_plain(*arguments: Any) -> Configuration:
        usual = make_usual(*arguments)
        plain = replace(usual.pools[POOL], kind=PoolKind.SERVICE, engine_capacity=None)
        return replace(usual, pools={POOL: plain})

    histories.make_configuration = make_plain
    context.add_cleanup(setattr, histories, "make_configuration", make_usual)
    context.history = _HeldCalls(1, routers, 1, Network(), CoreOptions())
    context.history.run_until(START_S)
    context.calls = 0


def _call(context: Any) -> None:
    history: _HeldCalls = context.history
    names = list(history.alive)
    history.ask(names[context.calls % len(names)], _make_call(context.calls, history.now_s))
    context.calls += 1


@when("{count:d} callers leave just after their calls were given slots, before these are sent")
def leave(context: Any, count: int) -> None:
    history: _HeldCalls = context.history
    for _ in range(count):
        _call(context)
        history.run_until(history.now_s + 0.1)
        for name, request_id in history.slots_granted:
            history.feed(name, events.RequestAbandoned(request_id))
        history.slots_granted.clear()


@then("within {within_s:g} s another {count:d} calls are given slots")
def check_slots(context: Any, within_s: float, count: int) -> None:
    history: _HeldCalls = context.history
    for _ in range(count):
        _call(context)
    history.run_until(history.now_s + within_s)
    assert len(history.slots_granted) == count, history.slots_granted
