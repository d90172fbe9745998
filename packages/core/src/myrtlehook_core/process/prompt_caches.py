"""An estimate of one engine's prompt cache, based on the requests granted there.

An engine caches the parts of prompts that it has read, and evicts the least recently used ones
when memory runs out. A cached part is a hit only if every part before it is cached too.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol


class Part(Protocol):
    """One part of a prompt."""

    @property
    def part_id(self) -> str:
        """Name of the part, the same in every request that shares it."""

    @property
    def tokens(self) -> int:
        """The part's length."""


@dataclass(slots=True)
class PromptCache:
    """The parts that an engine is expected to cache, the most recently used one last."""

    capacity_tokens: int
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    held_tokens: int = 0


def count_cached_tokens(cache: PromptCache, parts: Iterable[Part]) -> int:
    """Return how many tokens of a prompt's beginning the engine caches."""
    cached = 0
    for part in parts:
        if part.part_id not in cache.parts:
            break
        cached += part.tokens
    return cached


def count_unread_tokens(cache: PromptCache, parts: Iterable[Part], prompt_tokens: int) -> int:
    """Return how many tokens of a prompt the engine would have to read."""
    # The last token of a prompt is always read.
    return max(prompt_tokens - count_cached_tokens(cache, parts), 1)


def record_parts_use(cache: PromptCache, parts: Iterable[Part]) -> None:
    """Record that a prompt was read or found in the cache, and evict parts over capacity."""
    for part in parts:
        known = cache.parts.pop(part.part_id, 0)
        cache.parts[part.part_id] = part.tokens
        cache.held_tokens += part.tokens - known
    while cache.held_tokens > cache.capacity_tokens and len(cache.parts) > 1:
        _, tokens = cache.parts.popitem(last=False)
        cache.held_tokens -= tokens
