"""How a response was framed, how its end was seen, and what shows that it is whole."""

from dataclasses import dataclass
from enum import StrEnum

import urllib3

BODYLESS_STATUSES = (204, 304)


class Framing(StrEnum):
    """What marks the end of a response's body."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """Nothing but the end of its connection."""


class EndSign(StrEnum):
    """How the end of a response was seen."""

    FRAMING = "framing"
    """The last chunk, or the last byte of its length."""
    CLOSED = "closed"
    """The server closed the connection."""
    RESET = "reset"
    TIMED_OUT = "timed_out"
    ABORTED = "aborted"
    """This router ended it."""


class Proof(StrEnum):
    """What shows that a response is whole."""

    FRAMING = "framing"
    CONNECTION_END = "connection_end"
    """Its connection ended regularly."""
    NONE = "none"


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


def find_framing(method: str, response: urllib3.HTTPResponse) -> Framing:
    """Return what marks the end of a response's body, by its head."""
    if method == "HEAD" or response.status in BODYLESS_STATUSES:
        return Framing.NO_BODY
    if "Transfer-Encoding" in response.headers:
        return Framing.CHUNKS
    if "Content-Length" in response.headers:
        return Framing.LENGTH
    return Framing.CONNECTION
