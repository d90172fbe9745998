"""The control endpoint: tests change the running site here and read what it recorded."""

import json
from collections.abc import Callable
from dataclasses import fields
from typing import Any

from emulator.sites import (
    PLAIN_SERVICE,
    Site,
    add_engine,
    describe_site,
    end_engine,
    make_configuration,
    put_engine,
    put_server,
    restore_store_copy,
)

LARGE_BYTES = 420_000
"""Length of the filler of a large configuration."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


def make_control(site: Site) -> Callable[[dict[str, Any], StartResponse], list[bytes]]:
    """Make the WSGI application.

    ``GET /`` describes the site; ``POST /`` applies an order first and then describes the site.
    """

    def application(environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        if environ["REQUEST_METHOD"] == "POST":
            apply_order(site, json.loads(environ["wsgi.input"].read()))
        body = json.dumps(describe_site(site)).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]

    return application


def apply_order(site: Site, order: dict[str, Any]) -> None:
    """Apply the changes in a test's order to the site."""
    targets: dict[str, Any] = {"store": site.store.faults, "engines": site.engine_faults}
    targets |= {name: engine.faults for name, engine in site.engines.items()}
    targets |= {name: service.faults for name, service in site.services.items()}
    if order.get("heal"):
        for target in targets.values():
            healed = type(target)()
            for fault in fields(target):
                setattr(target, fault.name, getattr(healed, fault.name))
    for name, faults in order.get("faults", {}).items():
        target = targets[name]
        for fault, value in faults.items():
            setattr(target, fault, value)
    for item in order.get("foreign_items", []):
        site.store.put_foreign_item(item)
    if order.get("drop_foreign_items"):
        site.store.drop_foreign_items()
    for number in range(order.get("configurations", 0)):
        # Many large versions at once: a later watch is answered with all of them.
        filler = {"Version": order["first_version"] + number, "Filler": "x" * LARGE_BYTES}
        site.store.put("op/config", json.dumps(make_configuration(0) | filler))
    for key, text in order.get("items", {}).items():
        site.store.put(key, text)
    for key in order.get("drop_items", []):
        site.store.drop(key)
    if "configuration" in order:
        site.store.put("op/config", json.dumps(order["configuration"]))
    if "configuration_text" in order:
        site.store.put("op/config", order["configuration_text"])
    for name, address in order.get("addresses", {}).items():
        # Publishes another address for the server, such as that of a proxy.
        site.addresses[name] = address
        _put_entry(site, name, "ready")
    for name, zone in order.get("zones", {}).items():
        site.zones[name] = zone
        _put_entry(site, name, "ready")
    for name, server in order.get("external", {}).items():
        # A server that runs as a process of its own.
        site.addresses[name] = server["address"]
        put_server(
            site,
            name,
            server["service"],
            server["slots"],
            software_version=server.get("software_version", "v1"),
        )
    for zone in order.get("evacuate", []):
        site.store.put(f"op/evacuate/{zone}", "{}")
    for zone in order.get("take_back", []):
        site.store.drop(f"op/evacuate/{zone}")
    for name, state in order.get("servers", {}).items():
        if state == "ready":
            site.left_servers.discard(name)
        else:
            site.left_servers.add(name)
        if state == "gone":
            site.store.drop(f"servers/{name}")
            continue
        _put_entry(site, name, state)
    for name, version in order.get("software_versions", {}).items():
        site.engines[name].software_version = version
        _put_entry(site, name, "ready")
    for name in order.get("end", []):
        end_engine(site, site.engines[name])
    for _ in range(order.get("add_engines", 0)):
        add_engine(site)
    if order.get("keep_copy"):
        site.store.save_copy()
    if order.get("return_from_copy"):
        restore_store_copy(site)
    if order.get("forget_history"):
        site.store.compact_history()


def _put_entry(site: Site, name: str, state: str) -> None:
    if name in site.engines:
        put_engine(site, site.engines[name], state)
    else:
        put_server(site, name, PLAIN_SERVICE, site.services[name].slots, state)
