"""Steps of routers on the emulated platform, as callers and servers observe them."""

import http.client
import re
from typing import Any

from behave import then, when

from emulator.sites import HOST
from standins.attempts import Attempt, make_headers, new_id, send, send_raw
from standins.nodes import Node

METRICS_PORT = 9464
FORGED_HEADERS = (
    ("Retention", "r-1"),
    ("RETENTION", ""),
    ("Pin-Duration-Ms", "4000"),
    ("pin-duration-ms", "-1"),
    ("Pin_Duration_Ms", "1"),
    ("Kv-Backup", "127.0.0.9:1"),
    ("kv-FROM", "127.0.0.9:1/a"),
    ("Kv-From", "nonsense, more"),
    ("Kv-Fetch", "127.0.0.9:1"),
)
"""Headers that only the router sets: in several spellings, repeated, and with invalid values."""

NORMALIZED_FORGED_HEADERS = {
    (name.lower().replace("_", "-"), value) for name, value in FORGED_HEADERS
}

EVENT_ID = re.compile(rb"id: (\d+)")


def node(context: Any, number: int) -> Node:
    """Return a router by its number."""
    found: Node = context.nodes.nodes[number - 1]
    return found


def send_attempt(
    context: Any,
    router: int,
    workspace: str | None,
    method: str,
    path: str,
    tokens: str = "",
    body: bytes = b"",
    **extra_headers: str,
) -> Attempt:
    parts = f"common:500,{new_id()}:200" if tokens else ""
    headers = make_headers(new_id(), workspace, tokens, parts)
    headers.update({name.replace("_", "-"): value for name, value in extra_headers.items()})
    context.attempt = send(node(context, router), method, path, headers, body)
    found: Attempt = context.attempt
    return found


def _server_headers(context: Any) -> tuple[str, dict[str, str]]:
    """Return the server that ran the attempt, and the headers that it saw."""
    for name, server in context.nodes.describe()["servers"].items():
        seen = server["seen_headers"].get(context.attempt.attempt_id)
        if seen is not None:
            return name, seen
    raise AssertionError(f"no server ran {context.attempt.attempt_id}")


@when('"{workspace}" sends "{method}" "{path}" with "{tokens}" tokens to router {router:d}')
def send_request(
    context: Any, workspace: str, method: str, path: str, tokens: str, router: int
) -> None:
    body = b"body" if method == "POST" else b""
    send_attempt(context, router, workspace, method, path, tokens, body)


@when('"{workspace}" sends "{method}" "{path}" with "" tokens to router {router:d}')
def send_without_tokens(context: Any, workspace: str, method: str, path: str, router: int) -> None:
    send_request(context, workspace, method, path, "", router)


@when('nobody sends "{method}" "{path}" to router {router:d}')
def send_without_key(context: Any, method: str, path: str, router: int) -> None:
    send_attempt(context, router, None, method, path)


@when('"{workspace}" sends "{method}" "{path}" with forged headers to router {router:d}')
def send_forged(context: Any, workspace: str, method: str, path: str, router: int) -> None:
    forged = {"Tenant_Name": "dispatch", "Expected_Instance": "i-other"}
    send_attempt(context, router, workspace, method, path, "", b"body", **forged)


@when('"{workspace}" sends "{method}" "{path}" with headers that only the router sets')
def send_system_headers(context: Any, workspace: str, method: str, path: str) -> None:
    attempt_id = new_id()
    tokens = "900,60" if path.startswith(("/diagnosis", "/summary")) else ""
    parts = f"common:500,{attempt_id}:200" if tokens else ""
    found = node(context, 1)
    connection = http.client.HTTPConnection(found.ip, found.front_port, timeout=30)
    connection.putrequest(method, path, skip_host=True)
    for name, value in make_headers(attempt_id, workspace, tokens, parts).items():
        connection.putheader(name, value)
    for name, value in FORGED_HEADERS:
        connection.putheader(name, value)
    connection.putheader("Content-Length", "0")
    connection.endheaders()
    response = connection.getresponse()
    response_headers = {name.title(): value for name, value in response.getheaders()}
    context.attempt = Attempt(attempt_id, response.status, response_headers, response.read())
    connection.close()


@then("no server got a header that only the router sets")
def check_system_headers(context: Any) -> None:
    # The router itself may name an engine from which to fetch the beginning of a prompt.
    addresses = set(context.nodes.addresses.values())
    for server, seen in context.nodes.describe()["servers"].items():
        for name, value in seen["system_headers"]:
            assert name == "kv-fetch" and value in addresses, (server, name, value)
            assert (name, value) not in NORMALIZED_FORGED_HEADERS, (server, name, value)


