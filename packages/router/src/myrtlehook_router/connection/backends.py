"""HTTP requests through urllib3's pools, with failures classified by how far a request got."""

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
MAX_CONNECTIONS_PER_SERVER = 512
MAX_POOLED_SERVERS = 4096


class SendFailure(StrEnum):
    """Why a request has no response, by how far it got."""

    NOT_SENT = "not_sent"
    """No connection was established, so no byte was sent."""
    REFUSED = "refused"
    """The same, because nothing listens at the address."""
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """One HTTP request to a backend server; ``address`` is an IP address and a port."""

    method: str
    address: str
    target: str
    headers: dict[str, str]
    body: bytes
    read_timeout_s: float
    fresh_connection: bool = False
    """Never reuse a connection: the server may be closing it at this moment."""


_POOL_MANAGER = urllib3.PoolManager(
    num_pools=MAX_POOLED_SERVERS, maxsize=MAX_CONNECTIONS_PER_SERVER, retries=False, block=False
)


def send_request(request: BackendRequest) -> Result[urllib3.BaseHTTPResponse, SendFailure]:
    """Send a request once; returns the response with its body still to be read."""
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=max(request.read_timeout_s, 0.001))
    headers = dict(request.headers)
    if request.fresh_connection:
        headers["Connection"] = "close"
    pool_manager = _make_single_use_pool() if request.fresh_connection else _POOL_MANAGER
    try:
        response = pool_manager.urlopen(
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


def read_response_body(
    response: urllib3.BaseHTTPResponse, limit_bytes: int
) -> Result[bytes, SendFailure]:
    """Read a body to its end; a body that is cut off or above the limit is a failure."""
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


def _make_single_use_pool() -> urllib3.PoolManager:
    return urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)
