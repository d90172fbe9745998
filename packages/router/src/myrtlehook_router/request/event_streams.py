"""Splits a stream of server-sent events into whole events and reads their ids."""

import re
from dataclasses import dataclass, field

from myrtlehook_router.connection.answer_ends import ContentEnd

EVENT_END = b"\n\n"
EVENT_ENDS = (EVENT_END, b"\r\n\r\n")
EVENT_END_BYTES = 4
"""Length of the longest end of an event."""

ID_FIELD = b"id:"

MAX_EVENT_BYTES = 1024 * 1024
"""Limit of the bytes without the end of an event; more are no event stream."""

MAX_ID_CHARACTERS = 200
"""Longest id of an event; it is sent in a header where the stream is resumed."""

_NUMERIC_ID = re.compile("[0-9]{1,18}")


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


def is_malformed(splitter: EventSplitter, found: SplitEvents) -> bool:
    """Return whether a stream's bytes are no events: one has no end, or an id without end."""
    if len(splitter.incomplete_event) > MAX_EVENT_BYTES:
        return True
    return any(len(event_id) > MAX_ID_CHARACTERS for event_id, _ in found.events)


def is_later_event(event_id: str, last_event_id: str) -> bool:
    """Return whether an event comes after another one, as far as their ids are numbers.

    An event without a numeric id is always later.
    """
    if not _NUMERIC_ID.fullmatch(event_id) or not _NUMERIC_ID.fullmatch(last_event_id):
        return True
    return int(event_id) > int(last_event_id)


def count_event_bytes(tail: bytes, piece: bytes, before_bytes: int) -> int:
    """Return how many bytes of an incomplete event a stream ends with.

    :param tail: the last ``EVENT_END_BYTES`` bytes before its next bytes, ``piece``; the end of an
        event may lie across both.
    :param before_bytes: the same count before ``piece``.
    """
    joined = tail + piece
    end = max(joined.rfind(mark) + len(mark) if mark in joined else -1 for mark in EVENT_ENDS)
    return before_bytes + len(piece) if end < 0 else len(joined) - end


def judge_event_end(tail: bytes) -> ContentEnd:
    """Return whether a stream that ends here is cut inside an event.

    :param tail: its last bytes, at least the ``EVENT_END_BYTES`` last ones if it has so many.
    """
    ends_inside_event = bool(tail.strip()) and not tail.endswith((EVENT_END, b"\n\r\n"))
    return ContentEnd.CUT if ends_inside_event else ContentEnd.UNKNOWN


def _find_end(content: bytes) -> int:
    """Return the index after the blank line that ends the first event, or -1."""
    ends = [content.find(mark) + len(mark) for mark in EVENT_ENDS if content.find(mark) >= 0]
    return min(ends, default=-1)


def _read_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            # Headers are sent in the same encoding, so that any id returns as it came.
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
