"""Histories in which workspaces ask for more than engines do, and what each of them received."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

from myrtlehook_core import RequestSpecification
from standins.histories import History
from standins.pools import make_request

BEGINS_S = 1.5
"""When callers come: the routers know one another by then."""

SPAN_S = 6.0
"""Over so long the users compare workspaces."""

RETURN_S = 0.9
"""When a refused caller comes back, after it has first asked."""

AGAIN = "-again"
"""Added to a request's id when its caller comes back."""

FAIR_PART = 0.5
"""The users' bound: each gets this part of the lesser of what it asks for and what the best
served one gets."""

OWN_TOKENS = 700
REQUEST_TOKENS = 500 + OWN_TOKENS + 2 * 30
"""As shares count a request of a history: its session's part, its own, and its output."""


@dataclass(frozen=True, slots=True)
class Asked:
    """What a workspace asked for, and when."""

    workspace: str
    time_s: float
    tokens: int
    """As shares count them."""


@dataclass(frozen=True, slots=True)
class Workload:
    """What a workspace asks for at random moments."""

    workspace: str
    rate_tokens_per_s: float
    own_tokens: int
    """Of the mean prompt, beside the part that its session shares."""


@dataclass(frozen=True, slots=True)
class WorstPart:
    """What the worst served workspace received, of what was due to it."""

    workspace: str
    begins_s: float
    part: float


@dataclass(slots=True)
class ServedHistory:
    """A history, and what its workspaces have asked of it."""

    history: History
    asked: dict[str, Asked] = field(default_factory=dict)
    """By request."""
    returns: bool = False
    """Whether refused callers come back once."""

    def flood(self, entry: str, workspace: str, rate_tokens_per_s: float, end_s: float) -> None:
        """Let a workspace ask at a steady rate through one router."""
        interval_s = REQUEST_TOKENS / rate_tokens_per_s
        for number in range(int((end_s - BEGINS_S) / interval_s)):
            time_s = BEGINS_S + number * interval_s
            self.ask_at(entry, workspace, number, OWN_TOKENS, time_s)

    def ask_at(
        self, entry: str, workspace: str, number: int, own_tokens: int, time_s: float
    ) -> None:
        """Let a workspace ask once; its sessions are its own."""
        request_id = f"{workspace}{number}"
        session = number % 7 + 7 * ord(workspace[0])
        request = make_request(request_id, workspace, session, own_tokens, time_s, True)
        tokens = request.prompt_tokens + 2 * request.output_tokens
        self.asked[request_id] = Asked(workspace, time_s, tokens)
        self.history.at(time_s, lambda: self._ask(entry, request))
        if self.returns:
            self.history.at(time_s + RETURN_S, lambda: self._ask_again(entry, request))

    def _ask(self, entry: str, request: RequestSpecification) -> None:
        """Ask a router; while it is without power the balancer takes another one."""
        alive = self.history.alive
        self.history.ask(entry if entry in alive else self.history.random.choice([*alive]), request)

    def _ask_again(self, entry: str, request: RequestSpecification) -> None:
        """Let a caller come back that was refused or lost its router."""
        outcome = self.history.outcomes[request.request_id]
        if outcome.ended_at_s is not None or outcome.running:
            return
        again = replace(
            request,
            request_id=request.request_id + AGAIN,
            arrived_at_s=self.history.now_s,
            aim_deadline_s=request.aim_deadline_s + RETURN_S,
        )
        self._ask(entry, again)

    def ask_at_random(
        self, workload: Workload, entries: list[str], draw: random.Random, end_s: float
    ) -> None:
        """Let a workspace ask at random moments for prompts of random sizes.

        :param entries: the routers that its callers reach.
        """
        time_s = BEGINS_S
        number = 0
        while time_s < end_s:
            own_tokens = round(workload.own_tokens * draw.uniform(0.3, 1.7))
            entry = draw.choice(entries)
            self.ask_at(entry, workload.workspace, number, own_tokens, time_s)
            tokens = own_tokens + REQUEST_TOKENS - OWN_TOKENS
            time_s += draw.expovariate(workload.rate_tokens_per_s / tokens)
            number += 1

    def count(self, begins_s: float) -> tuple[Counter[str], Counter[str]]:
        """Return the tokens asked and begun by workspace over the users' span."""
        asked: Counter[str] = Counter()
        begun: Counter[str] = Counter()
        for request_id, item in self.asked.items():
            if begins_s <= item.time_s < begins_s + SPAN_S:
                asked[item.workspace] += item.tokens
            ended_at_s = self._find_end_s(request_id)
            # An answer of a history ends 0.1 s after it has begun.
            if ended_at_s is not None and begins_s <= ended_at_s - 0.1 < begins_s + SPAN_S:
                begun[item.workspace] += item.tokens
        return asked, begun

    def find_refused(self, begins_s: float) -> set[str]:
        """Return the workspaces that were refused something in each second of the users' span."""
        refused: set[tuple[str, int]] = set()
        for request_id, item in self.asked.items():
            was_refused = bool(self.history.outcomes[request_id].refused_at_s)
            if was_refused and begins_s <= item.time_s < begins_s + SPAN_S:
                refused.add((item.workspace, int(item.time_s - begins_s)))
        seconds = Counter(name for name, _ in refused)
        return {name for name, count in seconds.items() if count == SPAN_S}

    def _find_end_s(self, request_id: str) -> float | None:
        outcomes = self.history.outcomes
        ended_at_s = outcomes[request_id].ended_at_s
        again = outcomes.get(request_id + AGAIN)
        return again.ended_at_s if again is not None and ended_at_s is None else ended_at_s


def find_worst_part(served: ServedHistory, begins_s: float, ends_s: float) -> WorstPart:
    """Return the least that a workspace received in any span, of what was due to it.

    Due is the lesser of what it asked for and what the best served one received. A workspace
    counts in spans in each second of which it was refused something.
    """
    worst = WorstPart("", begins_s, 1.0)
    first_s = begins_s
    while first_s + SPAN_S <= ends_s:
        asked, begun = served.count(first_s)
        best = max(begun.values())
        for name in served.find_refused(first_s):
            part = begun[name] / min(asked[name], best)
            if part < worst.part:
                worst = WorstPart(name, first_s, part)
        first_s += 0.5
    return worst


def find_unfair(asked: Counter[str], begun: Counter[str]) -> list[str]:
    """Return the workspaces that received less than the users' bound."""
    best = max(begun.values())
    return [name for name in asked if begun[name] < FAIR_PART * min(asked[name], best)]
