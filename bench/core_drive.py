"""Drives many decision cores in one process over simple fakes, to compare their decisions.

This is not a simulator of a cluster: messages take a fixed time, and engines run a request
for a time that is computed from its cost and the engine's load.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from myrtlehook_core import (
    BackendServer,
    Configuration,
    ConfigurationVersion,
    CoreOptions,
    Pool,
    PoolKind,
    RequestSpecification,
    RouterCore,
    RouterIdentity,
    Workspace,
    actions,
    encode_envelope,
    events,
)
from myrtlehook_core.process.messages import Envelope
from myrtlehook_core.request.admission import QueueLimits

POOL = "pool"
TICK_S = 0.02
LATENCY_S = 0.001
BACKLOG_REQUESTS = 8
UNITS_PER_S = 100.0
"""Service units that one slot provides per second."""


@dataclass(frozen=True, slots=True)
class Load:
    """One workspace's load: its share, its mean cost, and the indices of its ingress routers."""

    workspace: str
    share: float
    mean_cost_units: float
    routers: tuple[int, ...]


@dataclass(slots=True)
class DriveResult:
    """The measurements of one drive."""

    largest_gap_units: float = 0.0
    mean_gap_units: float = 0.0
    utilisation: float = 0.0
    messages_per_s: float = 0.0
    bytes_per_s: float = 0.0
    """Control traffic that one router sends on average."""
    served_units: dict[str, float] = field(default_factory=dict)
    gaps_units: list[float] = field(default_factory=list)


def make_loads(count: int, routers: int, draw: random.Random) -> list[Load]:
    """Make workspaces of unequal shares and costs, spread unevenly over the routers."""
    loads = []
    for index in range(count):
        router_count = max(1, round(routers * draw.choice((0.125, 0.25, 0.5, 1.0))))
        ingress_routers = tuple(sorted(draw.sample(range(routers), router_count)))
        cost_units = draw.choice((30.0, 100.0, 300.0, 500.0))
        loads.append(Load(f"w{index}", float(draw.choice((1, 2))), cost_units, ingress_routers))
    return loads


def make_configuration(loads: list[Load], servers: int, slots: int) -> Configuration:
    """Make a configuration with one pool."""
    limits = QueueLimits(1_000_000, 1 << 40, 1e9, 1_000_000)
    workspaces = {
        load.workspace: Workspace(load.workspace, load.share, (), frozenset({POOL}), limits)
        for load in loads
    }
    pool = Pool(POOL, PoolKind.MODEL, ("m",), 1.0, 1.0, False, 600.0)
    backend_servers = {
        f"s{index}": BackendServer(f"s{index}", POOL, "127.0.0.1:1", "z", slots, False, False)
        for index in range(servers)
    }
    version = ConfigurationVersion(1, "d")
    return Configuration(
        version, workspaces, {POOL: pool}, backend_servers, served_pools=frozenset({POOL})
    )


