"""Steps of servers whose answers are odd in one part."""

import itertools
import json
import subprocess
import sys
from typing import Any
from urllib.parse import quote

from behave import given, then, when
from platform_steps import node
from result import Err

from emulator.sites import make_configuration, make_route
from myrtlehook_operator.process.commands import EXIT_UNREACHABLE
from myrtlehook_operator.version.published import Unreachable, read_published
from myrtlehook_router.connection.backends import BackendRequest, read_response_body, send_request
from myrtlehook_router.connection.connection_pools import ConnectionPool
from myrtlehook_router.connection.server_connections import Exchange, OutgoingRequest
from myrtlehook_router.process import clocks
from standins.attempts import Attempt, make_headers, new_id, send
from standins.network import wait_for
from standins.nodes import ROOT
from standins.odd_servers import ALL_ODD_PARTS, BODY, EACH_ITS_OWN, ODD_PARTS, SOUND_PARTS
from standins.processes import start_process

MAX_PARTS = 32
CONFIGURATION_NUMBERS = [100]
_NUMBERS = itertools.count(1)
READ_S = 5.0
LIMIT_BYTES = 1000
KINDS = {"plain": "non_idempotent", "stream": "streaming"}


@given("servers that answer oddly")
def start_odd_server(context: Any) -> None:
    _start_servers(context, str(MAX_PARTS))


@given("servers of which each answers with an odd part of its own")
def start_odd_servers(context: Any) -> None:
    _start_servers(context, EACH_ITS_OWN)


def _start_servers(context: Any, argument: str) -> None:
    context.odd_record = context.nodes.folder / "odd.txt"
    process = start_process(
        [sys.executable, "-m", "standins.odd_servers", argument],
        stdout=subprocess.PIPE,
        stderr=context.odd_record.open("wb"),
        cwd=ROOT,
    )
    context.nodes.processes.append(process)
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    assert process.stdout is not None
    context.odd_addresses = process.stdout.readline().decode().split()


def _configure_servers(context: Any, kind: str, parts: list[str]) -> dict[str, str]:
    """Configure a service, with a server and a route, for each part; return the routes' names.

    A server that has answered oddly is left alone for some time, so each answers once.
    """
    names = {part: f"odd{next(_NUMBERS)}" for part in parts}
    configuration = make_configuration(CONFIGURATION_NUMBERS[0])
    CONFIGURATION_NUMBERS[0] += 1
    for name in names.values():
        configuration["Routes"].append(make_route(name, KINDS[kind], name, MaxAttempts=1))
        configuration["Services"].append(
            {"Name": name, "HealthCheckPath": "/health", "MaxConnections": 100}
        )
    servers = {
        f"i-{name}": {"address": address, "service": name, "slots": 6}
        for name, address in zip(names.values(), context.odd_addresses, strict=False)
    }
    context.nodes.order(configuration=configuration, external=servers)
    found = node(context, 1)
    number = f'"number": {configuration["Version"]}'
    for wanted in (*(f'"i-{name}"' for name in names.values()), number):
        wait_for(lambda wanted=wanted: wanted in found.log_path.read_text(), wanted)
    return names


@when("a {kind} request is sent for each of its {parts}")
def send_requests(context: Any, kind: str, parts: str) -> None:
    names = SOUND_PARTS if parts == "sound parts" else ODD_PARTS[parts]
    routes = _configure_servers(context, kind, names)
    context.odd_attempts = {part: _send(context, route, part) for part, route in routes.items()}


def _send(context: Any, route: str, part: str) -> Attempt:
    headers = make_headers(new_id(), "planners")
    return send(node(context, 1), "POST", f"/{route}/{quote(part)}", headers)


@then("each of them is answered 502, and the server has been asked for each")
def check_refused(context: Any) -> None:
    asked = set(context.odd_record.read_text().split())
    wrong = {
        part: (one.status, one.broken, one.body[:60])
        for part, one in context.odd_attempts.items()
        if one.status != 502 or one.broken
    }
    assert not wrong, json.dumps({part: str(seen) for part, seen in wrong.items()}, indent=1)
    missed = [part for part, one in context.odd_attempts.items() if one.attempt_id not in asked]
    assert not missed, missed


@then("each of them is answered 200 with the server's body")
def check_passed_on(context: Any) -> None:
    for part, one in context.odd_attempts.items():
        assert (one.status, one.broken, one.body) == (200, False, BODY), (part, one)


@then("none of them looks whole")
def check_not_whole(context: Any) -> None:
    whole = [
        part for part, one in context.odd_attempts.items() if one.status == 200 and not one.broken
    ]
    assert not whole, whole


@when("each of its odd parts is read over a pool")
def read_over_pool(context: Any) -> None:
    context.read_parts = []
    for part in ALL_ODD_PARTS:
        headers = {"Attempt-Id": new_id()}
        target = "/odd/" + quote(part)
        sent = send_request(
            BackendRequest("GET", context.odd_addresses[0], target, headers, b"", READ_S)
        )
        if sent.is_err():
            continue
        read = read_response_body(sent.unwrap(), LIMIT_BYTES)
        if read.is_ok():
            context.read_parts.append((part, sent.unwrap().status, read.unwrap()))


@when("each of its odd parts is read as an answer of the store")
def read_as_store(context: Any) -> None:
    context.read_parts = []
    for part in ALL_ODD_PARTS:
        headers = (("Host", context.odd_addresses[0]), ("Attempt-Id", new_id()))
        target = "/odd/" + quote(part)
        request = OutgoingRequest("GET", context.odd_addresses[0], target, headers, b"")
        exchange = Exchange(ConnectionPool(), request)
        deadline_s = clocks.now_s() + READ_S
        sent = exchange.send(deadline_s, fresh_connection=False)
        if sent.is_err():
            continue
        content = b""
        while (read := exchange.read_some(LIMIT_BYTES, deadline_s)).is_ok() and read.unwrap():
            content += read.unwrap()
        if read.is_ok():
            context.read_parts.append((part, sent.unwrap().status, content))


@then("none of them is read as an answer")
def check_pool(context: Any) -> None:
    assert not context.read_parts, context.read_parts


@when("an operator plans from each of them")
def plan_from_each(context: Any) -> None:
    context.plans = {
        part: read_published(address)
        for part, address in zip(ALL_ODD_PARTS, context.odd_addresses, strict=True)
    }


@then("each of them is reported as a platform without an answer")
def check_plans(context: Any) -> None:
    taken = {
        part: str(read)
        for part, read in context.plans.items()
        if not (isinstance(read, Err) and isinstance(read.err_value, Unreachable))
    }
    assert not taken, json.dumps(taken, indent=1)


@when("an operator asks all of them for their status")
def ask_statuses(context: Any) -> None:
    command = [sys.executable, "-m", "myrtlehook_operator", "status", "--json"]
    context.command = subprocess.run(
        [*command, *context.odd_addresses], capture_output=True, check=False, cwd=ROOT
    )


@then("all of them are reported as silent")
def check_statuses(context: Any) -> None:
    assert context.command.returncode == EXIT_UNREACHABLE, context.command
    reported = json.loads(context.command.stdout)
    assert reported == {"routers": [], "silent": context.odd_addresses}, reported
