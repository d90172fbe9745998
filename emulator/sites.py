"""A small site: a store, engines and plain services on loopback, and its configuration."""

import base64
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import eventlet
from eventlet import wsgi

from emulator.endings import EndingProcess, Silent
from emulator.engines import Engine, EngineSpeed, SharedFaults
from emulator.services import PlainService
from emulator.store import Store

MODEL_SERVICE = "model"
PLAIN_SERVICE = "desk"
HOST = "site.example"
SPLIT = [{"Service": PLAIN_SERVICE, "Weight": 1}, {"Service": PLAIN_SERVICE, "Weight": 3}]
ZONE = "hall-1"
WRITTEN_AGAIN_S = 1.0
"""How long after the store's return its operator and servers have written again."""

LAPSED_S = 3.0
"""How long after it the entries go that nobody renews."""

LAPSE_S = 1.0
"""How long after its end a server's entry goes."""

KEYS = {"planners": "key-planners", "dispatch": "key-dispatch"}


@dataclass(slots=True)
class Site:
    """Everything that the emulator plays."""

    store: Store = field(default_factory=Store)
    engines: dict[str, Engine] = field(default_factory=dict)
    services: dict[str, PlainService] = field(default_factory=dict)
    engine_faults: SharedFaults = field(default_factory=SharedFaults)
    addresses: dict[str, str] = field(default_factory=dict)
    """Address of the store, and of each server by its id."""
    processes: dict[str, EndingProcess] = field(default_factory=dict)
    """Of the engines, by id."""
    born_ms: dict[str, int] = field(default_factory=dict)
    """When each engine started, in Unix time."""
    zones: dict[str, str] = field(default_factory=dict)
    """Of the servers that stand elsewhere than most."""
    ended: list[str] = field(default_factory=list)
    """The engines that ended, in order."""
    starts: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))


def start_site(ip: str, engines: int, services: int, speed: EngineSpeed) -> Site:
    """Start all parts as tasks of this process."""
    site = Site()
    site.addresses["store"] = serve(ip, site.store.answer)
    for number in range(1, engines + 1):
        engine = Engine(f"i-engine-{number}", speed, site.engine_faults)
        site.engines[engine.identifier] = engine
        engine.end = _make_end(site, engine)
        eventlet.spawn(engine.step_forever)
        _note_start(site, engine, EndingProcess(ip, engine.answer))
    for number in range(1, services + 1):
        service = PlainService(f"i-desk-{number}", slots=6)
        site.services[service.identifier] = service
        site.addresses[service.identifier] = serve(ip, service.answer)
        put_server(site, service.identifier, PLAIN_SERVICE, service.slots)
    return site


def end_engine(site: Site, engine: Engine) -> None:
    """End an engine's process; it is back after a while, knowing nothing."""
    identifier = engine.identifier
    process = site.processes.pop(identifier, None)
    if process is None:
        # It has ended already.
        return
    site.ended.append(identifier)
    process.end()
    engine.forget()
    shared = site.engine_faults
    eventlet.spawn_after(shared.back_after_s, _start_again, site, engine, process)
    if not shared.keeps_id:
        eventlet.spawn_after(LAPSE_S, site.store.drop, f"servers/{identifier}")


def return_from_copy(site: Site) -> None:
    """Let the store come back from its copy; whoever lives writes again what it wrote."""
    before = site.store.return_from_copy()
    eventlet.spawn_after(WRITTEN_AGAIN_S, _write_again, site, before)
    eventlet.spawn_after(LAPSED_S, _drop_lapsed, site, before)


def _write_again(site: Site, before: dict[str, dict[str, Any]]) -> None:
    for key, item in before.items():
        if site.store.items.get(key, {}).get("Value") != item["Value"]:
            site.store.put(key, base64.b64decode(item["Value"]).decode())


def _drop_lapsed(site: Site, before: dict[str, dict[str, Any]]) -> None:
    """Drop the servers that have left since the copy: nobody renews their entries."""
    for key in set(site.store.copied[0]) - before.keys():
        site.store.drop(key)


