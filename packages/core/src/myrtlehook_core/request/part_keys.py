"""Keys of the parts of prompts that requests share, at one software version of backend servers."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from myrtlehook_core.request.requests import PromptPart

PART_DIGEST_BYTES = 12
VERSION_DIGEST_BYTES = 3
PART_KEY_BYTES = PART_DIGEST_BYTES + VERSION_DIGEST_BYTES
"""Messages about ends carry fingerprints of requests and keys of parts in one field; their lengths
tell the two apart."""

MAX_PARTS = 16
"""The greatest number of parts of one prompt that are looked at: the first, and the last ones."""


@dataclass(frozen=True, slots=True)
class SuspectPart:
    """A part of a prompt on which a server had not begun to write an answer when it ended."""

    key: bytes
    is_first: bool
    """Whether it is the first part of its prompt, which may be shared by most requests."""


def make_part_digests(pool: str, parts: Sequence[PromptPart]) -> tuple[bytes, ...]:
    """Return a digest of each part that other requests may share, which is all but the last."""
    shared = parts[:-1]
    if len(shared) > MAX_PARTS:
        shared = (shared[0], *shared[1 - MAX_PARTS :])
    return tuple(
        _digest(f"{len(pool)}/{pool}/{part.part_id}", PART_DIGEST_BYTES) for part in shared
    )


def make_part_key(part_digest: bytes, software_version: str) -> bytes:
    """Return the key of a part at one software version."""
    return part_digest + _digest(software_version, VERSION_DIGEST_BYTES)


def is_part_key(key: bytes) -> bool:
    """Return whether a key is that of a part; otherwise it is the fingerprint of a request."""
    return len(key) == PART_KEY_BYTES


def find_part_digest(part_key: bytes) -> bytes:
    """Return the digest of a key's part."""
    return part_key[:PART_DIGEST_BYTES]


def _digest(text: str, size_bytes: int) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=size_bytes).digest()
