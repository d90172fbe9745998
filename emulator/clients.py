"""Load generator with open-loop arrivals that retries as ``Retry-After`` says.

Runs as a separate process: reads one JSON order from standard input and prints one JSON
report. Requests start at the ordered rate, whether earlier ones have been answered or not.
"""

import eventlet

eventlet.monkey_patch()

import http.client  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402
from typing import Any  # noqa: E402

from hdrh.histogram import HdrHistogram  # noqa: E402

from emulator.sites import HOST, KEYS  # noqa: E402

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
DEADLINE_S = 6.0
RETRIES = 1
SESSIONS = 20
COMMON_PREFIX_TOKENS = 400
SESSION_PREFIX_TOKENS = 600
MEAN_UNIQUE_TOKENS = 500
OUTPUT_TOKENS = 30
PLAIN_PATH = "/setpoint/a"


@dataclass(slots=True)
class RouteTally:
    """Latencies and outcomes of the requests on one route."""

    first_byte: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    statuses: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)


class Clients:
    """All clients that one order asks for."""

    def __init__(self, order: dict[str, Any]) -> None:
        self.order = order
        self.draw = random.Random(order["seed"])
        self.tallies = {path: RouteTally() for path in ("/diagnosis/a", "/summary/a", PLAIN_PATH)}

    def run(self) -> dict[str, Any]:
        """Send requests at the ordered rate until the end, then wait for the last answers."""
        end_s = time.monotonic() + self.order["seconds"]
        tasks = []
        while time.monotonic() < end_s:
            tasks.append(eventlet.spawn(self._send_with_retries))
            eventlet.sleep(self.draw.expovariate(self.order["rate_per_s"]))
        for task in tasks:
            task.wait()
        return {path: _summarize_tally(tally) for path, tally in self.tallies.items()}

    def _send_with_retries(self) -> None:
        path = self.draw.choice(list(self.tallies))
        workspace = "planners" if self.draw.random() < self.order["flood_part"] else "dispatch"
        for attempt in range(RETRIES + 1):
            wait_s = self._send_attempt(path, workspace)
            if wait_s is None or attempt == RETRIES:
                return
            eventlet.sleep(min(wait_s, DEADLINE_S / 3.0))

    def _send_attempt(self, path: str, workspace: str) -> float | None:
        """Send one attempt; returns the delay before a retry, or None if none is due."""
        targets = self.order["targets"][path]
        ip, _, port = self.draw.choice(targets).rpartition(":")
        tally = self.tallies[path]
        started_s = time.monotonic()
        connection = http.client.HTTPConnection(ip, int(port), timeout=DEADLINE_S)
        try:
            method = "GET" if path == PLAIN_PATH else "POST"
            body = None if method == "GET" else b"x" * 1000
            connection.request(method, path, body, self._make_headers(path, workspace))
            response = connection.getresponse()
            first = response.read1(65536)
            if response.status == 200:
                elapsed_us = int((time.monotonic() - started_s) * 1e6)
                tally.first_byte.record_value(min(max(elapsed_us, 1), MAX_LATENCY_US))
            content = first + response.read()
            tally.statuses[str(response.status)] += 1
            if response.status != 503:
                return None
            tally.refusals[json.loads(content)["error"]["code"]] += 1
            return float(response.headers.get("Retry-After", "0.1"))
        except (http.client.HTTPException, OSError):
            tally.statuses["broken"] += 1
            return None
        finally:
            connection.close()

    def _make_headers(self, path: str, workspace: str) -> dict[str, str]:
        headers = {
            "Host": HOST,
            "Attempt-Id": f"{self.draw.getrandbits(64):016x}",
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {KEYS[workspace]}",
        }
        if path == PLAIN_PATH:
            return headers
        session = self.draw.randrange(SESSIONS)
        own = int(self.draw.lognormvariate(0.0, 0.8) * MEAN_UNIQUE_TOKENS) + 1
        prompt = COMMON_PREFIX_TOKENS + SESSION_PREFIX_TOKENS + own
        headers["Token-Counts"] = f"{prompt},{OUTPUT_TOKENS}"
        parts = f"c0:{COMMON_PREFIX_TOKENS},{session:x}5e:{SESSION_PREFIX_TOKENS}"
        headers["Prompt-Prefix"] = f"{parts},{self.draw.getrandbits(32):x}:{own}"
        return headers


def _summarize_tally(tally: RouteTally) -> dict[str, Any]:
    histogram = tally.first_byte
    percentiles = (50.0, 90.0, 99.0)
    return {
        "statuses": dict(tally.statuses),
        "refusals": dict(tally.refusals),
        "first_byte_ms": {
            f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000.0
            for percentile in percentiles
        },
        "curve_ms": [
            histogram.get_value_at_percentile(float(percentile)) / 1000.0
            for percentile in range(1, 100)
        ],
    }


if __name__ == "__main__":
    print(json.dumps(Clients(json.load(sys.stdin)).run()))
