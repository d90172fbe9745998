"""A closed-loop load generator: each client sends its next request after the last answer.

Runs as a separate process: reads one JSON order from standard input and prints one JSON
report when it is done.
"""

import eventlet

eventlet.monkey_patch()

import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from typing import Any  # noqa: E402

import urllib3  # noqa: E402

EVENT_MARK = b"data: "
CALL_TIMEOUT_S = 300.0


class Callers:
    """All clients of one order, and what they measured."""

    def __init__(self, order: dict[str, Any]) -> None:
        self.order = order
        self.end_s = time.monotonic() + order["seconds"]
        self.draw = random.Random(order["seed"])
        self.http = urllib3.PoolManager(maxsize=4096, num_pools=512, retries=False)
        self.statuses: Counter[str] = Counter()
        self.first_s: list[float] = []
        self.elapsed_s: list[float] = []
        self.gaps_s: list[float] = []
        self.events = 0

    def run(self) -> dict[str, Any]:
        """Run all clients until the end and return the report."""
        tasks = [
            eventlet.spawn(self._run_caller, group)
            for group in self.order["groups"]
            for _ in range(group["callers"])
        ]
        for task in tasks:
            task.wait()
        return {
            "statuses": dict(self.statuses),
            "first_s": self.first_s,
            "elapsed_s": self.elapsed_s,
            "gaps_s": self.gaps_s,
            "events": self.events,
        }

    def _run_caller(self, group: dict[str, Any]) -> None:
        eventlet.sleep(self.draw.random() * group.get("spread_s", 0.2))
        while time.monotonic() < self.end_s:
            tokens = max(1, int(group["tokens"] * self.draw.lognormvariate(-0.35, 0.83)))
            if group.get("fixed"):
                tokens = group["tokens"]
            self._send_request(group, tokens)
            if group.get("pause_s"):
                eventlet.sleep(group["pause_s"] * (0.5 + self.draw.random()))

    def _send_request(self, group: dict[str, Any], tokens: int) -> None:
        body, path = _make_request(group, tokens, self.draw)
        headers = {"Authorization": f"Bearer {group['key']}"}
        started_s = time.monotonic()
        try:
            response = self.http.request(
                "POST", f"http://{group['address']}{path}", body=body, headers=headers,
                preload_content=False, timeout=CALL_TIMEOUT_S,
            )  # fmt: skip
            if group.get("stream"):
                self._read_stream(response, started_s)
            else:
                response.read()
            response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError):
            self.statuses["broken"] += 1
            eventlet.sleep(0.1)
            return
        self.statuses[str(response.status)] += 1
        self.elapsed_s.append(time.monotonic() - started_s)
        if response.status != 200:
            eventlet.sleep(0.1)

    def _read_stream(self, response: urllib3.BaseHTTPResponse, started_s: float) -> None:
        last_s = None
        while chunk := response.read1(65536):
            now_s = time.monotonic()
            count = chunk.count(EVENT_MARK)
            if count == 0:
                continue
            self.events += count
            if last_s is None:
                self.first_s.append(now_s - started_s)
            else:
                self.gaps_s.append(now_s - last_s)
            last_s = now_s


def _make_request(group: dict[str, Any], tokens: int, draw: random.Random) -> tuple[bytes, str]:
    messages = [{"role": "user", "content": "bench asks"}]
    if group.get("direct"):
        content = {
            "request_id": f"direct/{draw.getrandbits(64):x}",
            "attempt": 1,
            "priority": 0.0,
            "remaining_ms": 60_000,
            "model": "diagnosis",
            "messages": messages,
            "max_tokens": tokens,
        }
        return json.dumps(content).encode(), "/v1/runs"
    chat = {
        "model": "diagnosis",
        "messages": messages,
        "max_tokens": tokens,
        "stream": bool(group.get("stream")),
    }
    return json.dumps(chat).encode(), "/v1/chat/completions"


def main() -> None:
    """Run the generator."""
    print(json.dumps(Callers(json.load(sys.stdin)).run()))


if __name__ == "__main__":
    main()
