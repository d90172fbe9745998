"""Simulates a router whose servers fall silent: searches for successors, hand-overs and drops.

Two decision cores share the ownership of the servers. The first one serves the clients, and what
its shell would do is drawn. Nothing here sleeps. Messages arrive late, but in order, unless a kind
of them is named that others overtake.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from myrtlehook_core import (
    BackendServer,
    Configuration,
    ConfigurationVersion,
    CoreOptions,
    EngineCapacity,
    Pool,
    PoolKind,
    PromptPart,
    RefusalReason,
    RequestSpecification,
    RetryReason,
    RouterCore,
    RouterIdentity,
    Workspace,
    actions,
    events,
)
from myrtlehook_core.process.admission_messages import AdmissionRelease
from myrtlehook_core.process.messages import Message, Release
from standins.pools import LIMITS, POOL

INGRESS = "r0"
ROUTERS = (INGRESS, "r1")
SERVERS = 5
SLOTS = 3
VERSIONS = ("v1", "v2")
WORKSPACES = ("a", "b")
TICK_S = 0.02
MAX_DELAY_S = 0.01
OVERTAKEN_S = 0.05
START_S = 1.0
"""After this time the routers know each other and grant."""

SETTLE_S = 0.6
"""Within this time all messages arrive; it is shorter than every lease."""

MIN_UNSENT_ATTEMPTS = 4
"""The attempts that a request has at least, after one that did not reach its server."""

NO_BUDGET = CoreOptions(retry_ratio=0.0, retry_burst=12.0, load_interval_s=float("inf"))
"""Dispatches earn no retries, so that the budget tells how many were spent."""


@dataclass(slots=True, eq=False)
class Search:
    """A search for the successor of a request."""

    successor_id: str
    first_server: str
    silent_servers: frozenset[str]
    server: str = ""
    """The server to which the core dispatched the successor; empty until then."""
    was_sent: bool = False
    is_cancelled: bool = False


@dataclass(slots=True, eq=False)
class Call:
    """A client's request, as the shell of its router knows it."""

    specification: RequestSpecification
    current_id: str
    """The id under which the core knows its run; the successor's after a hand-over."""
    server: str = ""
    """The server that runs it; empty while it waits."""
    version: str | None = None
    """The software version at which its stream has begun."""
    search: Search | None = None
    searches: int = 0
    sent: int = 0
    """How often it was sent to a server, its successors included."""
    attempts: int = 0
    """The most that may be sent."""
    ended: bool = False


