"""HTTP requests through urllib3's pools, with failures classified by how far a request got."""

from dataclasses import dataclass

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.connection.server_sockets import ServerConnection

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS_PER_SERVER = 512
MAX_POOLED_SERVERS = 4096


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """One HTTP request to a backend server; ``address`` is an IP address and a port."""

    method: str
    address: str
    target: str
    headers: dict[str, str]
    body: bytes | bytearray
    read_timeout_s: float
    fresh_connection: bool = False
    """Never reuse a connection: the server may be closing it at this moment."""


class _ServerConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = ServerConnection


def _make_pool_manager(num_pools: int, maxsize: int) -> urllib3.PoolManager:
    manager = urllib3.PoolManager(num_pools=num_pools, maxsize=maxsize, retries=False, block=False)
    manager.pool_classes_by_scheme = {"http": _ServerConnectionPool}
    return manager


_POOL_MANAGER = _make_pool_manager(MAX_POOLED_SERVERS, MAX_CONNECTIONS_PER_SERVER)


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
    return _make_pool_manager(1, 1)
