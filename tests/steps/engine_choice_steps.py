"""Steps of the choice of an engine for each request."""

import random
from dataclasses import replace
from typing import Any

from behave import given as before
from behave import then, when

from myrtlehook_core import CoreOptions, events
from myrtlehook_core.process import actions
from myrtlehook_core.process.admission_messages import (
    AdmissionGrant,
    AdmissionRefusal,
    AdmissionRequest,
    EngineEstimate,
    HeldAdmissions,
    PartRow,
)
from myrtlehook_core.process.ejections import FAILURES_TO_EJECT
from myrtlehook_core.process.engine_models import EngineModel
from myrtlehook_core.process.engine_speeds import (
    PoolSpeeds,
    SteadyRate,
    drop_removed_speeds,
    rank_weighted,
    record_speed,
    update_steady_rate,
)
from myrtlehook_core.process.hashing import rank_routers
from standins.histories import RATE_TOKENS_PER_S, TICK_S, History, Network, Outcome
from standins.pools import POOL, make_request

START_S = 1.5
WARM_UP_S = 1.0
"""Requests of this period are not counted, since the engines are empty at first."""

OWN_TOKENS = 300
AIM_S = 0.6
LONG_AIM_S = 1.15


@before("{routers:d} routers and {engines:d} engines, whose answers take {answer_s:g} s")
def start(
    context: Any, routers: int, engines: int, answer_s: float, network: Network | None = None
) -> None:
    options = getattr(context, "options", CoreOptions())
    history = History(
        1,
        routers,
        engines,
        network or Network(),
        options,
        tokens_per_s=10.0 * engines * RATE_TOKENS_PER_S,
    )
    history.find_answer_s = lambda request: answer_s
    history.run_until(START_S)
    context.history = history


@before("{routers:d} routers and {engines:d} engines, whose answers take {answer_s:g} s, beside "
        "lost and doubled messages")  # fmt: skip
def start_faulty(context: Any, routers: int, engines: int, answer_s: float) -> None:
    start(context, routers, engines, answer_s, Network(0.1, 0.3, 0.02))


@when("{rate:d} requests a second share {parts:d} parts unevenly for {seconds:g} s")
def ask_unevenly(context: Any, rate: int, parts: int, seconds: float) -> None:
    ask(context, rate, [1.0 / number for number in range(1, parts + 1)], seconds)


@when("{rate:d} requests a second share {parts:d} parts, half of them the first, for {seconds:g} s")
def ask_hot(context: Any, rate: int, parts: int, seconds: float) -> None:
    ask(context, rate, [parts - 1.0] + [1.0] * (parts - 1), seconds)


def ask(context: Any, rate: int, popularity: list[float], seconds: float) -> None:
    """Send requests at random moments to random routers, by the popularity of their parts."""
    history: History = context.history
    draw = random.Random(context.seed if hasattr(context, "seed") else 1)
    own_tokens = getattr(context, "own_tokens", OWN_TOKENS)
    aim_s = getattr(context, "aim_s", AIM_S)
    names = list(history.alive)
    time_s = START_S
    context.asked = {}
    while time_s < START_S + seconds:
        part = draw.choices(range(len(popularity)), popularity)[0]
        request_id = f"q{len(context.asked)}"
        made = make_request(request_id, draw.choice("abcd"), part, own_tokens, time_s, True)
        request = replace(made, aim_deadline_s=time_s + aim_s)
        context.asked[request_id] = request
        router = draw.choice(names)
        history.at(time_s, lambda router=router, request=request: history.ask(router, request))
        time_s += draw.expovariate(rate)
    history.run_until(time_s + 4.0)


def list_counted(context: Any) -> dict[str, Outcome]:
    """Return the outcomes of the requests sent after the warm-up."""
    outcomes: dict[str, Outcome] = context.history.outcomes
    return {
        request_id: outcomes[request_id]
        for request_id, request in context.asked.items()
        if request.arrived_at_s >= START_S + WARM_UP_S
    }


