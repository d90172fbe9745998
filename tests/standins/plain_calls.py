"""Simulates calls to a plain service: real decision cores, servers that have slow spells."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.core_drive import LATENCY_S, POOL, Drive, Load
from myrtlehook_core import CoreOptions, RequestSpecification, actions, events
from myrtlehook_core.process.messages import encode_message

WARM_UP_S = 1.0
DEADLINE_S = 4.0
BURST_S = 0.5

SPELL_SLOWDOWN = 2.5
SPELL_S = 0.6
SPELL_INTERVAL_S = 2.4
"""From the beginning of a server's slow spell to that of its next one."""


@dataclass(slots=True)
class Call:
    """What happened to one call."""

    router: str
    workspace: str
    arrived_at_s: float
    started_at_s: float | None = None
    ended_at_s: float | None = None
    starts: int = 0
    server: str = ""


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service and its load."""

    routers: int = 73
    servers: int = 3
    slots: int = 6
    work_s: float = 0.09
    calls_per_s: float = 76.0
    workspaces: tuple[str, ...] = ("a",)
    aim_s: float = 0.4
    burst_calls_per_s: float = 0.0
    """Rate for the first ``BURST_S`` of the load; 0 if there is no burst."""
    has_spells: bool = True


@dataclass(slots=True)
class CallFigures:
    """The measurements of one history of calls."""

    waits_ms: list[float] = field(default_factory=list)
    idle_slot_parts: list[float] = field(default_factory=list)
    """At each sample while a call waits: the slots that could run one and do not, of all slots."""
    messages: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)
    dropped: Counter[str] = field(default_factory=Counter)
    told_owners: dict[str, list[int]] = field(default_factory=dict)
    """By kind of action: how many owners were told at once, each time."""

    def wait_ms(self, part: float) -> float:
        """Return a quantile of the waits."""
        ordered = sorted(self.waits_ms)
        return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


class CallHistory(Drive):
    """Routers, servers, and calls that arrive whether earlier ones have ended or not."""

    def __init__(self, service: Service, options: CoreOptions, seed: int) -> None:
        loads = [Load(name, 1.0, 1.0, ()) for name in service.workspaces]
        super().__init__(service.routers, service.servers, service.slots, loads, options, seed)
        self.service = service
        self.calls: dict[str, Call] = {}
        self.figures = CallFigures()
        self.refused: dict[str, str] = {}
        self.dead: set[str] = set()
        self.loses: Callable[[str, str, object], bool] = lambda sender, receiver, message: False
        """Whether a message from one router to another is lost."""
        self.find_delays_s: Callable[[object], tuple[float, ...]] = lambda message: (LATENCY_S,)
        self.spell_offsets_s = {
            f"s{index}": random.Random(f"{seed}/{index}").random() * SPELL_INTERVAL_S
            for index in range(service.servers)
        }

    def ask(
        self, router: str, workspace: str, allowed_regions: frozenset[str] | None = None
    ) -> None:
        """Send a call to a router now."""
        if router in self.dead:
            return
        self.requests += 1
        request_id = f"{workspace}/{self.requests}"
        self.calls[request_id] = Call(router, workspace, self.now_s)
        deadline_s = self.now_s + DEADLINE_S
        request = RequestSpecification(
            request_id,
            workspace,
            POOL,
            100,
            self.now_s,
            deadline_s,
            aim_deadline_s=self.now_s + self.service.aim_s,
            allowed_regions=allowed_regions,
        )
        self.handle(router, events.RequestArrived(request))

    def arrive(self, from_s: float, until_s: float) -> None:
        """Schedule calls at random times, routers and workspaces."""
        when_s = from_s
        burst_rate = self.service.burst_calls_per_s or self.service.calls_per_s
        while True:
            in_burst = when_s < from_s + BURST_S
            rate = burst_rate if in_burst else self.service.calls_per_s
            when_s += self.draw.expovariate(rate)
            if when_s >= until_s:
                return
            router = self.draw.choice(sorted(self.cores))
            workspace = self.draw.choice(self.service.workspaces)
            self.at(when_s, lambda router=router, name=workspace: self.ask(router, name))  # type: ignore[misc]

    def sample_slots(self, from_s: float, until_s: float) -> None:
        """Schedule samples of the slots that are idle while a call waits."""
        for number in range(int((until_s - from_s) / 0.01)):
            self.at(from_s + number * 0.01, self._sample)

    def at(self, when_s: float, step: Callable[[], None]) -> None:
        """Schedule a step."""
        self._schedule(when_s, step)

    def kill(self, router: str) -> None:
        """End a router with all that it knows."""
        self.dead.add(router)

    def handle(self, name: str, event: events.Event) -> None:
        """Pass an event to a core that is alive."""
        if name not in self.dead:
            super().handle(name, event)

    def _carry_out(self, name: str, action: actions.Action) -> None:
        if isinstance(action, actions.Refuse):
            self.refused[action.request_id] = action.reason
        elif isinstance(action, actions.MessageDropped):
            self.figures.dropped[action.reason] += 1
        elif isinstance(action, actions.BidsSpread):
            self.figures.told_owners.setdefault("BidsSpread", []).append(len(action.owners))
        elif isinstance(action, actions.BidsUpdated):
            self.figures.told_owners.setdefault("BidsUpdated", []).append(action.owners)
        super()._carry_out(name, action)

    def _send(self, name: str, action: actions.Send) -> None:
        kind = type(action.message).__name__
        self.figures.messages[kind] += 1
        self.figures.bytes[kind] += len(memoryview(encode_message(action.message)))
        if self.loses(name, action.router_id, action.message):
            return
        event = events.MessageReceived(name, 1, action.message)
        for delay_s in self.find_delays_s(action.message):
            self.at(self.now_s + delay_s, lambda: self.handle(action.router_id, event))

    def _start_run(self, name: str, action: actions.Dispatch) -> None:
        call = self.calls[action.request_id]
        call.starts += 1
        call.server = action.backend_server
        call.started_at_s = self.now_s
        self.figures.waits_ms.append((self.now_s - call.arrived_at_s) * 1000.0)
        server = action.backend_server
        self.running_on[server] = self.running_on.get(server, 0) + 1
        spell_s = (self.now_s + self.spell_offsets_s[server]) % SPELL_INTERVAL_S
        slowdown = SPELL_SLOWDOWN if spell_s < SPELL_S and self.service.has_spells else 1.0
        run_s = self.service.work_s * slowdown * self.draw.uniform(0.7, 1.3)
        ended_s = self.now_s + 2 * LATENCY_S + run_s
        self.at(ended_s, lambda: self._end_call(name, action.request_id, server))

    def _end_call(self, name: str, request_id: str, server: str) -> None:
        self.running_on[server] -= 1
        self.calls[request_id].ended_at_s = self.now_s
        self.handle(name, events.RunEnded(request_id, 1.0))

    def _sample(self) -> None:
        waiting = sum(core.ingress.queued_requests for core in self.cores.values())
        if waiting:
            free = self.slots - sum(self.running_on.values())
            self.figures.idle_slot_parts.append(min(max(free, 0), waiting) / self.slots)


def play_calls(
    service: Service,
    options: CoreOptions,
    seed: int,
    seconds: float,
    find_delays_s: Callable[[object], tuple[float, ...]] = lambda message: (LATENCY_S,),
) -> CallHistory:
    """Play calls for some seconds after a warm-up, and until all have ended.

    :param find_delays_s: returns the delays of a message's copies; none if it is lost.
    """
    history = CallHistory(service, options, seed)
    history.find_delays_s = find_delays_s
    history.advance(WARM_UP_S)
    history.figures = CallFigures()
    history.arrive(WARM_UP_S, WARM_UP_S + seconds)
    history.sample_slots(WARM_UP_S, WARM_UP_S + seconds)
    history.advance(WARM_UP_S + seconds + DEADLINE_S)
    return history
