"""Findings: the faults in an operator's document, with their places."""

from dataclasses import dataclass
from typing import Any

MAX_EXCERPT_CHARACTERS = 80
"""Longest excerpt of a wrong value that a finding quotes, in characters."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault in a document, with its place and what to do about it."""

    place: str
    """Document and field, such as ``settings.json: callers.port``."""
    seen: str
    expected: str
    advice: str

    def __str__(self) -> str:
        return f"{self.place}: saw {self.seen}, expected {self.expected}; {self.advice}"


def make_excerpt(value: Any) -> str:
    """Return the text of a wrong value for a finding, shortened if it is long."""
    text = repr(value)
    return text if len(text) <= MAX_EXCERPT_CHARACTERS else text[:MAX_EXCERPT_CHARACTERS] + "..."
