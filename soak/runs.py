"""One run of the soak: starts the processes, injects faults, checks promises, stops all."""

import json
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from emulator.foreign_items import FOREIGN_ITEMS
from emulator.sites import PLAIN_SERVICE, make_configuration, make_route
from soak.callers import PATHS, AttemptRecord
from soak.checks import (
    Violation,
    check_answers,
    check_deadlines,
    check_runs,
    check_versions,
)
from soak.departure_checks import Departure, check_departures
from soak.notice_checks import BACKOFF_S, InjectedFaults, check_notices
from soak.pause_checks import check_logged_pauses, check_unbroken_streams
from soak.schedules import (
    UNSOUND_FIELDS,
    Fault,
    draw_departures,
    draw_endings,
    draw_foreign_values,
    draw_framings,
    draw_notices,
    draw_paces,
    draw_planned_work,
    draw_schedule,
    draw_silences,
    draw_store_restorations,
    draw_version_count,
)
from soak.silence_checks import check_kept_requests
from standins.attempts import make_headers, new_id, send
from standins.nodes import ROOT, Node, NodeFleet
from standins.processes import start_process

CALLER_COUNT = 12
CALLERS_BESIDE_SILENCES = 30
"""The number of callers in runs whose only faults are silences: more requests are open then."""

MEAN_PAUSE_S = 0.15
LINK_DELAY_S = 0.25
SPOILT_BODY = "spoilt"
"""The text with which the body of a request begins that ends engines."""

SPOILT_PAUSE_S = 0.4
SPOILT_TIMEOUT_S = 1.0
"""Timeout of such a request; short, so that other faults are injected on time."""

MAX_ENDS_PER_SPOILT = 4
"""Maximum number of engines that one such request may end.

Two end before the request is quarantined, and one more for each router that is killed
meanwhile and loses what it had counted, or whose news is lost."""

SLOWER_FACTOR = 1.6
SPELL_FACTOR = 2.5
PAUSE_TARGET_MS = 200
"""The longest pause that the routes allow in runs with engines of unequal speed."""

VERSIONS = ("v1", "v2")
SERVICES_BESIDE_SILENCES = 2
"""The number of plain servers in runs whose only faults are silences."""

