"""Splits a stream of server-sent events into whole events and reads their ids."""

from dataclasses import dataclass, field

from myrtlehook_router.connection.answer_ends import ContentEnd

EVENT_END = b"\n\n"
EVENT_END_BYTES = 4
"""Length of the longest end of an event."""

ID_FIELD = b"id:"


@dataclass(slots=True)
class EventSplitter:
    """State of splitting one stream: the bytes after its last whole event."""

    incomplete_event: bytes = b""
    last_event_id: str = ""


@dataclass(slots=True)
class SplitEvents:
    """Whole events, with the id of each; an event without one has an empty id."""

    events: list[tuple[str, bytes]] = field(default_factory=list)


def split_events(splitter: EventSplitter, piece: bytes) -> SplitEvents:
    """Add the next bytes of a stream and return the events that they complete."""
    found = SplitEvents()
    rest = splitter.incomplete_event + piece
    while True:
        end = _find_end(rest)
        if end < 0:
            break
        event = rest[:end]
        rest = rest[end:]
        found.events.append((_read_id(event), event))
    splitter.incomplete_event = rest
    return found


def judge_event_end(tail: bytes) -> ContentEnd:
    """Return whether a stream that ends here is cut inside an event.

    :param tail: its last bytes, at least the ``EVENT_END_BYTES`` last ones if it has so many.
    """
    ends_inside_event = bool(tail.strip()) and not tail.endswith((EVENT_END, b"\n\r\n"))
    return ContentEnd.CUT if ends_inside_event else ContentEnd.UNKNOWN


def _find_end(content: bytes) -> int:
    """Return the index after the blank line that ends the first event, or -1."""
    ends = [
        content.find(mark) + len(mark)
        for mark in (EVENT_END, b"\r\n\r\n")
        if content.find(mark) >= 0
    ]
    return min(ends, default=-1)


def _read_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("ascii", "replace")
    return ""
