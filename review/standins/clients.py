"""A stand-in of a client: it sends one request on a connection of its own."""

import http.client
import itertools
import os

from standins.fleets import FRONTEND_PORT
from standins.records import Record

NO_ANSWER = 0
"""Stands for the status of a request without an answer."""

_numbers = itertools.count(1)
_prefix = f"{os.getpid():08x}"


def make_attempt_id() -> str:
    """Return the id of a new attempt."""
    return f"{_prefix}{next(_numbers):08x}"


def send_request(
    record: Record,
    ip: str,
    host: str,
    path: str,
    deadline_ms: int,
    method: str = "GET",
) -> int:
    """Send one request; return its status, or 0 without an answer."""
    attempt = make_attempt_id()
    connection = http.client.HTTPConnection(ip, FRONTEND_PORT, timeout=deadline_ms / 1000.0)
    record.add("sent", attempt=attempt, router=ip, method=method, path=path)
    try:
        headers = {"Host": host, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
        connection.request(method, path, headers=headers)
        response = connection.getresponse()
        body = response.read()
        status = response.status
        seal = response.headers.get("Response-Seal")
        record.add("answered", attempt=attempt, status=status, seal=seal, bytes=len(body))
        return status
    except (OSError, http.client.HTTPException) as error:
        record.add("no answer", attempt=attempt, error=repr(error))
        return NO_ANSWER
    finally:
        connection.close()
