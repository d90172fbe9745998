"""A client of the routed interface, which sends each attempt on a connection of its own."""

import http.client
import itertools
import socket
from dataclasses import dataclass, field

from emulator.sites import HOST, KEYS
from standins.nodes import Node

TIMEOUT_S = 30.0
_NUMBERS = itertools.count(1)


@dataclass(slots=True)
class Attempt:
    """One request and its answer."""

    attempt_id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    broken: bool = False
    """Whether the connection failed or the answer broke off before its end."""


def new_id() -> str:
    """Return an id that no other attempt of this process has."""
    return f"a{next(_NUMBERS):015x}"


def make_headers(
    attempt_id: str, workspace: str | None, tokens: str = "", parts: str = ""
) -> dict[str, str]:
    """Return the headers of an attempt."""
    headers = {"Host": HOST, "Attempt-Id": attempt_id, "Deadline-Ms": "6000"}
    if workspace is not None:
        headers["Authorization"] = f"Bearer {KEYS.get(workspace, workspace)}"
    if tokens:
        headers["Token-Counts"] = tokens
        headers["Model-Name"] = "m"
    if parts:
        headers["Prompt-Prefix"] = parts
    return headers


def send(
    node: Node,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = TIMEOUT_S,
) -> Attempt:
    """Send one request and read its answer to the end."""
    attempt = Attempt(headers.get("Attempt-Id", ""))
    connection = http.client.HTTPConnection(node.ip, node.front_port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body or None, headers=headers)
        response = connection.getresponse()
        attempt.status = response.status
        attempt.headers = {name.title(): value for name, value in response.getheaders()}
        attempt.body = response.read()
    except (http.client.HTTPException, OSError) as error:
        attempt.broken = True
        attempt.body = getattr(error, "partial", b"") or b""
    finally:
        connection.close()
    return attempt


def send_raw(node: Node, content: bytes) -> bytes:
    """Send bytes as they are, and return all that comes back until the connection ends."""
    with socket.create_connection((node.ip, node.front_port), timeout=TIMEOUT_S) as raw:
        raw.sendall(content)
        received = b""
        try:
            while piece := raw.recv(65536):
                received += piece
        except ConnectionResetError:
            pass
        return received
