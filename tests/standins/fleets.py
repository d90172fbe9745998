"""Starts a fleet on loopback: platform, engines, a plain service, routers.

Used by the demo, the bench and the tests; the product itself starts no process.
"""

import hashlib
import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from standins.network import free_ports, get_json, http, wait_for
from standins.processes import start_process

MODEL = "diagnosis"
MODEL_POOL = "inference"
SERVICE_POOL = "terminal"
STOP_WAIT_S = 20.0
TESTS_FOLDER = Path(__file__).resolve().parent.parent


@dataclass(slots=True)
class Program:
    """One started process."""

    name: str
    process: subprocess.Popen[bytes]
    port: int
    log_path: Path | None = None
    settings: dict[str, Any] = field(default_factory=dict)

    @property
    def address(self) -> str:
        """The IP address and port where it serves requests."""
        return f"127.0.0.1:{self.port}"

    @property
    def operators_address(self) -> str:
        """The IP address and port of a router's operator endpoints."""
        return f"127.0.0.1:{self.settings['operators']['port']}"


@dataclass(frozen=True, slots=True)
class WorkspacePlan:
    """A workspace to configure in the fleet."""

    name: str
    share: float = 1.0
    limits: dict[str, Any] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """The API key."""
        return f"key-of-{self.name}"


DEFAULT_WORKSPACES = (
    WorkspacePlan("control-room"),
    WorkspacePlan("planners", 2.0),
    WorkspacePlan("dispatch-desk"),
)


