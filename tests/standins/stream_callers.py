"""Clients that take broken streams up at other routers and record the version of each event."""

import http.client
import random
import re
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.attempts import make_headers, new_id
from standins.nodes import Node

EVENT_PATTERN = re.compile(rb"id: ([0-9]+)\ndata: event [0-9]+ of ([^\n]+)\n\n")
STREAM_DEADLINE_S = 6.0
READ_TIMEOUT_S = 2.5
"""A client gives up on an attempt that has been silent for this long."""

MAX_WAIT_S = 1.5
MAX_ATTEMPTS = 6
SESSIONS = 12
MIN_OUTPUT_TOKENS = 100
MAX_OUTPUT_TOKENS = 480


@dataclass(slots=True)
class StreamAttempt:
    """One attempt of a client to begin a stream, or to take one up."""

    attempt_id: str
    router: str
    takes_up: bool
    """Whether events of the stream had arrived before."""
    status: int = 0
    versions: list[str] = field(default_factory=list)
    """The software version that wrote each event of this attempt."""


@dataclass(slots=True)
class StreamRecord:
    """One stream, over all attempts of its client."""

    attempts: list[StreamAttempt] = field(default_factory=list)
    event_ids: list[int] = field(default_factory=list)
    complete: bool = False

    @property
    def versions(self) -> set[str]:
        """Return the software versions that wrote its events."""
        return {version for attempt in self.attempts for version in attempt.versions}


class StreamCaller:
    """A client that begins one stream and takes it up at other routers until it is complete."""

    def __init__(self, list_nodes: Callable[[], list[Node]], path: str, seed: str) -> None:
        """Draw the stream.

        :param list_nodes: returns the routers; some of them may be down.
        """
        self.record = StreamRecord()
        self._list_nodes = list_nodes
        self._path = path
        self._draw = random.Random(seed)
        self._output_tokens = self._draw.randint(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS)
        session = self._draw.randrange(SESSIONS)
        self._parts = f"c0:100,{session:x}5e:100,{self._draw.getrandbits(32):x}:50"

    def run(self) -> None:
        """Send attempts until the stream is complete, or the deadline has passed."""
        deadline_s = time.monotonic() + STREAM_DEADLINE_S
        router = self._draw.randrange(len(self._list_nodes()))
        for number in range(MAX_ATTEMPTS):
            left_s = deadline_s - time.monotonic()
            if left_s <= 0 or self.record.complete:
                return
            nodes = self._list_nodes()
            wait_s = self._send(nodes[(router + number) % len(nodes)], left_s)
            time.sleep(max(min(wait_s, left_s / 3.0, MAX_WAIT_S), 0.0))

    def _send(self, node: Node, left_s: float) -> float:
        """Send one attempt; returns for how long its refusal says to wait."""
        attempt = StreamAttempt(new_id(), node.name, bool(self.record.event_ids))
        headers = make_headers(
            attempt.attempt_id, "dispatch", f"250,{self._output_tokens}", self._parts
        )
        headers["Deadline-Ms"] = str(int(left_s * 1000.0))
        if attempt.takes_up:
            headers["Last-Event-Id"] = str(self.record.event_ids[-1])
            headers["Resumes"] = next(
                one.attempt_id for one in self.record.attempts if one.versions
            )
        self.record.attempts.append(attempt)
        connection = http.client.HTTPConnection(node.ip, node.front_port, timeout=READ_TIMEOUT_S)
        try:
            connection.request("POST", self._path, new_id().encode(), headers)
            response = connection.getresponse()
            attempt.status = response.status
            if response.status == 200:
                self._read_events(attempt, response)
            return float(response.headers.get("Retry-After", "0"))
        except (http.client.HTTPException, OSError):
            return 0.0
        finally:
            connection.close()

    def _read_events(self, attempt: StreamAttempt, response: http.client.HTTPResponse) -> None:
        content = b""
        while piece := response.read1(65536):
            content += piece
            while found := EVENT_PATTERN.match(content):
                content = content[found.end() :]
                self.record.event_ids.append(int(found.group(1)))
                attempt.versions.append(found.group(2).decode())
        # An unterminated body raises above.
        self.record.complete = not content


@dataclass(slots=True)
class StreamLoad:
    """Streams that are begun at a steady rate, each by a client of its own."""

    list_nodes: Callable[[], list[Node]]
    path: str
    seed: int
    per_s: float
    records: list[StreamRecord] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)

    def run(self, seconds: float) -> None:
        """Begin streams for some seconds, and wait until all have ended."""
        started_s = time.monotonic()
        count = int(seconds * self.per_s)
        for number in range(count):
            time.sleep(max(started_s + number / self.per_s - time.monotonic(), 0.0))
            caller = StreamCaller(self.list_nodes, self.path, f"{self.seed}/{number}")
            self.records.append(caller.record)
            thread = threading.Thread(target=caller.run, daemon=True)
            self.threads.append(thread)
            thread.start()
        for thread in self.threads:
            thread.join()
