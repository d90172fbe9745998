"""Reads values of the platform and of routers, by the grammar with which routers read answers."""

from dataclasses import dataclass
from http.client import HTTPException

import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from myrtlehook_router.connection.strict_responses import StrictResponse

STATUS_OK = 200


class _StrictConnection(HTTPConnection):
    response_class = StrictResponse


class _StrictPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _StrictConnection


_READ_ERRORS = (urllib3.exceptions.HTTPError, HTTPException, OSError, ValueError)
"""What urllib3 and http.client raise for broken connections and answers."""


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """An answer that has arrived whole."""

    status: int
    content: bytes


def read_answer(address: str, path: str, timeout_s: float) -> Result[ReadAnswer, str]:
    """Send a GET request; the error says why there is no answer.

    :param address: IP number and port.
    :param timeout_s: the limit of each wait for the server.
    """
    manager = urllib3.PoolManager(timeout=timeout_s, retries=False)
    manager.pool_classes_by_scheme = {"http": _StrictPool}
    try:
        response = manager.request("GET", f"http://{address}{path}")
    except _READ_ERRORS as error:
        return Err(str(error))
    finally:
        manager.clear()
    return Ok(ReadAnswer(response.status, response.data))
