"""Whether a request is quarantined, by its fingerprint or by a part of its prompt.

Both kinds of state are alike, see ``quarantine``. They are kept apart so that neither crowds out
the other.
"""

from dataclasses import dataclass

from myrtlehook_core.process.quarantine import (
    Quarantine,
    find_parts_quarantine_s,
    find_remaining_quarantine_s,
)
from myrtlehook_core.request.part_keys import is_part_key
from myrtlehook_core.request.requests import RequestSpecification


@dataclass(slots=True)
class Quarantines:
    """What one router knows of requests and of parts of prompts that end servers."""

    requests: Quarantine
    parts: Quarantine


def choose_quarantine(quarantines: Quarantines, key: bytes) -> Quarantine:
    """Return the state that a fingerprint or the key of a part belongs to."""
    return quarantines.parts if is_part_key(key) else quarantines.requests


def find_request_quarantine_s(
    quarantines: Quarantines, request: RequestSpecification, now_s: float
) -> float:
    """Return for how many seconds a request is still refused; 0 if it is not quarantined."""
    return max(
        find_remaining_quarantine_s(quarantines.requests, request.fingerprint, now_s),
        find_parts_quarantine_s(quarantines.parts, request.part_digests, now_s),
    )
