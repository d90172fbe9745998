"""Steps of load shedding by a router, modelled as a work queue with the core's decisions."""

import random
from dataclasses import dataclass, field
from typing import Any

from behave import then, when

from myrtlehook_core import Shedding, record_lag, should_refuse

STEP_S = 0.02
REFUSAL_COST_FRACTION = 0.1
"""The cost of a refusal as a fraction of the cost of a served request."""


@dataclass(slots=True)
class SimulatedRouter:
    """A simulated router that can serve a fixed number of requests a second."""

    rate_per_s: float
    shedding: Shedding = field(default_factory=Shedding)
    now_s: float = 0.0
    backlog_s: float = 0.0
    done: int = 0
    refused_s: list[tuple[float, str]] = field(default_factory=list)
    lags_s: list[tuple[float, float]] = field(default_factory=list)

    def run(self, arrivals_per_s: float, seconds: float) -> None:
        """Receive requests of a large and a small workspace at an average rate."""
        draw = random.Random(1)
        due = 0.0
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self.backlog_s = max(self.backlog_s - STEP_S, 0.0)
            self.lags_s.append((self.now_s, self.backlog_s))
            record_lag(self.shedding, self.backlog_s, self.now_s)
            due += arrivals_per_s * STEP_S * draw.uniform(0.5, 1.5)
            while due >= 1.0:
                due -= 1.0
                self._handle_request("small" if draw.random() < 1.0 / 11.0 else "large")

    def _handle_request(self, workspace: str) -> None:
        cost_s = 1.0 / self.rate_per_s
        if should_refuse(self.shedding, workspace):
            self.refused_s.append((self.now_s, workspace))
            self.backlog_s += REFUSAL_COST_FRACTION * cost_s
            return
        self.done += 1
        self.backlog_s += cost_s


@when("a router that can do {rate:g} requests a second gets {arrivals:g}, for {seconds:g} s")
def run_router(context: Any, rate: float, arrivals: float, seconds: float) -> None:
    context.router = SimulatedRouter(rate)
    context.router.run(arrivals, seconds)


@when("a router that can do {rate:g} requests a second gets {arrivals:g}, for {seconds:g} s more")
def run_on(context: Any, rate: float, arrivals: float, seconds: float) -> None:
    context.router.run(arrivals, seconds)


@when(
    "it is frozen for {frozen_s:g} s and gets {arrivals:g} requests a second for {seconds:g} s more"
)
def freeze_router(context: Any, frozen_s: float, arrivals: float, seconds: float) -> None:
    router = context.router
    router.now_s += frozen_s
    record_lag(router.shedding, frozen_s, router.now_s)
    router.run(arrivals, seconds)


@then("it refused none of them")
def check_none(context: Any) -> None:
    assert not context.router.refused_s, context.router.refused_s[:5]


@then("it was late by at most {limit_s:g} s after the first {first_s:g} s")
def check_lags(context: Any, limit_s: float, first_s: float) -> None:
    late = [lag for lag in context.router.lags_s if lag[0] > first_s and lag[1] > limit_s]
    assert not late, late[:5]


@then("it did at least {rate:g} requests a second")
def check_done(context: Any, rate: float) -> None:
    assert context.router.done >= rate * context.router.now_s, context.router.done


@then("it refused none in the last {seconds:g} s")
def check_recovered(context: Any, seconds: float) -> None:
    since_s = context.router.now_s - seconds
    late = [refused for refused in context.router.refused_s if refused[0] > since_s]
    assert not late, late[:5]


@then("it refused no request of a workspace that sends a tenth as much")
def check_small(context: Any) -> None:
    assert context.router.refused_s, "nothing was refused"
    small = [refused for refused in context.router.refused_s if refused[1] == "small"]
    assert not small, small[:5]
