"""Collects the events of one request from the logs of all routers."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from myrtlehook_operator.request.loss_causes import END_EVENTS, LossCause, find_cause

HIDDEN_FIELDS = frozenset({"request_id", "event", "vm", "timestamp", "level", "part"})
"""Fields that have a column of their own, or are the same in every line."""


@dataclass(frozen=True, slots=True)
class RequestEvent:
    """One event of a request that a router logged."""

    timestamp: str
    """UTC, ISO 8601, by the clock of that router's VM."""
    vm: str
    event: str
    facts: tuple[tuple[str, str], ...]
    cause: LossCause | None = None
    """What the caller lost, if this is the request's last line."""


def collect_events(request_id: str, logs: Iterable[Iterable[str]]) -> list[RequestEvent]:
    """Return the logged events of a request, the earliest first.

    Lines that are not JSON are skipped, since a log may be cut off anywhere. A log collector may
    put text of its own before each line.
    """
    found = [
        _make_event(content)
        for log in logs
        for line in log
        if request_id in line and (content := parse_line(line)) is not None
        if _belongs_to_request(content, request_id)
    ]
    return sorted(found, key=lambda event: (event.timestamp, event.vm))


def _belongs_to_request(content: dict[str, Any], request_id: str) -> bool:
    """Return whether a line belongs to a request.

    Log lines of the core prefix the request's id with its workspace.
    """
    named = str(content.get("request_id", ""))
    if named == request_id or named.endswith(f"/{request_id}"):
        return True
    # A line that sums up refusals lists a few request ids.
    return request_id in (content.get("request_ids") or ())


def parse_line(line: str) -> dict[str, Any] | None:
    """Parse one log line; return None if it holds no JSON object."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        content = json.loads(line[start:])
    except ValueError:
        return None
    return content if isinstance(content, dict) else None


def _make_event(content: dict[str, Any]) -> RequestEvent:
    facts = tuple(
        (name, str(value))
        for name, value in content.items()
        if name not in HIDDEN_FIELDS and value is not None and value != ""
    )
    return RequestEvent(
        timestamp=str(content.get("timestamp", "")),
        vm=str(content.get("vm", "")),
        event=str(content.get("event", "")),
        facts=facts,
        cause=find_cause(content) if content.get("event") in END_EVENTS else None,
    )
