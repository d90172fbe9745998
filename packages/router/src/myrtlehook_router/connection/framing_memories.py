"""What this process has seen of how each server frames its answers."""

from dataclasses import dataclass, field

UNFRAMED_MEMORY_S = 60.0
"""A server that has sent an answer without length or chunks is expected to do so for this long."""

MAX_KINDS = 2
"""A server whose answers to so many kinds of requests were framed is taken to frame all of them."""


@dataclass(slots=True)
class FramingMemory:
    """How the answers of each server were framed, by its address.

    A kind of requests is their method and path: a server may frame its answers to one kind only.
    """

    framed_kinds: dict[str, set[str]] = field(default_factory=dict)
    """The kinds of requests that a server has answered with a length or chunks."""
    unframed_until_s: dict[str, float] = field(default_factory=dict)
    """Until when any answer of a server may be unframed, because one was."""


def may_be_unframed(memory: FramingMemory, address: str, kind: str, now_s: float) -> bool:
    """Return whether an answer may end with its connection only; so may any first answer."""
    if has_been_unframed(memory, address, now_s):
        return True
    framed = memory.framed_kinds.get(address, ())
    return kind not in framed and len(framed) < MAX_KINDS


def has_been_unframed(memory: FramingMemory, address: str, now_s: float) -> bool:
    """Return whether a server has sent an answer without length or chunks of late."""
    return now_s < memory.unframed_until_s.get(address, 0.0)


def record_framed(memory: FramingMemory, address: str, kind: str) -> None:
    """Remember that an answer had a length or chunks."""
    framed = memory.framed_kinds.setdefault(address, set())
    if len(framed) < MAX_KINDS:
        framed.add(kind)


def record_unframed(memory: FramingMemory, address: str, now_s: float) -> None:
    """Remember that an answer had neither length nor chunks."""
    memory.unframed_until_s[address] = now_s + UNFRAMED_MEMORY_S
    memory.framed_kinds.pop(address, None)


def forget_expired(memory: FramingMemory, now_s: float) -> None:
    """Forget unframed answers that are too long ago."""
    for address, until_s in list(memory.unframed_until_s.items()):
        if now_s >= until_s:
            del memory.unframed_until_s[address]


def forget_server(memory: FramingMemory, address: str) -> None:
    """Forget how a server framed its answers, as another process may serve at its address."""
    memory.framed_kinds.pop(address, None)
    memory.unframed_until_s.pop(address, None)


def list_addresses(memory: FramingMemory) -> list[str]:
    """Return the addresses of the servers that something is remembered of."""
    return list({*memory.framed_kinds, *memory.unframed_until_s})