MORE_ROUTES = 50
RECOVERY_S = 12.0
FIRST_VERSION = 1
STOP_STATUS = 0
OWN_END_STATUS = 1


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The parameters of one run."""

    seed: int
    seconds: float = 10.0
    routers: int = 3
    engines: int = 3
    endings: bool = False
    """Whether engine processes end as well."""
    notices: bool = False
    """Whether servers announce in answers that they leave, or ask for back-off."""
    copies: bool = False
    """Whether the store is restored from a copy."""
    paces: bool = False
    """Whether engines are of unequal speed, and have slow spells."""
    versions: bool = False
    """Whether engines are of two software versions, which change when one starts again."""
    departures: bool = False
    """Whether engines leave by their entries, and others start."""
    framings: bool = False
    """Whether engines frame their answers in different ways."""
    silences: bool = False
    """Whether servers stand still for a time and go on."""
    foreign_values: bool = False
    """Whether other programs write into the store, values that cannot be carried among them."""
    only_silences: bool = False
    """Whether silences and planned work are the only faults. Nothing excuses a lost request
    then."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """The outcome of one run."""

    options: RunOptions
    faults: list[Fault]
    attempts: int
    statuses: dict[int, int]
    violations: list[Violation]
    logs: Path


@dataclass(slots=True)
class Run:
    """The processes and the state of one run."""

    options: RunOptions
    fleet: NodeFleet = field(default_factory=NodeFleet)
    proxy: Any = None
    configuration_version: int = FIRST_VERSION
    engine_drained: bool = False
    scheduled_ends: int = 0
    """The number of engines ended by the schedule, not by a request."""
    violations: list[Violation] = field(default_factory=list)
    slower_engines: set[str] = field(default_factory=set)
    departures: list[Departure] = field(default_factory=list)
    injected: list[Fault] = field(default_factory=list)
    """The faults with the times at which they began and ended, which may be later than scheduled:
    a client whose requests end engines holds up the others."""

    def execute(self) -> RunResult:
        """Execute the whole run."""
        try:
            self._start()
            return self._inject_and_check()
        finally:
            self.fleet.stop()

    def _start(self) -> None:
        options = ["--engines", str(self.options.engines)]
        if self.options.only_silences:
            options += ["--services", str(SERVICES_BESIDE_SILENCES)]
        self.fleet.addresses = self.fleet.start_emulator(options)
        names = [f"edge-{number}" for number in range(1, self.options.routers + 1)]
        targets = {name: self.fleet.addresses["store"] for name in names}
        targets |= {name: self.fleet.addresses[name] for name in self._list_servers()}
        self.proxy = start_process(
            [sys.executable, "-m", "soak.proxies"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        self.fleet.processes.append(self.proxy)
        self._send_to_proxy(targets)
        addresses = json.loads(self.proxy.stdout.readline())
        self.fleet.stores = {name: addresses[name] for name in names}
        # Engines that may end are not proxied: the proxy would accept connections for a server
        # that has ended, which no network does.
        proxied = [name for name in self._list_servers() if self._is_proxied(name)]
        self.fleet.order(addresses={name: addresses[name] for name in proxied})
        if self.options.paces:
            self._publish_configuration()
        if self.options.versions:
            engines = [name for name in self._list_servers() if _is_engine(name)]
            count = len(VERSIONS)
            if self.options.only_silences:
                count = draw_version_count(self.options.seed, len(engines))
            versions = {name: f"v{number % count + 1}" for number, name in enumerate(engines)}
            self.fleet.order(software_versions=versions)
        self.fleet.start_nodes(self.options.routers)

    def _is_proxied(self, server: str) -> bool:
        if self.options.only_silences:
            # No fault of a link is drawn, and the system's own acceptance of connections shows.
            return False
        return not (self.options.endings and _is_engine(server))

    def _list_servers(self) -> list[str]:
        return sorted(name for name in self.fleet.addresses if name.startswith("i-"))

    def _send_to_proxy(self, order: dict[str, Any]) -> None:
        self.proxy.stdin.write(json.dumps(order).encode() + b"\n")
        self.proxy.stdin.flush()

    def _inject_and_check(self) -> RunResult:
        options = self.options
        names = [node.name for node in self.fleet.nodes]
        engines = [name for name in self._list_servers() if _is_engine(name)]
        if options.only_silences:
            faults = draw_planned_work(options.seed, options.seconds, names, engines)
        else:
            faults = draw_schedule(options.seed, options.seconds, names, self._list_servers())
        if options.endings:
            engines = [name for name in self._list_servers() if _is_engine(name)]
            faults += draw_endings(options.seed, options.seconds, engines)
            self.fleet.order(faults={"engines": {"keeps_id": True}})
        if options.notices:
            engines = [name for name in self._list_servers() if _is_engine(name)]
            faults += draw_notices(options.seed, options.seconds, self._list_servers(), engines)
        if options.copies:
            faults += draw_store_restorations(options.seed, options.seconds)
        if options.departures:
            engines = [name for name in self._list_servers() if _is_engine(name)]
            faults += draw_departures(options.seed, options.seconds, engines)
        if options.framings:
            engines = [name for name in self._list_servers() if _is_engine(name)]
            framings = draw_framings(options.seed, engines)
            self.fleet.order(faults={name: {"framing": one} for name, one in framings.items()})
        paces = []
        if options.paces:
            engines = [name for name in self._list_servers() if _is_engine(name)]
            paces = draw_paces(options.seed, options.seconds, engines)
        silences = []
        if options.silences:
            silences = draw_silences(options.seed, options.seconds, self._list_servers())
        foreign = []
        if options.foreign_values:
            foreign = draw_foreign_values(options.seed, options.seconds)
        callers = self._start_callers()
        start_s = time.monotonic()
        self._inject_faults([*faults, *paces, *silences, *foreign], start_s)
        self._sleep_until(start_s + options.seconds)
        self._clear_faults()
        output, _ = callers.communicate()
        attempts = [AttemptRecord(**fields) for fields in json.loads(output)]
        routers = {f"{node.ip}:{node.front_port}": node.name for node in self.fleet.nodes}
        # Clearing the faults resets `keeps_id`, so an engine that is down at that time starts
        # again under another id; one that had been added is known by neither list then.
        described = self.fleet.describe()
        sealing = {*self._list_servers(), *described["servers"], *described["ended"]}
        self.violations += check_answers(attempts, sealing)
        self.violations += check_deadlines(attempts, faults, routers, start_s, silences)
        harmless = ("pace", "silence", "foreign")
        breaking = [fault for fault in self.injected if fault.kind not in harmless]
        self.violations += check_unbroken_streams(attempts, breaking, start_s)
        self.violations += check_versions(attempts)
        if options.only_silences:
            self.violations += check_kept_requests(attempts)
        if options.paces:
            logs = [node.log_path.read_text() for node in self.fleet.nodes]
            self.violations += check_logged_pauses(attempts, logs)
        site = self.fleet.describe()
        injected = InjectedFaults((*faults, *silences), start_s)
        self.violations += check_notices(attempts, site, injected, routers)
        self.violations += check_departures(
            attempts, site, self.departures, self.injected, start_s, routers
        )
        self.violations += self._check_recovery()
        self.violations += check_runs(attempts, self._count_runs(attempts))
        self.violations += self._check_ends(faults)
        self.violations += self._check_processes()
        statuses: dict[int, int] = {}
        for attempt in attempts:
            statuses[attempt.status] = statuses.get(attempt.status, 0) + 1
        return RunResult(
            options,
            [*faults, *paces, *silences, *foreign],
            len(attempts),
            statuses,
            self.violations,
            self.fleet.folder,
        )

    def _start_callers(self) -> subprocess.Popen[bytes]:
        process = start_process(
            [sys.executable, "-W", "ignore", "-m", "soak.callers"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        self.fleet.processes.append(process)
        order = {
            "routers": [f"{node.ip}:{node.front_port}" for node in self.fleet.nodes],
            "seconds": self.options.seconds,
            "seed": self.options.seed,
            "callers": CALLERS_BESIDE_SILENCES if self.options.only_silences else CALLER_COUNT,
            "pause_s": MEAN_PAUSE_S,
        }
        assert process.stdin is not None
        process.stdin.write(json.dumps(order).encode())
        process.stdin.close()
        process.stdin = None
        return process

    def _inject_faults(self, faults: list[Fault], start_s: float) -> None:
        """Begin and end each fault at its scheduled times."""
        moments = [(fault.at_s, True, fault) for fault in faults]
        moments += [(fault.until_s, False, fault) for fault in faults]
        begun_s: dict[int, float] = {}
        for moment_s, begins, fault in sorted(moments, key=lambda moment: moment[0]):
            self._sleep_until(start_s + moment_s)
            if begins:
                begun_s[id(fault)] = time.monotonic() - start_s
            self._set_fault(fault, begins)
            if not begins:
                until_s = time.monotonic() - start_s
                begun = begun_s[id(fault)]
                self.injected.append(replace(fault, at_s=begun, until_s=until_s))

    def _sleep_until(self, moment_s: float) -> None:
        while (left_s := moment_s - time.monotonic()) > 0:
            time.sleep(min(left_s, 0.1))

    def _set_fault(self, fault: Fault, begins: bool) -> None:
        if fault.kind == "router":
            self._set_router_fault(fault, begins)
        elif fault.kind in ("store_link", "server_link"):
            delay_s = LINK_DELAY_S if fault.how == "delay" else 0.0
            mode = "pass" if fault.how == "delay" or not begins else fault.how
            self._send_to_proxy(
                {"name": fault.target, "mode": mode, "delay_s": delay_s if begins else 0.0}
            )
        elif fault.kind == "server":
            self.fleet.order(faults={fault.target: {fault.how: 3 if begins else 0}})
        elif fault.kind == "store":
            self._set_store_fault(fault, begins)
        elif fault.kind == "copy":
            self.fleet.order(keep_copy=begins, return_from_copy=not begins)
        elif fault.kind == "notice":
            self._set_notice_fault(fault, begins)
        elif fault.kind == "ending":
            self._end_engines(fault, begins)
        elif fault.kind == "departure":
            self._let_leave(fault, begins)
        elif fault.kind == "foreign":
            self._set_foreign_value(fault, begins)
        elif fault.kind == "pace":
            self._set_pace(fault, begins)
        elif fault.kind == "silence":
            self._set_silence(fault, begins)
        elif begins:
            self._apply_site_change(fault)

    def _set_notice_fault(self, fault: Fault, begins: bool) -> None:
        if fault.how == "tells_leaving":
            # The notice is never withdrawn: a server that announced that it leaves does leave.
            self.fleet.order(faults={fault.target: {"leaving": True}})
            return
        refusing = {"refuse_every": 2, "retry_after": str(BACKOFF_S)}
        not_refusing = {"refuse_every": 0, "retry_after": ""}
        self.fleet.order(faults={fault.target: refusing if begins else not_refusing})

    def _let_leave(self, fault: Fault, begins: bool) -> None:
        if not begins:
            if fault.how == "says_then_goes":
                self.fleet.order(servers={fault.target: "gone"})
            return
        if fault.target not in self.fleet.describe()["servers"]:
            # The engine has ended and started again under another id.
            return
        if fault.how != "goes":
            self.fleet.order(servers={fault.target: "draining"})
        if fault.how in ("goes", "says_and_goes"):
            self.fleet.order(servers={fault.target: "gone"})
        self.departures.append(Departure(fault.target, time.monotonic()))
        self.fleet.order(add_engines=1)

    def _end_engines(self, fault: Fault, begins: bool) -> None:
        if fault.how == "end":
            if begins:
                if self.options.versions:
                    version = VERSIONS[self.scheduled_ends % 2]
                    self.fleet.order(faults={"engines": {"next_software_version": version}})
                self.scheduled_ends += 1
                self.fleet.order(end=[fault.target])
            return
        if not begins:
            return
        self.fleet.order(faults={"engines": {"ending_body": SPOILT_BODY}})
        deadline_s = time.monotonic() + fault.until_s - fault.at_s
        body = f"{SPOILT_BODY} {fault.at_s}".encode()
        number = 0
        while time.monotonic() < deadline_s:
            node = self.fleet.nodes[number % len(self.fleet.nodes)]
            headers = make_headers(new_id(), "planners", "900,30", "c0:400,aa:500")
            if node.process.poll() is None:
                send(node, "POST", "/diagnosis/a", headers, body, SPOILT_TIMEOUT_S)
            number += 1
            time.sleep(SPOILT_PAUSE_S)

    def _check_ends(self, faults: list[Fault]) -> list[Violation]:
        """Check that no request has ended more engines than allowed."""
        spoilt = sum(fault.how == "spoilt" for fault in faults)
        ended = len(self.fleet.describe()["ended"])
        max_ended = MAX_ENDS_PER_SPOILT * spoilt + self.scheduled_ends
        if ended <= max_ended:
            return []
        return [
            Violation("a request ends few engines", f"{ended} ended, at most {max_ended} expected")
        ]

    def _set_foreign_value(self, fault: Fault, begins: bool) -> None:
        if fault.how == "configuration":
            unsound = {fault.target: UNSOUND_FIELDS[fault.target]} if begins else {}
            self._publish_configuration(unsound=unsound)
        elif begins:
            self.fleet.order(foreign_items=FOREIGN_ITEMS[fault.target])
        else:
            self.fleet.order(drop_foreign_items=True)

    def _check_processes(self) -> list[Violation]:
        """Check that no router has ended by itself."""
        return [
            Violation("a router does not end by itself", str(process.args))
            for process in self.fleet.processes
            if process.poll() == OWN_END_STATUS
        ]

    def _set_store_fault(self, fault: Fault, begins: bool) -> None:
        if fault.how == "forgets":
            self.fleet.order(forget_history=begins)
        elif fault.how == "refuses":
            self.fleet.order(faults={"store": {"status": 503 if begins else 0}})
        else:
            self.fleet.order(faults={"store": {"nonsense": begins}})

    def _apply_site_change(self, fault: Fault) -> None:
        if fault.how == "configuration":
            self._publish_configuration(fault.target)
        elif fault.how == "break_stream":
            self.fleet.order(faults={"engines": {"break_after_events": 4}})
        elif not self.engine_drained and fault.target in self._list_staying_engines():
            # Only one engine is drained per run, because a server that has left never comes
            # back under its name.
            self.engine_drained = True
            self.fleet.order(servers={fault.target: "draining"})

    def _list_staying_engines(self) -> set[str]:
        departed = {departure.server for departure in self.departures}
        return {name for name in self._list_servers() if _is_engine(name)} - departed

    def _publish_configuration(
        self, change: str = "", unsound: Mapping[str, Any] | None = None
    ) -> None:
        """Publish the next configuration.

        :param unsound: fields of all routes, with values out of bounds.
        """
        self.configuration_version += 1
        configuration = make_configuration(self.configuration_version)
        _change_configuration(configuration, change)
        for route in configuration["Routes"]:
            route.update(unsound or {})
        if self.options.paces:
            for route in configuration["Routes"]:
                if route["Kind"] == "streaming":
                    route["TargetItlMs"] = PAUSE_TARGET_MS
        self.fleet.order(configuration=configuration)

    def _set_pace(self, fault: Fault, begins: bool) -> None:
        if fault.how == "slower" and begins:
            self.slower_engines.add(fault.target)
        usual = SLOWER_FACTOR if fault.target in self.slower_engines else 1.0
        slowness = usual * SPELL_FACTOR if fault.how == "slow_spell" and begins else usual
        if fault.target in self.fleet.describe()["servers"]:
            # An engine that has ended may have started again under another id.
            self.fleet.order(faults={fault.target: {"slowness": slowness}})

    def _set_silence(self, fault: Fault, begins: bool) -> None:
        if fault.target in self.fleet.describe()["servers"]:
            # An engine that has ended may have started again under another id.
            self.fleet.order(faults={fault.target: {"still": begins}})

    def _set_router_fault(self, fault: Fault, begins: bool) -> None:
        node = self._find_node(fault.target)
        if fault.how == "pause":
            node.process.send_signal(signal.SIGSTOP if begins else signal.SIGCONT)
        elif fault.how == "reload":
            node.process.send_signal(signal.SIGHUP)
        elif begins:
            node.process.send_signal(signal.SIGCONT)
            node.process.send_signal(signal.SIGKILL if fault.how == "kill" else signal.SIGTERM)
        elif node.process.poll() is not None:
            self._restart(node)

    def _find_node(self, name: str) -> Node:
        return next(node for node in self.fleet.nodes if node.name == name)

    def _restart(self, node: Node) -> None:
        self.fleet.nodes.remove(node)
        ips = sorted([node.ip, *(other.ip for other in self.fleet.nodes)])
        self.fleet.start_node(node.name, node.ip, ips)

    def _clear_faults(self) -> None:
        """Clear every fault, and restart each router that has ended."""
        self.fleet.order(heal=True)
        for name in [*self.fleet.stores, *self._list_servers()]:
            self._send_to_proxy({"name": name})
        for node in list(self.fleet.nodes):
            node.process.send_signal(signal.SIGCONT)
        for node in sorted(self.fleet.nodes, key=lambda found: found.name):
            if node.process.poll() is not None:
                self._restart(node)

    def _check_recovery(self) -> list[Violation]:
        """Check that every router serves every kind of request again within the recovery time."""
        deadline_s = time.monotonic() + RECOVERY_S
        not_serving = {(node.name, path) for node in self.fleet.nodes for path in PATHS}
        while not_serving and time.monotonic() < deadline_s:
            for name, path in sorted(not_serving):
                if self._is_served(name, path):
                    not_serving.discard((name, path))
            time.sleep(0.1)
        return [
            Violation("service comes back", f"{name} does not serve {path}")
            for name, path in sorted(not_serving)
        ]

    def _is_served(self, name: str, path: str) -> bool:
        node = self._find_node(name)
        if node.process.poll() is not None:
            self._restart(node)
            return False
        tokens = "" if path in ("/valve/a", "/setpoint/a") else "900,30"
        headers = make_headers(new_id(), "planners", tokens, "c0:400,aa:500" if tokens else "")
        return send(node, PATHS[path], path, headers, b"").status == 200

    def _count_runs(self, attempts: list[AttemptRecord]) -> dict[str, int]:
        """Return how often each attempt was run, without the requests that this module sends."""
        own_ids = {attempt.attempt_id for attempt in attempts}
        run_counts: dict[str, int] = {}
        for server in self.fleet.describe()["servers"].values():
            for attempt_id, count in server["runs"].items():
                if attempt_id in own_ids or not attempt_id.startswith("a0"):
                    run_counts[attempt_id] = run_counts.get(attempt_id, 0) + count
        return run_counts


def _is_engine(server: str) -> bool:
    """Return whether a server is an engine; only engines' processes may end."""
    return server.startswith("i-engine")


def _change_configuration(configuration: dict[str, Any], change: str) -> None:
    """Apply one of the changes that planned work draws; none of them concerns open requests."""
    if change == "limits":
        configuration["Limits"] |= {"IdleTimeoutMs": 9000, "TokensPerS": 90000}
    elif change == "attempts":
        for route in configuration["Routes"]:
            route["MaxAttempts"] += route["MaxAttempts"] > 1
    elif change == "connections":
        for service in configuration["Services"]:
            service["MaxConnections"] += 50
    elif change == "routes":
        configuration["Routes"] += [
            make_route(f"more-{number}", "idempotent", PLAIN_SERVICE)
            for number in range(MORE_ROUTES)
        ]


def leave_out_faults(options: RunOptions) -> RunOptions:
    """Return options whose only faults are silences and planned work."""
    return replace(
        options,
        endings=False,
        notices=False,
        copies=False,
        paces=False,
        silences=True,
        foreign_values=False,
        only_silences=True,
    )


def execute_run(options: RunOptions) -> RunResult:
    """Execute one run; its logs are removed if no promise was broken."""
    result = Run(options).execute()
    if not result.violations:
        shutil.rmtree(result.logs, ignore_errors=True)
    return result
