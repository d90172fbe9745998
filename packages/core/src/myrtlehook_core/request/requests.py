"""The data of a request that the core's decisions are based on."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; requests whose prompts begin with the same parts share their cache."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestSpecification:
    """The data that the core needs to place a request on a backend server."""

    request_id: str
    workspace: str
    pool: str
    body_bytes: int
    arrived_at_s: float
    deadline_s: float
    """Router clock time after which an answer is of no use to the client."""
    no_repeat: bool = False
    prefix_key: str = ""
    """Digest of the beginning of the prompt; requests with the same digest share a prefix cache."""
    repeatable: bool = False
    """It may be run again even if an earlier attempt may have run."""
    attempts: int = 0
    """The most backend servers that it may be sent to; 0 for the router's default."""
    prompt_tokens: int = 0
    output_tokens: int = 0
    """Expected number of output tokens, as estimated by the client; 0 if not known."""
    prompt_parts: tuple[PromptPart, ...] = ()
    """In order; only the last one is specific to this request or its session."""
    aim_deadline_s: float = math.inf
    """Router clock time by which the answer should begin, such as its first token."""
    priority: int = 1
    """0 is served first."""
    route: str = ""
    """Name of its route, which stands for its kind of work; empty if it has none."""
    pause_target_s: float = 0.0
    """The longest pause between two events of its stream with which the answer is still in time;
    0 if there is no target."""
    fingerprint: bytes = b""
    """Equal for requests with the same workspace, method, path and body; empty if not known."""
    part_digests: tuple[bytes, ...] = ()
    """Digests of the parts of its prompt that other requests may share, in order."""
    allowed_regions: frozenset[str] | None = None
    """The regions in which it may be served; None if it may be served anywhere."""
    stream_key: bytes = b""
    """Equal for all attempts of a client at one stream that may be resumed; empty if it is none, or
    if its client does not name the attempt that began it."""
    resumes: bool = False
    """Whether an earlier attempt has brought events of its stream."""
    software_version: str | None = None
    """The only software version of backend servers at which its stream may go on; None while any
    may run it."""
    excluded_servers: frozenset[str] = frozenset()
    """Backend servers that may not run it, as they run it already or are silent. Only a request for
    the successor of a silent server has any."""


def count_share_tokens(prompt_tokens: int, output_tokens: int) -> int:
    """Return a request's size as counted against shares; an output token counts twice."""
    return prompt_tokens + 2 * output_tokens


def find_share_tokens(request: RequestSpecification) -> int:
    """Return a request's size as counted against shares, with the output its client expects."""
    return count_share_tokens(request.prompt_tokens, request.output_tokens)


@dataclass(frozen=True, slots=True)
class PoolKey:
    """Key of an account; service is accounted per workspace and pool."""

    workspace: str
    pool: str
