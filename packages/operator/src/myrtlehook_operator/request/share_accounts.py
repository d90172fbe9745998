"""Computes from the routers' logs what each workspace requested and received.

Sizes are in tokens as charged to shares. A request counts as asked when it reaches its router,
and as received when its answer begins. Requests that no router received are not logged,
and so are missing here.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from myrtlehook_operator.request.losses import LossKind, RequestEnd

SPAN_S = 6
"""Workspaces are compared over spans of this length, one beginning at each full second."""


@dataclass(frozen=True, slots=True)
class ShareAccount:
    """The tokens that one workspace requested and received within one span."""

    begins_s: int
    """Seconds since the first end of a request in the logs."""
    workspace: str
    asked_tokens: int
    received_tokens: int
    best_received_tokens: int
    """The tokens of the workspace that received the most in this span."""
    refused_tokens: dict[str, int]
    """Tokens of refused requests, by reason."""

    @property
    def part(self) -> float:
        """The received tokens as a fraction of those asked for, or of those that the best served
        workspace received if that is less."""
        wanted = min(self.asked_tokens, self.best_received_tokens)
        return self.received_tokens / wanted if wanted else 1.0


@dataclass(slots=True)
class _Second:
    """The tokens of one second, by workspace."""

    asked_tokens: Counter[str] = field(default_factory=Counter)
    received_tokens: Counter[str] = field(default_factory=Counter)
    refused_tokens: defaultdict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )


def find_worst_shares(ends: Iterable[RequestEnd], begins_s: float) -> list[ShareAccount]:
    """Return the accounts of workspaces that were refused requests in every second of a span.

    :param begins_s: when the first span begins, by the same clock as the requests' times.
    :returns: the worst span of each workspace, the worst served workspace first.
    """
    seconds: defaultdict[int, _Second] = defaultdict(_Second)
    for end in ends:
        _add_end(seconds, end, begins_s)
    worst: dict[str, ShareAccount] = {}
    for first in range(max(seconds, default=0) - SPAN_S + 2):
        span = [seconds[first + step] for step in range(SPAN_S)]
        for account in _sum_span(first, span):
            known = worst.get(account.workspace)
            if known is None or account.part < known.part:
                worst[account.workspace] = account
    return sorted(worst.values(), key=lambda account: (account.part, account.workspace))


def _add_end(seconds: defaultdict[int, _Second], end: RequestEnd, begins_s: float) -> None:
    if not end.share_tokens:
        return
    asked = seconds[math.floor(end.arrived_at_s - begins_s)]
    asked.asked_tokens[end.workspace] += end.share_tokens
    if end.kind is LossKind.REFUSED:
        asked.refused_tokens[end.workspace][end.reason] += end.share_tokens
    if end.begun_at_s is not None:
        begun = seconds[math.floor(end.begun_at_s - begins_s)]
        begun.received_tokens[end.workspace] += end.share_tokens


def _sum_span(first: int, span: list[_Second]) -> list[ShareAccount]:
    asked = sum((second.asked_tokens for second in span), Counter[str]())
    received = sum((second.received_tokens for second in span), Counter[str]())
    best = max(received.values(), default=0)
    waited = set.intersection(*(set(second.refused_tokens) for second in span))
    return [
        ShareAccount(
            begins_s=first,
            workspace=name,
            asked_tokens=asked[name],
            received_tokens=received[name],
            best_received_tokens=best,
            refused_tokens=dict(
                sum((second.refused_tokens[name] for second in span), Counter[str]())
            ),
        )
        for name in sorted(waited)
    ]
