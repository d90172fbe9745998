"""Histories in which one workspace suddenly floods engines that others overload already."""

import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, replace

from myrtlehook_core import CoreOptions, RequestSpecification
from standins.histories import ANSWER_S, RATE_TOKENS_PER_S, History, Network
from standins.pools import make_request
from standins.share_histories import BEGINS_S, RETRY_SUFFIX, SPAN_S

ROUTERS = 24
ENGINES = 8
ZONES = 3
READ_TOKENS_PER_S = ENGINES * RATE_TOKENS_PER_S
CONFIGURED_PART = 0.8
OVERLOAD_FACTOR = 2.2
"""What all workspaces ask for, as a multiple of what the engines read."""

DEMAND_PARTS = {
    "a": 0.40,
    "b": 0.20,
    "c": 0.13,
    "d": 0.09,
    "e": 0.07,
    "f": 0.05,
    "g": 0.04,
    "h": 0.02,
}
KIND_PARTS = (0.29, 0.28, 0.43)
KIND_OWN_TOKENS = (11_500, 330, 1_900)
KIND_AIMS_S = (0.8, 0.3, 0.4)

FLOODING = "e"
FLOOD_FACTOR = 20.0
FLOOD_BEGINS_S = 6.0
FLOOD_ENDS_S = FLOOD_BEGINS_S + 8.0
RETRY_DELAY_S = 0.7
SECOND_S = 1.0
FAIR_SPAN_SECONDS = int(SPAN_S)
FIRST_SPAN_S = FLOOD_BEGINS_S - 0.25
LAST_SPAN_S = FLOOD_BEGINS_S + 2.0
SPAN_STEP_S = 0.25
LEFT_OUT_REQUESTS = 3
"""Users do not count this many of a workspace's largest requests."""


@dataclass(frozen=True, slots=True)
class AskedPrompt:
    """A request that a workspace sent for the first time."""

    workspace: str
    time_s: float
    tokens: int
    aim_s: float


@dataclass(frozen=True, slots=True)
class UnfairSpan:
    """A workspace's account of six seconds."""

    workspace: str
    begins_s: float
    asked_tokens: int
    received_tokens: int
    due_tokens: int
    """The lesser of what it asked for and what the best served one received, by second, less three
    of its largest requests."""

    @property
    def fraction(self) -> float:
        """Return what it received, as a fraction of what was due to it."""
        return self.received_tokens / self.due_tokens if self.due_tokens > 0 else 1.0


