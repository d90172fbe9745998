"""A small fleet of routers, started with the deploy file's command on loopback addresses."""

import http.client
import os
import random
import signal
import subprocess
import sys
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from standins.listeners import is_free
from standins.records import Record

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("hall-a", "hall-b", "hall-c")
REGION = "coast"
FRONTEND_PORT = 8783
READY_PORT = 8780
CONTROL_PORT = 8785
INTERNAL_PORTS = (7400, 7415)
METRICS_PORT = 9464
STORE_PORT = 8781
PORTS = (FRONTEND_PORT, READY_PORT, *INTERNAL_PORTS, METRICS_PORT)
READY_TIMEOUT_S = 30.0


class CannotRunError(Exception):
    """The case can't run on this machine."""


@dataclass
class Router:
    """One machine with a router."""

    name: str
    ip: str
    zone: str
    settings: Path
    process: subprocess.Popen[bytes] | None = None
    started_s: float = 0.0
    own_ends: list[int] = field(default_factory=list)
    """The exit statuses with which its processes ended by themselves."""


class Fleet:
    """The routers of one case, and the addresses of what stands beside them."""

    def __init__(self, folder: Path, record: Record, count: int = 6) -> None:
        self._folder = folder
        self._record = record
        self._network = _choose_network(count)
        self.store_ip = f"{self._network}.200"
        self.server_ips = [f"{self._network}.{100 + number}" for number in range(8)]
        self.routers = [self._make_router(number) for number in range(1, count + 1)]
        self.bounds: dict[str, float | str] = {}
        """Bounds in the settings besides those that each deployment has."""

    def _make_router(self, number: int) -> Router:
        return Router(
            f"edge-{number}",
            f"{self._network}.{number}",
            ZONES[number % len(ZONES)],
            self._folder / f"edge-{number}.conf",
        )

    def write_settings(self, router: Router, first_start: bool) -> None:
        """Write a router's settings file, as the platform does at each start and each change."""
        named = ",".join(f"{other.ip}:{CONTROL_PORT}" for other in self.routers[:3])
        zones = "\n".join(f"Zones.{zone}={REGION}" for zone in ZONES)
        bounds = "\n".join(f"Bounds.{name}={value}" for name, value in self.bounds.items())
        first, last = INTERNAL_PORTS
        router.settings.write_text(
            f"""NodeName={router.name}
Role=router
MachineClass=edge
ServedRoles=edge,control_plane
IpAddress={router.ip}
Zone={router.zone}
Region={REGION}
{zones}
ListenAddresses.Frontend={router.ip}:{FRONTEND_PORT}
ListenAddresses.Ready={router.ip}:{READY_PORT}
ListenAddresses.ControlPlane={router.ip}:{CONTROL_PORT}
InternalPortRange={first},{last}
SeedNodes={named}
IsBootstrap={"true" if first_start else "false"}
IsFaultCounted=false
Limits.CpuQuota=0.537
Limits.CoreCount=2
Limits.MemoryMb=150
Limits.FileDescriptorLimit=4100
Limits.LinkBandwidthMbps=1000.0
Limits.DiskMb=0
DiscoverySource=platform
EntryKind=virtual_ip
HeartbeatIntervalMs=1200
Bounds.SeedLagS=3
Bounds.AddressReuseS=2
Bounds.ContactWindowMs=3000
Bounds.AckTimeoutMs=4000
Bounds.CatchUpS=4
Bounds.DrainTimeoutMs=2000
Bounds.GracePeriodS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.DowngradeSlackMs=250
Bounds.MaxStretchMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.RetryBudgetExtra=52
Bounds.RecoveryS=12
Bounds.ForwardPassMs=120
Bounds.RetryAfterS=7.2
Bounds.QuotaWindowS=4
{bounds}
Platform.Address={self.store_ip}:{STORE_PORT}
Platform.form=read
Platform.reads_per_s=2000
Platform.HistoryS=20
Platform.value_bytes=1048576
""",
            encoding="utf-8",
        )

    def start(self, router: Router, first_start: bool = False) -> None:
        """Start a router with the deploy file's command."""
        self.write_settings(router, first_start)
        with (self._folder / f"{router.name}.log").open("ab") as log:
            router.process = subprocess.Popen(
                read_command(),
                cwd=ROOT,
                env=make_environment(router.settings),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        router.started_s = time.monotonic()
        self._record.add("start", router=router.name, pid=router.process.pid)

    def start_all(self) -> None:
        """Start all routers, and wait until each calls itself ready."""
        for router in self.routers:
            self.start(router, first_start=True)
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        waiting = list(self.routers)
        while waiting:
            if time.monotonic() > deadline_s:
                raise CannotRunError(f"not ready: {[router.name for router in waiting]}")
            time.sleep(0.1)
            waiting = [router for router in waiting if not is_ready(router)]
        self._record.add("ready", routers=len(self.routers))

    def note_own_end(self, router: Router, excused_s: float = 0.0) -> bool:
        """Return whether a router's process has ended by itself since the last start.

        :param excused_s: an end so soon after the start isn't counted.
        """
        if router.process is None:
            return False
        status = router.process.poll()
        if status is None:
            return False
        age_s = time.monotonic() - router.started_s
        if age_s > excused_s:
            router.own_ends.append(status)
        self._record.add("ended by itself", router=router.name, status=status, age_s=age_s)
        router.process = None
        return True

    def stop_all(self) -> None:
        """End all processes that the fleet has started."""
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.send_signal(signal.SIGKILL)
                router.process.wait()


def read_command() -> list[str]:
    """Return the deploy file's command for a router."""
    with (ROOT / "deploy/system.toml").open("rb") as file:
        command = tomllib.load(file)["roles"]["router"]["run"].split()
    # The command names the interpreter by its plain name.
    return [sys.executable, *command[1:]] if command[0] == "python3" else command


def make_environment(settings: Path) -> dict[str, str]:
    """Return the variables that the platform hands to a process."""
    return {
        "PATH": os.environ.get("PATH", ""),
        "HOME": os.environ.get("HOME", "/"),
        "PYTHONPATH": str(ROOT / "target/deps"),
        "PYTHONDONTWRITEBYTECODE": "1",
        "MYRTLEHOOK_NODE_FILE": str(settings),
    }


def is_ready(router: Router) -> bool:
    """Return whether a router answers the platform's question with 200."""
    connection = http.client.HTTPConnection(router.ip, READY_PORT, timeout=1.0)
    try:
        connection.request("GET", "/v1/readiness")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def _choose_network(count: int) -> str:
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        ips = [f"{network}.{number}" for number in range(1, count + 1)]
        if all(is_free(ip, port) for ip in ips for port in PORTS):
            return network
    raise CannotRunError("no free loopback addresses")
