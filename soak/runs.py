"""One run of the soak: programs started, faults put in, promises checked, all ended."""

import json
import shutil
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from emulator.sites import make_configuration
from soak.callers import PATHS, Seen
from soak.checks import Violation, check_answers, check_in_time, check_runs
from soak.notice_checks import BACKOFF_S, Struck, check_notices
from soak.schedules import Fault, draw_copies, draw_endings, draw_notices, draw_schedule
from standins.attempts import make_headers, new_id, send
from standins.nodes import ROOT, Node, NodeFleet
from standins.processes import start_process

CALLERS = 12
PAUSE_S = 0.15
DELAY_S = 0.25
SPOILT_BODY = "spoilt"
"""What the body of a request that ends engines begins with."""

SPOILT_PAUSE_S = 0.4
SPOILT_PATIENCE_S = 1.0
"""Its caller gives up after this long, so that other faults strike in time."""

MOST_ENDED = 4
"""Engines that one spoilt request may end: two until it is held, and one for each router that
is killed meanwhile with what it had counted, or whose news is lost."""

RECOVERY_S = 12.0
FIRST_VERSION = 1
STOP_STATUS = 0


@dataclass(frozen=True, slots=True)
class Order:
    """What one run is to do."""

    seed: int
    seconds: float = 10.0
    routers: int = 3
    engines: int = 3
    endings: bool = False
    """Whether engines end as well."""
    notices: bool = False
    """Whether servers say in answers that they leave, or want to be left alone."""
    copies: bool = False
    """Whether the store comes back from a copy."""


@dataclass(frozen=True, slots=True)
class Result:
    """What came of one run."""

    order: Order
    faults: list[Fault]
    attempts: int
    statuses: dict[int, int]
    violations: list[Violation]
    logs: Path