def _make_end(site: Site, engine: Engine) -> Callable[[], None]:
    return lambda: end_engine(site, engine)


def _start_again(site: Site, engine: Engine, process: EndingProcess) -> None:
    process.start()
    if not site.engine_faults.keeps_id:
        del site.engines[engine.identifier]
        engine.identifier = f"i-engine-again-{next(site.starts)}"
        site.engines[engine.identifier] = engine
    _note_start(site, engine, process)


def _note_start(site: Site, engine: Engine, process: EndingProcess) -> None:
    identifier = engine.identifier
    site.processes[identifier] = process
    site.addresses[identifier] = process.address
    site.born_ms[identifier] = int(time.time() * 1000)
    put_server(site, identifier, MODEL_SERVICE, engine.speed.slots)


def put_server(site: Site, identifier: str, service: str, slots: int, state: str = "ready") -> None:
    """Write a server's entry."""
    entry = {
        "Service": service,
        "Address": site.addresses[identifier],
        "Zone": site.zones.get(identifier, ZONE),
        "Version": "v1",
        "SlotCount": slots,
        "State": state,
        "ColdRemainingMs": 0,
        "SequenceNumber": 1,
    }
    if identifier in site.born_ms:
        entry["born"] = site.born_ms[identifier]
    site.store.put(f"servers/{identifier}", json.dumps(entry))


def make_configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    configuration = {
        "Version": version,
        "Routes": [
            make_route("diagnosis", "streaming", MODEL_SERVICE, StreamResumption=True),
            make_route("summary", "streaming", MODEL_SERVICE, MaxAttempts=1),
            make_route("valve", "non_idempotent", PLAIN_SERVICE, MaxAttempts=1),
            make_route("setpoint", "idempotent", PLAIN_SERVICE, MaxAttempts=2),
            make_route("mixed", "idempotent", "", TrafficSplit=SPLIT),
            make_route("open", "idempotent", PLAIN_SERVICE, AnonymousAccess=True),
        ],
        "Services": [
            {
                "Name": MODEL_SERVICE,
                "HealthCheckPath": "/health",
                "MaxConnections": 200,
                "Engine": {"SlotCount": 16, "KvCapacityTokens": 60000, "Stride": 3},
            },
            {"Name": PLAIN_SERVICE, "HealthCheckPath": "/health", "MaxConnections": 100},
        ],
        "Limits": {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 1000,
            "IdleTimeoutMs": 15000,
            "TokensPerS": 60000,
        },
        "Tenants": [{"Name": name, "ApiKeys": [key]} for name, key in KEYS.items()],
    }
    return {**configuration, **changes}


def make_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return one route, under its own name as the path."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 6000,
        "TargetLatencyMs": 1000,
        "Priority": 1,
        "MaxAttempts": 2,
        **changes,
    }


def serve(ip: str, application: Callable[..., Any]) -> str:
    """Serve an application on a port of the system's choice; returns its address."""
    listener = eventlet.listen((ip, 0))
    eventlet.spawn(
        wsgi.server,
        listener,
        application,
        log=Silent(),
        log_output=False,
        debug=False,
        capitalize_response_headers=False,
        minimum_chunk_size=0,
    )
    return f"{ip}:{listener.getsockname()[1]}"


def describe(site: Site) -> dict[str, Any]:
    """Return what the site has seen, for tests."""
    servers: dict[str, Any] = {**site.engines, **site.services}
    return {
        "calls": dict(site.store.calls),
        "ended": list(site.ended),
        "servers": {
            name: {
                "runs": dict(server.runs),
                "cancelled": dict(getattr(server, "cancelled", {})),
                "seen_headers": server.seen_headers,
                "arrivals": list(server.arrivals.seen),
                "system_headers": server.system_headers,
                "read_tokens": getattr(server, "read_tokens", 0),
                "faults": asdict(server.faults),
            }
            for name, server in servers.items()
        },
    }
