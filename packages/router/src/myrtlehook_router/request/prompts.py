"""Reading a client's description of its prompt: length, parts, and expected output length."""

from dataclasses import dataclass

from myrtlehook_core import PromptPart
from myrtlehook_router.request.headers import (
    HeaderNames,
    HeaderPairs,
    find_header,
    read_whole_number,
)

MAX_PROMPT_PARTS = 64
MAX_PROMPT_TOKENS = 999_999_999
MAX_PART_ID_CHARACTERS = 200
"""Ids of parts are sent to other routers, those of all requests at an engine in one message."""


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt as its client describes it; zeros and no parts if it does not."""

    tokens: int
    output_tokens: int
    """The client's estimate of the output length, or else its limit."""
    parts: tuple[PromptPart, ...]


def read_prompt(headers: HeaderPairs, names: HeaderNames) -> Prompt:
    """Read the headers that describe a prompt; invalid values count as absent."""
    counts = (find_header(headers, names.token_counts) or "").split(",")
    tokens = _read_count(counts[0])
    max_tokens = _read_count(counts[1]) if len(counts) > 1 else 0
    expected_tokens = _read_count(find_header(headers, names.length_hint) or "")
    parts = _read_parts(find_header(headers, names.prompt_parts) or "")
    if expected_tokens and max_tokens:
        expected_tokens = min(expected_tokens, max_tokens)
    return Prompt(tokens, expected_tokens or max_tokens, parts)


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",")[:MAX_PROMPT_PARTS]:
        part_id, _, tokens = item.strip().partition(":")
        is_id = 0 < len(part_id) <= MAX_PART_ID_CHARACTERS
        if not is_id or not _read_count(tokens):
            return ()
        parts.append(PromptPart(part_id, _read_count(tokens)))
    return tuple(parts)


def _read_count(text: str) -> int:
    return read_whole_number(text.strip(), MAX_PROMPT_TOKENS) or 0