@dataclass(slots=True)
class Run:
    """The programs of one run."""

    order: Order
    fleet: NodeFleet = field(default_factory=NodeFleet)
    proxy: Any = None
    version: int = FIRST_VERSION
    drained: bool = False
    chance_ends: int = 0
    """How many engines were made to end."""
    violations: list[Violation] = field(default_factory=list)

    def play(self) -> Result:
        """Play the whole run."""
        try:
            self._start()
            return self._strike_and_check()
        finally:
            self.fleet.stop()

    def _start(self) -> None:
        options = ["--engines", str(self.order.engines)]
        self.fleet.addresses = self.fleet.start_emulator(options)
        names = [f"edge-{number}" for number in range(1, self.order.routers + 1)]
        targets = {name: self.fleet.addresses["store"] for name in names}
        targets |= {name: self.fleet.addresses[name] for name in self._servers()}
        self.proxy = start_process(
            [sys.executable, "-m", "soak.proxies"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        self.fleet.processes.append(self.proxy)
        self._tell_proxy(targets)
        addresses = json.loads(self.proxy.stdout.readline())
        self.fleet.stores = {name: addresses[name] for name in names}
        # A proxy takes connections for a server that has ended, which no network does.
        proxied = [name for name in self._servers() if not (self.order.endings and _ends(name))]
        self.fleet.order(addresses={name: addresses[name] for name in proxied})
        self.fleet.start_nodes(self.order.routers)

    def _servers(self) -> list[str]:
        return sorted(name for name in self.fleet.addresses if name.startswith("i-"))

    def _tell_proxy(self, order: dict[str, Any]) -> None:
        self.proxy.stdin.write(json.dumps(order).encode() + b"\n")
        self.proxy.stdin.flush()

    def _strike_and_check(self) -> Result:
        order = self.order
        names = [node.name for node in self.fleet.nodes]
        faults = draw_schedule(order.seed, order.seconds, names, self._servers())
        if order.endings:
            engines = [name for name in self._servers() if _ends(name)]
            faults += draw_endings(order.seed, order.seconds, engines)
            self.fleet.order(faults={"engines": {"keeps_id": True}})
        if order.notices:
            engines = [name for name in self._servers() if _ends(name)]
            faults += draw_notices(order.seed, order.seconds, self._servers(), engines)
        if order.copies:
            faults += draw_copies(order.seed, order.seconds)
        callers = self._start_callers()
        start_s = time.monotonic()
        self._strike(faults, start_s)
        self._sleep_until(start_s + order.seconds)
        self._heal()
        output, _ = callers.communicate()
        seen = [Seen(**one) for one in json.loads(output)]
        routers = {f"{node.ip}:{node.front_port}": node.name for node in self.fleet.nodes}
        # An engine that is healed while it is away starts again under another id.
        sealing = {*self._servers(), *self.fleet.describe()["servers"]}
        self.violations += check_answers(seen, sealing)
        self.violations += check_in_time(seen, faults, routers, start_s)
        site = self.fleet.describe()
        struck = Struck(tuple(faults), start_s)
        self.violations += check_notices(seen, site, struck, routers)
        self.violations += self._check_recovery()
        self.violations += check_runs(seen, self._count_runs(seen))
        self.violations += self._check_ends(faults)
        statuses: dict[int, int] = {}
        for one in seen:
            statuses[one.status] = statuses.get(one.status, 0) + 1
        return Result(order, faults, len(seen), statuses, self.violations, self.fleet.folder)

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
            "seconds": self.order.seconds,
            "seed": self.order.seed,
            "callers": CALLERS,
            "pause_s": PAUSE_S,
        }
        assert process.stdin is not None
        process.stdin.write(json.dumps(order).encode())
        process.stdin.close()
        process.stdin = None
        return process

    def _strike(self, faults: list[Fault], start_s: float) -> None:
        """Put in each fault at its time, and take it back at the end of its time."""
        moments = [(fault.at_s, True, fault) for fault in faults]
        moments += [(fault.until_s, False, fault) for fault in faults]
        for moment_s, begins, fault in sorted(moments, key=lambda moment: moment[0]):
            self._sleep_until(start_s + moment_s)
            self._change(fault, begins)

    def _sleep_until(self, moment_s: float) -> None:
        while (left_s := moment_s - time.monotonic()) > 0:
            time.sleep(min(left_s, 0.1))

    def _change(self, fault: Fault, begins: bool) -> None:
        if fault.kind == "router":
            self._change_router(fault, begins)
        elif fault.kind in ("store_link", "server_link"):
            delay_s = DELAY_S if fault.how == "delay" else 0.0
            mode = "pass" if fault.how == "delay" or not begins else fault.how
            self._tell_proxy(
                {"name": fault.target, "mode": mode, "delay_s": delay_s if begins else 0.0}
            )
        elif fault.kind == "server":
            self.fleet.order(faults={fault.target: {fault.how: 3 if begins else 0}})
        elif fault.kind == "store":
            self._change_store(fault, begins)
        elif fault.kind == "copy":
            self.fleet.order(keep_copy=begins, return_from_copy=not begins)
        elif fault.kind == "notice":
            self._change_notice(fault, begins)
        elif fault.kind == "ending":
            self._end_engines(fault, begins)
        elif begins:
            self._change_site(fault)

    def _change_notice(self, fault: Fault, begins: bool) -> None:
        if fault.how == "tells_leaving":
            # A server that leaves does not stay after all.
            self.fleet.order(faults={fault.target: {"leaving": True}})
            return
        turned_away = {"refuse_every": 2, "retry_after": str(BACKOFF_S)}
        sound = {"refuse_every": 0, "retry_after": ""}
        self.fleet.order(faults={fault.target: turned_away if begins else sound})

    def _end_engines(self, fault: Fault, begins: bool) -> None:
        if fault.how == "end":
            if begins:
                self.chance_ends += 1
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
                send(node, "POST", "/diagnosis/a", headers, body, SPOILT_PATIENCE_S)
            number += 1
            time.sleep(SPOILT_PAUSE_S)

    def _check_ends(self, faults: list[Fault]) -> list[Violation]:
        """Check that no request has ended one engine after another."""
        spoilt = sum(fault.how == "spoilt" for fault in faults)
        ended = len(self.fleet.describe()["ended"])
        most = MOST_ENDED * spoilt + self.chance_ends
        if ended <= most:
            return []
        return [Violation("a request ends few engines", f"{ended} ended, at most {most} expected")]

    def _change_store(self, fault: Fault, begins: bool) -> None:
        if fault.how == "forgets":
            self.fleet.order(forget_history=begins)
        elif fault.how == "refuses":
            self.fleet.order(faults={"store": {"status": 503 if begins else 0}})
        else:
            self.fleet.order(faults={"store": {"nonsense": begins}})

    def _change_site(self, fault: Fault) -> None:
        if fault.how == "configuration":
            self.version += 1
            self.fleet.order(configuration=make_configuration(self.version))
        elif fault.how == "break_stream":
            self.fleet.order(faults={"engines": {"break_after_events": 4}})
        elif not self.drained and fault.target.startswith("i-engine"):
            # A server that has left never comes back under its name.
            self.drained = True
            self.fleet.order(servers={fault.target: "draining"})

    def _change_router(self, fault: Fault, begins: bool) -> None:
        node = self._node(fault.target)
        if fault.how == "pause":
            node.process.send_signal(signal.SIGSTOP if begins else signal.SIGCONT)
        elif fault.how == "reload":
            node.process.send_signal(signal.SIGHUP)
        elif begins:
            node.process.send_signal(signal.SIGCONT)
            node.process.send_signal(signal.SIGKILL if fault.how == "kill" else signal.SIGTERM)
        elif node.process.poll() is not None:
            self._restart(node)

    def _node(self, name: str) -> Node:
        return next(node for node in self.fleet.nodes if node.name == name)

    def _restart(self, node: Node) -> None:
        self.fleet.nodes.remove(node)
        ips = sorted([node.ip, *(other.ip for other in self.fleet.nodes)])
        self.fleet.start_node(node.name, node.ip, ips)

    def _heal(self) -> None:
        """Take back every fault, and let each router that has ended start again."""
        self.fleet.order(heal=True)
        for name in [*self.fleet.stores, *self._servers()]:
            self._tell_proxy({"name": name})
        for node in list(self.fleet.nodes):
            node.process.send_signal(signal.SIGCONT)
        for node in sorted(self.fleet.nodes, key=lambda found: found.name):
            if node.process.poll() is not None:
                self._restart(node)

    def _check_recovery(self) -> list[Violation]:
        """Check that every router serves every kind of request again in time."""
        deadline_s = time.monotonic() + RECOVERY_S
        missing = {(node.name, path) for node in self.fleet.nodes for path in PATHS}
        while missing and time.monotonic() < deadline_s:
            for name, path in sorted(missing):
                if self._is_served(name, path):
                    missing.discard((name, path))
            time.sleep(0.1)
        return [
            Violation("service comes back", f"{name} does not serve {path}")
            for name, path in sorted(missing)
        ]

    def _is_served(self, name: str, path: str) -> bool:
        node = self._node(name)
        if node.process.poll() is not None:
            self._restart(node)
            return False
        tokens = "" if path in ("/valve/a", "/setpoint/a") else "900,30"
        headers = make_headers(new_id(), "planners", tokens, "c0:400,aa:500" if tokens else "")
        return send(node, PATHS[path], path, headers, b"").status == 200

    def _count_runs(self, seen: list[Seen]) -> dict[str, int]:
        """Return how often each attempt of the callers, or of nobody, was run."""
        own = {one.attempt_id for one in seen}
        counted: dict[str, int] = {}
        for server in self.fleet.describe()["servers"].values():
            for attempt_id, count in server["runs"].items():
                if attempt_id in own or not attempt_id.startswith("a0"):
                    counted[attempt_id] = counted.get(attempt_id, 0) + count
        return counted


def _ends(server: str) -> bool:
    """Tell whether a server's process may end: an engine's."""
    return server.startswith("i-engine")


def play(order: Order) -> Result:
    """Play one run; the logs of one that kept its promises are removed."""
    result = Run(order).play()
    if not result.violations:
        shutil.rmtree(result.logs, ignore_errors=True)
    return result
