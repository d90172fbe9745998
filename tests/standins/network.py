"""Ports, HTTP requests and polling for the processes that tests start."""

import socket
import time
from collections.abc import Callable
from typing import Any

import urllib3

START_WAIT_S = 60.0
POLL_S = 0.02

_RESERVED_PORTS: list[socket.socket] = []
_HTTP = urllib3.PoolManager(maxsize=64, retries=False)


def free_ports(count: int) -> list[int]:
    """Reserve free ports until this process ends.

    A socket stays bound to each port without listening: the OS may give a port that is
    closed again to another connection or to the next caller, as happened in tests with
    eight routers.
    """
    ports = []
    for _ in range(count):
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        _RESERVED_PORTS.append(reserved)
        ports.append(reserved.getsockname()[1])
    return ports


def wait_for(is_true: Callable[[], Any], what: str, wait_s: float = START_WAIT_S) -> Any:
    """Poll until ``is_true`` returns something true, and return that; fail after ``wait_s``."""
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
        found = is_true()
        if found:
            return found
        time.sleep(POLL_S)
    raise AssertionError(f"waited {wait_s} s in vain for {what}")


def http(
    method: str, address: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> urllib3.BaseHTTPResponse | None:
    """Send a request to a stand-in or an operators' endpoint; None when nothing answers."""
    try:
        return _HTTP.request(
            method, f"http://{address}{path}", body=body, headers=headers, timeout=30.0
        )
    except urllib3.exceptions.HTTPError:
        return None


def get_json(address: str, path: str) -> Any:
    """Return a JSON document; fail when nothing answers."""
    answer = http("GET", address, path)
    assert answer is not None, f"nothing answers at {address}{path}"
    return answer.json()
