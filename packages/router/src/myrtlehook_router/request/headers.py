"""Header names of the routed interface, and which headers cross the router."""

from collections.abc import Iterable
from dataclasses import dataclass

HeaderPairs = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection only."""


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """What the headers are called that the router reads or sets."""

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    last_event_id: str = "Last-Event-Id"
    seal: str = "X-Answer-Seal"
    """Set by a backend server on each answer of its own."""
    workspace: str = "X-Workspace"
    expected_instance: str = "X-Expected-Instance"
    not_run: str = "X-Not-Run"
    """With this, a backend server says that it did not run a request."""
    server_leaving: str = "X-Server-Leaving"
    """With the value 1, a backend server says that it leaves."""
    token_counts: str = "X-Token-Counts"
    """Tokens of the prompt, and the most to be made: ``1460,80``."""
    prompt_parts: str = "X-Prompt-Parts"
    """The parts of the prompt in order, each with its tokens: ``5c1e:800,91bd:410``."""
    length_hint: str = "X-Length-Hint"
    memory_lease: str = "X-Memory-Lease"
    """Names memory that was set aside at an engine, so that its request is let in first."""
    memory_pin_ms: str = "X-Memory-Pin-Ms"
    """How long an engine keeps the memory of a request that has ended."""
    memory_backup: str = "X-Memory-Backup"
    """Another engine, to which the memory of a run is copied as it grows."""
    memory_source: str = "X-Memory-Source"
    """Where an engine finds a copy of the memory that a request goes on from."""
    memory_fetch: str = "X-Memory-Fetch"
    """Another engine, from which an engine takes what that one keeps of a prompt."""


OWN_NAMES = HeaderNames()
"""Those of the product's own interface."""


def router_only(names: HeaderNames) -> frozenset[str]:
    """Return the headers of a request that only the router may set, in lower case.

    A caller that could set them would choose the workspace it is counted for, or use an
    engine's memory that nobody granted it.
    """
    return frozenset(
        name.lower()
        for name in (
            names.workspace,
            names.expected_instance,
            names.memory_lease,
            names.memory_pin_ms,
            names.memory_backup,
            names.memory_source,
            names.memory_fetch,
        )
    )


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the value of a header, or None; the last one counts when there are several."""
    wanted = name.lower()
    found = None
    for key, value in headers:
        if key.lower() == wanted:
            found = value
    return found


def count_header(headers: Iterable[tuple[str, str]], name: str) -> int:
    """Return how often a header was sent."""
    wanted = name.lower()
    return sum(1 for key, _ in headers if key.lower() == wanted)


def keep_end_to_end(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Return the headers that are passed on, without those named in ``dropped``."""
    kept = list(headers)
    listed = {
        name.strip().lower()
        for key, value in kept
        if key.lower() == "connection"
        for name in value.split(",")
    }
    barred = HOP_BY_HOP | dropped | listed
    return [(key, value) for key, value in kept if _plain(key) not in barred]


def _plain(name: str) -> str:
    """Return a header's name as a server may read it that knows no underscores."""
    return name.lower().replace("_", "-")