def compute_in_time_fraction(context: Any) -> float:
    """Return the fraction of requests whose answers begin within their target."""
    counted = list_counted(context)
    in_time = [
        request_id
        for request_id, outcome in counted.items()
        if outcome.begun_at_s is not None
        and outcome.begun_at_s <= context.asked[request_id].aim_deadline_s
    ]
    return len(in_time) / len(counted)


def compute_refused_fraction(context: Any) -> float:
    """Return the fraction of requests that were refused to their clients."""
    counted = list_counted(context)
    return sum(bool(outcome.refused_at_s) for outcome in counted.values()) / len(counted)


def compute_home_fraction(context: Any) -> float:
    """Return the fraction of served requests that ran at the home of their part."""
    engines = [server.name for server in context.history.servers]
    served = {key: item for key, item in list_counted(context).items() if item.dispatched}
    home = [
        request_id
        for request_id, outcome in served.items()
        if outcome.dispatched[0]
        == rank_routers(f"engine/{context.asked[request_id].prompt_parts[0].part_id}", engines, 1)[
            0
        ]
    ]
    return len(home) / len(served)


@then("at least {part:g} of them begin in time")
def check_in_time(context: Any, part: float) -> None:
    in_time = compute_in_time_fraction(context)
    assert in_time >= part, in_time


@then("at most {part:g} of them are refused")
def check_refused(context: Any, part: float) -> None:
    refused = compute_refused_fraction(context)
    assert refused <= part, refused


@then("each request is sent to an engine at most once, and ends or is refused")
def check_once(context: Any) -> None:
    for request_id in context.asked:
        outcome = context.history.outcomes[request_id]
        assert len(outcome.dispatched) + len(outcome.refused_at_s) == 1, (request_id, outcome)
        assert outcome.ended_at_s is not None or outcome.refused_at_s, (request_id, outcome)


@then("at least {part:g} of them run at their home")
def check_home(context: Any, part: float) -> None:
    home = compute_home_fraction(context)
    assert home >= part, home


@before(
    "{routers:d} routers and {engines:d} engines, of which {slow:d} read {factor:g} times as fast"
)
def start_unequal(context: Any, routers: int, engines: int, slow: int, factor: float) -> None:
    start(context, routers, engines, 0.1)
    context.slow = {f"e{number}" for number in range(slow)}
    context.history.find_rate_tokens_per_s = lambda engine, time_s: (
        RATE_TOKENS_PER_S * (factor if engine in context.slow else 1.0)
    )


@when("{rate:d} requests a second share {parts:d} parts evenly for {seconds:g} s")
def ask_evenly(context: Any, rate: int, parts: int, seconds: float) -> None:
    ask(context, rate, [1.0] * parts, seconds)


@before("routers that weigh engines")
def weigh_engines(context: Any) -> None:
    context.options = CoreOptions(weighs_engines=True)


@before("{routers:d} routers and {engines:d} engines, and messages that take up to {delay_s:g} s")
def start_late(context: Any, routers: int, engines: int, delay_s: float) -> None:
    start(context, routers, engines, 0.1, Network(max_delay_s=delay_s))
    context.changed = []
    history: History = context.history
    carry_out = history._carry_out

    def record(name: str, core: Any, action: Any) -> None:
        if isinstance(action, actions.EngineWeightsChanged):
            context.changed.append((name, history.now_s, action))
        carry_out(name, core, action)

    history._carry_out = record  # type: ignore[method-assign]


@then("no router has given an engine a weight of its own")
def check_equal_weights(context: Any) -> None:
    assert not getattr(context, "changed", []), context.changed
    for name, core in context.history.alive.items():
        steps = core.admissions.speeds[POOL].steps
        assert not steps, (name, steps)


@when("a router hears rates from {known:d} of {engines:d} engines, half of them {factor:g} times "
      "as fast")  # fmt: skip
def hear_few(context: Any, known: int, engines: int, factor: float) -> None:
    context.speeds = PoolSpeeds()
    for number in range(known):
        rate_tokens_per_s = RATE_TOKENS_PER_S * (factor if number % 2 else 1.0)
        record_speed(context.speeds, f"e{number}", rate_tokens_per_s, engines)


