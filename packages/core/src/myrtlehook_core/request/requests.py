"""One request as the decision core sees it."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; requests with the same parts at the beginning share its cache."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestSpecification:
    """What the core needs to know of a request in order to place it."""

    request_id: str
    workspace: str
    pool: str
    body_bytes: int
    arrived_at_s: float
    deadline_s: float
    """Router clock time after which an answer is of no use to the caller."""
    no_repeat: bool = False
    prefix_key: str = ""
    """Digest of the prompt's beginning; requests that share it share a prefix cache."""
    repeatable: bool = False
    """It may run a second time even though it may have run before."""
    attempts: int = 0
    """The most backend servers that it may be sent to; 0 takes the router's own bound."""
    prompt_tokens: int = 0
    output_tokens: int = 0
    """The tokens that will be made, as far as the caller can tell; 0 when it is not known."""
    prompt_parts: tuple[PromptPart, ...] = ()
    """In order; the last one belongs to this request or its session alone."""
    aim_deadline_s: float = math.inf
    """Router clock time until which an answer's beginning is worth most."""
    priority: int = 1
    """0 is served first."""
    fingerprint: bytes = b""
    """The same for each request with this caller, path and body; empty where not known."""


def count_share_tokens(prompt_tokens: int, output_tokens: int) -> int:
    """Return a request's size as shares count it: a token made counts twice."""
    return prompt_tokens + 2 * output_tokens


def find_share_tokens(request: RequestSpecification) -> int:
    """Return a request's size as shares count it, with the output that its caller expects."""
    return count_share_tokens(request.prompt_tokens, request.output_tokens)


@dataclass(frozen=True, slots=True)
class PoolKey:
    """The account key: service is counted per workspace and pool."""

    workspace: str
    pool: str
