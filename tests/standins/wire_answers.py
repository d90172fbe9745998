"""Answers as bytes on a connection: framed in one of several ways, cut at one byte, read strictly.

An answer's plan is the body of its request, so the servers need no other order.
"""

import json
import re
from dataclasses import asdict, dataclass
from typing import Any

FRAMINGS = ("none", "chunks", "padded", "trailers", "length")
"""``none``: the answer ends with its connection. ``padded``: chunks whose sizes have leading zeros.
``trailers``: chunks, with a field after the last one."""

ENDS = ("whole", "process", "process after", "close", "reset")
"""How the first run of a request ends: as it should; by the end of the server's process at the cut,
or just after the last byte; by the regular end of its connection, or by a reset, at the cut."""

LATE_END = "process, one end late"
"""The server's process ends at the cut, and a lost packet keeps one of its other connections to the
same router open a little longer."""

SILENT = "silent"
"""A run ends as it should, but at the cut its server's process stands still for some time."""

STREAM, PLAIN, LARGE = "stream", "plain", "large"
PATHS = {
    "/diagnosis/a": STREAM,
    "/summary/a": STREAM,
    "/valve/a": PLAIN,
    "/setpoint/a": PLAIN,
    "/mixed/a": LARGE,
}
LARGE_PIECE_BYTES = 200_000
NOT_CUT = -1
SEAL = "sealed"
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:;[^\r\n]*)?\r\n")


@dataclass(frozen=True, slots=True)
class Plan:
    """How the first run of a request is answered. Later runs are answered whole, framed alike."""

    kind: str
    framing: str
    end: str
    cut: int = NOT_CUT
    """The number of bytes that are sent, the head's included."""
    pieces: int = 12
    pause_ms: float = 4.0
    holds_end: bool = False
    """Whether the connection stays open for some time after the last byte."""
    label: str = ""
    """Distinguishes requests that are alike otherwise."""
    silent_ms: float = 0.0
    """For how long the server's process stands still at the cut, if the answer's end is SILENT."""
    silent_again: bool = False
    """Whether later runs of the request make their servers stand still too."""

    def encode(self) -> bytes:
        """Return the plan as the body of a request."""
        return json.dumps(asdict(self)).encode()


def decode_plan(body: bytes) -> Plan:
    """Return the plan that a request's body holds."""
    fields: dict[str, Any] = json.loads(body)
    return Plan(**fields)


def make_body_pieces(plan: Plan, attempt_id: str, last_event_id: int = 0) -> list[bytes]:
    """Return the pieces of an answer's body that come after an event."""
    numbers = range(last_event_id + 1, plan.pieces + 1)
    if plan.kind == STREAM:
        return [b"id: %d\ndata: event %d of %s\n\n" % (n, n, attempt_id.encode()) for n in numbers]
    filler = b"." * (LARGE_PIECE_BYTES if plan.kind == LARGE else 20)
    return [b"piece %d of %s %s\n" % (n, attempt_id.encode(), filler) for n in numbers]


def make_wire_pieces(plan: Plan, attempt_id: str, last_event_id: int = 0) -> list[bytes]:
    """Return an answer as it is written: its head, each piece framed, and what ends it."""
    pieces = make_body_pieces(plan, attempt_id, last_event_id)
    content_type = "text/event-stream" if plan.kind == STREAM else "text/plain"
    fields = [
        f"Attempt-Id: {attempt_id}",
        f"Response-Seal: {SEAL}",
        f"Content-Type: {content_type}",
    ]
    if plan.framing == "length":
        fields.append(f"Content-Length: {sum(map(len, pieces))}")
    elif plan.framing != "none":
        fields.append("Transfer-Encoding: chunked")
    head = "".join(f"{field}\r\n" for field in ("HTTP/1.1 200 OK", *fields, "")).encode()
    return [head, *(_frame(plan.framing, piece) for piece in pieces), _make_end(plan.framing)]


def _frame(framing: str, piece: bytes) -> bytes:
    if framing in ("none", "length"):
        return piece
    size = b"%08x" % len(piece) if framing == "padded" else b"%x" % len(piece)
    return b"%s\r\n%s\r\n" % (size, piece)


def _make_end(framing: str) -> bytes:
    if framing in ("none", "length"):
        return b""
    return b"0\r\nDigest: none\r\n\r\n" if framing == "trailers" else b"0\r\n\r\n"


@dataclass(slots=True)
class Received:
    """What a client holds when its connection has ended."""

    status: int = 0
    """0 without a whole head."""
    content: bytes = b""
    complete: bool = False
    """Whether the answer is framed as complete."""


def read_answer(raw: bytes, was_reset: bool) -> Received:
    """Read an answer from all that arrived until the connection ended."""
    head, blank_line, rest = raw.partition(b"\r\n\r\n")
    if not blank_line:
        return Received()
    status_line, *lines = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    received = Received(int(status_line.split()[1]))
    if fields.get("transfer-encoding", "").lower() == "chunked":
        received.content, received.complete = _read_chunks(rest)
    elif "content-length" in fields:
        received.content = rest
        received.complete = len(rest) == int(fields["content-length"])
    else:
        received.content, received.complete = rest, not was_reset
    return received


def _read_chunks(rest: bytes) -> tuple[bytes, bool]:
    content = b""
    while found := _SIZE_LINE.match(rest):
        size = int(found.group(1), 16)
        rest = rest[found.end() :]
        if size == 0:
            return content, rest == b"\r\n" or rest.endswith(b"\r\n\r\n")
        content += rest[:size]
        if rest[size : size + 2] != b"\r\n":
            break
        rest = rest[size + 2 :]
    return content, False
