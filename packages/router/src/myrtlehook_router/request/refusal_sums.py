"""Counts refusals that are too many for a log line each, and tells them in sums.

In an overload, lines would cost what the router lacks, and would be dropped. The first few
of a second are told one by one, all others of that second in one line for each kind.
"""

from dataclasses import dataclass, field

from myrtlehook_core import RefusalReason
from myrtlehook_router.process.logs import get_logger

LINES_A_SECOND = 20
"""Refusals of one kind that are told one by one in each second."""

EXAMPLES = 3
"""Request ids that a sum names."""

_log = get_logger("callers")


@dataclass(frozen=True, slots=True)
class RefusedKind:
    """What refusals have in common that are summed up."""

    reason: RefusalReason
    route: str
    """Empty while it was not known."""
    workspace: str


@dataclass(slots=True)
class RefusalSum:
    """The refusals of one kind within the present second."""

    requests: int = 0
    summed: int = 0
    """Of them, those that had no line of their own."""
    prompt_tokens: int = 0
    """Of those."""
    share_tokens: int = 0
    """Of those, as shares count them."""
    request_ids: list[str] = field(default_factory=list)


@dataclass(slots=True)
class RefusalSums:
    """The refusals of the present second, by kind."""

    kinds: dict[RefusedKind, RefusalSum] = field(default_factory=dict)


def note_refusal(
    sums: RefusalSums,
    kind: RefusedKind,
    request_id: str,
    prompt_tokens: int = 0,
    share_tokens: int = 0,
) -> bool:
    """Count a refusal; True when it is to have a log line of its own."""
    found = sums.kinds.get(kind)
    if found is None:
        found = sums.kinds[kind] = RefusalSum()
    found.requests += 1
    if found.requests <= LINES_A_SECOND:
        return True
    found.summed += 1
    found.prompt_tokens += prompt_tokens
    found.share_tokens += share_tokens
    if len(found.request_ids) < EXAMPLES:
        found.request_ids.append(request_id)
    return False


def tell_sums(sums: RefusalSums) -> None:
    """Log the sums of the second that is over, and begin the next one."""
    kinds, sums.kinds = sums.kinds, {}
    for kind, found in kinds.items():
        if not found.summed:
            continue
        _log.info(
            "requests refused",
            reason=kind.reason,
            route=kind.route or None,
            workspace=kind.workspace or None,
            requests=found.summed,
            prompt_tokens=found.prompt_tokens,
            share_tokens=found.share_tokens,
            request_ids=found.request_ids,
        )
