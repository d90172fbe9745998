"""Streams as engines write them and clients read them."""

import http.client

from standins.clients import make_attempt_id
from standins.fleets import FRONTEND_PORT
from standins.records import Record

EVENTS = 40
EVENT_INTERVAL_S = 0.025


def read_stream(record: Record, ip: str, host: str, path: str, deadline_ms: int) -> str:
    """Request one stream; return how it ended: whole, false, broken or refused.

    A false one was closed as complete before its last event.
    """
    attempt = make_attempt_id()
    connection = http.client.HTTPConnection(ip, FRONTEND_PORT, timeout=deadline_ms / 1000.0)
    headers = {
        "Host": host,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Model-Name": "m",
        "Token-Counts": f"300,{EVENTS}",
        "Prompt-Prefix": f"5c1e07a2:200,{attempt[-8:]}:100",
    }
    record.add("sent", attempt=attempt, router=ip, path=path)
    ids: list[int] = []
    status = 0
    try:
        connection.request("POST", path, headers=headers)
        response = connection.getresponse()
        status = response.status
        for line in response.read().decode().splitlines():
            if status == 200 and line.startswith("id:"):
                ids.append(int(line[3:]))
        ending = "refused" if status != 200 else "whole" if ids == WHOLE_IDS else "false"
    except http.client.IncompleteRead:
        ending = "broken"
    except (OSError, http.client.HTTPException):
        ending = "broken" if status == 200 else "refused"
    finally:
        connection.close()
    last = ids[-1] if ids else None
    record.add("ended", attempt=attempt, status=status, ending=ending, events=len(ids), last=last)
    return ending


WHOLE_IDS = list(range(1, EVENTS + 1))