@when('"{workspace}" sends "{method}" "{path}" with a body in chunks to router {router:d}')
def send_chunks(context: Any, workspace: str, method: str, path: str, router: int) -> None:
    found = node(context, router)
    headers = make_headers(new_id(), workspace)
    connection = http.client.HTTPConnection(found.ip, found.front_port, timeout=30)
    pieces = iter([b"one ", b"two ", b"three"])
    connection.request(method, path, body=pieces, headers=headers, encode_chunked=True)
    response = connection.getresponse()
    response_headers = {name.title(): value for name, value in response.getheaders()}
    context.attempt = Attempt(
        headers["Attempt-Id"], response.status, response_headers, response.read()
    )
    connection.close()


@when('"{workspace}" sends "{method}" "{path}" with a body of {size:d} bytes to router {router:d}')
def send_large_body(
    context: Any, workspace: str, method: str, path: str, size: int, router: int
) -> None:
    send_attempt(context, router, workspace, method, path, "", b"x" * size)


@when('"{workspace}" sends {count:d} requests to "{path}" through both routers')
def send_many(context: Any, workspace: str, count: int, path: str) -> None:
    context.attempts = [
        send_attempt(context, number % 2 + 1, workspace, "POST", path, "300,6", b"body")
        for number in range(count)
    ]


@then("the attempt has status {status:d} and a seal")
def check_sealed(context: Any, status: int) -> None:
    attempt = context.attempt
    assert attempt.status == status and not attempt.broken, attempt
    assert attempt.headers.get("Response-Seal"), attempt
    assert attempt.headers.get("Attempt-Id") == attempt.attempt_id, attempt


@then("the attempt has status {status:d} and no seal")
def check_unsealed(context: Any, status: int) -> None:
    assert context.attempt.status == status, context.attempt
    assert "Response-Seal" not in context.attempt.headers, context.attempt


@then("the attempt has status {status:d} and a time to come back")
def check_retry_after(context: Any, status: int) -> None:
    check_unsealed(context, status)
    assert float(context.attempt.headers["Retry-After"]) > 0, context.attempt


@then("the attempt was run {count:d} time")
@then("the attempt was run {count:d} times")
def check_runs(context: Any, count: int) -> None:
    seen = context.nodes.count_runs(context.attempt.attempt_id)
    assert seen == count, f"run {seen} times"


@then('the server saw "{name}" as "{value}"')
def check_seen(context: Any, name: str, value: str) -> None:
    _, seen = _server_headers(context)
    assert seen.get(name) == value, seen


@then("the server saw its own instance expected")
def check_instance(context: Any) -> None:
    server, seen = _server_headers(context)
    assert seen.get("Expected-Instance") == server, seen


@then('the server did not see "{name}"')
def check_not_seen(context: Any, name: str) -> None:
    _, seen = _server_headers(context)
    assert name not in seen, seen


@then('the body that came back ends with "{text}"')
def check_body(context: Any, text: str) -> None:
    assert context.attempt.body.endswith(text.encode()), context.attempt


@when('a caller sends the head "{head}" to router {router:d}')
def send_head(context: Any, head: str, router: int) -> None:
    content = head.replace(";", "\r\n") + "\r\n\r\n"
    context.raw = send_raw(node(context, router), content.encode())


@when("a caller sends a head with bare line feeds to router {router:d}")
def send_bare_line_feeds(context: Any, router: int) -> None:
    content = f"GET /open/a HTTP/1.1\nHost: {HOST}\nAttempt-Id: a\n\n"
    context.raw = send_raw(node(context, router), content.encode())


@when("a caller sends a head of {size:d} bytes to router {router:d}")
def send_long_head(context: Any, size: int, router: int) -> None:
    content = f"GET /open/a HTTP/1.1\r\nHost: {HOST}\r\nX: {'x' * size}\r\n\r\n"
    context.raw = send_raw(node(context, router), content.encode())


@when("a caller sends half a head and waits at router {router:d}")
def send_half_head(context: Any, router: int) -> None:
    content = f"GET /open/a HTTP/1.1\r\nHost: {HOST}\r\n"
    context.raw = send_raw(node(context, router), content.encode())


@then("the raw answer has status {status:d}")
def check_raw(context: Any, status: int) -> None:
    assert context.raw.startswith(f"HTTP/1.1 {status} ".encode()), context.raw[:300]


@when('"{workspace}" sends {count:d} requests to "{path}" through router {router:d}')
def send_through_one(context: Any, workspace: str, count: int, path: str, router: int) -> None:
    context.attempts = [
        send_attempt(context, router, workspace, "POST", path, "", b"body") for _ in range(count)
    ]


@then("every one of them has status {status:d} and a seal")
def check_all_sealed(context: Any, status: int) -> None:
    for attempt in context.attempts:
        assert attempt.status == status and "Response-Seal" in attempt.headers, attempt