class FloodHistory:
    """A history with a flood, and what its workspaces asked for."""

    def __init__(self, seed: int, options: CoreOptions | None = None) -> None:
        self.history = History(
            seed,
            ROUTERS,
            ENGINES,
            Network(),
            options or CoreOptions(),
            zones=ZONES,
            tokens_per_s=CONFIGURED_PART * READ_TOKENS_PER_S,
        )
        self.asked: dict[str, AskedPrompt] = {}
        self._draw = random.Random(seed)
        self._numbers = itertools.count()
        self._routers = list(self.history.alive)

    def play(self) -> None:
        """Run the history until the last span has ended."""
        ends_s = LAST_SPAN_S + SPAN_S
        for workspace, part in DEMAND_PARTS.items():
            rate = part * OVERLOAD_FACTOR * READ_TOKENS_PER_S
            if workspace == FLOODING:
                self._ask(workspace, rate, BEGINS_S, FLOOD_BEGINS_S)
                self._ask(workspace, FLOOD_FACTOR * rate, FLOOD_BEGINS_S, FLOOD_ENDS_S)
            else:
                self._ask(workspace, rate, BEGINS_S, ends_s)
        self.history.run_until(ends_s + 1.0)

    def find_least_span(self) -> UnfairSpan:
        """Return the span in which a workspace received the least part of what was due to it."""
        spans = []
        begins_s = FIRST_SPAN_S
        while begins_s <= LAST_SPAN_S:
            spans += self.list_spans(begins_s)
            begins_s += SPAN_STEP_S
        return min(spans, key=lambda span: span.fraction)

    def list_spans(self, begins_s: float) -> list[UnfairSpan]:
        """Return the accounts of the workspaces that waited in each second from a time on."""
        asked = [Counter[str]() for _ in range(FAIR_SPAN_SECONDS)]
        received = [Counter[str]() for _ in range(FAIR_SPAN_SECONDS)]
        waited: list[set[str]] = [set() for _ in range(FAIR_SPAN_SECONDS)]
        for request_id, prompt in self.asked.items():
            second = int((prompt.time_s - begins_s) // SECOND_S)
            begun_at_s = self._find_begin_s(request_id)
            if 0 <= second < FAIR_SPAN_SECONDS:
                asked[second][prompt.workspace] += prompt.tokens
                if begun_at_s is None or begun_at_s > prompt.time_s + prompt.aim_s:
                    waited[second].add(prompt.workspace)
            if begun_at_s is None:
                continue
            second = int((begun_at_s - begins_s) // SECOND_S)
            if 0 <= second < FAIR_SPAN_SECONDS:
                received[second][prompt.workspace] += prompt.tokens
        total = sum(received, Counter[str]())
        left_out = self._sum_largest_tokens(begins_s)
        best, _ = total.most_common(1)[0]
        return [
            UnfairSpan(
                workspace=name,
                begins_s=begins_s,
                asked_tokens=sum(counts[name] for counts in asked),
                received_tokens=total[name],
                due_tokens=sum(
                    min(asked[second][name], received[second][best])
                    for second in range(FAIR_SPAN_SECONDS)
                )
                - left_out[name],
            )
            for name in set.intersection(*waited)
        ]

    def _sum_largest_tokens(self, begins_s: float) -> Counter[str]:
        """Return the tokens of each workspace's largest requests of a span."""
        sizes: defaultdict[str, list[int]] = defaultdict(list)
        for prompt in self.asked.values():
            if begins_s <= prompt.time_s < begins_s + SPAN_S:
                sizes[prompt.workspace].append(prompt.tokens)
        return Counter(
            {name: sum(sorted(found)[-LEFT_OUT_REQUESTS:]) for name, found in sizes.items()}
        )

    def _find_begin_s(self, request_id: str) -> float | None:
        outcomes = self.history.outcomes
        for found in (outcomes.get(request_id), outcomes.get(request_id + RETRY_SUFFIX)):
            if found is not None and found.ended_at_s is not None:
                return found.ended_at_s - ANSWER_S
        return None

    def _ask(
        self, workspace: str, rate_tokens_per_s: float, begins_s: float, ends_s: float
    ) -> None:
        """Send a workspace's requests of all kinds at random moments to random routers."""
        mean_tokens = sum(
            part * _count_tokens(own) for part, own in zip(KIND_PARTS, KIND_OWN_TOKENS, strict=True)
        )
        time_s = begins_s
        while True:
            time_s += self._draw.expovariate(rate_tokens_per_s / mean_tokens)
            if time_s >= ends_s:
                return
            kind = self._draw.choices(range(len(KIND_PARTS)), KIND_PARTS)[0]
            own_tokens = round(KIND_OWN_TOKENS[kind] * self._draw.uniform(0.4, 1.6))
            self._ask_once(workspace, own_tokens, KIND_AIMS_S[kind], time_s)

    def _ask_once(self, workspace: str, own_tokens: int, aim_s: float, time_s: float) -> None:
        number = next(self._numbers)
        request_id = f"{workspace}{number}"
        session = number % 7 + 7 * ord(workspace)
        made = make_request(request_id, workspace, session, own_tokens, time_s, True)
        request = replace(made, aim_deadline_s=time_s + aim_s)
        tokens = request.prompt_tokens + 2 * request.output_tokens
        self.asked[request_id] = AskedPrompt(workspace, time_s, tokens, aim_s)
        router = self._draw.choice(self._routers)
        self.history.at(time_s, lambda: self.history.ask(router, request))
        self.history.at(time_s + RETRY_DELAY_S, lambda: self._retry(request, aim_s))

    def _retry(self, request: RequestSpecification, aim_s: float) -> None:
        """Send a refused request once more, to any router."""
        if not self.history.outcomes[request.request_id].refused_at_s:
            return
        again = replace(
            request,
            request_id=request.request_id + RETRY_SUFFIX,
            arrived_at_s=self.history.now_s,
            aim_deadline_s=self.history.now_s + aim_s,
        )
        self.history.ask(self.history.random.choice(self._routers), again)


def _count_tokens(own_tokens: int) -> int:
    """Return a request's mean tokens as shares count them."""
    request = make_request("", "", 0, own_tokens, 0.0, True)
    return request.prompt_tokens + 2 * request.output_tokens
