"""Drives several decision cores through one history of requests, faults and lost messages.

Nothing here sleeps: time is a number, messages are delivered, doubled, delayed or lost
as the history's random source says, and engines answer after a time of their own.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from result import Ok

from myrtlehook_core import (
    BackendServer,
    ColdStart,
    Configuration,
    ConfigurationVersion,
    CoreOptions,
    RequestSpecification,
    RetryReason,
    RouterCore,
    RouterIdentity,
    Shedding,
    SourceOrder,
    actions,
    count_arrival,
    encode_message,
    events,
    should_shed,
)
from standins.pools import POOL, make_configuration, name_zone

TICK_S = 0.02
READ_INTERVAL_S = 0.1
END_DELAY_S = 0.04
"""How long after its beginning a run ends its engine."""

NOTICE_S = 0.06
"""How long a router takes to be sure that an engine has ended, and to hear what that means."""

ANSWER_S = 0.002
"""What an engine's refusal takes to come back."""

BACK_AFTER_S = 1.5
"""How long after its end an engine is back."""

RATE_TOKENS_PER_S = 30_000.0


@dataclass(frozen=True, slots=True)
class Network:
    """What may happen to a message between two routers."""

    lost_part: float = 0.0
    doubled_part: float = 0.0
    longest_delay_s: float = 0.003


