"""Backend servers that leave while clients send, beside troubles of the store and of routers.

Counts what each server received after the store had taken that it leaves.
"""

import json
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from myrtlehook_platform.settings import SOURCE_READERS
from standins.attempts import make_headers, new_id, send
from standins.network import wait_for
from standins.nodes import ROOT, Node, NodeFleet
from standins.processes import start_process

BOUND_S = 2.0
"""From the store's acceptance of a departure until the server receives no more requests."""

CALLERS_PER_ROUTER = 5
PAUSE_S = 0.03
PATH = "/diagnosis/a"
REQUEST_TIMEOUT_S = 4.0
PLAIN_SERVER = "i-desk-1"
WAKE_S = 0.03
"""For the answers to waiting watches to arrive, and the next calls to be refused."""

WARM_UP_S = 1.2
"""Longer than one wait of a watch, so that each reader has begun one since the last departure."""

AFTER_S = 3.4
"""For how long clients send after a departure: the bound, and what would be late."""


@dataclass(frozen=True, slots=True)
class Departure:
    """What one server received around its departure."""

    server: str
    early: int
    """Requests from 0.3 s after the departure until the bound."""
    late: int
    """Requests after the bound."""
    last_s: float
    """When the last request arrived, in seconds after the departure; 0 for none."""
    served: int
    """Requests that any server answered with success after the departure."""
    sent: int


@dataclass(slots=True)
class Callers:
    """Clients that send one request after another to all routers until they are stopped."""

    nodes: Callable[[], list[Node]]
    statuses: list[tuple[float, int]] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)

    def start(self, routers: int) -> None:
        """Start the clients of each router."""
        for number in range(routers * CALLERS_PER_ROUTER):
            thread = threading.Thread(target=self._call, args=(number % routers,), daemon=True)
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop the clients and wait for their last requests."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _call(self, router: int) -> None:
        while not self.stopped.wait(PAUSE_S):
            attempt_id = new_id()
            parts = f"common:100,{attempt_id}:200"
            headers = make_headers(attempt_id, "planners", "300,12", parts)
            sent_s = time.monotonic()
            node = self.nodes()[router]
            attempt = send(node, "POST", PATH, headers, attempt_id.encode(), REQUEST_TIMEOUT_S)
            self.statuses.append((sent_s, 0 if attempt.broken else attempt.status))


class DepartureRun:
    """A fleet of which one server leaves beside a trouble."""

    def __init__(self, nodes: NodeFleet, path_proxy: "subprocess.Popen[bytes]") -> None:
        """Prepare a run.

        :param path_proxy: carries the connections of all routers to the store.
        """
        self.nodes = nodes
        self.path_proxy = path_proxy

    def find_server(self) -> str:
        """Return the engine that has received the most requests."""
        described = self.nodes.describe()
        servers = {
            name: len(found["arrivals"])
            for name, found in described["servers"].items()
            if name.startswith("i-engine")
        }
        return max(servers, key=lambda name: servers[name])

    def leave(self, server: str, way: str) -> float:
        """Let a server leave in one way; returns when the store took it."""
        if way == "entry":
            self.nodes.order(servers={server: "draining"})
        elif way == "gone":
            self.nodes.order(servers={server: "gone"})
        elif way == "entry, then gone":
            self.nodes.order(servers={server: "draining"})
            self.nodes.order(servers={server: "gone"})
        elif way == "answer, then gone":
            self.nodes.order(faults={server: {"leaving": True}})
            self.nodes.order(servers={server: "gone"})
        else:
            raise ValueError(f"unknown way of leaving: {way!r}")
        return time.monotonic()

    def play(self, way: str, trouble: str) -> Departure:
        """Let one server leave beside a trouble, and count what it receives afterwards."""
        callers = Callers(lambda: list(self.nodes.nodes))
        callers.start(len(self.nodes.nodes))
        time.sleep(WARM_UP_S)
        server = self.find_server()
        left_at_s: list[float] = []
        TROUBLES[trouble](self, lambda: left_at_s.append(self.leave(server, way)))
        time.sleep(max(left_at_s[0] + AFTER_S - time.monotonic(), 0.0))
        callers.stop()
        self.nodes.order(heal=True)
        return self.count(server, left_at_s[0], callers)

    def count(self, server: str, left_at_s: float, callers: Callers) -> Departure:
        """Count what a server received after it left."""
        arrivals = self.nodes.describe()["servers"][server]["arrivals"]
        after_s = [at_s - left_at_s for _, at_s in arrivals]
        sent = [status for sent_s, status in callers.statuses if sent_s > left_at_s]
        return Departure(
            server=server,
            early=sum(0.3 < one_s <= BOUND_S for one_s in after_s),
            late=sum(one_s > BOUND_S for one_s in after_s),
            last_s=round(max([one_s for one_s in after_s if one_s > 0.0], default=0.0), 2),
            served=sum(status == 200 for status in sent),
            sent=len(sent),
        )

    def set_store(self, **faults: Any) -> None:
        """Set faults of the store."""
        self.nodes.order(faults={"store": faults})

    def refuse_calls(self) -> None:
        """Let the store refuse calls, and end the watches that are waiting."""
        self.set_store(status=503)
        # A change of any entry is an answer to each of them.
        self.nodes.order(servers={PLAIN_SERVER: "ready"})
        time.sleep(WAKE_S)

    def set_path(self, routers: list[str], mode: str, delay_s: float = 0.0) -> None:
        """Set the fault of some routers' paths to the store."""
        assert self.path_proxy.stdin is not None
        for name in routers:
            order = {"name": name, "mode": mode, "delay_s": delay_s}
            self.path_proxy.stdin.write(_encode(order))
        self.path_proxy.stdin.flush()


