"""Sums up lost requests from the routers' logs: late, refused and broken off answers.

Routers log one line at the end of each request; a line may stand for many refused requests.
Losses are summed by kind and reason for each route, workspace, second and router, so that the
largest sum shows where to look first.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from myrtlehook_operator.request.loss_causes import END_EVENTS, LossKind, find_cause
from myrtlehook_operator.request.request_events import parse_line

LINES_DROPPED_EVENT = "log lines dropped"


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """The log line with which a request ended."""

    at_s: float
    """Seconds since 1970, by the clock of the router's VM."""
    request_id: str
    vm: str
    route: str
    workspace: str
    tokens: int
    """Prompt tokens; 0 for plain services."""
    kind: LossKind | None
    """None if nothing was lost."""
    reason: str
    requests: int = 1
    """More than 1 if the line sums up several refusals."""
    share_tokens: int = 0
    """Tokens as charged to shares; 0 for plain services and if the body was not read."""
    arrived_at_s: float = 0.0
    """When the request arrived, by the same clock as ``at_s``."""
    begun_at_s: float | None = None
    """When its answer began; None if there was none."""


@dataclass(slots=True)
class Loss:
    """All requests that were lost at one place for the same reason."""

    place: str
    """A route, a workspace, a second or a router."""
    kind: LossKind
    reason: str
    requests: int = 0
    tokens: int = 0
    example: str = ""
    """The id of one of the requests, for ``myrtlehook explain``."""


@dataclass(slots=True)
class LossReport:
    """All losses found in the logs."""

    requests: int = 0
    lost: int = 0
    summed: int = 0
    """The number of lost requests that are logged only in sums, without their ids."""
    dropped_lines: dict[str, int] = field(default_factory=dict)
    """The number of log lines that a router could not write, by router: its log is incomplete."""
    begins_s: float = 0.0
    ends: list[RequestEnd] = field(default_factory=list)
    tables: dict[str, list[Loss]] = field(default_factory=dict)
    """Losses by dimension, the largest first."""


def report_losses(logs: Iterable[Iterable[str]]) -> LossReport:
    """Sum up the losses in logs."""
    report = LossReport()
    for log in logs:
        for line in log:
            _add_line(report, line)
    report.requests = sum(end.requests for end in report.ends)
    report.summed = sum(end.requests for end in report.ends if end.requests > 1)
    report.begins_s = min((end.at_s for end in report.ends), default=0.0)
    lost = [end for end in report.ends if end.kind is not None]
    report.lost = sum(end.requests for end in lost)
    begins_s = report.begins_s
    report.tables = {
        "reason": _sum_by(lost, lambda end: "all"),
        "route": _sum_by(lost, lambda end: end.route or "unknown"),
        "workspace": _sum_by(lost, lambda end: end.workspace or "unknown"),
        "second": _sum_by(lost, lambda end: str(int(end.at_s - begins_s))),
        "router": _sum_by(lost, lambda end: end.vm),
    }
    return report


def parse_end(line: str) -> RequestEnd | None:
    """Parse a log line; return None if it does not end a request.

    A log collector may put text of its own before each line.
    """
    if '"request' not in line:
        return None
    content = parse_line(line)
    if content is None or content.get("event") not in END_EVENTS:
        return None
    cause = find_cause(content)
    ids = content.get("request_ids") or [""]
    at_s = _parse_time(str(content.get("timestamp", "")))
    arrived_at_s = at_s - float(content.get("elapsed_ms") or 0.0) / 1000.0
    first_byte_ms = content.get("first_byte_ms")
    return RequestEnd(
        at_s=at_s,
        request_id=str(content.get("request_id") or ids[0]),
        vm=str(content.get("vm", "")),
        route=str(content.get("route") or ""),
        workspace=str(content.get("workspace") or ""),
        tokens=int(content.get("prompt_tokens") or 0),
        kind=None if cause is None else cause.kind,
        reason="" if cause is None else cause.reason,
        requests=int(content.get("requests") or 1),
        share_tokens=int(content.get("share_tokens") or 0),
        arrived_at_s=arrived_at_s,
        begun_at_s=None if first_byte_ms is None else arrived_at_s + first_byte_ms / 1000.0,
    )


def _add_line(report: LossReport, line: str) -> None:
    end = parse_end(line)
    if end is not None:
        report.ends.append(end)
        return
    content = parse_line(line) if LINES_DROPPED_EVENT in line else None
    if content is not None and content.get("event") == LINES_DROPPED_EVENT:
        vm = str(content.get("vm", ""))
        lines = int(content.get("lines") or 0)
        report.dropped_lines[vm] = report.dropped_lines.get(vm, 0) + lines


def _sum_by(ends: list[RequestEnd], get_place: Any) -> list[Loss]:
    sums: dict[tuple[str, str, str], Loss] = {}
    for end in ends:
        assert end.kind is not None
        key = (get_place(end), end.kind, end.reason)
        loss = sums.get(key)
        if loss is None:
            loss = sums[key] = Loss(key[0], end.kind, end.reason, example=end.request_id)
        loss.requests += end.requests
        loss.tokens += end.tokens
    return sorted(sums.values(), key=lambda loss: (-loss.requests, loss.place, loss.reason))


def _parse_time(text: str) -> float:
    try:
        return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()
    except ValueError:
        return 0.0