@dataclass(slots=True)
class Source:
    """What is published to the routers that read it."""

    configuration_number: int = 1
    era: int = 1
    revision: int = 1
    servers: dict[str, BackendServer] = field(default_factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    silent_to: set[str] = field(default_factory=set)
    refuses: set[str] = field(default_factory=set)
    calls: Counter[str] = field(default_factory=Counter)

    copied: tuple[dict[str, BackendServer], int, int] = field(default_factory=lambda: ({}, 1, 1))
    """Of the copy: servers, revision and configuration."""

    def keep_copy(self) -> None:
        """Keep a copy of what is published now."""
        self.copied = (dict(self.servers), self.revision, self.configuration_number)

    def return_from_copy(self) -> None:
        """Come back from the copy; what was published since is gone."""
        servers, self.revision, self.configuration_number = self.copied
        self.servers = dict(servers)
        self.era += 1

    @property
    def order(self) -> SourceOrder:
        """Return the order of what is published now."""
        return SourceOrder(self.era, self.revision)

    def put(self, name: str, leaving: bool = False) -> None:
        """Publish a backend server."""
        self.revision += 1
        self.servers[name] = BackendServer(name, POOL, "10.0.1.9:80", "z", 16, False, leaving)

    def evacuate(self, *zones: str) -> None:
        """Let these zones get nothing, and all others be as ever."""
        self.revision += 1
        self.evacuated_zones = frozenset(zones)

    def drop(self, name: str) -> None:
        """Withdraw a backend server."""
        self.revision += 1
        self.servers.pop(name, None)


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A request at an engine."""

    entry: str
    core: RouterCore
    request: RequestSpecification
    began_s: float


@dataclass(slots=True)
class Outcome:
    """All that happened to one request."""

    entry: str
    deadline_s: float
    dispatched: list[str] = field(default_factory=list)
    dispatched_at_s: list[float] = field(default_factory=list)
    memory_sources: list[str] = field(default_factory=list)
    """For each dispatch, the engine that hands the prompt's beginning over."""
    unread_tokens: list[int] = field(default_factory=list)
    refused_at_s: list[float] = field(default_factory=list)
    ended_at_s: float | None = None
    running: bool = False


class History:
    """Routers, engines and the messages between them."""

    def __init__(
        self,
        seed: int,
        routers: int,
        engines: int,
        network: Network,
        options: CoreOptions,
        source: Source | None = None,
        zones: int = 1,
        tokens_per_s: float = 60_000.0,
        cold_start: ColdStart | None = None,
    ) -> None:
        """Start the routers of a history.

        :param zones: availability zones, over which routers and engines are spread in turn.
        :param tokens_per_s: what the configuration says that all engines produce.
        """
        self.random = random.Random(seed)
        self.network = network
        self.now_s = 0.0
        self.alive: dict[str, RouterCore] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.unread_tokens: Counter[str] = Counter()
        """Prompt tokens sent to each engine whose answers have not begun."""
        self.most_unread_tokens: Counter[str] = Counter()
        self.engine_free_s: dict[str, float] = {}
        self.broken_engines: set[str] = set()
        self.engine_runs: dict[str, dict[str, EngineRun]] = {}
        """By engine and request."""
        self.ends_engine: Callable[[RequestSpecification], bool] = lambda request: False
        """Whether a request ends each engine that begins it."""
        self.ended_at_s: list[float] = []
        """When engines ended."""
        self.leaving_engines: set[str] = set()
        """Those that say in each answer that they leave, and nowhere else."""
        self.backoff_s: Callable[[str], float] = lambda engine: 0.0
        """For how long an engine turns the router away whose request has just come; 0: not."""
        self.told_leaving_s: dict[tuple[str, str], float] = {}
        """When each router was first told by an answer that an engine leaves."""
        self.told_backoffs: dict[tuple[str, str], list[tuple[float, float]]] = {}
        """By router and engine: when it was told to leave the engine alone, and until when."""
        self.dispatches: list[tuple[str, str, float]] = []
        """Each send: by which router, to which engine, when."""
        self.refusal_reasons: dict[str, list[str]] = {}
        """By request."""
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        """Whether messages from one router to another are lost."""
        self.renewed: list[tuple[str, str]] = []
        """Connections that routers opened anew: whose, and to whom."""
        self.sent_bytes: Counter[tuple[str, str]] = Counter()
        """By kind of message, and by "own zone" or "other zones"."""
        self.sent_messages: Counter[str] = Counter()
        """By kind."""
        self.zones: dict[str, str] = {}
        """By router."""
        self.shedding: dict[str, Shedding] = {}
        """What routers that are short of processor time know of that."""
        self.owners_refused = 0
        """How often an engine's owner has refused a request."""
        self.levels_noted: list[actions.ShareLevelReported] = []
        """What accountants have told on-call."""
        self._configuration = make_configuration(tokens_per_s, cold_start)
        self._source = source
        self._options = options
        self._evacuated: frozenset[str] = frozenset()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._incarnations = itertools.count(1)
        self._servers = tuple(
            BackendServer(
                f"e{number}",
                POOL,
                f"10.0.1.{number}:80",
                name_zone(number % zones),
                16,
                False,
                False,
            )
            for number in range(engines)
        )
        self._names = [f"10.0.0.{number}:7400" for number in range(routers)]
        self.zones = {name: name_zone(number % zones) for number, name in enumerate(self._names)}
        for name in self._names:
            self.start_router(name)

    def start_router(self, name: str) -> None:
        """Start a router, or start it again with an empty memory."""
        identity = RouterIdentity(name, name, next(self._incarnations), self.zones[name])
        configuration = self._configuration

        def parse(text: str) -> Ok[Configuration]:
            return Ok(replace(configuration, version=ConfigurationVersion(int(text), "")))

        core = RouterCore(identity, self._options, self.random.random, parse)
        core.add_seeds([(other, other) for other in self._names if other != name], self.now_s)
        self.alive[name] = core
        if self._source is None:
            self.feed(name, events.ConfigurationRead("1"))
            servers, zones = self._servers, self._evacuated
            self.feed(name, events.BackendServersRead(servers, False, evacuated_zones=zones))
        else:
            self._read_source(name, core, self._source)
        self._tick(name, core)

    def kill_router(self, name: str) -> None:
        """End a router; the engines drop what it ran."""
        if self.alive.pop(name, None) is None:
            return
        for told in (self.told_leaving_s, self.told_backoffs):
            for key in [key for key in told if key[0] == name]:
                # Nothing of a router outlasts it.
                del told[key]
        for outcome in self.outcomes.values():
            if outcome.entry == name:
                outcome.running = False

    def keep_engines(self, count: int) -> None:
        """Withdraw all but the first engines; every router learns of it at once."""
        self.publish(self._servers[:count])

    def publish(
        self, servers: tuple[BackendServer, ...], evacuated: frozenset[str] = frozenset()
    ) -> None:
        """List other engines, and zones that get nothing; every router learns of it at once."""
        self._servers = servers
        self._evacuated = evacuated
        for name in list(self.alive):
            self.feed(name, events.BackendServersRead(servers, False, evacuated_zones=evacuated))

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """Return the engines that are listed."""
        return self._servers

    def at(self, time_s: float, work: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._queue, (time_s, next(self._numbers), work))

    def run_until(self, end_s: float) -> None:
        """Play the history up to a time."""
        while self._queue and self._queue[0][0] <= end_s:
            time_s, _, work = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, time_s)
            work()
        self.now_s = end_s

    def ask(self, entry: str, request: RequestSpecification) -> None:
        """Let a caller send a request to a router."""
        if entry not in self.alive:
            return
        outcome = self.outcomes[request.request_id] = Outcome(entry, request.deadline_s)
        shares = self.alive[entry].shares
        intake = count_arrival(shares, request, self.now_s)
        shedding = self.shedding.get(entry)
        if shedding is not None and should_shed(shares, shedding, request, intake, self.now_s):
            outcome.refused_at_s.append(self.now_s)
            return
        self.feed(entry, events.RequestArrived(request, intake))

    def feed(self, name: str, event: events.Event) -> None:
        """Hand an event to a router and carry out what it asks for."""
        core = self.alive.get(name)
        if core is None:
            return
        for action in core.handle(event, self.now_s):
            self._carry_out(name, core, action)

    def _tick(self, name: str, core: RouterCore) -> None:
        if self.alive.get(name) is not core:
            return
        self.feed(name, events.Tick())
        self.at(self.now_s + TICK_S, lambda: self._tick(name, core))

    def _read_source(self, name: str, core: RouterCore, source: Source) -> None:
        if self.alive.get(name) is not core:
            return
        self.at(self.now_s + READ_INTERVAL_S, lambda: self._read_source(name, core, source))
        if not core.source_readers.reading or name in source.silent_to:
            return
        source.calls[name] += 1
        if name in source.refuses:
            self.feed(name, events.SourceFailed())
            return
        self.feed(name, events.ConfigurationRead(str(source.configuration_number)))
        servers = tuple(source.servers.values())
        zones = source.evacuated_zones
        self.feed(name, events.BackendServersRead(servers, False, source.order, zones))
        self.feed(name, events.SourceAnswered())

    def _carry_out(self, name: str, core: RouterCore, action: Any) -> None:
        if isinstance(action, actions.Send):
            self._deliver(name, core, action)
        elif isinstance(action, actions.RenewLink):
            self.renewed.append((name, action.router_id))
        elif isinstance(action, actions.Refuse):
            self.outcomes[action.request_id].refused_at_s.append(self.now_s)
            self.refusal_reasons.setdefault(action.request_id, []).append(action.reason)
        elif isinstance(action, actions.Dispatch):
            self._run(name, core, action)
        elif isinstance(action, actions.AdmissionDecided):
            self.owners_refused += action.retry_after_ms is not None
        elif isinstance(action, actions.ShareLevelReported):
            self.levels_noted.append(action)

    def _deliver(self, sender: str, core: RouterCore, action: actions.Send) -> None:
        near = self.zones[sender] == self.zones.get(action.router_id)
        kind = type(action.message).__name__
        size_bytes = len(memoryview(encode_message(action.message)))
        self.sent_bytes[kind, "own zone" if near else "other zones"] += size_bytes
        self.sent_messages[kind] += 1
        copies = 1
        if self.is_cut(sender, action.router_id) or self.random.random() < self.network.lost_part:
            copies = 0
        elif self.random.random() < self.network.doubled_part:
            copies = 2
        event = events.MessageReceived(sender, core.identity.incarnation, action.message)
        for _ in range(copies):
            delay_s = self.random.random() * self.network.longest_delay_s
            self.at(self.now_s + delay_s, lambda: self.feed(action.router_id, event))

    def _run(self, name: str, core: RouterCore, action: actions.Dispatch) -> None:
        request_id, engine = action.request_id, action.backend_server
        outcome = self.outcomes[request_id]
        outcome.dispatched.append(engine)
        outcome.dispatched_at_s.append(self.now_s)
        outcome.memory_sources.append(action.memory_source)
        self.dispatches.append((name, engine, self.now_s))
        if engine in self.broken_engines:
            reason = RetryReason.CONNECT_FAILED
            failed = events.RunNotStarted(request_id, reason)
            self.at(self.now_s + 0.001, lambda: self.feed(name, failed))
            return
        backoff_s = self.backoff_s(engine)
        if backoff_s > 0.0:
            self.at(self.now_s + ANSWER_S, partial(self._turn_away, name, core, action, backoff_s))
            return
        outcome.running = True
        unread = core.admissions.open[request_id].unread_tokens
        outcome.unread_tokens.append(unread)
        self.unread_tokens[engine] += unread
        most = max(self.most_unread_tokens[engine], self.unread_tokens[engine])
        self.most_unread_tokens[engine] = most
        begin_s = max(self.engine_free_s.get(engine, 0.0), self.now_s)
        begin_s += unread / RATE_TOKENS_PER_S
        self.engine_free_s[engine] = begin_s
        run = EngineRun(name, core, core.admissions.open[request_id].request, self.now_s)
        self.engine_runs.setdefault(engine, {})[request_id] = run
        self.at(begin_s, lambda: self._begin(run, engine, unread))
        if self.ends_engine(run.request):
            self.at(begin_s + END_DELAY_S, lambda: self._end_by(run, engine))
        self.at(begin_s + 0.1, lambda: self._end(run, engine))

    def _turn_away(
        self, name: str, core: RouterCore, action: actions.Dispatch, backoff_s: float
    ) -> None:
        """Let an engine answer that it wants nothing more of a router for a time."""
        if self.alive.get(name) is not core:
            return
        engine, until_s = action.backend_server, self.now_s + backoff_s
        self.told_backoffs.setdefault((name, engine), []).append((self.now_s, until_s))
        said = events.ServerNoticed(engine, action.request_id, backoff_until_s=until_s)
        self.feed(name, said)
        self.feed(name, events.RunNotStarted(action.request_id, RetryReason.SERVER_BACKED_OFF))

    def end_engine(self, engine: str) -> None:
        """End an engine with all that it runs; it is back after a while."""
        self.ended_at_s.append(self.now_s)
        self.broken_engines.add(engine)
        self.at(self.now_s + BACK_AFTER_S, lambda: self.broken_engines.discard(engine))
        for request_id, run in self.engine_runs.pop(engine, {}).items():
            self.outcomes[request_id].running = False
            if self.alive.get(run.entry) is not run.core:
                continue
            fingerprint = run.request.fingerprint
            ended = events.ServerEndedInRun(fingerprint, engine, run.began_s, self.now_s)
            self.feed(run.entry, ended)
            self.at(self.now_s + NOTICE_S, partial(self._give_back, run))

    def _give_back(self, run: EngineRun) -> None:
        if self.alive.get(run.entry) is run.core:
            request_id = run.request.request_id
            self.feed(run.entry, events.RunNotStarted(request_id, RetryReason.ANSWER_BROKEN))

    def _end_by(self, run: EngineRun, engine: str) -> None:
        if self._is_at(run, engine):
            self.end_engine(engine)

    def _is_at(self, run: EngineRun, engine: str) -> bool:
        """Tell whether a run has neither ended nor broken off."""
        return self.engine_runs.get(engine, {}).get(run.request.request_id) is run

    def _begin(self, run: EngineRun, engine: str, unread: int) -> None:
        self.unread_tokens[engine] -= unread
        if self.alive.get(run.entry) is run.core and self._is_at(run, engine):
            if engine in self.leaving_engines:
                self.told_leaving_s.setdefault((run.entry, engine), self.now_s)
                said = events.ServerNoticed(engine, run.request.request_id, leaving=True)
                self.feed(run.entry, said)
            self.feed(run.entry, events.ServiceObserved(run.request.request_id, 1.0))

    def _end(self, run: EngineRun, engine: str) -> None:
        if not self._is_at(run, engine):
            return
        request_id = run.request.request_id
        del self.engine_runs[engine][request_id]
        if self.alive.get(run.entry) is run.core:
            outcome = self.outcomes[request_id]
            outcome.running = False
            outcome.ended_at_s = self.now_s
            self.feed(run.entry, events.RunEnded(request_id, 100.0, completed=True))
