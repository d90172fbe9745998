"""Simulates a fleet of routers and engines through a history of requests and faults.

The routers are real decision cores; the engines, the network and the clock are simulated.
Nothing here sleeps: time is a number, and the history's random generator decides whether a
message is delivered, duplicated, delayed or lost.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Mapping
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
    Regions,
    RequestSpecification,
    RetryReason,
    RouterCore,
    RouterIdentity,
    Shedding,
    SourceOrder,
    SuspectPart,
    actions,
    count_arrival,
    encode_message,
    events,
    make_part_key,
    should_shed,
)
from standins.pools import POOL, make_configuration, name_zone

TICK_S = 0.02
READ_INTERVAL_S = 0.1
END_DELAY_S = 0.04
"""From the beginning of a run to the end of the engine, if the request ends engines."""

END_DETECTION_S = 0.06
"""From the end of an engine to the failure that its router reports for each run there."""

REFUSAL_DELAY_S = 0.002
"""From a dispatch to an engine's refusal."""

ENGINE_DOWN_S = 1.5
"""From the end of an engine to its restart."""

SOUND_OUTPUT_S = 0.1
"""From the begin of an answer until it shows that the parts of its prompt are sound."""

RATE_TOKENS_PER_S = 30_000.0
SLOTS = 16
"""The number of requests that an engine runs at once; more of them wait inside it."""

ANSWER_S = 0.1


@dataclass(frozen=True, slots=True)
class Network:
    """The probabilities of faults of messages between routers, and the longest delay."""

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    max_delay_s: float = 0.003