class Fleet:
    """Starts the programs of one fleet, publishes its configuration, and stops it."""

    def __init__(self, workspaces: Sequence[WorkspacePlan] = DEFAULT_WORKSPACES) -> None:
        self.workspaces = {plan.name: plan for plan in workspaces}
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self.fleet_key = secrets.token_hex(16)
        """Random for each fleet, so that routers left over from an interrupted run are rejected."""
        self.platform: Program | None = None
        self.engines: dict[str, Program] = {}
        self.services: dict[str, Program] = {}
        self.routers: dict[str, Program] = {}
        self.slots: dict[str, int] = {}
        self.version = 0
        self.base_digest = ""
        self.documents: dict[str, Any] = {}
        self.server_fields: dict[str, dict[str, Any]] = {}

    # -- starting -----------------------------------------------------------------

    def start_platform(self) -> Program:
        """Start the platform's stand-in."""
        self.platform = self._start_standin("platform", [])
        return self.platform

    def start_engine(
        self, name: str, slots: int = 4, step_ms: float = 5.0, tokens_per_event: int = 1
    ) -> Program:
        """Start a model engine's stand-in."""
        options = ["--slots", str(slots), "--step-ms", str(step_ms)]
        options += ["--tokens-per-event", str(tokens_per_event)]
        self.slots[name] = slots
        self.engines[name] = self._start_standin("engine", options, name)
        return self.engines[name]

    def start_service(self, name: str, slots: int = 4) -> Program:
        """Start a plain service's stand-in."""
        self.slots[name] = slots
        self.services[name] = self._start_standin("service", [], name)
        return self.services[name]

    def start_routers(self, count: int, **changes: Any) -> None:
        """Start routers that have one another as seeds."""
        names = [f"vm-{len(self.routers) + index + 1}" for index in range(count)]
        settings = {name: self.make_settings(name) for name in names}
        seeds = [
            {"vm": name, "address": f"127.0.0.1:{item['peers']['port']}"}
            for name, item in settings.items()
        ]
        for name, item in settings.items():
            item["seeds"] = [seed for seed in seeds if seed["vm"] != name]
            item.update(changes)
            self.start_router(name, item)

    def make_settings(self, name: str) -> dict[str, Any]:
        """Make a router's settings with free ports."""
        callers, operators, peers = free_ports(3)
        platform = "127.0.0.1:1" if self.platform is None else self.platform.address
        return {
            "vm": name,
            "availability_zone": "sohar",
            "callers": {"address": "127.0.0.1", "port": callers},
            "operators": {"address": "127.0.0.1", "port": operators},
            "peers": {"address": "127.0.0.1", "port": peers},
            "fleet_key": self.fleet_key,
            "platform": [platform],
            "seeds": [],
            "test_hooks": {"cut": True},
        }

    def start_router(self, name: str, settings: dict[str, Any]) -> Program:
        """Start one router process."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            process = start_process(
                [sys.executable, "-W", "ignore", "-m", "myrtlehook_router", "--settings", path],
                stdout=log,
                stderr=log,
            )
        program = Program(name, process, settings["callers"]["port"], log_path, settings)
        self.routers[name] = program
        return program

    def restart_router(self, name: str) -> Program:
        """Start a router again that was stopped or killed, with its old settings."""
        return self.start_router(name, self.routers[name].settings)

    def start(self, routers: int = 3, engines: int = 2, services: int = 1, **options: Any) -> None:
        """Start a whole fleet and wait until it serves."""
        self.start_platform()
        for index in range(engines):
            self.start_engine(f"engine-{index + 1}", **options)
        for index in range(services):
            self.start_service(f"service-{index + 1}")
        self.start_routers(routers)
        self.publish()
        self.publish_vms()
        self.wait_until_ready()

    # -- publishing ---------------------------------------------------------------

    def make_documents(self) -> dict[str, Any]:
        """Make the one configuration part of this fleet."""
        pools = [
            {"name": MODEL_POOL, "kind": "model", "models": [MODEL]},
            {"name": SERVICE_POOL, "kind": "service"},
        ]
        servers = [
            self._make_server_document(program, MODEL_POOL) for program in self.engines.values()
        ] + [
            self._make_server_document(program, SERVICE_POOL) for program in self.services.values()
        ]
        workspaces = [
            {
                "name": plan.name,
                "share": plan.share,
                "key_digests": [hashlib.sha256(plan.key.encode()).hexdigest()],
                "pools": [MODEL_POOL, SERVICE_POOL],
                "limits": plan.limits,
            }
            for plan in self.workspaces.values()
        ]
        return {"workspaces": workspaces, "pools": pools, "backend_servers": servers}

    def publish(self, documents: dict[str, Any] | None = None) -> str:
        """Publish a configuration of the next version and return its manifest."""
        self.documents = documents or self.make_documents()
        self.version += 1
        part = json.dumps(self.documents)
        digest = hashlib.sha256(part.encode()).hexdigest()
        self.put(f"part-{digest[:16]}", part)
        reference = {"key": f"part-{digest[:16]}", "digest": digest}
        manifest = json.dumps(
            {"version": self.version, "parts": [reference], "base_digest": self.base_digest}
        )
        self.base_digest = hashlib.sha256(manifest.encode()).hexdigest()
        self.put("manifest", manifest)
        return manifest

    def publish_vms(self, leaving: Sequence[str] = (), absent: Sequence[str] = ()) -> None:
        """Publish the VM list."""
        vms = [
            {
                "vm": name,
                "address": f"127.0.0.1:{program.settings['peers']['port']}",
                "availability_zone": "sohar",
                "state": "leaving" if name in leaving else "live",
            }
            for name, program in self.routers.items()
            if name not in absent
        ]
        self.put("vms", json.dumps({"vms": vms}))

    def put(self, key: str, text: str) -> None:
        """Publish one value on the platform."""
        assert self.platform is not None
        http("PUT", self.platform.address, f"/test/values/{key}", text.encode())

    def set_platform_mode(self, **mode: Any) -> None:
        """Set the platform's faults."""
        assert self.platform is not None
        http("POST", self.platform.address, "/test/mode", json.dumps(mode).encode())

    # -- faults and state ---------------------------------------------------------

    def cut(self, groups: Sequence[Sequence[str]]) -> None:
        """Partition the routers into groups that cannot reach each other; a single group heals."""
        for group in groups:
            others = [name for other in groups if other is not group for name in other]
            for name in group:
                body = json.dumps({"peers": others}).encode()
                http("POST", self.routers[name].operators_address, "/test/cut", body)

    def status(self, name: str) -> dict[str, Any]:
        """Read a router's status page."""
        return get_json(self.routers[name].operators_address, "/status")

    def counters(self, name: str) -> dict[str, int]:
        """Read a router's counters."""
        metrics = get_json(self.routers[name].operators_address, "/metrics")
        return dict(metrics["counters"])

    def wait_until_ready(self, version: int | None = None) -> None:
        """Wait until every router is healthy, has the version and considers all others alive."""
        wanted = self.version if version is None else version
        for name in self.routers:
            wait_for(partial(self._is_ready, name, wanted), f"{name} to be ready")

    def kill(self, program: Program) -> None:
        """Kill a process and wait for its end."""
        program.process.send_signal(signal.SIGKILL)
        program.process.wait(STOP_WAIT_S)

    def stop(self) -> None:
        """Kill everything that was started."""
        programs = [*self.routers.values(), *self.engines.values(), *self.services.values()]
        if self.platform is not None:
            programs.append(self.platform)
        for program in programs:
            if program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in programs:
            program.process.wait(STOP_WAIT_S)

    def _is_ready(self, name: str, version: int) -> bool:
        answer = http("GET", self.routers[name].operators_address, "/healthz")
        if answer is None or answer.status != 200:
            return False
        status = self.status(name)
        alive = sum(1 for peer in status["peers"] if peer["state"] == "alive")
        running = sum(1 for item in self.routers.values() if item.process.poll() is None)
        return status["configuration_number"] >= version and alive >= running - 1

    def _make_server_document(self, program: Program, pool: str) -> dict[str, Any]:
        return {
            "name": program.name,
            "pool": pool,
            "address": program.address,
            "availability_zone": "sohar",
            "slots": self.slots[program.name],
            **self.server_fields.get(program.name, {}),
        }

    def _start_standin(self, module: str, options: list[str], name: str = "") -> Program:
        environment = os.environ | {"PYTHONPATH": str(TESTS_FOLDER)}
        command = [sys.executable, "-W", "ignore", "-m", f"standins.{module}", *options]
        log_path = self.folder / f"{name or module}.log"
        with log_path.open("ab") as log:
            process = start_process(command, stdout=subprocess.PIPE, stderr=log, env=environment)
        assert process.stdout is not None
        line = process.stdout.readline().decode()
        if not line.startswith("listening "):
            raise RuntimeError(f"{module} did not start: {log_path.read_text()[-2000:]}")
        return Program(name or module, process, int(line.split()[1]), log_path)