@dataclass(slots=True)
class SuccessorHistory:
    """Two cores, their messages, and the calls at the first one."""

    seed: int
    has_engines: bool
    """Whether the pool has model engines; else plain services."""
    now_s: float = 0.0
    cores: dict[str, RouterCore] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    finished_sends: int = 0
    """Successors that were sent and whose searches have ended."""
    requeued: int = 0
    removed: set[str] = field(default_factory=set)
    """Servers that are not listed."""
    was_removed: set[str] = field(default_factory=set)
    """Servers that were not listed at some time; new owners do not know all holds at once."""
    is_draining: bool = False
    """Whether the first router drains, so that all servers have just got another owner."""
    faults: list[str] = field(default_factory=list)
    """What should not have happened, as it is found."""
    late_kind: type | None = None
    """Messages of this kind arrive ``OVERTAKEN_S`` late; those sent after them overtake them."""
    draws: random.Random = field(init=False)
    _link_free_s: dict[str, float] = field(default_factory=dict)
    """By sender: when its last message arrives."""
    _queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Start the routers, and wait until they grant."""
        self.draws = random.Random(self.seed)
        for name in ROUTERS:
            core = RouterCore(RouterIdentity(name, name, 1), NO_BUDGET, self.draws.random)
            core.exchange.current = make_configuration(self.has_engines, WORKSPACES)
            core.add_seeds([(other, other) for other in ROUTERS if other != name], 0.0)
            self.cores[name] = core
        self.publish()
        for name in ROUTERS:
            self._tick(name)
        self.run_for(START_S)

    @property
    def ingress(self) -> RouterCore:
        """Return the core of the router that serves the clients."""
        return self.cores[INGRESS]

    def run_for(self, duration_s: float) -> None:
        """Deliver what is due within a time."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            time_s, _, work = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, time_s)
            work()
        self.now_s = end_s

    def feed(self, name: str, event: events.Event) -> None:
        """Have a core handle an event, and carry out its actions."""
        for action in self.cores[name].handle(event, self.now_s):
            self._carry_out(name, action)

    def publish(self) -> None:
        """Tell all routers which servers are listed."""
        servers = tuple(one for one in make_servers() if one.name not in self.removed)
        for name in ROUTERS:
            self.feed(name, events.BackendServersRead(servers))

    def remove_workspace(self, workspace: str) -> None:
        """Remove a workspace from the configuration of all routers."""
        for core in self.cores.values():
            current = core.exchange.current
            left = {name: one for name, one in current.workspaces.items() if name != workspace}
            core.exchange.current = replace(current, workspaces=left)

    def drain(self) -> None:
        """Have the first router drain."""
        self.is_draining = True
        self.feed(INGRESS, events.DrainStarted())

    # -- what clients and servers do -------------------------------------------------

    def arrive(self, workspace: str, attempts: int, repeatable: bool, no_repeat: bool) -> None:
        """Send a client's request to the first router."""
        number = len(self.calls)
        request = make_request(f"q{number}", workspace, self.now_s, number % 3)
        request = replace(request, attempts=attempts, repeatable=repeatable, no_repeat=no_repeat)
        self.calls.append(Call(request, request.request_id, attempts=attempts))
        self.feed(INGRESS, events.RequestArrived(request))

    def begin_stream(self, call: Call) -> None:
        """Have the server of a call write the first event; the shell gives up its search."""
        if not call.version:
            call.version = find_version(call.server)
            self.feed(INGRESS, events.StreamBegun(call.current_id, call.version))
            self.feed(INGRESS, events.ServiceObserved(call.current_id, 1.0))
        self.drop(call)

    def seek(self, call: Call, silent_servers: frozenset[str]) -> None:
        """Seek a successor for a call."""
        call.searches += 1
        successor_id = f"{call.current_id}/successor-{call.searches}"
        call.search = Search(successor_id, call.server, silent_servers)
        sought = events.SuccessorSought(call.current_id, successor_id, silent_servers)
        self.feed(INGRESS, sought)

    def send(self, call: Call) -> None:
        """Send a successor to the server that it was dispatched to."""
        assert call.search is not None
        call.search.was_sent = True
        self._count_sent(call)

    def hand_over(self, call: Call) -> None:
        """Hand a call over to its successor, which has it in hand."""
        search, call.search = call.search, None
        assert search is not None
        assert search.was_sent
        first_id, call.current_id = call.current_id, search.successor_id
        call.server = search.server
        self.finished_sends += 1
        self.feed(INGRESS, events.RunHandedOver(first_id, search.successor_id))

    def drop(self, call: Call, failed: bool = False) -> None:
        """Drop the successor of a call, if one is sought."""
        search, call.search = call.search, None
        if search is None:
            return
        self.finished_sends += search.was_sent
        dropped = events.SuccessorDropped(
            call.current_id,
            search.successor_id,
            search.was_sent,
            RetryReason.ANSWER_BROKEN if search.was_sent and failed else None,
        )
        self.feed(INGRESS, dropped)

    def end(self, call: Call) -> None:
        """End a call; its client has left if it waits. The shell then gives up its search."""
        call.ended = True
        if call.server:
            self.feed(INGRESS, events.RunEnded(call.current_id, 50.0, completed=True))
        else:
            self.feed(INGRESS, events.RequestAbandoned(call.current_id))
        self.drop(call)

    def break_off(self, call: Call, reason: RetryReason) -> None:
        """Break the run of a call off; the shell first waits for the end of its search."""
        if call.search is not None and call.search.was_sent:
            self.hand_over(call)
            return
        self.drop(call)
        call.server = ""
        if reason is RetryReason.CONNECT_FAILED:
            call.attempts = max(call.attempts, MIN_UNSENT_ATTEMPTS)
        self.feed(INGRESS, events.RunNotStarted(call.current_id, reason))

    def end_all(self) -> None:
        """End all calls and searches, and deliver all messages."""
        for call in self.calls:
            if not call.ended:
                self.end(call)
        self.run_for(SETTLE_S)

    # -- what the shell does with actions --------------------------------------------

    def _tick(self, name: str) -> None:
        self.feed(name, events.Tick())
        if self.cores[name].find_next_grant_s() <= self.now_s:
            self.feed(name, events.GrantsDue())
        self._at(self.now_s + TICK_S, partial(self._tick, name))

    def _at(self, time_s: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time_s, next(self._numbers), work))

    def _carry_out(self, name: str, action: actions.Action) -> None:
        if isinstance(action, actions.Send):
            event = events.MessageReceived(name, 1, action.message)
            self._note_early_release(name, action.message)
            due_s = self.now_s + self.draws.random() * MAX_DELAY_S
            due_s = max(due_s, self._link_free_s.get(name, 0.0))
            self._link_free_s[name] = due_s
            if self.late_kind is type(action.message):
                due_s += OVERTAKEN_S
            self._at(due_s, partial(self.feed, action.router_id, event))
        elif isinstance(action, actions.Dispatch):
            self._take_dispatch(action)
        elif isinstance(action, actions.Refuse):
            self._take_refusal(action)
        elif isinstance(action, actions.RequestRequeued):
            self.requeued += 1

    def _note_early_release(self, name: str, message: Message) -> None:
        """Note the release of a run that goes on."""
        for call in self.calls if name == INGRESS else ():
            if not call.server or call.ended:
                continue
            running = self.ingress.ingress.running.get(call.current_id)
            if isinstance(message, Release):
                is_own = running is not None and message.grant_id == running.grant_id
            else:
                is_own = (
                    isinstance(message, AdmissionRelease)
                    and message.request_id == call.current_id
                    and message.backend_server == call.server
                )
            if is_own:
                self.faults.append(f"{call.current_id} released early")

    def _take_dispatch(self, action: actions.Dispatch) -> None:
        call, search = self._find_call(action.request_id)
        if call is None:
            self.faults.append(f"{action.request_id} dispatched, but nobody waits for it")
            return
        if call.version not in (None, find_version(action.backend_server)):
            self.faults.append(f"{action.request_id} goes on at another software version")
        if search is None:
            call.server = action.backend_server
            self._count_sent(call)
            return
        if action.backend_server in search.silent_servers | {search.first_server}:
            self.faults.append(f"{action.request_id} dispatched to a silent server")
        if call.specification.no_repeat or not call.specification.repeatable:
            self.faults.append(f"{action.request_id} may not be repeated")
        search.server = action.backend_server

    def _count_sent(self, call: Call) -> None:
        call.sent += 1
        if call.sent > call.attempts:
            self.faults.append(f"{call.current_id} sent {call.sent} times, {call.attempts} may be")

    def _take_refusal(self, action: actions.Refuse) -> None:
        call, search = self._find_call(action.request_id)
        if call is None or action.reason is RefusalReason.DUPLICATE_REQUEST_ID:
            self.faults.append(f"{action.request_id} refused, but nobody waits for it")
        elif search is None:
            call.ended = True
            self._at(self.now_s, partial(self.drop, call))
        else:
            self._at(self.now_s, partial(self._drop_refused, call, search))

    def _drop_refused(self, call: Call, search: Search) -> None:
        if call.search is search:
            self.drop(call)

    def _find_call(self, request_id: str) -> tuple[Call | None, Search | None]:
        """Return the open call that an id belongs to, and its search if it is the successor's."""
        for call in self.calls:
            if call.search is not None and call.search.successor_id == request_id:
                return call, call.search
            if call.current_id == request_id and not call.ended:
                return call, None
        return None, None