@when("{left:d} of these engines are left")
def leave_few(context: Any, left: int) -> None:
    assert context.speeds.steps
    drop_removed_speeds(context.speeds, [f"e{number}" for number in range(left)])


@then("all routers give the slow engines half the weight, and the others the same")
def check_weights(context: Any) -> None:
    for name, core in context.history.alive.items():
        steps = core.admissions.speeds[POOL].steps
        assert steps == dict.fromkeys(context.slow, -1), (name, steps)


@when("a router hears rates that differ by a factor of {factor:g}, in {orders:d} random orders")
def hear_noise(context: Any, factor: float, orders: int) -> None:
    draw = random.Random(3)
    context.speeds = PoolSpeeds()
    for _ in range(orders):
        for number in draw.sample(range(30), 30):
            rate_tokens_per_s = RATE_TOKENS_PER_S * factor ** draw.uniform(-0.5, 0.5)
            record_speed(context.speeds, f"e{number}", rate_tokens_per_s, 30)


@when("a router hears rates of 0 from half of the engines")
def hear_nothing(context: Any) -> None:
    context.speeds = PoolSpeeds()
    for number in range(30):
        record_speed(context.speeds, f"e{number}", RATE_TOKENS_PER_S * (number % 2), 30)


@then("no engine has a weight of its own, and prompts have the homes of before")
def check_unweighted(context: Any) -> None:
    steps = context.speeds.steps
    assert not steps, steps
    names = [f"e{number}" for number in range(30)]
    for number in range(200):
        assert rank_weighted(f"p{number}", names, steps) == rank_routers(f"p{number}", names, 30)


@when("a router hears of an engine that is now {low:g}, now {high:g} times as fast as the others")
def hear_limit(context: Any, low: float, high: float) -> None:
    speeds = PoolSpeeds()
    for number in range(1, 10):
        record_speed(speeds, f"e{number}", RATE_TOKENS_PER_S, 10)
    context.changes = sum(
        record_speed(speeds, "e0", RATE_TOKENS_PER_S * factor, 10) for factor in (low, high) * 50
    )


@then("its weight changes at most once")
def check_changes(context: Any) -> None:
    assert context.changes <= 1, context.changes


@when("an engine's owner sees it read {factor:g} times as fast for {slow_s:g} s of every "
      "{period_s:g} s, for {seconds:g} s")  # fmt: skip
def see_spells(context: Any, factor: float, slow_s: float, period_s: float, seconds: float) -> None:
    model, steady = EngineModel(samples=100), SteadyRate()
    context.rates = []
    for number in range(round(seconds / TICK_S)):
        time_s = number * TICK_S
        is_slow = time_s % period_s >= period_s - slow_s
        model.rate_tokens_per_s = RATE_TOKENS_PER_S * (factor if is_slow else 1.0)
        model.samples += 1
        update_steady_rate(steady, model, time_s)
        context.rates.append(steady.tokens_per_s)


@then("the rate that it sends with grants stays within a factor of {factor:g} of the usual one")
def check_steady(context: Any, factor: float) -> None:
    lowest, highest = round(min(context.rates)), round(max(context.rates))
    assert RATE_TOKENS_PER_S / factor <= lowest <= highest <= RATE_TOKENS_PER_S, (lowest, highest)


@when("one of {engines:d} engines gets half its weight")
def halve_weight(context: Any, engines: int) -> None:
    context.names = [f"e{number}" for number in range(engines)]
    context.steps = {"e7": -1}


@then("of {prompts:d} prompts only some of that engine's have another home")
def check_moved(context: Any, prompts: int) -> None:
    before_homes = [rank_weighted(f"p{n}", context.names, {})[0] for n in range(prompts)]
    homes = [rank_weighted(f"p{n}", context.names, context.steps)[0] for n in range(prompts)]
    moved = [old for old, new in zip(before_homes, homes, strict=True) if old != new]
    assert set(moved) == {"e7"}, set(moved)
    own = before_homes.count("e7")
    assert 0.3 * own <= len(moved) <= 0.7 * own, (len(moved), own)


