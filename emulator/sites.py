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

from emulator.endings import NullLog, RestartableServer
from emulator.engines import Engine, EngineSpeed, SharedFaults
from emulator.names import MODEL_SERVICE, PLAIN_SERVICE
from emulator.services import PlainService
from emulator.standstills import listen, never
from emulator.store import Store

HOST = "site.example"
SPLIT = [{"Service": PLAIN_SERVICE, "Weight": 1}, {"Service": PLAIN_SERVICE, "Weight": 3}]
ZONE = "hall-1"
REWRITE_DELAY_S = 1.0
"""Delay from the store's restoration until its operator and servers rewrite their items."""

RESTORED_ENTRY_EXPIRY_S = 3.0
"""Delay from the store's restoration until entries that nobody renews expire."""

ENTRY_EXPIRY_S = 1.0
"""Delay from a server's end until its entry expires."""

LEAVING_STATE = '"State": "draining"'
KEYS = {"planners": "key-planners", "dispatch": "key-dispatch"}


@dataclass(slots=True)
class Site:
    """All parts of the emulated site."""

    store: Store = field(default_factory=Store)
    engines: dict[str, Engine] = field(default_factory=dict)
    services: dict[str, PlainService] = field(default_factory=dict)
    engine_faults: SharedFaults = field(default_factory=SharedFaults)
    addresses: dict[str, str] = field(default_factory=dict)
    """Addresses by name: of the store, of the control, and of each server by its id."""
    processes: dict[str, RestartableServer] = field(default_factory=dict)
    """The engines' processes, by engine id."""
    started_at_ms: dict[str, int] = field(default_factory=dict)
    """Start time of each engine as Unix time in ms, by engine id."""
    zones: dict[str, str] = field(default_factory=dict)
    """Zones of the servers that are not in ``ZONE``, by server id."""
    left_servers: set[str] = field(default_factory=set)
    """Ids of servers that a test has let leave, or announce that they leave."""
    ended_engines: list[str] = field(default_factory=list)
    """Ids of the engines that ended, in order."""
    ip: str = ""
    """The address that all parts listen on."""
    added_numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))
    restart_numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))


def start_site(ip: str, engines: int, services: int, speed: EngineSpeed) -> Site:
    """Start the store, the engines and the services as tasks of this process."""
    site = Site()
    site.addresses["store"] = serve(ip, site.store.answer)
    site.ip = ip
    for number in range(1, engines + 1):
        _start_engine(site, f"i-engine-{number}", speed)
    for number in range(1, services + 1):
        service = PlainService(f"i-desk-{number}", slots=6)
        site.services[service.identifier] = service
        site.addresses[service.identifier] = serve(ip, service.answer, service.is_still)
        put_server(site, service.identifier, PLAIN_SERVICE, service.slots)
    return site


def add_engine(site: Site) -> None:
    """Start one more engine, which is like the others."""
    speed = next(iter(site.engines.values())).speed
    _start_engine(site, f"i-engine-added-{next(site.added_numbers)}", speed)


def _start_engine(site: Site, identifier: str, speed: EngineSpeed) -> None:
    engine = Engine(identifier, speed, site.engine_faults)
    site.engines[identifier] = engine
    engine.end = _make_end_callback(site, engine)
    eventlet.spawn(engine.step_forever)
    _register_engine(site, engine, RestartableServer(site.ip, engine.answer, engine.is_still))


def end_engine(site: Site, engine: Engine) -> None:
    """End an engine's process; it starts again later without its state."""
    identifier = engine.identifier
    process = site.processes.pop(identifier, None)
    if process is None:
        # The engine has ended already and not started again.
        return
    site.ended_engines.append(identifier)
    process.end()
    engine.discard_state()
    shared = site.engine_faults
    eventlet.spawn_after(shared.back_after_s, _restart_engine, site, engine, process)
    if not shared.keeps_id:
        eventlet.spawn_after(ENTRY_EXPIRY_S, site.store.drop, f"servers/{identifier}")


