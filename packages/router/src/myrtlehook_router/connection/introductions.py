"""What a router says first on a connection that it passes on to another one.

The caller's bytes follow only after the other router has said that it takes them, so a
connection that was not taken can still be served anywhere.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

TAKEN = b"+"
NOT_TAKEN = b"-"

LONGEST_BYTES = 256
_GREETING = "myrtlehook-pass-1"
_TAG_BYTES = 16
_NONCE_BYTES = 8


@dataclass(frozen=True, slots=True)
class Introduction:
    """Who passes a connection on, and to whom."""

    sender: str
    """Id of the router that holds the caller's connection."""
    receiver: str


def write_introduction(introduction: Introduction, fleet_key: str) -> bytes:
    """Return the line that proves that a router of the fleet passes a connection on."""
    nonce = secrets.token_hex(_NONCE_BYTES)
    tag = _make_tag(introduction, nonce, fleet_key)
    return f"{_GREETING} {introduction.sender} {nonce} {tag}\n".encode()


def read_introduction(line: bytes, receiver: str, fleet_key: str) -> Introduction | None:
    """Read that line; None when it was not written by a router of the fleet for this one."""
    try:
        greeting, sender, nonce, tag = line.decode("ascii").split()
    except ValueError:
        return None
    if greeting != _GREETING:
        return None
    introduction = Introduction(sender, receiver)
    wanted = _make_tag(introduction, nonce, fleet_key)
    return introduction if hmac.compare_digest(tag, wanted) else None


def _make_tag(introduction: Introduction, nonce: str, fleet_key: str) -> str:
    content = f"{introduction.sender}|{introduction.receiver}|{nonce}".encode()
    key = fleet_key.encode()[:64]
    return hashlib.blake2b(content, key=key, digest_size=_TAG_BYTES).hexdigest()
