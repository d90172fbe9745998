"""Callers that keep connections open, come back as told, and note what they saw.

A process of its own: reads one JSON order on standard input, prints one JSON list.
"""

import eventlet

eventlet.monkey_patch()

import hashlib  # noqa: E402
import http.client  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import re  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from dataclasses import asdict, dataclass, field  # noqa: E402
from typing import Any  # noqa: E402

from emulator.sites import HOST, KEYS  # noqa: E402

DEADLINE_S = 4.0
HOLD_MARGIN_S = 2.0
"""An answer this long after the deadline is late."""

OUTPUT_TOKENS = 30
LAST_EVENT = 10
LAST_EVENT_ID = re.compile(rb"id: ([0-9]+)\n")
PATHS = {"/diagnosis/a": "POST", "/summary/a": "POST", "/valve/a": "POST", "/setpoint/a": "GET"}
STREAMED = ("/diagnosis/a", "/summary/a")


@dataclass(slots=True)
class Seen:
    """One attempt and what its caller saw."""

    attempt_id: str
    path: str
    router: str
    started_s: float
    ended_s: float = 0.0
    status: int = 0
    """0 when the connection ended without an answer."""
    broken: bool = False
    """The answer began and did not end properly."""
    timed_out: bool = False
    retry_after: bool = False
    seal: str = ""
    shown_id: str = ""
    content_digest: str = ""
    event_ids: list[int] = field(default_factory=list)
    server_leaves: bool = False
    """The answer says that its server leaves."""


class Caller:
    """One caller with one kept connection."""

    def __init__(self, routers: list[str], seed: str, seen: list[Seen]) -> None:
        self._routers = routers
        self._draw = random.Random(seed)
        self._seen = seen
        self._router = ""
        self._connection: http.client.HTTPConnection | None = None

    def run(self, end_s: float, pause_s: float) -> None:
        """Send one request after another until the end."""
        while time.monotonic() < end_s:
            eventlet.sleep(self._draw.expovariate(1.0 / pause_s))
            seen = self._ask()
            if seen.status == 503:
                eventlet.sleep(0.2)

    def _ask(self) -> Seen:
        path = self._draw.choice(list(PATHS))
        attempt_id = f"{self._draw.getrandbits(64):016x}"
        if self._connection is None:
            self._router = self._draw.choice(self._routers)
            ip, _, port = self._router.rpartition(":")
            patience_s = DEADLINE_S + HOLD_MARGIN_S
            self._connection = http.client.HTTPConnection(ip, int(port), timeout=patience_s)
        seen = Seen(attempt_id, path, self._router, time.monotonic())
        self._seen.append(seen)
        try:
            self._exchange(seen)
        except TimeoutError:
            seen.timed_out = True
            self._drop()
        except (http.client.HTTPException, OSError):
            seen.broken = seen.status != 0
            self._drop()
        seen.ended_s = time.monotonic()
        return seen

    def _exchange(self, seen: Seen) -> None:
        assert self._connection is not None
        method = PATHS[seen.path]
        body = None if method == "GET" else seen.attempt_id.encode()
        self._connection.request(method, seen.path, body, self._headers(seen))
        response = self._connection.getresponse()
        seen.status = response.status
        seen.seal = response.headers.get("Response-Seal", "")
        seen.shown_id = response.headers.get("Attempt-Id", "")
        seen.retry_after = "Retry-After" in response.headers
        seen.server_leaves = "Server-Leaving" in response.headers
        content = response.read()
        seen.content_digest = hashlib.sha256(content).hexdigest()
        if seen.path in STREAMED and seen.status == 200:
            seen.event_ids = [int(number) for number in LAST_EVENT_ID.findall(content)]
        if response.will_close:
            self._drop()

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _headers(self, seen: Seen) -> dict[str, str]:
        workspace = self._draw.choice(list(KEYS))
        headers = {
            "Host": HOST,
            "Attempt-Id": seen.attempt_id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {KEYS[workspace]}",
        }
        if seen.path in STREAMED:
            own = self._draw.randrange(1, 1500)
            session = self._draw.randrange(12)
            headers["Model-Name"] = "m"
            headers["Token-Counts"] = f"{1000 + own},{OUTPUT_TOKENS}"
            parts = f"c0:400,{session:x}5e:600,{self._draw.getrandbits(32):x}:{own}"
            headers["Prompt-Prefix"] = parts
        return headers


def main() -> None:
    """Run all callers of one order."""
    order: dict[str, Any] = json.load(sys.stdin)
    seen: list[Seen] = []
    end_s = time.monotonic() + order["seconds"]
    callers = [
        Caller(order["routers"], f"{order['seed']}/{number}", seen)
        for number in range(order["callers"])
    ]
    tasks = [eventlet.spawn(caller.run, end_s, order["pause_s"]) for caller in callers]
    for task in tasks:
        task.wait()
    print(json.dumps([asdict(one) for one in seen]))


if __name__ == "__main__":
    main()