def restore_store_copy(site: Site) -> None:
    """Restore the store from its copy.

    Shortly after, the operator and live servers write the lost items again, and the entries
    of servers that have left since the copy expire.
    """
    before = site.store.restore_copy()
    eventlet.spawn_after(REWRITE_DELAY_S, _rewrite_items, site, before)
    eventlet.spawn_after(RESTORED_ENTRY_EXPIRY_S, _drop_expired_entries, site, before)


def _rewrite_items(site: Site, before: dict[str, dict[str, Any]]) -> None:
    for key, item in before.items():
        if key in site.store.foreign_keys:
            # The operator and the servers rewrite what is their own.
            continue
        text = base64.b64decode(item["Value"]).decode()
        if key.removeprefix("servers/") in site.left_servers and LEAVING_STATE not in text:
            # It has left since the restoration, and says nothing else.
            continue
        if site.store.items.get(key, {}).get("Value") != item["Value"]:
            site.store.put(key, text)


def _drop_expired_entries(site: Site, before: dict[str, dict[str, Any]]) -> None:
    """Remove the entries of servers that have left since the copy, which nobody renews."""
    for key in set(site.store.saved_copy[0]) - before.keys():
        site.store.drop(key)


def _make_end_callback(site: Site, engine: Engine) -> Callable[[], None]:
    return lambda: end_engine(site, engine)


def _restart_engine(site: Site, engine: Engine, process: RestartableServer) -> None:
    process.start()
    if not site.engine_faults.keeps_id:
        del site.engines[engine.identifier]
        engine.identifier = f"i-engine-again-{next(site.restart_numbers)}"
        site.engines[engine.identifier] = engine
    engine.software_version = site.engine_faults.next_software_version or engine.software_version
    _register_engine(site, engine, process)


def _register_engine(site: Site, engine: Engine, process: RestartableServer) -> None:
    identifier = engine.identifier
    site.left_servers.discard(identifier)
    site.processes[identifier] = process
    site.addresses[identifier] = process.address
    if site.engine_faults.states_start:
        site.started_at_ms[identifier] = int(time.time() * 1000)
    delay_s = site.engine_faults.entry_delay_ms / 1000.0
    if delay_s:
        eventlet.spawn_after(delay_s, put_engine, site, engine)
    else:
        put_engine(site, engine)


def put_engine(site: Site, engine: Engine, state: str = "ready") -> None:
    """Write an engine's entry into the store."""
    put_server(
        site, engine.identifier, MODEL_SERVICE, engine.speed.slots, state, engine.software_version
    )


def put_server(
    site: Site,
    identifier: str,
    service: str,
    slots: int,
    state: str = "ready",
    software_version: str = "v1",
) -> None:
    """Write a server's entry into the store."""
    entry = {
        "Service": service,
        "Address": site.addresses[identifier],
        "Zone": site.zones.get(identifier, ZONE),
        "Version": software_version,
        "SlotCount": slots,
        "State": state,
        "ColdRemainingMs": 0,
        "SequenceNumber": 1,
    }
    if identifier in site.started_at_ms:
        entry["born"] = site.started_at_ms[identifier]
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
    """Return one route whose path prefix is its name."""
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


def serve(ip: str, application: Callable[..., Any], is_still: Callable[[], bool] = never) -> str:
    """Serve an application on a port that the operating system chooses; returns the address.

    :param is_still: tells whether the server stands still at present.
    """
    listener = listen(ip, 0, is_still)
    eventlet.spawn(
        wsgi.server,
        listener,
        application,
        log=NullLog(),
        log_output=False,
        debug=False,
        capitalize_response_headers=False,
        minimum_chunk_size=0,
    )
    return f"{ip}:{listener.getsockname()[1]}"


def describe_site(site: Site) -> dict[str, Any]:
    """Return what the site has recorded, for tests."""
    servers: dict[str, Any] = {**site.engines, **site.services}
    return {
        "calls": dict(site.store.calls),
        "ended": list(site.ended_engines),
        "running_engines": sorted(site.processes),
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