@when("an owner learns of an engine from its predecessor's estimate")
def hand_over(context: Any) -> None:
    start(context, 2, 1, 0.1)
    history: History = context.history
    owner = next(name for name, core in history.alive.items() if core.engine_queues.loads)
    estimate = EngineEstimate(20_000.0, 10.0, 5.0, 100, 0, steady_tokens_per_s=17_000.0)
    other = next(name for name in history.alive if name != owner)
    held = HeldAdmissions("e0", (), (), estimate)
    history.feed(owner, events.MessageReceived(other, 1, held))
    context.sent = []
    record_sent(context, AdmissionGrant)
    request = make_request("r", "a", 1, OWN_TOKENS, history.now_s, True)
    history.ask(other, request)
    history.run_until(history.now_s + 1.0)


@then("it sends the predecessor's average with its first grant")
def check_average(context: Any) -> None:
    grant = context.sent[0][2]
    assert grant.estimate.steady_tokens_per_s == 17_000.0, grant


def record_sent(context: Any, kind: type) -> None:
    """Record sender, receiver and message of all messages of a kind from now on."""
    history: History = context.history
    deliver = history._deliver

    def record(sender: str, core: Any, action: Any) -> None:
        if isinstance(action.message, kind):
            context.sent.append((sender, action.router_id, action.message))
        deliver(sender, core, action)

    history._deliver = record  # type: ignore[method-assign]


@when("a router asks for an early beginning and the engine's owner ends before it answers")
def end_owner(context: Any) -> None:
    history: History = context.history
    context.sent = []
    record_sent(context, AdmissionRequest)
    # A request whose engine has another owner than the router that gets it.
    for number in range(100):
        request_id = f"q{number}"
        request = make_request(request_id, "a", number, OWN_TOKENS, history.now_s, True)
        history.ask("10.0.0.0:7400", request)
        sender, owner, message = context.sent[-1]
        if owner != sender:
            break
    assert message.eager, message
    history.kill_router(owner)
    context.request = request
    history.run_until(history.now_s + 4.0)


@then("the request runs before its deadline")
def check_ran(context: Any) -> None:
    outcome = context.history.outcomes[context.request.request_id]
    assert outcome.ended_at_s is not None, outcome
    assert outcome.ended_at_s <= outcome.deadline_s, outcome


@before("an engine's owner that has queued a request above its share for an early beginning")
def queue_above_share(context: Any) -> None:
    start(context, 2, 1, 0.1)
    history: History = context.history
    owner = next(name for name, core in history.alive.items() if core.engine_queues.loads)
    context.owner, context.asker = owner, next(name for name in history.alive if name != owner)
    context.number = 0
    context.sent = []
    record_sent(context, AdmissionRefusal)
    # The asker does not know the requests and would release what it is granted.
    history.is_cut = lambda sender, receiver: receiver == context.asker
    # It begins to read this one, so that the next ones wait.
    ask_owner(context, tokens=5_000)
    ask_owner(context, tokens=1_000)
    context.request_id = ask_owner(context, 600, aim_s=1.0, above_share=True, eager=True)
    assert context.request_id in history.alive[owner].engine_queues.loads["e0"].waiting


@before("an engine's owner whose engine has {seconds:g} s to read, and has cached a part of "
        "{shared:d} tokens")  # fmt: skip
def cache_part(context: Any, seconds: float, shared: int) -> None:
    start(context, 2, 1, 0.1)
    history: History = context.history
    owner = next(name for name, core in history.alive.items() if core.engine_queues.loads)
    context.owner, context.asker = owner, next(name for name in history.alive if name != owner)
    context.number, context.shared, context.sent = 0, shared, []
    record_sent(context, AdmissionRefusal)
    held = HeldAdmissions("e0", (), (PartRow("s", shared),))
    history.feed(owner, events.MessageReceived(context.asker, 1, held))
    ask_owner(context, round(seconds * RATE_TOKENS_PER_S))


