"""Tells from a request's last log line what its caller lost, and why."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

REFUSED_DETAIL_PREFIX = "refused: "
REFUSED_EVENT = "request refused"
REFUSED_SUM_EVENT = "requests refused"
END_EVENTS = frozenset({"request ended", REFUSED_EVENT, REFUSED_SUM_EVENT})


class LossKind(StrEnum):
    """The way in which a request was lost."""

    LATE = "late"
    """The answer was complete, but its first event came later than the route's target."""
    LATE_PAUSE = "late pause"
    """The answer was complete and began in time, but paused for longer than the route allows."""
    REFUSED = "refused"
    """The request was not run; the client was told when to retry."""
    BROKEN_OFF = "broken off"
    """The request was sent, but no complete answer came."""
    LEFT = "left"
    """The client closed its connection before the end."""


@dataclass(frozen=True, slots=True)
class LossCause:
    """What a caller lost, and why."""

    kind: LossKind
    reason: str
    """Few different ones, since losses are summed by it."""
    facts: str = ""
    """What was measured, beside what was allowed."""


def find_cause(content: dict[str, Any]) -> LossCause | None:
    """Return what a request's last line tells; None if nothing was lost."""
    if content.get("event") in (REFUSED_EVENT, REFUSED_SUM_EVENT):
        return LossCause(LossKind.REFUSED, str(content.get("reason", "")))
    detail = str(content.get("detail", ""))
    if content.get("outcome") == "not-run":
        return LossCause(LossKind.REFUSED, detail.removeprefix(REFUSED_DETAIL_PREFIX))
    if content.get("outcome") == "unknown":
        left = detail == "the caller left"
        return LossCause(LossKind.LEFT if left else LossKind.BROKEN_OFF, detail)
    return _find_late_begin(content) or _find_long_pause(content)


def _find_late_begin(content: dict[str, Any]) -> LossCause | None:
    # Only streams have events.
    begun_ms = content.get("first_event_ms") or content.get("first_byte_ms")
    aim_ms = content.get("aim_ms")
    if begun_ms is None or aim_ms is None or begun_ms <= aim_ms:
        return None
    waited_ms = content.get("waited_ms") or 0.0
    # The longer part of the time tells whether the router or the engine caused the delay.
    waited = waited_ms > begun_ms - waited_ms
    return LossCause(
        LossKind.LATE,
        "waited for an engine" if waited else "the engine took long",
        f"began after {begun_ms:g} ms, {waited_ms:g} ms of them waiting; {aim_ms:g} ms allowed",
    )


def _find_long_pause(content: dict[str, Any]) -> LossCause | None:
    pause_ms = content.get("longest_pause_ms") or 0.0
    target_ms = content.get("pause_target_ms") or 0.0
    if not 0.0 < target_ms < pause_ms:
        return None
    moved = (content.get("attempts") or 0) > 1
    return LossCause(
        LossKind.LATE_PAUSE,
        "paused, and more than one engine was tried" if moved else "the engine paused",
        f"longest pause between events {pause_ms:g} ms; {target_ms:g} ms allowed",
    )