class Drive:
    """Many cores, the messages between them, and their engines."""

    def __init__(
        self,
        routers: int,
        servers: int,
        slots: int,
        loads: list[Load],
        options: CoreOptions,
        seed: int,
    ) -> None:
        self.draw = random.Random(seed)
        self.loads = {load.workspace: load for load in loads}
        self.configuration = make_configuration(loads, servers, slots)
        self.slots = servers * slots
        self.now_s = 0.0
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.steps = 0
        self.cores: dict[str, RouterCore] = {}
        self.waiting: dict[tuple[str, str], int] = {}
        self.running: dict[str, tuple[str, str, float, float]] = {}
        self.running_on: dict[str, int] = {}
        self.served_units: dict[str, float] = dict.fromkeys(self.loads, 0.0)
        self.busy_s = 0.0
        self.sent_messages = 0
        self.sent_bytes = 0
        self.requests = 0
        self.delays_s: Callable[[str, str], tuple[float, ...]] = lambda _, __: (LATENCY_S,)
        """Returns the delays of a message from one router to another.

        It is lost if there are none, and arrives twice if there are two.
        """
        self.largest_cost_units = 0.0
        self.dispatched: Counter[str] = Counter()
        for index in range(routers):
            self._add_core(index, routers, options)

    def _add_core(self, index: int, routers: int, options: CoreOptions) -> None:
        name = f"r{index}"
        core = RouterCore(RouterIdentity(name, name, 1), options, self.draw.random)
        core.exchange.current = self.configuration
        core.add_seeds([(f"r{other}", f"r{other}") for other in range(routers)], 0.0)
        for member in core.table.members.values():
            # All members are alive from the start, so that the drive measures the steady state.
            member.state = type(member.state).ALIVE
            member.unconfirmed = False
        core.table.version += 1
        self.cores[name] = core
        self._schedule(self.draw.random() * TICK_S, lambda: self._tick(name))

    def _schedule(self, when_s: float, step: Callable[[], None]) -> None:
        self.steps += 1
        heapq.heappush(self.agenda, (when_s, self.steps, step))

    def _tick(self, name: str) -> None:
        self.handle(name, events.Tick())
        self._schedule(self.now_s + TICK_S, lambda: self._tick(name))

    def handle(self, name: str, event: events.Event) -> None:
        """Pass an event to a core and carry out the actions that it returns."""
        for action in self.cores[name].handle(event, self.now_s):
            self._carry_out(name, action)

    def _carry_out(self, name: str, action: actions.Action) -> None:
        if isinstance(action, actions.Send):
            self._send(name, action)
        elif isinstance(action, actions.Dispatch):
            self._start_run(name, action)
        elif isinstance(action, actions.PollLoad):
            server = action.backend_server
            report = events.LoadReported(server, 1, self.running_on.get(server, 0), False)
            self._schedule(self.now_s + LATENCY_S, lambda: self.handle(name, report))

    def _send(self, name: str, action: actions.Send) -> None:
        self.sent_messages += 1
        self.sent_bytes += len(encode_envelope(Envelope(name, 1, (action.message,))))
        event = events.MessageReceived(name, 1, action.message)
        for delay_s in self.delays_s(name, action.router_id):
            self._schedule(self.now_s + delay_s, lambda: self.handle(action.router_id, event))

    def _start_run(self, name: str, action: actions.Dispatch) -> None:
        workspace = action.request_id.split("/")[0]
        load = self.loads[workspace]
        # Log-normal, with a standard deviation about as large as the mean.
        cost_units = load.mean_cost_units * self.draw.lognormvariate(-0.35, 0.83)
        self.largest_cost_units = max(self.largest_cost_units, cost_units)
        self.dispatched[action.request_id] += 1
        server = action.backend_server
        self.running_on[server] = self.running_on.get(server, 0) + 1
        running = self.running_on[server]
        slots = self.configuration.backend_servers[server].slots
        slowdown = max(1.0, running / slots)
        run_s = cost_units / UNITS_PER_S * slowdown
        self.running[action.request_id] = (workspace, name, self.now_s, cost_units / run_s)
        self.waiting[(workspace, name)] -= 1
        self._fill_queue(workspace, name)
        self._schedule(
            self.now_s + LATENCY_S + run_s,
            lambda: self._finish_run(name, action.request_id, server, run_s, cost_units),
        )

    def _finish_run(
        self, name: str, request_id: str, server: str, run_s: float, cost_units: float
    ) -> None:
        workspace, _, _, _ = self.running.pop(request_id)
        self.running_on[server] -= 1
        self.served_units[workspace] += cost_units
        self.busy_s += run_s
        self.handle(name, events.RunEnded(request_id, cost_units))

    def _fill_queue(self, workspace: str, name: str) -> None:
        while self.waiting.setdefault((workspace, name), 0) < BACKLOG_REQUESTS:
            self.waiting[(workspace, name)] += 1
            self.requests += 1
            request = RequestSpecification(
                f"{workspace}/{self.requests}",
                workspace,
                POOL,
                100,
                self.now_s,
                self.now_s + 1e6,
            )
            event = events.RequestArrived(request)
            self._schedule(self.now_s, lambda event=event: self.handle(name, event))  # type: ignore[misc]

    def _report_service(self) -> None:
        for request_id, (_, name, started_s, rate) in list(self.running.items()):
            observed = events.ServiceObserved(request_id, (self.now_s - started_s) * rate)
            self.handle(name, observed)

    def compute_service_per_share(self) -> dict[str, float]:
        """Return the service so far in units per share, with the progress of running requests."""
        units = dict(self.served_units)
        for workspace, _, started_s, rate in self.running.values():
            units[workspace] += (self.now_s - started_s) * rate
        return {name: units[name] / self.loads[name].share for name in units}

    def fill_queues(self) -> None:
        """Queue requests of every workspace at each of its ingress routers."""
        for load in self.loads.values():
            for router in load.routers:
                self._fill_queue(load.workspace, f"r{router}")

    def run(self, seconds: float, warm_up_s: float = 2.0) -> DriveResult:
        """Keep every workspace backlogged for ``seconds`` after a warm-up, and measure."""
        self.fill_queues()
        self.advance(warm_up_s)
        start = self.compute_service_per_share()
        sent_messages, sent_bytes, busy_s = self.sent_messages, self.sent_bytes, self.busy_s
        gaps: list[float] = []
        while self.now_s < warm_up_s + seconds:
            self.advance(self.now_s + 0.1)
            now = self.compute_service_per_share()
            served = [now[name] - start[name] for name in now]
            gaps.append(max(served) - min(served))
        routers = len(self.cores)
        return DriveResult(
            largest_gap_units=max(gaps),
            mean_gap_units=sum(gaps) / len(gaps),
            utilisation=(self.busy_s - busy_s) / (seconds * self.slots),
            messages_per_s=(self.sent_messages - sent_messages) / seconds / routers,
            bytes_per_s=(self.sent_bytes - sent_bytes) / seconds / routers,
            served_units={name: now[name] - start[name] for name in now},
            gaps_units=gaps,
        )

    def advance(self, until_s: float) -> None:
        """Carry out all steps that are due until then."""
        next_observation_s = self.now_s
        while self.agenda and self.agenda[0][0] <= until_s:
            when_s, _, step = heapq.heappop(self.agenda)
            self.now_s = max(self.now_s, when_s)
            if self.now_s >= next_observation_s:
                next_observation_s = self.now_s + 0.1
                self._report_service()
            step()
        self.now_s = until_s


def drive_once(
    routers: int,
    servers: int,
    slots: int,
    workspaces: int,
    options: CoreOptions,
    seed: int,
    seconds: float,
) -> DriveResult:
    """Run one drive with loads that are drawn from the seed."""
    loads = make_loads(workspaces, routers, random.Random(seed))
    return Drive(routers, servers, slots, loads, options, seed).run(seconds)


def make_single_ingress_loads(workspaces: int, routers: int, seed: int) -> list[Load]:
    """Return the loads of :func:`make_loads`, all with the same single ingress router."""
    loads = make_loads(workspaces, routers, random.Random(seed))
    return [replace(load, routers=(0,)) for load in loads]
