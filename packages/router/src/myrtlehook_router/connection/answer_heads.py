"""The grammar of the heads of answers, and of the fields after the last chunk.

Bytes that do not follow it are no answer: another parser would read other fields in them.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPException

MAX_FIELDS = 100
"""Limit of the fields of a head, the same as that of Python's HTTP library."""

MAX_LINE_BYTES = 64 * 1024
MAX_INTERIM_HEADS = 32
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
_LENGTH = re.compile("[0-9]{1,18}")
_BLANK_LINES = (b"\r\n", b"\n")
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r?\n")
_FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r?\n")
_FOLDED_LINE = re.compile(rb"[ \t]([\t\x20-\x7e\x80-\xff]*)\r?\n")

ReadLine = Callable[[int], bytes]
"""Returns the next line with its end, or its first so many bytes; nothing at the end."""


class AnswerHeadError(HTTPException):
    """Bytes that are no head of an answer."""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of one answer."""

    minor_version: int
    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]
    """Names and values in their order; folded values are joined."""


def read_final_head(read_line: ReadLine) -> AnswerHead:
    """Read the head of an answer, after the interim ones before it.

    :raises AnswerHeadError: if it is none, or if it switches to another protocol.
    """
    for _ in range(MAX_INTERIM_HEADS):
        head = _read_head(read_line)
        if head.status >= FIRST_FINAL_STATUS:
            return head
        if head.status == SWITCHING_PROTOCOLS:
            raise AnswerHeadError("a switch to a protocol that was not asked for")
    raise AnswerHeadError("interim answers without end")


def check_framing(head: AnswerHead) -> None:
    """Check that a head frames its body in one way.

    :raises AnswerHeadError: if it does not.
    """
    lengths = {value for name, value in head.fields if name.lower() == "content-length"}
    codings = [value.lower() for name, value in head.fields if name.lower() == "transfer-encoding"]
    if codings and (lengths or codings != ["chunked"] or head.minor_version == 0):
        raise AnswerHeadError(f"no framing of a body: {codings}, {sorted(lengths)}")
    if lengths and (len(lengths) > 1 or not _LENGTH.fullmatch(lengths.pop())):
        raise AnswerHeadError("no length of a body")


def read_fields(read_line: ReadLine) -> tuple[tuple[str, str], ...]:
    """Read fields up to and including the blank line behind them.

    :raises AnswerHeadError: if there is anything else.
    """
    fields: list[tuple[bytes, list[bytes]]] = []
    while (line := read_line(MAX_LINE_BYTES + 1)) not in _BLANK_LINES:
        folded = _FOLDED_LINE.fullmatch(line) if fields else None
        if folded is not None:
            fields[-1][1].append(folded.group(1).strip(b" \t"))
            continue
        found = _FIELD_LINE.fullmatch(line)
        if found is None or len(fields) >= MAX_FIELDS:
            raise AnswerHeadError(f"no field: {line[:40]!r}")
        fields.append((found.group(1), [found.group(2).strip(b" \t")]))
    return tuple(
        (name.decode("ascii"), b" ".join(parts).decode("latin-1")) for name, parts in fields
    )


def _read_head(read_line: ReadLine) -> AnswerHead:
    line = read_line(MAX_LINE_BYTES + 1)
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise AnswerHeadError(f"no status line: {line[:40]!r}")
    reason = (found.group(3) or b"").strip(b" \t").decode("latin-1")
    return AnswerHead(int(found.group(1)), int(found.group(2)), reason, read_fields(read_line))
