"""Steps of a router that restarts so soon that no other router suspects it."""

from typing import Any

from behave import then, when

from myrtlehook_core import CoreOptions
from standins.histories import History, Network
from standins.pools import make_request

SEEDS = range(12)
LOAD_FROM_S = 2.0
RESTART_S = 3.0
CHECK_S = 3.15
"""Earlier than the shortest suspicion."""

ASK_INTERVAL_S = 0.02
PROMPT_TOKENS = 6_000
"""Prompts that are read for longer than a restart takes."""


def _load_routers(history: History, ingresses: list[str]) -> None:
    """Send requests to some routers, at a steady rate from ``LOAD_FROM_S`` to ``CHECK_S``."""
    count = round((CHECK_S - LOAD_FROM_S) / ASK_INTERVAL_S)
    for number in range(count):
        for ingress in ingresses:
            at_s = LOAD_FROM_S + number * ASK_INTERVAL_S
            history.at(at_s, lambda i=ingress, n=number: _ask(history, i, n))


def _ask(history: History, ingress: str, number: int) -> None:
    request_id = f"{ingress}/{number}"
    request = make_request(request_id, "a", number, PROMPT_TOKENS, history.now_s, False)
    history.ask(ingress, request)


@when("an engine's owner restarts before any router suspects it, while requests run")
def restart_owners(context: Any) -> None:
    context.histories = []
    for seed in SEEDS:
        history = History(seed, 3, 6, Network(max_delay_s=0.005), CoreOptions())
        names = list(history.alive)
        owner = names[seed % len(names)]
        _load_routers(history, [name for name in names if name != owner])
        history.run_until(RESTART_S)
        history.kill_router(owner)
        history.start_router(owner)
        history.run_until(CHECK_S)
        context.histories.append((history, owner))


@then("it knows every request that others run at its engines")
def check_known(context: Any) -> None:
    count = 0
    for history, owner in context.histories:
        for engine, load in history.alive[owner].engine_queues.loads.items():
            runs = history.engine_runs.get(engine, {})
            running = {name for name, run in runs.items() if run.began_s < RESTART_S}
            count += len(running)
            assert running <= load.granted.keys(), (engine, running - load.granted.keys())
    assert count > 0, "no request was running"
