"""How a response was framed, how its end was seen, and what shows that it is whole.

For routed requests and for reads of the platform's store, nothing else decides whether a response
is whole.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import urllib3
from result import Err, Ok, Result

BODYLESS_STATUSES = (204, 304)
"""Statuses of responses without a body, whatever their head says."""

_LENGTH = re.compile("[0-9]{1,18}")


class Framing(StrEnum):
    """What marks the end of a response's body."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """Nothing but the end of its connection."""


class FramingError(StrEnum):
    """Why a head does not tell how its body is framed."""

    UNKNOWN_CODING = "unknown_coding"
    INVALID_LENGTH = "invalid_length"
    """A length that is no number, or several lengths."""


class EndSign(StrEnum):
    """How the end of a response was seen."""

    FRAMING = "framing"
    """The last chunk, or the last byte of its length."""
    CLOSED = "closed"
    """The server closed the connection."""
    RESET = "reset"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"
    """Its head does not tell how the body is framed."""
    ABORTED = "aborted"
    """This router ended it."""


class Proof(StrEnum):
    """What shows that a response is whole."""

    FRAMING = "framing"
    CONTENT = "content"
    """Its content shows its own end, as a JSON object does."""
    SERVER_LIVES = "server_lives"
    """The server closed its connection, and its process lives. The end of the process would have
    closed it too."""
    NONE = "none"


class ContentEnd(StrEnum):
    """What a response's content tells of its end."""

    WHOLE = "whole"
    CUT = "cut"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """How one response ended."""

    framing: Framing | None
    """None if its head did not arrive."""
    sign: EndSign
    proof: Proof
    open_beside: int = 0
    """The number of other connections to that server, of those looked at, that were open then."""
    ended_beside: int = 0
    """The number of them that the server had ended."""


def find_proof(
    framing: Framing, content_end: ContentEnd, outlives_response: Callable[[], bool]
) -> Proof:
    """Return what shows that a response is whole, once the end of its framing has been reached.

    :param outlives_response: waits, and returns whether the server's process has outlived the
        response's connection; called only if nothing else decides.
    """
    if content_end is ContentEnd.CUT:
        return Proof.NONE
    if framing is not Framing.CONNECTION:
        return Proof.FRAMING
    if content_end is ContentEnd.WHOLE:
        return Proof.CONTENT
    return Proof.SERVER_LIVES if outlives_response() else Proof.NONE


def find_framing(method: str, response: urllib3.HTTPResponse) -> Result[Framing, FramingError]:
    """Return what marks the end of a response's body, by its head."""
    if method == "HEAD" or response.status in BODYLESS_STATUSES:
        return Ok(Framing.NO_BODY)
    codings = response.headers.getlist("Transfer-Encoding")
    if codings:
        # Anything else would be read as a body without length or chunks.
        is_chunked = len(codings) == 1 and codings[0].lower() == "chunked"
        return Ok(Framing.CHUNKS) if is_chunked else Err(FramingError.UNKNOWN_CODING)
    lengths = set(response.headers.getlist("Content-Length"))
    if not lengths:
        return Ok(Framing.CONNECTION)
    is_length = len(lengths) == 1 and _LENGTH.fullmatch(lengths.pop())
    return Ok(Framing.LENGTH) if is_length else Err(FramingError.INVALID_LENGTH)
