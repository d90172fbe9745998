"""Starts and stops the emulated platform and routers on it, each as a process."""

import errno
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from standins.network import wait_for
from standins.processes import start_process

ROOT = Path(__file__).parent.parent.parent
START_S = 30.0
PORT_NAMES = ("front", "ready", "control", "peer", "helping")
FIRST_HOST = 10
LAST_HOST = 254
"""The last parts of the addresses that fleets take in turn; later ones reuse the first again."""

ADDRESSES_PER_FLEET = 10
"""The addresses that a fleet takes at least, so that routers can be added to it."""


@dataclass(slots=True)
class _Hosts:
    """Which addresses the next fleet takes."""

    next_host: int = FIRST_HOST


_HOSTS = _Hosts()


@dataclass(slots=True)
class Node:
    """One router process."""

    name: str
    ip: str
    process: subprocess.Popen[bytes]
    log_path: Path
    settings_path: Path
    front_port: int
    ready_port: int


@dataclass(slots=True)
class NodeFleet:
    """The emulator and the routers of one scenario."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="nodes-")))
    nodes: list[Node] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    ports: dict[str, int] = field(default_factory=dict)
    memory_mb: int = 512
    descriptors: int = 4100
    value_bytes: int = 1_048_576
    """The platform's limit of a value, as the settings state it."""
    services: int = 1
    """The number of servers of the plain service."""
    stores: dict[str, str] = field(default_factory=dict)
    """By router name, the address of the store where it is not the emulator's own."""
    options: dict[str, dict[str, Any]] = field(default_factory=dict)
    """By router name, the core options that differ from their defaults."""

    def start(self, routers: int, engines: int = 2, empty: bool = False) -> None:
        """Start the emulator and the routers, and wait until all routers answer.

        :param empty: whether the store has no configuration; routers are then not ready.
        """
        options = ["--engines", str(engines), "--services", str(self.services)]
        options += ["--empty"] if empty else []
        self.addresses = self.start_emulator(options)
        self.start_nodes(routers, 503 if empty else 200)

    def start_nodes(self, routers: int, readiness: int = 200) -> None:
        """Start the routers, and wait until all answer their readiness probe with a status."""
        ips = free_ips(routers)
        self.ports = dict(zip(PORT_NAMES, find_free_ports(ips, len(PORT_NAMES)), strict=True))
        for number, ip in enumerate(ips, start=1):
            self.start_node(f"edge-{number}", ip, ips)
        self.wait_ready(readiness)

    def start_node(self, name: str, ip: str, ips: list[str]) -> Node:
        """Start one router.

        :param ips: the addresses of all routers; the first three are the seeds.
        """
        path = self.folder / f"{name}.conf"
        path.write_text(self.make_settings_text(name, ip, ips))
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            process = start_process(
                [sys.executable, "-W", "ignore", "-m", "myrtlehook_platform"],
                stdout=log,
                stderr=log,
                env=os.environ | {"MYRTLEHOOK_NODE_FILE": str(path)},
                cwd=self._make_working_directory(name),
            )
        self.processes.append(process)
        node = Node(name, ip, process, log_path, path, self.ports["front"], self.ports["ready"])
        self.nodes.append(node)
        return node

    def restart_node(self, number: int) -> Node:
        """Kill a router, the first of which has number 1, and start it again."""
        old = self.nodes[number - 1]
        old.process.send_signal(signal.SIGKILL)
        old.process.wait()
        restarted = self.start_node(old.name, old.ip, [node.ip for node in self.nodes])
        self.nodes.remove(restarted)
        self.nodes[number - 1] = restarted
        return restarted

    def _make_working_directory(self, name: str) -> Path:
        """Create a router's working directory with its options file, and return its path."""
        deploy = self.folder / name / "deploy"
        deploy.mkdir(parents=True, exist_ok=True)
        (deploy / "options.json").write_text(json.dumps(self.options.get(name, {})))
        return deploy.parent

    def make_settings_text(self, name: str, ip: str, ips: list[str]) -> str:
        """Return the text of a router's settings file."""
        ports = self.ports
        seeds = ",".join(f"{seed}:{ports['control']}" for seed in ips[:3])
        lines = {
            "NodeName": name,
            "IpAddress": ip,
            "Zone": "hall-1",
            "ListenAddresses.Frontend": f"{ip}:{ports['front']}",
            "ListenAddresses.Ready": f"{ip}:{ports['ready']}",
            "ListenAddresses.ControlPlane": f"{ip}:{ports['control']}",
            "InternalPortRange": f"{ports['peer']},{ports['helping']}",
            "SeedNodes": seeds,
            "Limits.FileDescriptorLimit": str(self.descriptors),
            "Limits.MemoryMb": str(self.memory_mb),
            "Bounds.GracePeriodS": "8",
            "Bounds.QuotaWindowS": "4",
            "Platform.Address": self.stores.get(name, self.addresses["store"]),
            "Platform.value_bytes": str(self.value_bytes),
            "SomethingNew": "passed over",
        }
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    def wait_ready(self, wanted: int = 200) -> None:
        """Wait until every router answers its readiness probe with a status."""
        for node in self.nodes:
            wait_for(partial(self._answers_with, node, wanted), f"{node.name} to answer {wanted}")

    def _answers_with(self, node: Node, wanted: int) -> bool:
        return self.fetch_readiness(node) == wanted

    def fetch_readiness(self, node: Node) -> int:
        """Return the status with which a router answers its readiness probe; 0 for no answer."""
        try:
            return fetch(node.ip, node.ready_port, "/v1/readiness")[0]
        except OSError:
            return 0

    def order(self, **order: Any) -> None:
        """Send an order to the emulator's control address, to change the emulated site."""
        ip, _, port = self.addresses["control"].rpartition(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=START_S)
        connection.request("POST", "/", json.dumps(order))
        connection.getresponse().read()
        connection.close()

    def describe(self) -> dict[str, Any]:
        """Return the state of the emulated site, and the requests that its servers recorded."""
        ip, _, port = self.addresses["control"].rpartition(":")
        described: dict[str, Any] = json.loads(fetch(ip, int(port), "/")[1])
        return described

    def count_runs(self, attempt_id: str) -> int:
        """Return the number of times that an attempt was run, by all servers together."""
        servers = self.describe()["servers"].values()
        return sum(server["runs"].get(attempt_id, 0) for server in servers)

    def stop(self) -> None:
        """Kill every process that was started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()

    def start_emulator(self, options: list[str]) -> dict[str, str]:
        """Start the emulated platform; returns the addresses of its parts."""
        with (self.folder / "emulator.log").open("ab") as log:
            process = start_process(
                [sys.executable, "-W", "ignore", "-m", "emulator", *options],
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
            )
        self.processes.append(process)
        assert process.stdout is not None
        addresses: dict[str, str] = json.loads(process.stdout.readline())
        return addresses


def fetch(ip: str, port: int, path: str) -> tuple[int, bytes]:
    """Send a GET request; return the status and the body."""
    connection = http.client.HTTPConnection(ip, port, timeout=START_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def free_ips(count: int) -> list[str]:
    """Return loopback addresses that depend on the process id.

    The routers' metrics port is fixed, so fleets of concurrent processes need separate addresses.
    """
    taken = max(count, ADDRESSES_PER_FLEET)
    if FIRST_HOST + taken - 1 > LAST_HOST:
        most = LAST_HOST - FIRST_HOST + 1
        raise ValueError(f"a fleet of {count} routers; there are addresses for at most {most}")
    if _HOSTS.next_host + taken - 1 > LAST_HOST:
        _HOSTS.next_host = FIRST_HOST
    first = _HOSTS.next_host
    _HOSTS.next_host = first + taken
    number = os.getpid()
    network = f"127.{number >> 8 & 255}.{number & 255}"
    return [f"{network}.{host}" for host in range(first, first + count)]


def find_free_ports(ips: list[str], count: int) -> list[int]:
    """Return different ports that are free on all addresses.

    The operating system may return a port again once it has been closed.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _find_free_port(ips)
        if port not in ports:
            ports.append(port)
    return ports


def _find_free_port(ips: list[str]) -> int:
    """Return a port that the operating system chose and that is free on all addresses."""
    while True:
        opened = []
        try:
            with socket.socket() as first:
                first.bind((ips[0], 0))
                port = int(first.getsockname()[1])
            for ip in ips:
                other = socket.socket()
                opened.append(other)
                other.bind((ip, port))
            return port
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        finally:
            for other in opened:
                other.close()
