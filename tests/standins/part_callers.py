"""Clients whose prompts share parts, some of which end each engine that runs them."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.attempts import make_headers, new_id, send
from standins.nodes import Node

TIMEOUT_S = 6.0


@dataclass(slots=True)
class SentRequest:
    """One attempt, and when it was sent."""

    attempt_id: str
    sent_at_s: float
    status: int = 0
    broken: bool = False


@dataclass(slots=True)
class PartLoad:
    """Requests at a steady rate whose prompts begin with the same parts."""

    list_nodes: Callable[[], list[Node]]
    workspace: str
    paths: tuple[str, ...]
    shared_parts: tuple[str, ...]
    """The ids of the parts before the last one, of 100 tokens each; the last one is unique."""
    per_s: float
    seed: int
    sent: list[SentRequest] = field(default_factory=list)

    def run(self, seconds: float, stopped: threading.Event) -> None:
        """Send requests until the time is over or the load is stopped; wait for all answers."""
        draw = random.Random(self.seed)
        threads = []
        started_s = time.monotonic()
        for number in range(int(seconds * self.per_s)):
            wait_s = started_s + number / self.per_s - time.monotonic()
            if stopped.wait(max(wait_s, 0.0)):
                break
            node = draw.choice(self.list_nodes())
            thread = threading.Thread(target=self._send, args=(node, draw.choice(self.paths)))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _send(self, node: Node, path: str) -> None:
        request = SentRequest(new_id(), time.monotonic())
        self.sent.append(request)
        parts = ",".join(f"{part}:100" for part in self.shared_parts)
        headers = make_headers(
            request.attempt_id,
            self.workspace,
            f"{100 * len(self.shared_parts) + 50},30",
            f"{parts},{request.attempt_id}:50",
        )
        body = request.attempt_id.encode()
        attempt = send(node, "POST", path, headers, body, TIMEOUT_S)
        request.status = attempt.status
        request.broken = attempt.broken
