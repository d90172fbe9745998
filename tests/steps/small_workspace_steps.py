"""Properties of workspaces that ask for less than their share beside others that flood."""

from collections import Counter
from typing import Any

from behave import then

from myrtlehook_core import CoreOptions
from myrtlehook_core.process.engine_forecasts import order_waiting
from myrtlehook_core.process.engine_loads import EngineLoad, WaitingAdmission
from myrtlehook_core.process.engine_models import make_model
from myrtlehook_core.process.prompt_caches import PromptCache
from standins.histories import History, Network
from standins.pools import make_request

AIM_S = 0.6
"""The first-token target of requests in histories."""

FLOOD_INTERVAL_S = 0.01
"""At 1,200 tokens a request, this is twice what two engines of 30 tokens a ms read."""


def _make_waiting(
    request_id: str, tier: int, above_share: bool, asked_at_s: float
) -> WaitingAdmission:
    return WaitingAdmission(
        request_id=request_id,
        router_id="r",
        workspace=request_id,
        parts=(),
        prompt_tokens=1_000,
        output_tokens=10,
        asked_at_s=asked_at_s,
        aim_deadline_s=asked_at_s + AIM_S,
        deadline_s=asked_at_s + 3.0,
        priority=1,
        tier=tier,
        hop=0,
        above_share=above_share,
        latest_start_s=asked_at_s + 0.4,
    )


@then(
    "at an engine, they go before others within their shares, and those before requests above one"
)
def check_order(context: Any) -> None:
    load = EngineLoad(0.0, PromptCache(100_000), make_model(None))
    asked = [
        _make_waiting("excess", 1, True, 0.0),
        _make_waiting("share", 0, True, 0.1),
        _make_waiting("small", 0, False, 0.2),
    ]
    load.waiting = {item.request_id: item for item in asked}
    order = [item.request_id for item in order_waiting(load, 0.3)]
    assert order == ["small", "share", "excess"], order


@then("in a flood of twice the capacity, answers to a small workspace begin within its aim")
def check_small_in_time(context: Any) -> None:
    history = History(4, routers=3, engines=2, network=Network(), options=CoreOptions())
    history.run_until(1.5)
    routers = list(history.alive)
    for number in range(1200):
        time_s = 1.5 + number * FLOOD_INTERVAL_S
        workspace = "a" if number % 20 else "b"
        request = make_request(f"q{number}", workspace, number % 7, 700, time_s, True)
        router = routers[number % len(routers)]
        history.at(time_s, lambda router=router, request=request: history.ask(router, request))
    history.run_until(18.0)
    settled_s = 1.5 + CoreOptions().quota_window_s
    late = []
    small = 0
    for request_id, outcome in history.outcomes.items():
        number = int(request_id[1:])
        asked_s = 1.5 + number * FLOOD_INTERVAL_S
        if number % 20 or asked_s < settled_s:
            continue
        small += 1
        # An answer of a history ends 0.1 s after it has begun.
        ended_s = outcome.ended_at_s
        if ended_s is None or ended_s - 0.1 > asked_s + AIM_S:
            late.append((request_id, outcome))
    assert small and not late, late


FLOODS_S = 8.0
"""When the second workspace begins to flood."""

SPAN_S = 6.0
"""The period over which the two flooding workspaces are compared."""

MAX_RATIO = 1.6
"""The most times as much as the other that a workspace may receive. The users' bound is 2; the
margin is for requests of varying size."""


@then("a workspace that floods suddenly gets little more than one that has flooded before")
def check_sudden(context: Any) -> None:
    history = History(8, routers=3, engines=2, network=Network(), options=CoreOptions())
    history.run_until(1.5)
    steady, sudden, _ = history.alive
    _flood(history, steady, "a", 1.5, FLOOD_INTERVAL_S)
    _flood(history, sudden, "b", FLOODS_S, FLOOD_INTERVAL_S / 3.0)
    history.run_until(FLOODS_S + SPAN_S + 4.0)
    served = Counter(
        request_id[0]
        for request_id, outcome in history.outcomes.items()
        if outcome.ended_at_s is not None
        # An answer of a history ends 0.1 s after it has begun.
        and FLOODS_S <= outcome.ended_at_s - 0.1 < FLOODS_S + SPAN_S
    )
    assert MAX_RATIO * served["a"] >= served["b"] > 0, served


def _flood(
    history: History, router: str, workspace: str, begins_s: float, interval_s: float
) -> None:
    """Send a workspace's requests to one router until the end of the comparison."""
    for number in range(int((FLOODS_S + SPAN_S - begins_s) / interval_s)):
        time_s = begins_s + number * interval_s
        request_id = f"{workspace}{number}"
        request = make_request(request_id, workspace, number % 7, 700, time_s, True)
        history.at(time_s, lambda request=request: history.ask(router, request))
