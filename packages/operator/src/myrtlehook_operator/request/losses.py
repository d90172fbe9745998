"""What callers lost, from routers' logs alone: late, refused and broken off answers.

Each request leaves one line at its end. What is lost is told by kind and reason, and summed
by route, workspace, second and router, so that the largest sum shows where to look first.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum
from typing import Any

from myrtlehook_operator.request.stories import read_line

REFUSED_PREFIX = "refused: "
REFUSED = "request refused"
SUM_REFUSED = "requests refused"
LINES_DROPPED = "log lines dropped"
ENDS = frozenset({"request ended", REFUSED, SUM_REFUSED})


class LossKind(StrEnum):
    """How a request's caller fared worse than its route aims at."""

    LATE = "late"
    """The whole answer came, but began beyond the route's aim."""
    REFUSED = "refused"
    """Nothing ran; the caller was told when to come back."""
    BROKEN_OFF = "broken off"
    """It was sent, and no whole answer came."""
    LEFT = "left"
    """The caller closed its connection before the end."""


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """One request's last line."""

    at_s: float
    """Seconds since 1970, by the clock of the router's VM."""
    request_id: str
    vm: str
    route: str
    workspace: str
    tokens: int
    """Of its prompt; 0 for plain services."""
    kind: LossKind | None
    """None when nothing was lost."""
    reason: str
    requests: int = 1
    """More than one where the log tells of refusals in a sum."""
    share_tokens: int = 0
    """As shares count them; 0 for plain services, and where the body was not read."""
    asked_at_s: float = 0.0
    """When the request came, on the scale of its end."""
    begun_at_s: float | None = None
    """When its answer began; None for none."""


@dataclass(slots=True)
class Loss:
    """All requests that were lost in one way at one place."""

    place: str
    """A route, a workspace, a second or a router."""
    kind: LossKind
    reason: str
    requests: int = 0
    tokens: int = 0
    example: str = ""
    """A request's id, for ``myrtlehook explain``."""


@dataclass(slots=True)
class LossReport:
    """Everything that the logs tell of losses."""

    requests: int = 0
    lost: int = 0
    summed: int = 0
    """Of the lost ones, those that logs tell of in sums only, without their ids."""
    dropped_lines: dict[str, int] = field(default_factory=dict)
    """By router, log lines that it could not write: its log is incomplete."""
    begins_s: float = 0.0
    ends: list[RequestEnd] = field(default_factory=list)
    tables: dict[str, list[Loss]] = field(default_factory=dict)
    """Losses by dimension, the largest first."""


def report_losses(logs: Iterable[Iterable[str]]) -> LossReport:
    """Sum up the losses that logs tell of."""
    report = LossReport()
    for log in logs:
        for line in log:
            _take_line(report, line)
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


def read_end(line: str) -> RequestEnd | None:
    """Read a log line; None when it is not a request's last one.

    Whatever collects logs may put words of its own before each line.
    """
    if '"request' not in line:
        return None
    content = read_line(line)
    if content is None or content.get("event") not in ENDS:
        return None
    kind, reason = _judge(content)
    ids = content.get("request_ids") or [""]
    at_s = _read_time(str(content.get("timestamp", "")))
    asked_at_s = at_s - float(content.get("elapsed_ms") or 0.0) / 1000.0
    first_byte_ms = content.get("first_byte_ms")
    return RequestEnd(
        at_s=at_s,
        request_id=str(content.get("request_id") or ids[0]),
        vm=str(content.get("vm", "")),
        route=str(content.get("route") or ""),
        workspace=str(content.get("workspace") or ""),
        tokens=int(content.get("prompt_tokens") or 0),
        kind=kind,
        reason=reason,
        requests=int(content.get("requests") or 1),
        share_tokens=int(content.get("share_tokens") or 0),
        asked_at_s=asked_at_s,
        begun_at_s=None if first_byte_ms is None else asked_at_s + first_byte_ms / 1000.0,
    )


def _take_line(report: LossReport, line: str) -> None:
    end = read_end(line)
    if end is not None:
        report.ends.append(end)
        return
    content = read_line(line) if LINES_DROPPED in line else None
    if content is not None and content.get("event") == LINES_DROPPED:
        vm = str(content.get("vm", ""))
        lines = int(content.get("lines") or 0)
        report.dropped_lines[vm] = report.dropped_lines.get(vm, 0) + lines


def _judge(content: dict[str, Any]) -> tuple[LossKind | None, str]:
    if content["event"] in (REFUSED, SUM_REFUSED):
        return LossKind.REFUSED, str(content.get("reason", ""))
    detail = str(content.get("detail", ""))
    if content.get("outcome") == "not-run":
        return LossKind.REFUSED, detail.removeprefix(REFUSED_PREFIX)
    if content.get("outcome") == "unknown":
        left = detail == "the caller left"
        return (LossKind.LEFT if left else LossKind.BROKEN_OFF), detail
    first_byte_ms = content.get("first_byte_ms")
    aim_ms = content.get("aim_ms")
    if first_byte_ms is None or aim_ms is None or first_byte_ms <= aim_ms:
        return None, ""
    waited_ms = content.get("waited_ms") or 0.0
    # The longer part of the time shows whether the router or the engine was late.
    waited = waited_ms > first_byte_ms - waited_ms
    return LossKind.LATE, "waited for an engine" if waited else "the engine took long"


def _sum_by(ends: list[RequestEnd], place_of: Any) -> list[Loss]:
    sums: dict[tuple[str, str, str], Loss] = {}
    for end in ends:
        assert end.kind is not None
        key = (place_of(end), end.kind, end.reason)
        loss = sums.get(key)
        if loss is None:
            loss = sums[key] = Loss(key[0], end.kind, end.reason, example=end.request_id)
        loss.requests += end.requests
        loss.tokens += end.tokens
    return sorted(sums.values(), key=lambda loss: (-loss.requests, loss.place, loss.reason))


def _read_time(text: str) -> float:
    try:
        return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()
    except ValueError:
        return 0.0