@when("a request with {part} and an aim of {aim_s:g} s asks for an early beginning")
def ask_early(context: Any, part: str, aim_s: float) -> None:
    name = "s" if part == "that part" else "other"
    parts = (PartRow(name, context.shared), PartRow("own", 100))
    tokens = context.shared + 100
    context.request_id = ask_owner(context, tokens, aim_s=aim_s, eager=True, parts=parts)


@then("the request for an early beginning is {decision}")
def check_decision(context: Any, decision: str) -> None:
    context.history.run_until(context.history.now_s + 0.01)
    refused = [message.request_id for _, _, message in context.sent]
    assert (context.request_id in refused) == (decision == "refused"), refused


@before("the engine is ejected for {seconds:g} s")
def eject(context: Any, seconds: float) -> None:
    health = context.history.alive[context.owner].engine_queues.loads["e0"].health
    health.consecutive_failures = FAILURES_TO_EJECT
    health.ejected_until_s = context.history.now_s + seconds


@then("its refusal names at least {seconds:g} s")
def check_named(context: Any, seconds: float) -> None:
    refusal = context.sent[-1][2]
    assert refusal.retry_after_ms >= seconds * 1000.0, refusal


def ask_owner(
    context: Any,
    tokens: int,
    aim_s: float = 3.0,
    above_share: bool = False,
    eager: bool = False,
    parts: tuple[PartRow, ...] = (),
    request_id: str = "",
) -> str:
    """Send a request for admission to the owner; returns its id."""
    history: History = context.history
    context.number += 1
    request_id = request_id or f"a{context.number}"
    message = AdmissionRequest(
        request_id=request_id,
        backend_server="e0",
        workspace="a",
        parts=parts,
        prompt_tokens=tokens,
        output_tokens=30,
        aim_left_ms=round(aim_s * 1000.0),
        deadline_left_ms=9_000,
        priority=1,
        tier=0,
        hop=0,
        above_share=above_share,
        eager=eager,
        aim_ms=round(aim_s * 1000.0),
    )
    history.feed(context.owner, events.MessageReceived(context.asker, 1, message))
    return request_id


@when("requests within shares come that fill the engine for {seconds:g} s")
def fill_engine(context: Any, seconds: float) -> None:
    for _ in range(round(seconds * RATE_TOKENS_PER_S / 2_000)):
        ask_owner(context, tokens=2_000)


@then("the request is refused within {seconds:g} s, so that its router asks another engine")
def check_moved_on(context: Any, seconds: float) -> None:
    history: History = context.history
    history.run_until(history.now_s + seconds)
    refused = [message for _, _, message in context.sent]
    mine = [item for item in refused if item.request_id == context.request_id]
    assert mine and mine[0].eager, refused


@before("early beginnings are turned {state}")
def set_early_beginnings(context: Any, state: str) -> None:
    defaults = CoreOptions()
    drawn = defaults.early_engines_drawn if state == "on" else 0
    context.options = replace(defaults, early_engines_drawn=drawn)


@then("the request is not refused within {seconds:g} s")
def check_stayed(context: Any, seconds: float) -> None:
    history: History = context.history
    history.run_until(history.now_s + seconds)
    refused = [message.request_id for _, _, message in context.sent]
    assert context.request_id not in refused, refused
    load = history.alive[context.owner].engine_queues.loads["e0"]
    assert context.request_id in load.waiting, list(load.waiting)


@before("an engine's owner that has queued a prompt of {long:d} tokens and {count:d} of {short:d} "
        "for early beginnings")  # fmt: skip
def queue_long(context: Any, long: int, count: int, short: int) -> None:
    start(context, 2, 1, 0.1)
    history: History = context.history
    owner = next(name for name, core in history.alive.items() if core.engine_queues.loads)
    context.owner, context.asker = owner, next(name for name in history.alive if name != owner)
    context.number, context.sent = 0, []
    record_sent(context, AdmissionRefusal)
    # The asker does not know the requests and would release what it is granted.
    history.is_cut = lambda sender, receiver: receiver == context.asker
    # It begins to read this one, so that the next ones wait.
    ask_owner(context, tokens=5_000)
    lengths = [long] + [short] * count
    context.queued = [
        ask_owner(context, tokens, aim_s=LONG_AIM_S, eager=True) for tokens in lengths
    ]
    load = history.alive[owner].engine_queues.loads["e0"]
    assert list(load.waiting) == context.queued, list(load.waiting)