@dataclass(slots=True)
class Source:
    """The configuration source: what it publishes, and which routers get no answer from it."""

    configuration_number: int = 1
    era: int = 1
    revision: int = 1
    servers: dict[str, BackendServer] = field(default_factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    silent_to: set[str] = field(default_factory=set)
    refused_to: set[str] = field(default_factory=set)
    calls: Counter[str] = field(default_factory=Counter)

    saved_copy: tuple[dict[str, BackendServer], int, int] = field(
        default_factory=lambda: ({}, 1, 1)
    )
    """Servers, revision and number of the configuration."""

    def keep_copy(self) -> None:
        """Save a copy of what is published now."""
        self.saved_copy = (dict(self.servers), self.revision, self.configuration_number)

    def return_from_copy(self) -> None:
        """Restore the copy in a new era; what was published since is lost."""
        servers, self.revision, self.configuration_number = self.saved_copy
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
        """Publish these zones as the evacuated ones."""
        self.revision += 1
        self.evacuated_zones = frozenset(zones)

    def drop(self, name: str) -> None:
        """Withdraw a backend server."""
        self.revision += 1
        self.servers.pop(name, None)


@dataclass(slots=True)
class EngineRun:
    """A run of a request at an engine."""

    ingress: str
    """The router that sent the request."""

    core: RouterCore
    request: RequestSpecification
    began_s: float
    begun_at_s: float | None = None
    """When its answer began, if its router saw that."""


@dataclass(slots=True)
class Outcome:
    """What happened to one request."""

    ingress: str
    deadline_s: float
    dispatched: list[str] = field(default_factory=list)
    dispatched_at_s: list[float] = field(default_factory=list)
    memory_sources: list[str] = field(default_factory=list)
    """For each dispatch, the engine that transfers the prompt's beginning."""
    unread_tokens: list[int] = field(default_factory=list)
    refused_at_s: list[float] = field(default_factory=list)
    begun_engines: list[str] = field(default_factory=list)
    """The engines that have begun to answer, in order."""
    begun_at_s: float | None = None
    """When its answer began, unless its router had ended by then."""
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
        regions: Mapping[str, str] | None = None,
    ) -> None:
        """Start the routers of a history.

        :param zones: number of availability zones, to which routers and engines are assigned
            in turn.
        :param tokens_per_s: rate that the configuration states for all engines together.
        :param regions: by zone; none if the routers' settings name no regions.
        """
        self.random = random.Random(seed)
        self.network = network
        self.now_s = 0.0
        self.alive: dict[str, RouterCore] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.unread_tokens: Counter[str] = Counter()
        """By engine: prompt tokens of the requests sent to it whose answers have not begun."""
        self.most_unread_tokens: Counter[str] = Counter()
        self.engine_free_s: dict[str, float] = {}
        self.find_rate_tokens_per_s: Callable[[str, float], float] = lambda engine, time_s: (
            RATE_TOKENS_PER_S
        )
        """By engine and time: how fast it reads prompts."""
        self.find_answer_s: Callable[[RequestSpecification], float] = lambda request: ANSWER_S
        """By request: from the begin of its answer to the end."""
        self.slot_ends_s: dict[str, list[float]] = {}
        """By engine: a heap of the times at which its requests end."""
        self.broken_engines: set[str] = set()
        self.versions_before: dict[str, str] = {}
        """Software versions of engines that are no longer listed."""
        self.engine_runs: dict[str, dict[str, EngineRun]] = {}
        """By engine and request."""
        self.ends_engine: Callable[[RequestSpecification], bool] = lambda request: False
        """Whether a request ends each engine that runs it."""
        self.ended_at_s: list[float] = []
        """When engines ended."""
        self.leaving_engines: set[str] = set()
        """Engines that report in each answer, and nowhere else, that they are leaving."""
        self.backoff_s: Callable[[str], float] = lambda engine: 0.0
        """By engine: the back-off with which it refuses the present request; 0 if it accepts it."""
        self.leaving_reported_at_s: dict[tuple[str, str], float] = {}
        """By router and engine: when an answer first reported that the engine is leaving."""
        self.reported_backoffs: dict[tuple[str, str], list[tuple[float, float]]] = {}
        """By router and engine: beginning and end of each back-off that the engine asked for."""
        self.dispatches: list[tuple[str, str, float]] = []
        """Router, engine and time of each dispatch."""
        self.refusal_reasons: dict[str, list[str]] = {}
        """By request."""
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        """Whether messages from one router to another are lost."""
        self.renewed_links: list[tuple[str, str]] = []
        """Connections that routers opened anew, by router and peer."""
        self.sent_bytes: Counter[tuple[str, str]] = Counter()
        """By kind of message, and by "own zone" or "other zones"."""
        self.sent_messages: Counter[str] = Counter()
        """By kind."""
        self.zones: dict[str, str] = {}
        """By router."""
        self.shedding: dict[str, Shedding] = {}
        """By router that lacks processor time: its state of load shedding."""
        self.owner_refusals = 0
        """Number of refusals by engines' owners."""
        self.level_reports: list[actions.ShareLevelReported] = []
        """Share levels that accountants have reported to operators."""
        self.tally_reports: list[tuple[float, actions.ShareTalliesReported]] = []
        """Tallies that routers have reported to operators, and when."""
        self._configuration = make_configuration(tokens_per_s, cold_start)
        self._source = source
        self._regions = regions or {}
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
                SLOTS,
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
        """Start a router, or restart it without any state."""
        identity = RouterIdentity(name, name, next(self._incarnations), self.zones[name])
        configuration = self._configuration

        def parse(text: str) -> Ok[Configuration]:
            return Ok(replace(configuration, version=ConfigurationVersion(int(text), "")))

        regions = Regions(self._regions.get(self.zones[name], ""), self._regions)
        core = RouterCore(identity, self._options, self.random.random, parse, regions)
        core.add_seeds([(other, other) for other in self._names if other != name], self.now_s)
        self.alive[name] = core
        if self._source is None:
            self.feed(name, events.ConfigurationRead("1"))
            servers, zones = self._servers, self._evacuated
            self.feed(name, events.BackendServersRead(servers, evacuated_zones=zones))
        else:
            self._read_source(name, core, self._source)
        self._tick(name, core)

    def kill_router(self, name: str) -> None:
        """End a router; engines abandon its runs."""
        if self.alive.pop(name, None) is None:
            return
        for notices in (self.leaving_reported_at_s, self.reported_backoffs):
            for key in [key for key in notices if key[0] == name]:
                # A restarted router has received no notices yet.
                del notices[key]
        for outcome in self.outcomes.values():
            if outcome.ingress == name:
                outcome.running = False

    def keep_engines(self, count: int) -> None:
        """Withdraw all but the first engines; every router learns of it at once."""
        self.publish(self._servers[:count])

    def publish(
        self, servers: tuple[BackendServer, ...], evacuated: frozenset[str] = frozenset()
    ) -> None:
        """Replace the listed engines and evacuated zones; every router learns of it at once."""
        self.versions_before |= {one.name: one.software_version for one in self._servers}
        self._servers = servers
        self._evacuated = evacuated
        for name in list(self.alive):
            self.feed(name, events.BackendServersRead(servers, evacuated_zones=evacuated))

    def find_software_version(self, engine: str) -> str:
        """Return the software version of an engine, also of one that has left.

        Servers of a ``Source`` state none.
        """
        listed = {server.name: server.software_version for server in self._servers}
        return listed.get(engine, self.versions_before.get(engine, ""))

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """Return the engines that are listed."""
        return self._servers

    def at(self, time_s: float, work: Callable[[], None]) -> None:
        """Schedule a call for a time of the history."""
        heapq.heappush(self._queue, (time_s, next(self._numbers), work))

    def run_until(self, end_s: float) -> None:
        """Run the history up to a time."""
        while self._queue and self._queue[0][0] <= end_s:
            time_s, _, work = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, time_s)
            work()
        self.now_s = end_s

    def ask(self, ingress: str, request: RequestSpecification) -> None:
        """Send a client's request to a router, if that is alive."""
        if ingress not in self.alive:
            return
        outcome = self.outcomes[request.request_id] = Outcome(ingress, request.deadline_s)
        shares = self.alive[ingress].shares
        standing = count_arrival(shares, request, self.now_s)
        shedding = self.shedding.get(ingress)
        if shedding is not None and should_shed(shares, shedding, request, standing, self.now_s):
            outcome.refused_at_s.append(self.now_s)
            return
        self.feed(ingress, events.RequestArrived(request, standing))

    def feed(self, name: str, event: events.Event) -> None:
        """Have a router handle an event, and carry out the actions that it returns."""
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
        if name in source.refused_to:
            self.feed(name, events.SourceFailed())
            return
        self.feed(name, events.SourceAnswered())
        self.feed(name, events.ConfigurationRead(str(source.configuration_number)))
        servers = tuple(source.servers.values())
        zones = source.evacuated_zones
        self.feed(name, events.BackendServersRead(servers, source.order, zones))

    def _carry_out(self, name: str, core: RouterCore, action: Any) -> None:
        if isinstance(action, actions.Send):
            self._deliver(name, core, action)
        elif isinstance(action, actions.RenewLink):
            self.renewed_links.append((name, action.router_id))
        elif isinstance(action, actions.Refuse):
            self.outcomes[action.request_id].refused_at_s.append(self.now_s)
            self.refusal_reasons.setdefault(action.request_id, []).append(action.reason)
        elif isinstance(action, actions.Dispatch):
            self._dispatch(name, core, action)
        elif isinstance(action, actions.AdmissionDecided):
            self.owner_refusals += action.retry_after_ms is not None
        elif isinstance(action, actions.ShareLevelReported):
            self.level_reports.append(action)
        elif isinstance(action, actions.ShareTalliesReported):
            self.tally_reports.append((self.now_s, action))

    def _deliver(self, sender: str, core: RouterCore, action: actions.Send) -> None:
        is_near = self.zones[sender] == self.zones.get(action.router_id)
        kind = type(action.message).__name__
        size_bytes = len(memoryview(encode_message(action.message)))
        self.sent_bytes[kind, "own zone" if is_near else "other zones"] += size_bytes
        self.sent_messages[kind] += 1
        copies = 1
        if (
            self.is_cut(sender, action.router_id)
            or self.random.random() < self.network.loss_probability
        ):
            copies = 0
        elif self.random.random() < self.network.duplicate_probability:
            copies = 2
        event = events.MessageReceived(sender, core.identity.incarnation, action.message)
        for _ in range(copies):
            delay_s = self.random.random() * self.network.max_delay_s
            self.at(self.now_s + delay_s, lambda: self.feed(action.router_id, event))

    def _dispatch(self, name: str, core: RouterCore, action: actions.Dispatch) -> None:
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
            self.at(
                self.now_s + REFUSAL_DELAY_S,
                partial(self._refuse_with_backoff, name, core, action, backoff_s),
            )
            return
        outcome.running = True
        unread = core.admissions.open[request_id].unread_tokens
        outcome.unread_tokens.append(unread)
        self.unread_tokens[engine] += unread
        most = max(self.most_unread_tokens[engine], self.unread_tokens[engine])
        self.most_unread_tokens[engine] = most
        begin_s = self._find_begin_s(engine, unread)
        self.engine_free_s[engine] = begin_s
        end_s = begin_s + self.find_answer_s(core.admissions.open[request_id].request)
        heapq.heappush(self.slot_ends_s.setdefault(engine, []), end_s)
        run = EngineRun(name, core, core.admissions.open[request_id].request, self.now_s)
        self.engine_runs.setdefault(engine, {})[request_id] = run
        self.at(begin_s, lambda: self._begin_answer(run, engine, unread))
        if self.ends_engine(run.request):
            self.at(begin_s + END_DELAY_S, lambda: self._end_engine_by(run, engine))
        self.at(end_s, lambda: self._complete_run(run, engine))

    def _find_begin_s(self, engine: str, unread: int) -> float:
        """Return when an engine begins the answer to a request that reaches it now."""
        start_s = max(self.engine_free_s.get(engine, 0.0), self.now_s)
        ends_s = self.slot_ends_s.get(engine, [])
        while ends_s and ends_s[0] <= self.now_s:
            heapq.heappop(ends_s)
        if len(ends_s) >= SLOTS:
            start_s = max(start_s, heapq.heappop(ends_s))
        return start_s + unread / self.find_rate_tokens_per_s(engine, start_s)

    def _refuse_with_backoff(
        self, name: str, core: RouterCore, action: actions.Dispatch, backoff_s: float
    ) -> None:
        """Let an engine refuse a request and ask its router to back off for a time."""
        if self.alive.get(name) is not core:
            return
        engine, until_s = action.backend_server, self.now_s + backoff_s
        self.reported_backoffs.setdefault((name, engine), []).append((self.now_s, until_s))
        notice = events.ServerNoticed(engine, action.request_id, backoff_until_s=until_s)
        self.feed(name, notice)
        self.feed(name, events.RunNotStarted(action.request_id, RetryReason.SERVER_BACKED_OFF))

    def end_engine(self, engine: str) -> None:
        """End an engine with all that it runs; it restarts after ``ENGINE_DOWN_S``."""
        self.ended_at_s.append(self.now_s)
        self.broken_engines.add(engine)
        self.slot_ends_s.pop(engine, None)
        self.at(self.now_s + ENGINE_DOWN_S, lambda: self.broken_engines.discard(engine))
        for request_id, run in self.engine_runs.pop(engine, {}).items():
            self.outcomes[request_id].running = False
            if self.alive.get(run.ingress) is not run.core:
                continue
            ended = events.ServerEndedInRun(
                run.request.fingerprint,
                engine,
                run.began_s,
                self.now_s,
                self._list_suspect_parts(run, engine),
                self._has_written(run),
            )
            self.feed(run.ingress, ended)
            self.at(self.now_s + END_DETECTION_S, partial(self._report_broken_run, run))

    def _list_suspect_parts(self, run: EngineRun, engine: str) -> tuple[SuspectPart, ...]:
        """Return the parts of a run's prompt, unless its answer has gone on for some time."""
        if self._has_written(run):
            return ()
        version = self.find_software_version(engine)
        return tuple(
            SuspectPart(make_part_key(part_digest, version), is_first=number == 0)
            for number, part_digest in enumerate(run.request.part_digests)
        )

    def _has_written(self, run: EngineRun) -> bool:
        """Return whether a run's answer has gone on for long enough to show its parts sound."""
        return run.begun_at_s is not None and self.now_s >= run.begun_at_s + SOUND_OUTPUT_S

    def _show_sound(self, run: EngineRun, engine: str) -> None:
        if self.alive.get(run.ingress) is run.core and self._is_running(run, engine):
            version = self.find_software_version(engine)
            self.feed(run.ingress, events.PartsShownSound(run.request.request_id, version))

    def _report_broken_run(self, run: EngineRun) -> None:
        if self.alive.get(run.ingress) is run.core:
            request_id = run.request.request_id
            self.feed(run.ingress, events.RunNotStarted(request_id, RetryReason.ANSWER_BROKEN))

    def _end_engine_by(self, run: EngineRun, engine: str) -> None:
        if self._is_running(run, engine):
            self.end_engine(engine)

    def _is_running(self, run: EngineRun, engine: str) -> bool:
        """Return whether a run has neither ended nor been broken off."""
        return self.engine_runs.get(engine, {}).get(run.request.request_id) is run

    def _begin_answer(self, run: EngineRun, engine: str, unread: int) -> None:
        self.unread_tokens[engine] -= unread
        if self.alive.get(run.ingress) is run.core and self._is_running(run, engine):
            if engine in self.leaving_engines:
                self.leaving_reported_at_s.setdefault((run.ingress, engine), self.now_s)
                notice = events.ServerNoticed(engine, run.request.request_id, leaving=True)
                self.feed(run.ingress, notice)
            run.begun_at_s = self.now_s
            self.at(self.now_s + SOUND_OUTPUT_S, lambda: self._show_sound(run, engine))
            outcome = self.outcomes[run.request.request_id]
            outcome.begun_at_s = self.now_s
            outcome.begun_engines.append(engine)
            if run.request.stream_key:
                version = self.find_software_version(engine)
                self.feed(run.ingress, events.StreamBegun(run.request.request_id, version))
            self.feed(run.ingress, events.ServiceObserved(run.request.request_id, 1.0))

    def _complete_run(self, run: EngineRun, engine: str) -> None:
        if not self._is_running(run, engine):
            return
        request_id = run.request.request_id
        self._show_sound(run, engine)
        del self.engine_runs[engine][request_id]
        if self.alive.get(run.ingress) is run.core:
            outcome = self.outcomes[request_id]
            outcome.running = False
            outcome.ended_at_s = self.now_s
            self.feed(run.ingress, events.RunEnded(request_id, 100.0, completed=True))