def make_servers() -> tuple[BackendServer, ...]:
    """Return all servers of the pool, of two software versions."""
    return tuple(
        BackendServer(
            f"s{number}", POOL, f"10.0.1.{number}:80", "z", SLOTS, False, False,
            software_version=find_version(f"s{number}"),
        )
        for number in range(SERVERS)
    )  # fmt: skip


def find_version(server: str) -> str:
    """Return the software version of a server."""
    return VERSIONS[int(server[1:]) % len(VERSIONS)]


def make_request(
    request_id: str, workspace: str, now_s: float, session: int
) -> RequestSpecification:
    """Return a request with a deadline that no history reaches."""
    parts = (PromptPart(f"s{session}", 500), PromptPart(f"own-{request_id}", 300))
    return RequestSpecification(
        request_id=request_id,
        workspace=workspace,
        pool=POOL,
        body_bytes=100,
        arrived_at_s=now_s,
        deadline_s=now_s + 60.0,
        prompt_tokens=800,
        output_tokens=30,
        prompt_parts=parts,
        aim_deadline_s=now_s + 2.0,
        fingerprint=request_id.encode(),
    )


def make_configuration(has_engines: bool, workspaces: tuple[str, ...]) -> Configuration:
    """Return a configuration with one pool of engines or of plain services."""
    pool = Pool(
        name=POOL,
        kind=PoolKind.MODEL if has_engines else PoolKind.SERVICE,
        models=(),
        input_token_weight=1.0,
        output_token_weight=2.0,
        no_repeat=False,
        default_timeout_s=10.0,
        engine_capacity=EngineCapacity(memory_tokens=100_000) if has_engines else None,
    )
    return Configuration(
        version=ConfigurationVersion(1, ""),
        workspaces={
            name: Workspace(name, 1.0, (), frozenset({POOL}), LIMITS) for name in workspaces
        },
        pools={POOL: pool},
    )
