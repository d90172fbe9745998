"""The pauses between the events of one stream, measured where its router receives them."""

from dataclasses import dataclass

REPORTED_PAUSE_FRACTION = 0.7
"""A pause is reported to the engine's owner from this fraction of the route's target on. Shorter
ones show nothing that the owner has to change."""


@dataclass(slots=True)
class StreamPauses:
    """What one request's stream has shown so far."""

    target_s: float = 0.0
    """The longest pause with which the answer is still in time; 0 if the route states none."""
    first_event_at_s: float = 0.0
    """0 before the first event."""
    last_event_at_s: float = 0.0
    longest_s: float = 0.0
    """The longest pause that the client has seen, including those between two attempts."""
    longest_in_attempt_s: float = 0.0
    """The longest one within the present attempt, which its engine alone has caused."""
    is_first_in_attempt: bool = True
    """Whether the next event is the first one of the present attempt."""


def begin_stream_attempt(pauses: StreamPauses) -> None:
    """Count the pauses of another attempt for its own engine."""
    pauses.longest_in_attempt_s = 0.0
    pauses.is_first_in_attempt = True


def record_stream_event(pauses: StreamPauses, now_s: float) -> float:
    """Record that events have arrived; returns the pause to report, or 0 if it is too short."""
    pause_s = now_s - pauses.last_event_at_s if pauses.last_event_at_s else 0.0
    pauses.first_event_at_s = pauses.first_event_at_s or now_s
    pauses.last_event_at_s = now_s
    pauses.longest_s = max(pauses.longest_s, pause_s)
    if pauses.is_first_in_attempt:
        pauses.is_first_in_attempt = False
        return 0.0
    pauses.longest_in_attempt_s = max(pauses.longest_in_attempt_s, pause_s)
    is_long = pauses.target_s > 0.0 and pause_s >= REPORTED_PAUSE_FRACTION * pauses.target_s
    return pause_s if is_long else 0.0
