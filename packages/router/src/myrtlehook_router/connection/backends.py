"""Pooled HTTP towards backend servers, with failures told apart by what they prove."""

from dataclasses import dataclass
from enum import StrEnum

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

CONNECT_TIMEOUT_S = 1.0
CONNECTIONS_A_SERVER = 512
SERVERS_POOLED = 4096


class SendFailure(StrEnum):
    """How far a request got that has no answer."""

    NOT_SENT = "not_sent"
    """No connection was made, so no byte left."""
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """One HTTP request to a backend server; ``address`` is an IP number and a port."""

    method: str
    address: str
    target: str
    headers: dict[str, str]
    body: bytes
    read_timeout_s: float
    fresh_connection: bool = False
    """Never reuse a connection: the server may be closing it just now."""


_POOLS = urllib3.PoolManager(
    num_pools=SERVERS_POOLED, maxsize=CONNECTIONS_A_SERVER, retries=False, block=False
)


def send_request(request: BackendRequest) -> Result[urllib3.BaseHTTPResponse, SendFailure]:
    """Send a request once, and return its answer's head with the body still to be read."""
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=max(request.read_timeout_s, 0.001))
    headers = dict(request.headers)
    if request.fresh_connection:
        headers["Connection"] = "close"
    pools = _fresh_pool() if request.fresh_connection else _POOLS
    try:
        response = pools.urlopen(
            request.method,
            f"http://{request.address}{request.target}",
            body=request.body,
            headers=headers,
            timeout=timeout,
            retries=False,
            redirect=False,
            preload_content=False,
            decode_content=False,
        )
    except (NewConnectionError, ConnectTimeoutError):
        return Err(SendFailure.NOT_SENT)
    except ReadTimeoutError:
        return Err(SendFailure.TIMED_OUT)
    except (HTTPError, OSError):
        return Err(SendFailure.BROKEN)
    return Ok(response)


def read_whole(response: urllib3.BaseHTTPResponse, limit_bytes: int) -> Result[bytes, SendFailure]:
    """Read a body to its end; a body that breaks off or is too long is a failure."""
    try:
        content = response.read(limit_bytes + 1)
    except ReadTimeoutError:
        return Err(SendFailure.TIMED_OUT)
    except (HTTPError, OSError):
        return Err(SendFailure.BROKEN)
    if len(content) > limit_bytes:
        response.close()
        return Err(SendFailure.BROKEN)
    response.release_conn()
    return Ok(content)


def _fresh_pool() -> urllib3.PoolManager:
    return urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)
