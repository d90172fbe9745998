"""Pauses of running streams at one engine, as ingress routers report them to its owner.

An engine that reads prompts without a break delays every stream that it runs. Ingress routers see
the pauses, and the engine's owner decides what the engine reads. Reports of pauses may be lost,
late or doubled: each one stands for itself.
"""

from collections import deque
from dataclasses import dataclass, field

from myrtlehook_core.process.admission_messages import StreamPauseReport

MAX_PAUSES = 32

RECENT_S = 10.0
"""Pauses reported within this time are shown to operators."""


@dataclass(frozen=True, slots=True)
class ObservedPause:
    """One pause between two events of a stream at an engine."""

    ended_at_s: float
    """When the report of it arrived."""
    pause_s: float
    target_s: float
    request_id: str = ""


@dataclass(slots=True)
class EnginePauses:
    """The last reported pauses of streams at one engine, the newest last."""

    recent: deque[ObservedPause] = field(default_factory=lambda: deque(maxlen=MAX_PAUSES))


def record_pause_report(
    pauses: EnginePauses, report: StreamPauseReport, now_s: float
) -> ObservedPause | None:
    """Keep a reported pause; None if the report is a double of one that is kept."""
    pause = ObservedPause(
        now_s, report.pause_ms / 1000.0, report.target_ms / 1000.0, report.request_id
    )
    if any(
        known.request_id == pause.request_id and known.pause_s == pause.pause_s
        for known in pauses.recent
    ):
        return None
    pauses.recent.append(pause)
    return pause


def count_recent_pauses(pauses: EnginePauses, now_s: float) -> int:
    """Return how many pauses were reported lately, at most ``MAX_PAUSES``."""
    return sum(pause.ended_at_s > now_s - RECENT_S for pause in pauses.recent)
