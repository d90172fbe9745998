"""A request's story, put together from the log lines of all routers."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

HIDDEN_FIELDS = frozenset({"request_id", "event", "vm", "timestamp", "level", "part"})
"""Told in columns of their own, or the same in every line."""


@dataclass(frozen=True, slots=True)
class StoryLine:
    """One thing that a router logged of a request."""

    timestamp: str
    """UTC, ISO 8601, by the clock of that router's VM."""
    vm: str
    event: str
    facts: tuple[tuple[str, str], ...]


def tell_story(request_id: str, logs: Iterable[Iterable[str]]) -> list[StoryLine]:
    """Return what the logs tell of a request, the earliest first.

    Lines that are no JSON are passed over; a log may be cut off anywhere, and whatever
    collects logs may put words of its own before each line.
    """
    found = [
        _make_line(content)
        for log in logs
        for line in log
        if request_id in line and (content := read_line(line)) is not None
        if _is_named(content, request_id)
    ]
    return sorted(found, key=lambda line: (line.timestamp, line.vm))


def _is_named(content: dict[str, Any], request_id: str) -> bool:
    """Tell whether a line is of a request; the core's lines name its workspace as well."""
    named = str(content.get("request_id", ""))
    if named == request_id or named.endswith(f"/{request_id}"):
        return True
    # A sum of refusals names a few of its requests.
    return request_id in (content.get("request_ids") or ())


def read_line(line: str) -> dict[str, Any] | None:
    """Read one log line; None when it is no JSON object."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        content = json.loads(line[start:])
    except ValueError:
        return None
    return content if isinstance(content, dict) else None


def _make_line(content: dict[str, Any]) -> StoryLine:
    facts = tuple(
        (name, str(value))
        for name, value in content.items()
        if name not in HIDDEN_FIELDS and value is not None and value != ""
    )
    return StoryLine(
        timestamp=str(content.get("timestamp", "")),
        vm=str(content.get("vm", "")),
        event=str(content.get("event", "")),
        facts=facts,
    )