@when("its engine reads {factor:g} times as fast as before")
def slow_down(context: Any, factor: float) -> None:
    history: History = context.history
    history.alive[context.owner].engine_queues.loads["e0"].model.rate_tokens_per_s *= factor


@then("only the first of them is refused within {seconds:g} s")
def check_first_left(context: Any, seconds: float) -> None:
    history: History = context.history
    history.run_until(history.now_s + seconds)
    refused = [message.request_id for _, _, message in context.sent]
    assert refused == context.queued[:1], refused


@when("the request comes again for any beginning, and then twice for an early one")
def ask_again(context: Any) -> None:
    history: History = context.history
    history.now_s += 0.01
    context.asked_again_s = history.now_s
    for eager in (False, True, True):
        ask_owner(context, 600, 1.0, True, eager, request_id=context.request_id)


@then("it waits once, for any beginning, from when that was asked")
def check_replaced(context: Any) -> None:
    load = context.history.alive[context.owner].engine_queues.loads["e0"]
    waiting = load.waiting[context.request_id]
    assert not waiting.eager, waiting
    assert waiting.asked_at_s == context.asked_again_s, waiting
    refused = [message.request_id for _, _, message in context.sent]
    assert context.request_id not in refused, refused


@then("the demand for its aim counts its {tokens:d} tokens once")
def check_demand(context: Any, tokens: int) -> None:
    demands = context.history.alive[context.owner].engine_queues.loads["e0"].aim_demands
    counted = [item.tokens for item in demands.by_step.values() if item.aim_s == 1.0]
    assert counted == [tokens], counted


@when("an engine refuses an early beginning, and the others that would be asked are not usable")
def refuse_early(context: Any) -> None:
    history: History = context.history
    ingress = next(iter(history.alive))
    core = history.alive[ingress]
    history.is_cut = lambda sender, receiver: sender == ingress
    for number in range(100):
        request = make_request(f"q{number}", "a", number, OWN_TOKENS, history.now_s, True)
        history.ask(ingress, request)
        context.admission = core.admissions.open[request.request_id]
        if not context.admission.granted:
            break
    assert context.admission.eager, context.admission
    context.admission.early_engines = ("unknown",)
    engine = context.admission.backend_server
    refusal = AdmissionRefusal(request.request_id, engine, 50, 0, True)
    history.feed(ingress, events.MessageReceived(list(history.alive)[1], 1, refusal))


@then("the request asks for no early beginning any more")
def check_not_early(context: Any) -> None:
    assert not context.admission.eager, context.admission
    assert not context.admission.early_engines, context.admission


@before("{routers:d} routers and {engines:d} engines, each of which reads {factor:g} times as fast "
        "for {slow_s:g} s of every {period_s:g} s")  # fmt: skip
def start_spells(
    context: Any, routers: int, engines: int, factor: float, slow_s: float, period_s: float
) -> None:
    start(context, routers, engines, 0.1)

    def find_rate_tokens_per_s(engine: str, time_s: float) -> float:
        # The engines are slow at different times.
        phase_s = (time_s + int(engine[1:]) * period_s / engines) % period_s
        return RATE_TOKENS_PER_S * (factor if phase_s < slow_s else 1.0)

    context.history.find_rate_tokens_per_s = find_rate_tokens_per_s


@when("{rate:d} requests a second share {parts:d} parts evenly, with an aim of {aim_s:g} s, "
      "for {seconds:g} s")  # fmt: skip
def ask_urgently(context: Any, rate: int, parts: int, aim_s: float, seconds: float) -> None:
    context.aim_s, context.own_tokens = aim_s, 600
    ask(context, rate, [1.0] * parts, seconds)
