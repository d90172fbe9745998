"""What a caller tells of its prompt: its parts, its length, and the answer's likely length."""

from dataclasses import dataclass

from myrtlehook_core import PromptPart
from myrtlehook_router.request.headers import HeaderNames, HeaderPairs, find_header

MOST_PARTS = 64


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt as its caller describes it; zeros and no parts when it does not."""

    tokens: int
    output_tokens: int
    """The caller's guess of the answer's length, or else the most that it may be."""
    parts: tuple[PromptPart, ...]


def read_prompt(headers: HeaderPairs, names: HeaderNames) -> Prompt:
    """Read the headers that describe a prompt; what cannot be understood counts as absent."""
    counts = (find_header(headers, names.token_counts) or "").split(",")
    tokens = _read_count(counts[0])
    most_tokens = _read_count(counts[1]) if len(counts) > 1 else 0
    hint_tokens = _read_count(find_header(headers, names.length_hint) or "")
    parts = _read_parts(find_header(headers, names.prompt_parts) or "")
    if hint_tokens and most_tokens:
        hint_tokens = min(hint_tokens, most_tokens)
    return Prompt(tokens, hint_tokens or most_tokens, parts)


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",")[:MOST_PARTS]:
        part_id, _, tokens = item.strip().partition(":")
        if not part_id or not _read_count(tokens):
            return ()
        parts.append(PromptPart(part_id, _read_count(tokens)))
    return tuple(parts)


def _read_count(text: str) -> int:
    text = text.strip()
    return int(text[:9]) if text.isascii() and text.isdigit() else 0
