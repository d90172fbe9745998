"""One request as the decision core sees it."""

from dataclasses import dataclass


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


@dataclass(frozen=True, slots=True)
class PoolKey:
    """The account key: service is counted per workspace and pool."""

    workspace: str
    pool: str
