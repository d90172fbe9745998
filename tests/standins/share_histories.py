"""Histories in which workspaces ask for more than engines can do, and what each one received."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

from myrtlehook_core import RequestSpecification
from standins.histories import History
from standins.pools import make_request

BEGINS_S = 1.5
"""When the first requests are sent: by then the routers know one another."""

SPAN_S = 6.0
"""The period over which users compare what workspaces received."""

RETRY_DELAY_S = 0.9
"""How long after its first attempt a refused client retries."""

RETRY_SUFFIX = "-again"
"""Added to a request's id for its retry."""

FAIR_FRACTION = 0.5
"""The bound that users accept: each workspace receives at least this fraction of what it asks
for, or of what the best served workspace receives, whichever is less."""

ANSWER_S = 0.1
"""From the beginning of an answer of a history to its end."""

OWN_TOKENS = 700
REQUEST_TOKENS = 500 + OWN_TOKENS + 2 * 30
"""A request's tokens as shares count them: the shared part, its own part and the output."""


@dataclass(frozen=True, slots=True)
class AskedRequest:
    """A request that a workspace sent."""

    workspace: str
    time_s: float
    tokens: int
    """The request's tokens as shares count them."""


@dataclass(frozen=True, slots=True)
class Workload:
    """The rate and size of the requests that a workspace sends at random moments."""

    workspace: str
    rate_tokens_per_s: float
    own_tokens: int
    """Tokens of the mean prompt, besides the part that its session shares."""


@dataclass(frozen=True, slots=True)
class WorstShare:
    """The fraction that the worst served workspace received of what was due to it."""

    workspace: str
    begins_s: float
    fraction: float


@dataclass(slots=True)
class ServedHistory:
    """A history, and the requests that its workspaces have sent."""

    history: History
    asked: dict[str, AskedRequest] = field(default_factory=dict)
    """By request id, without retries."""
    retries: bool = False
    """Whether requests that were refused or lost with their router are retried once."""

    def flood(self, router: str, workspace: str, rate_tokens_per_s: float, end_s: float) -> None:
        """Send a workspace's requests to one router at a steady rate."""
        interval_s = REQUEST_TOKENS / rate_tokens_per_s
        for number in range(int((end_s - BEGINS_S) / interval_s)):
            time_s = BEGINS_S + number * interval_s
            self.ask_at(router, workspace, number, OWN_TOKENS, time_s)

    def ask_at(
        self, router: str, workspace: str, number: int, own_tokens: int, time_s: float
    ) -> None:
        """Send one request of a workspace; workspaces share no sessions."""
        request_id = f"{workspace}{number}"
        session = number % 7 + 7 * ord(workspace[0])
        request = make_request(request_id, workspace, session, own_tokens, time_s, True)
        tokens = request.prompt_tokens + 2 * request.output_tokens
        self.asked[request_id] = AskedRequest(workspace, time_s, tokens)
        self.history.at(time_s, lambda: self._send(router, request))
        if self.retries:
            self.history.at(time_s + RETRY_DELAY_S, lambda: self._retry(router, request))

    def _send(self, router: str, request: RequestSpecification) -> None:
        """Send a request to a router, or to a random one that is alive if that router is down."""
        alive = self.history.alive
        self.history.ask(
            router if router in alive else self.history.random.choice([*alive]), request
        )

    def _retry(self, router: str, request: RequestSpecification) -> None:
        """Retry a request that was refused or whose router was killed."""
        outcome = self.history.outcomes[request.request_id]
        if outcome.ended_at_s is not None or outcome.running:
            return
        again = replace(
            request,
            request_id=request.request_id + RETRY_SUFFIX,
            arrived_at_s=self.history.now_s,
            aim_deadline_s=request.aim_deadline_s + RETRY_DELAY_S,
        )
        self._send(router, again)

    def ask_at_random(
        self,
        workload: Workload,
        routers: list[str],
        draw: random.Random,
        end_s: float,
        begins_s: float = BEGINS_S,
    ) -> None:
        """Send a workspace's prompts of random sizes at random moments.

        :param routers: the routers that its clients reach.
        """
        time_s = begins_s
        number = sum(item.workspace == workload.workspace for item in self.asked.values())
        while time_s < end_s:
            own_tokens = round(workload.own_tokens * draw.uniform(0.3, 1.7))
            router = draw.choice(routers)
            self.ask_at(router, workload.workspace, number, own_tokens, time_s)
            tokens = own_tokens + REQUEST_TOKENS - OWN_TOKENS
            time_s += draw.expovariate(workload.rate_tokens_per_s / tokens)
            number += 1

    def count(self, begins_s: float) -> tuple[Counter[str], Counter[str]]:
        """Return the tokens asked for and begun in ``SPAN_S`` from a time on, by workspace."""
        asked: Counter[str] = Counter()
        begun: Counter[str] = Counter()
        for request_id, item in self.asked.items():
            if begins_s <= item.time_s < begins_s + SPAN_S:
                asked[item.workspace] += item.tokens
            ended_at_s = self._find_end_s(request_id)
            if ended_at_s is not None and begins_s <= ended_at_s - ANSWER_S < begins_s + SPAN_S:
                begun[item.workspace] += item.tokens
        return asked, begun

    def sum_begun_tokens(self, workspace: str, begins_s: float, ends_s: float) -> int:
        """Return the tokens of a workspace's requests whose answers began within a period."""
        return sum(
            item.tokens
            for request_id, item in self.asked.items()
            if item.workspace == workspace
            and (ended_at_s := self._find_end_s(request_id)) is not None
            and begins_s <= ended_at_s - ANSWER_S < ends_s
        )

    def find_refused_workspaces(self, begins_s: float) -> set[str]:
        """Return the workspaces that had a request refused in each second of a span."""
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
        again = outcomes.get(request_id + RETRY_SUFFIX)
        return again.ended_at_s if again is not None and ended_at_s is None else ended_at_s


def find_worst_share(served: ServedHistory, begins_s: float, ends_s: float) -> WorstShare:
    """Return the least fraction of its due that a workspace received in any span.

    Due is what the workspace asked for or what the best served one received, whichever is less.
    A span counts for the workspaces that had a request refused in each of its seconds.
    """
    worst = WorstShare("", begins_s, 1.0)
    first_s = begins_s
    while first_s + SPAN_S <= ends_s:
        asked, begun = served.count(first_s)
        best = max(begun.values())
        for name in served.find_refused_workspaces(first_s):
            fraction = begun[name] / min(asked[name], best)
            if fraction < worst.fraction:
                worst = WorstShare(name, first_s, fraction)
        first_s += 0.5
    return worst


def find_underserved_workspaces(asked: Counter[str], begun: Counter[str]) -> list[str]:
    """Return the workspaces that received less than the bound that users accept."""
    best = max(begun.values())
    return [name for name in asked if begun[name] < FAIR_FRACTION * min(asked[name], best)]