def _encode(order: dict[str, Any]) -> bytes:
    return json.dumps(order).encode() + b"\n"


def start_run(routers: int, engines: int) -> DepartureRun:
    """Start a fleet whose routers reach the store through proxies."""
    nodes = NodeFleet()
    nodes.addresses = nodes.start_emulator(["--engines", str(engines), "--services", "1"])
    names = [f"edge-{number}" for number in range(1, routers + 1)]
    proxy = start_process(
        [sys.executable, "-m", "soak.proxies"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        cwd=ROOT,
    )
    nodes.processes.append(proxy)
    assert proxy.stdin is not None and proxy.stdout is not None
    proxy.stdin.write(_encode(dict.fromkeys(names, nodes.addresses["store"])))
    proxy.stdin.flush()
    nodes.stores = json.loads(proxy.stdout.readline())
    nodes.start_nodes(routers)
    return DepartureRun(nodes, proxy)


Leave = Callable[[], None]


def _play_no_trouble(run: DepartureRun, leave: Leave) -> None:
    leave()


def _refuse(seconds: float) -> Callable[[DepartureRun, Leave], None]:
    """The store answers 503 for a while, and the server leaves in that."""

    def play(run: DepartureRun, leave: Leave) -> None:
        run.refuse_calls()
        leave()
        time.sleep(seconds)
        run.set_store(status=0)

    return play


def _return_before(run: DepartureRun, leave: Leave) -> None:
    """The store is away for 2 s, and the server leaves 0.3 s after its return."""
    run.set_path(list(run.nodes.stores), "reset")
    time.sleep(2.0)
    run.set_path(list(run.nodes.stores), "pass")
    time.sleep(0.3)
    leave()


def _slow_down(run: DepartureRun, leave: Leave) -> None:
    """Answers take 1.8 s for a moment, and the server leaves in that."""
    run.set_store(slow_ms=1800)
    run.nodes.order(servers={PLAIN_SERVER: "ready"})
    time.sleep(WAKE_S)
    leave()
    time.sleep(0.3)
    run.set_store(slow_ms=0)


def _reset_paths(seconds: float) -> Callable[[DepartureRun, Leave], None]:
    """All paths to the store are reset for a while, and the server leaves in that."""

    def play(run: DepartureRun, leave: Leave) -> None:
        run.set_path(list(run.nodes.stores), "reset")
        leave()
        time.sleep(seconds)
        run.set_path(list(run.nodes.stores), "pass")

    return play


def _silence_paths(run: DepartureRun, leave: Leave) -> None:
    """All paths to the store are silent for 0.5 s, and the server leaves in that."""
    run.set_path(list(run.nodes.stores), "silent")
    leave()
    time.sleep(0.5)
    run.set_path(list(run.nodes.stores), "pass")


def _break_one_path(mode: str) -> Callable[[DepartureRun, Leave], None]:
    """One router's path to the store fails for 3 s; the server leaves after 2 s of it."""

    def play(run: DepartureRun, leave: Leave) -> None:
        run.set_path(["edge-1"], mode)
        time.sleep(2.0)
        leave()
        time.sleep(1.0)
        run.set_path(["edge-1"], "pass")

    return play


def _forget_history(run: DepartureRun, leave: Leave) -> None:
    """The watches are held up, the server leaves, and the store forgets its history."""
    run.set_path(list(run.nodes.stores), "silent")
    time.sleep(0.3)
    leave()
    run.nodes.order(forget_history=True)
    time.sleep(0.4)
    run.set_path(list(run.nodes.stores), "pass")


def _restart_routers(run: DepartureRun, leave: Leave) -> None:
    """The store answers 503 for a moment; routers restart one after another from then on."""
    run.refuse_calls()
    leave()
    time.sleep(0.15)
    run.set_store(status=0)
    for number in range(1, len(run.nodes.nodes) + 1):
        time.sleep(0.35)
        run.nodes.restart_node(number)


def _freeze_router(run: DepartureRun, leave: Leave) -> None:
    """A router is frozen for 1.5 s beside a store that answers 503 for a moment."""
    process = run.nodes.nodes[0].process
    process.send_signal(signal.SIGSTOP)
    run.refuse_calls()
    leave()
    time.sleep(0.15)
    run.set_store(status=0)
    time.sleep(1.35)
    process.send_signal(signal.SIGCONT)


def _freeze_most(run: DepartureRun, leave: Leave) -> None:
    """All routers but one are frozen for 1.2 s, and the server leaves in that."""
    processes = [node.process for node in run.nodes.nodes[1:]]
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    time.sleep(0.2)
    leave()
    time.sleep(1.0)
    for process in processes:
        process.send_signal(signal.SIGCONT)


TROUBLES: dict[str, Callable[[DepartureRun, Leave], None]] = {
    "nothing else": _play_no_trouble,
    "the store refuses calls for 0.15 s": _refuse(0.15),
    "the store refuses calls for 1 s": _refuse(1.0),
    "the store returns from 2 s away 0.3 s before": _return_before,
    "the store's answers take 1.8 s for a moment": _slow_down,
    "all paths to the store are reset for 0.3 s": _reset_paths(0.3),
    "all paths to the store are silent for 0.5 s": _silence_paths,
    "one router's path to the store is reset": _break_one_path("reset"),
    "one router's path to the store is silent": _break_one_path("silent"),
    "the store forgets its history meanwhile": _forget_history,
    "routers restart after the store refused calls": _restart_routers,
    "a router is frozen while the store refuses calls": _freeze_router,
    "all routers but one are frozen for 1.2 s": _freeze_most,
}


READ_ORDER = '"event": "reading the source"'


def _is_reader(node: Node) -> bool:
    """Return whether a router reads the store, by its latest log line."""
    lines = [line for line in node.log_path.read_text().splitlines() if READ_ORDER in line]
    return bool(lines) and bool(json.loads(lines[-1])["wanted"])


def _find_readers(run: DepartureRun) -> list[str]:
    """Return the names of the readers; empty while more or fewer than wanted read the store."""
    names = [node.name for node in run.nodes.nodes if _is_reader(node)]
    return names if len(names) == SOURCE_READERS else []


def play_without_readers(run: DepartureRun, way: str, fault: str) -> Departure:
    """Let a server leave just after the paths of all readers to the store have failed.

    Only the other routers have clients.
    """
    readers = wait_for(lambda: _find_readers(run), f"{SOURCE_READERS} routers to read the store")
    others = [node for node in run.nodes.nodes if node.name not in readers]
    callers = Callers(lambda: others)
    callers.start(len(others))
    time.sleep(WARM_UP_S)
    server = run.find_server()
    run.set_path(readers, fault)
    time.sleep(WAKE_S)
    left_at_s = run.leave(server, way)
    time.sleep(AFTER_S)
    callers.stop()
    return run.count(server, left_at_s, callers)


RETURN_AFTER_S = 1.8
"""From the store's return until live servers have written their entries again."""


def play_long_outage(run: DepartureRun, away_s: float) -> tuple[int, int]:
    """Let the store be away until all entries have lapsed; servers write them again on its return.

    :returns: how many requests were sent from the beginning of the outage until some time after
        the return, and how many of them were served.
    """
    callers = Callers(lambda: list(run.nodes.nodes))
    callers.start(len(run.nodes.nodes))
    time.sleep(WARM_UP_S)
    servers = [name for name in run.nodes.describe()["servers"] if name.startswith("i-engine")]
    began_s = time.monotonic()
    run.set_path(list(run.nodes.stores), "reset")
    time.sleep(away_s)
    run.nodes.order(servers=dict.fromkeys(servers, "gone"))
    run.set_path(list(run.nodes.stores), "pass")
    for server in servers:
        time.sleep(RETURN_AFTER_S / len(servers))
        run.nodes.order(servers={server: "ready"})
    time.sleep(AFTER_S)
    callers.stop()
    sent = [status for sent_s, status in callers.statuses if sent_s > began_s]
    return len(sent), sum(status == 200 for status in sent)
