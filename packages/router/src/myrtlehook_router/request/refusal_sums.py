"""Limits the rate of log lines about refusals: those above the limit are logged as sums.

In an overload, a line for each refusal would cost processor time that the router lacks, and
lines would be dropped. The first refusals of each kind in a second get a line each; all others
of that kind in that second share one line.
"""

from dataclasses import dataclass, field

from myrtlehook_core import RefusalReason
from myrtlehook_router.process.logs import get_logger

MAX_LINES_PER_SECOND = 20
"""The number of refusals of one kind that get a line of their own in each second."""

MAX_EXAMPLE_IDS = 3
"""The number of request ids that the line of a sum has as examples."""

_log = get_logger("callers")


@dataclass(frozen=True, slots=True)
class RefusedKind:
    """What the refusals in one sum have in common."""

    reason: RefusalReason
    route: str
    """Empty for a request that was refused before its route was found."""
    workspace: str


@dataclass(slots=True)
class RefusalSum:
    """Totals of the refusals of one kind within the current second."""

    requests: int = 0
    unlogged_requests: int = 0
    """The number of requests without a log line of their own."""
    prompt_tokens: int = 0
    """The total of these requests without a line."""
    share_tokens: int = 0
    """The same, as shares count tokens."""
    request_ids: list[str] = field(default_factory=list)


@dataclass(slots=True)
class RefusalSums:
    """Totals of the refusals within the current second, by kind."""

    kinds: dict[RefusedKind, RefusalSum] = field(default_factory=dict)


def count_refusal(
    sums: RefusalSums,
    kind: RefusedKind,
    request_id: str,
    prompt_tokens: int = 0,
    share_tokens: int = 0,
) -> bool:
    """Count a refusal; returns whether to log a line for it."""
    total = sums.kinds.get(kind)
    if total is None:
        total = sums.kinds[kind] = RefusalSum()
    total.requests += 1
    if total.requests <= MAX_LINES_PER_SECOND:
        return True
    total.unlogged_requests += 1
    total.prompt_tokens += prompt_tokens
    total.share_tokens += share_tokens
    if len(total.request_ids) < MAX_EXAMPLE_IDS:
        total.request_ids.append(request_id)
    return False


def log_refusal_sums(sums: RefusalSums) -> None:
    """Log the sums of the past second, and reset them."""
    kinds, sums.kinds = sums.kinds, {}
    for kind, total in kinds.items():
        if not total.unlogged_requests:
            continue
        _log.info(
            "requests refused",
            reason=kind.reason,
            route=kind.route or None,
            workspace=kind.workspace or None,
            requests=total.unlogged_requests,
            prompt_tokens=total.prompt_tokens,
            share_tokens=total.share_tokens,
            request_ids=total.request_ids,
        )
