"""Small stand-ins for the platform, its servers and clients, and the start of routers.

Only the standard library is used. Everything listens on loopback addresses and free ports.
"""

import base64
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"
ZONE = "hall-1"
PLAIN_SERVICE = "field-ops"
NO_BODY = b""
HELD = "held"
BROKEN = "broken"
NOT_RUN = "could not run"
EXIT_CODES = {HELD: 0, BROKEN: 1, NOT_RUN: 2}


class Record:
    """The lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add one line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
            self._file.flush()


@dataclass
class Head:
    """The head of an HTTP message."""

    first: str
    fields: list[tuple[str, str]]

    def get(self, name: str) -> str | None:
        """Return the value of a field, or None."""
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return None


class ClosedError(Exception):
    """The other side has closed the connection."""


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.rest = b""

    def _more(self) -> None:
        piece = self.sock.recv(65536)
        if not piece:
            raise ClosedError
        self.rest += piece

    def read_line(self) -> bytes:
        """Return the next line without its end."""
        while b"\r\n" not in self.rest:
            self._more()
        line, self.rest = self.rest.split(b"\r\n", 1)
        return line

    def read_exactly(self, size: int) -> bytes:
        """Return the next bytes."""
        while len(self.rest) < size:
            self._more()
        content, self.rest = self.rest[:size], self.rest[size:]
        return content

    def read_head(self) -> Head:
        """Return the next head."""
        first = self.read_line().decode("latin-1")
        fields = []
        while line := self.read_line().decode("latin-1"):
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
        return Head(first, fields)

    def read_body(self, head: Head) -> bytes:
        """Return the body that belongs to a head."""
        if (head.get("Transfer-Encoding") or "").lower() == "chunked":
            body = b""
            while size := int(self.read_line().split(b";")[0], 16):
                body += self.read_exactly(size)
                self.read_line()
            while self.read_line():
                pass
            return body
        return self.read_exactly(int(head.get("Content-Length") or 0))


def connect(address: tuple[str, int], timeout_s: float) -> Reader:
    """Open a connection and return its reader."""
    sock = socket.create_connection(address, timeout=timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Reader(sock)


def serve(ip: str, handle: Callable[[socket.socket], None]) -> tuple[str, int]:
    """Handle each connection to a free port in a thread of its own; return the address."""
    listener = socket.socket()
    listener.bind((ip, 0))
    listener.listen(512)

    def handle_quietly(sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(sock)
        except (OSError, ClosedError, ValueError):
            pass
        finally:
            sock.close()

    def accept() -> None:
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=handle_quietly, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener.getsockname()


def make_answer(status: str, fields: list[tuple[str, str]], body: bytes) -> bytes:
    """Return an answer whose body has a length."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store, of which items can be read and watched."""

    def __init__(self, ip: str) -> None:
        self._changed = threading.Condition()
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 0
        self.address = "{}:{}".format(*serve(ip, self._handle))

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write an item; its acknowledgement is the return."""
        with self._changed:
            self._revision += 1
            made = self._items.get(key, {}).get("made", self._revision)
            item = {
                "PrivateKey": key,
                "Value": base64.b64encode(json.dumps(value).encode()).decode(),
                "Revision": self._revision,
                "made": made,
                "lease": 0,
            }
            self._items[key] = item
            self._history.append(item)
            self._changed.notify_all()

    def _handle(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        while True:
            head = reader.read_head()
            reader.read_body(head)
            target = head.first.split(" ")[1]
            path, _, query = target.partition("?")
            fields = dict(part.partition("=")[::2] for part in query.split("&"))
            if path == "/v1/kv-range":
                answer = self._read(fields)
            elif path == "/v1/kv-watch":
                answer = self._watch(fields)
            else:
                sock.sendall(make_answer("404 Not Found", [], b""))
                continue
            content = json.dumps(answer).encode()
            kind = [("Content-Type", "application/json")]
            sock.sendall(make_answer("200 OK", kind, content))

    def _read(self, fields: dict[str, str]) -> dict[str, Any]:
        with self._changed:
            entries = [self._items[key] for key in sorted(self._items)]
            return {"Entries": entries, "more": False, "at": self._revision}

    def _watch(self, fields: dict[str, str]) -> dict[str, Any]:
        after = int(fields["After"])
        with self._changed:
            self._changed.wait_for(
                lambda: self._revision > after, timeout=int(fields["WaitMs"]) / 1000.0
            )
            events = [item for item in self._history if item["Revision"] > after]
            return {"events": events, "at": self._revision}


@dataclass
class Run:
    """One request that a server has run."""

    request_id: str
    first: str
    body: bytes
    tenant: str | None
    at_s: float


@dataclass
class PlainServer:
    """A sound server of a plain service."""

    ip: str
    record: Record
    identifier: str = ""
    work_s: float = 0.015
    runs: list[Run] = field(default_factory=list)
    address: str = ""

    def __post_init__(self) -> None:
        self.identifier = f"i-{random.randrange(1 << 32):08x}"
        self.address = "{}:{}".format(*serve(self.ip, self._handle))

    def register(self, store: Store) -> None:
        """Write the server's entry."""
        entry = {
            "Service": PLAIN_SERVICE,
            "Address": self.address,
            "Zone": ZONE,
            "Version": "v1",
            "SlotCount": 6,
            "State": "ready",
            "ColdRemainingMs": 0,
            "SequenceNumber": 1,
        }
        store.put(f"servers/{self.identifier}", entry)

    def _handle(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        while True:
            head = reader.read_head()
            body = reader.read_body(head)
            sock.sendall(self._answer(head, body))

    def _answer(self, head: Head, body: bytes) -> bytes:
        if head.first.split(" ")[1] == "/health":
            return make_answer("200 OK", [("Instance-Id", self.identifier)], b"")
        request_id = head.get("Attempt-Id") or ""
        if head.get("Expected-Instance") not in (None, self.identifier):
            return make_answer("421 Misdirected Request", [("Instance-Id", self.identifier)], b"")
        if not request_id:
            return make_answer("400 Bad Request", [("Not-Executed", "1")], b"")
        run = Run(request_id, head.first, body, head.get("Tenant-Name"), time.monotonic())
        self.runs.append(run)
        self.record.add(
            f"server {self.identifier} runs {request_id}: {head.first!r}, "
            f"{len(body)} bytes, Tenant-Name {run.tenant}"
        )
        time.sleep(self.work_s)
        seal = hashlib.sha256(f"{self.identifier}/{request_id}".encode()).hexdigest()[:16]
        fields = [("Attempt-Id", request_id), ("Response-Seal", seal)]
        return make_answer("200 OK", fields, f"done {request_id}\n".encode())


def make_route(name: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the plain service, like those of the heating site's sheet."""
    route = {
        "Name": f"r-{name}",
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Service": PLAIN_SERVICE,
        "TimeoutMs": 800,
        "TargetLatencyMs": 100,
        "Priority": 2,
        "MaxAttempts": 1 if kind == "non_idempotent" else 2,
        "AnonymousAccess": False,
    }
    return {**route, **changes}


def make_configuration(
    version: int, routes: list[dict[str, Any]], tenants: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration with the limits that our pages show."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": PLAIN_SERVICE,
                "HealthCheckPath": "/health",
                "MaxConnections": 96,
                "Protocol": "h1",
                "TlsEnabled": False,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            "TokensPerS": 195000,
        },
        "Tenants": tenants,
    }


def find_free_ports(ip: str, count: int) -> tuple[int, ...]:
    """Return different ports that nobody listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    ports = tuple(sock.getsockname()[1] for sock in sockets)
    for sock in sockets:
        sock.close()
    return ports


class Router:
    """A router process, started with the deploy file's command."""

    ports: tuple[int, ...] = ()
    """Frontend, readiness, control plane and internal ports, which are the same on all machines."""

    def __init__(self, ip: str, store: Store, folder: Path, seeds: list[str] | None = None) -> None:
        if not Router.ports:
            Router.ports = find_free_ports(ip, 5)
        front, ready, control, first, last = Router.ports
        self.ip = ip
        self.front = (ip, front)
        self.ready = (ip, ready)
        self.control = f"{ip}:{control}"
        self._folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        settings = {
            "NodeName": f"edge-{ip}",
            "Role": "router",
            "MachineClass": "edge",
            "ServedRoles": "edge,control_plane",
            "IpAddress": ip,
            "Zone": ZONE,
            "Region": "batinah",
            f"Zones.{ZONE}": "batinah",
            "ListenAddresses.Frontend": "{}:{}".format(*self.front),
            "ListenAddresses.Ready": "{}:{}".format(*self.ready),
            "ListenAddresses.ControlPlane": self.control,
            "InternalPortRange": f"{first},{last}",
            "SeedNodes": ",".join(seeds or [self.control]),
            "IsBootstrap": "true",
            "Limits.CpuQuota": "0.537",
            "Limits.CoreCount": "2",
            "Limits.MemoryMb": "150",
            "Limits.FileDescriptorLimit": "4100",
            "Limits.LinkBandwidthMbps": "1000.0",
            "Limits.DiskMb": "0",
            "DiscoverySource": "platform",
            "EntryKind": "virtual_ip",
            "HeartbeatIntervalMs": "1200",
            "Bounds.GracePeriodS": "8",
            "Bounds.RetryBudgetRatio": "0.2",
            "Bounds.QuotaWindowS": "4",
            "Platform.Address": store.address,
            "Platform.form": "read",
            "Platform.HistoryS": "20",
            "Platform.value_bytes": "1048576",
        }
        text = "".join(f"{name}={value}\n" for name, value in settings.items())
        self.settings_path = folder / f"{ip}.conf"
        self.settings_path.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environ = {
            **kept,
            "MYRTLEHOOK_NODE_FILE": str(self.settings_path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self._folder / f"{self.ip}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "deploy/start.py"], cwd=ROOT, env=environ, stdout=log, stderr=log
        )

    def is_ready(self) -> bool:
        """Return whether the router says that it is ready."""
        try:
            with socket.create_connection(self.ready, timeout=1.0) as sock:
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(65536).split(b"\r\n")[0] + b" "
        except OSError:
            return False

    def wait_until_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until the router is ready; return False if it does not become so."""
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False

    def stop(self) -> None:
        """End the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        path = self._folder / f"{self.ip}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""


def make_request(
    method: str, path: str, fields: list[tuple[str, str]], body: bytes = NO_BODY
) -> bytes:
    """Return the bytes of a request; its body has a length."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def make_id() -> str:
    """Return a new Attempt-Id."""
    return f"{random.randrange(1 << 64):016x}"


def make_loopback_ips(count: int) -> list[str]:
    """Return loopback addresses that hardly anybody uses, as some ports of a router are fixed."""
    second, third = random.randrange(20, 250), random.randrange(1, 250)
    return [f"127.{second}.{third}.{number + 1}" for number in range(count)]


def run_case(folder: Path, play: Callable[[Record, Path, bool, list[Router]], str]) -> None:
    """Play a case, end its processes, and exit with the status of its result."""
    record = Record(Path(os.environ.get("RECORD", folder / "record.txt")))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    routers: list[Router] = []
    result = NOT_RUN
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    with tempfile.TemporaryDirectory() as work:
        try:
            record.add(f"begin, {'with' if has_trouble else 'without'} the disruption")
            result = play(record, Path(work), has_trouble, routers)
        except BaseException as error:
            record.add(f"the case could not be played to its end: {error!r}")
        finally:
            for router in routers:
                router.stop()
                if os.environ.get("KEEP_LOGS"):
                    name = f"router-{router.ip}.log"
                    (Path(os.environ["KEEP_LOGS"]) / name).write_text(router.read_log())
        record.add(f"result: {result}")
    print(result)
    sys.stdout.flush()
    # Threads of stand-ins may still wait for connections.
    os._exit(EXIT_CODES[result])
