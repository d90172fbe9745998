"""The handshake with which a router passes a client's connection on to another router.

The client's bytes follow only after the other router has accepted the connection, so a
connection that was declined can still be served by any router.
"""

import hashlib
import hmac
import secrets
from dataclasses import astuple, dataclass

VERDICT_ACCEPTED = b"+"
VERDICT_DECLINED = b"-"
VERDICT_OTHER_CONFIGURATION = b"c"
"""Declined because the two routers have different configurations at the moment."""

MAX_INTRODUCTION_BYTES = 256
_GREETING = "myrtlehook-pass-2"
_TAG_BYTES = 16
_NONCE_BYTES = 8


@dataclass(frozen=True, slots=True)
class Introduction:
    """Which router passes a connection on, and to which one."""

    sender: str
    """Id of the router that holds the client's connection."""
    receiver: str
    configuration_number: int = 0
    """The version of the sender's configuration."""
    waited_ms: int = 0
    """How long the connection has waited at the sender."""


def write_introduction(introduction: Introduction, fleet_key: str) -> bytes:
    """Return the line that proves to the receiver that a router of the fleet is the sender."""
    nonce = secrets.token_hex(_NONCE_BYTES)
    tag = _make_tag(introduction, nonce, fleet_key)
    number, waited_ms = introduction.configuration_number, introduction.waited_ms
    return f"{_GREETING} {introduction.sender} {number} {waited_ms} {nonce} {tag}\n".encode()


def read_introduction(line: bytes, receiver: str, fleet_key: str) -> Introduction | None:
    """Parse such a line; returns None unless a router of the fleet wrote it for this receiver."""
    try:
        greeting, sender, number, waited_ms, nonce, tag = line.decode("ascii").split()
        introduction = Introduction(sender, receiver, int(number), int(waited_ms))
    except ValueError:
        return None
    if greeting != _GREETING:
        return None
    expected_tag = _make_tag(introduction, nonce, fleet_key)
    return introduction if hmac.compare_digest(tag, expected_tag) else None


def _make_tag(introduction: Introduction, nonce: str, fleet_key: str) -> str:
    facts = (*astuple(introduction), nonce)
    content = "|".join(str(fact) for fact in facts).encode()
    key = fleet_key.encode()[:64]
    return hashlib.blake2b(content, key=key, digest_size=_TAG_BYTES).hexdigest()
