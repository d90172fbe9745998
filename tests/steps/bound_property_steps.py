"""Properties of bounds: lease deadlines and queue limits."""

import random
from dataclasses import replace
from typing import Any

from behave import then
from hypothesis import given
from hypothesis import strategies as st

from bench.core_drive import POOL, Load, make_configuration
from myrtlehook_core import (
    CoreOptions,
    RequestSpecification,
    RouterCore,
    RouterIdentity,
    actions,
    events,
)
from myrtlehook_core.process.messages import (
    Grant,
)
from myrtlehook_core.request.admission import QueueLimits

OPTIONS = CoreOptions()


def _make_core_with_request(deadline_s: float) -> RouterCore:
    load = Load("w0", 1.0, 10.0, (0,))
    core = RouterCore(RouterIdentity("r0", "r0", 1), OPTIONS, random.Random(1).random)
    core.exchange.current = make_configuration([load], 1, 1)
    core.handle(events.Tick(), 0.0)
    request = RequestSpecification("w0/1", "w0", POOL, 10, 0.0, deadline_s)
    core.handle(events.RequestArrived(request), 0.0)
    return core


@then("for any delay of a grant, no request starts after the lease")
def check_leases(context: Any) -> None:
    @given(st.floats(0, 5), st.floats(0, 5))
    def check(sent_at_s: float, delay_s: float) -> None:
        core = _make_core_with_request(1000.0)
        now_s = sent_at_s + delay_s
        core.last_tick_s = now_s
        grant = Grant(7, "s0", POOL, "w0", sent_at_s, 0)
        done = core.handle(events.MessageReceived("r1", 1, grant), now_s)
        started = [item for item in done if isinstance(item, actions.Dispatch)]
        in_time = now_s < sent_at_s + OPTIONS.grant_lease_s
        assert len(started) == (1 if in_time else 0)
        for item in started:
            assert item.lease_deadline_s <= sent_at_s + OPTIONS.grant_lease_s

    check()


@then("for any arrivals, no queue exceeds its bounds and every refusal says when to return")
def check_bounds(context: Any) -> None:
    @given(st.lists(st.integers(1, 400), max_size=40), st.integers(1, 10), st.integers(100, 2000))
    def check(sizes: list[int], max_requests: int, max_bytes: int) -> None:
        load = Load("w0", 1.0, 10.0, (0,))
        core = RouterCore(RouterIdentity("r0", "r0", 1), OPTIONS, random.Random(1).random)
        configuration = make_configuration([load], 1, 1)
        limits = QueueLimits(max_requests, max_bytes, 1000.0, 30)
        workspace = replace(configuration.workspaces["w0"], limits=limits)
        core.exchange.current = replace(configuration, workspaces={"w0": workspace})
        for index, size in enumerate(sizes):
            request = RequestSpecification(f"w0/{index}", "w0", POOL, size, 0.0, 100.0)
            done = core.handle(events.RequestArrived(request), 0.0)
            refused = [item for item in done if isinstance(item, actions.Refuse)]
            assert all(item.retry_after_s >= 1.0 for item in refused)
            assert core.ingress.queued_requests <= max_requests
            assert core.ingress.queued_bytes <= max_bytes

    check()
