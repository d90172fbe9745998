"""Header names of the routed interface, and the rules for which headers are forwarded."""

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
"""Headers that apply to a single connection only."""


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that the router reads or sets."""

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    last_event_id: str = "Last-Event-Id"
    resumes: str = "X-Resumes"
    """The request id of the attempt that brought the first event of a stream, on those that resume
    it."""
    seal: str = "X-Answer-Seal"
    """Set by a backend server on every response that it makes itself."""
    workspace: str = "X-Workspace"
    expected_instance: str = "X-Expected-Instance"
    not_run: str = "X-Not-Run"
    """Set by a backend server on a response to a request that it did not run."""
    server_leaving: str = "X-Server-Leaving"
    """Set to 1 by a backend server that is leaving."""
    token_counts: str = "X-Token-Counts"
    """Number of prompt tokens and limit of output tokens: ``1460,80``."""
    prompt_parts: str = "X-Prompt-Parts"
    """The parts of the prompt in order, each with its number of tokens: ``5c1e:800,91bd:410``."""
    length_hint: str = "X-Length-Hint"
    memory_lease: str = "X-Memory-Lease"
    """Identifies memory reserved at an engine; the request that names it is admitted first."""
    memory_pin_ms: str = "X-Memory-Pin-Ms"
    """How long an engine keeps the memory of a request after its end."""
    memory_backup: str = "X-Memory-Backup"
    """Another engine, to which the memory of a run is replicated as it grows."""
    memory_source: str = "X-Memory-Source"
    """Where an engine finds a copy of the memory from which a request continues."""
    memory_fetch: str = "X-Memory-Fetch"
    """Another engine, from whose cache an engine fetches a prefix of the prompt."""


DEFAULT_HEADER_NAMES = HeaderNames()
"""The default names, used by the built-in interface for chats and plain services."""


def list_router_only_headers(names: HeaderNames) -> frozenset[str]:
    """Return the headers of a request that only the router may set, in lower case.

    A client that could set them could choose the workspace to which it is charged, or use
    memory of an engine that was not granted to it.
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
    """Return the value of a header, or None; of several, the last one."""
    wanted = name.lower()
    found = None
    for key, value in headers:
        if key.lower() == wanted:
            found = value
    return found


def count_header(headers: Iterable[tuple[str, str]], name: str) -> int:
    """Return how many times a header occurs."""
    wanted = name.lower()
    return sum(1 for key, _ in headers if key.lower() == wanted)


def select_end_to_end_headers(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Return the headers to forward: all except hop-by-hop ones and those in ``dropped``.

    The names that a Connection header lists are hop-by-hop as well.
    """
    kept = list(headers)
    listed = {
        name.strip().lower()
        for key, value in kept
        if key.lower() == "connection"
        for name in value.split(",")
    }
    excluded = HOP_BY_HOP | dropped | listed
    return [(key, value) for key, value in kept if _normalize_name(key) not in excluded]


def read_whole_number(text: str, limit: int) -> int | None:
    """Return a whole number in a header, at most ``limit``; None if the text is no such number."""
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0")
    return limit if len(digits) > len(str(limit)) else min(int(digits or "0"), limit)


def encode_header_value(text: str) -> str:
    """Return a text as a header value that is sent in UTF-8; headers are encoded as Latin-1."""
    return text.encode().decode("latin-1")


def _normalize_name(name: str) -> str:
    """Return a header's name in lower case with underscores as hyphens.

    Some servers treat both characters as the same, so that ``X_Workspace`` would pass for
    ``X-Workspace``.
    """
    return name.lower().replace("_", "-")
