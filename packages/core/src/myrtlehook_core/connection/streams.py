"""Reassembly of a resumable stream: delivers every event exactly once and in order."""

from dataclasses import dataclass
from enum import Enum


class EventVerdict(Enum):
    """What to do with an event that arrived on a stream."""

    DELIVER = "deliver"
    DUPLICATE = "duplicate"
    GAP = "gap"
    """An earlier event is missing: resume the stream from ``next_offset``."""
    FOREIGN = "foreign"
    """The event belongs to another request and must not be delivered to this client."""


@dataclass(slots=True)
class StreamPosition:
    """How far the answer to one request has been delivered."""

    request_id: str
    next_offset: int = 0
    finished: bool = False


def judge_event(position: StreamPosition, request_id: str, offset: int) -> EventVerdict:
    """Decide what to do with an event; if it is to be delivered, advance the position."""
    if request_id != position.request_id:
        return EventVerdict.FOREIGN
    if offset < position.next_offset:
        return EventVerdict.DUPLICATE
    if offset > position.next_offset:
        return EventVerdict.GAP
    position.next_offset += 1
    return EventVerdict.DELIVER
