"""Ports, plain requests and waiting, for everything that tests start."""

import socket
import time
from collections.abc import Callable
from typing import Any

import urllib3

START_WAIT_S = 60.0
POLL_S = 0.02

_HELD_PORTS: list[socket.socket] = []
_HTTP = urllib3.PoolManager(maxsize=64, retries=False)


def free_ports(count: int) -> list[int]:
    """Ask the OS for ports, and keep them from being given to anyone else.

    A socket stays bound to each, without listening, until this process ends: one
    that was closed again could be given to a connection or to the next asker, as
    happened with eight routers.
    """
    ports = []
    for _ in range(count):
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        _HELD_PORTS.append(held)
        ports.append(held.getsockname()[1])
    return ports


def wait_for(is_true: Callable[[], Any], what: str, wait_s: float = START_WAIT_S) -> Any:
    """Wait until something is observed; fail when it is not in time."""
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
        seen = is_true()
        if seen:
            return seen
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
    """Read JSON, which must be there."""
    answer = http("GET", address, path)
    assert answer is not None, f"nothing answers at {address}{path}"
    return answer.json()
