"""Clients of the soak, which reuse their connections and record the outcome of each attempt.

Runs as a separate process: reads one JSON order from standard input and prints one JSON list.
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
TIMEOUT_MARGIN_S = 2.0
"""A client waits this much longer than its deadline before the attempt counts as timed out."""

OUTPUT_TOKENS = 30
LAST_EVENT_NUMBER = 10
EVENT_PATTERN = re.compile(rb"id: ([0-9]+)\ndata: event [0-9]+ of ([^\n]+)\n\n")
RESUMABLE_PATH = "/diagnosis/a"
PATHS = {"/diagnosis/a": "POST", "/summary/a": "POST", "/valve/a": "POST", "/setpoint/a": "GET"}
STREAMED = ("/diagnosis/a", "/summary/a")


@dataclass(slots=True)
class AttemptRecord:
    """One attempt and its outcome, as its client saw it."""

    attempt_id: str
    path: str
    router: str
    started_s: float
    ended_s: float = 0.0
    status: int = 0
    """0 if the connection ended without an answer."""
    broken: bool = False
    """Whether the answer began and did not end properly."""
    timed_out: bool = False
    retry_after: bool = False
    seal: str = ""
    shown_id: str = ""
    content_digest: str = ""
    event_ids: list[int] = field(default_factory=list)
    server_leaves: bool = False
    """Whether the answer announced that its server leaves."""
    longest_pause_s: float = 0.0
    """The longest time between two events of a stream, as they arrived."""
    workspace: str = ""
    first_attempt_id: str = ""
    """The attempt that brought the first event of the stream that this one takes up; empty if it
    takes none up."""
    last_event_id: int = 0
    """The last event that had arrived before this attempt."""
    software_versions: list[str] = field(default_factory=list)
    """The software version that wrote each event."""
    sent_whole: bool = False
    reused: bool = False
    """Whether its connection had carried a request before."""


class Caller:
    """One client with one persistent connection."""

    def __init__(self, routers: list[str], seed: str, records: list[AttemptRecord]) -> None:
        self._routers = routers
        self._draw = random.Random(seed)
        self._records = records
        self._router = ""
        self._connection: http.client.HTTPConnection | None = None
        self._broken: AttemptRecord | None = None
        """The last attempt, if it broke off and may be taken up."""

    def run(self, end_s: float, pause_s: float) -> None:
        """Send requests one after another until the end."""
        while time.monotonic() < end_s:
            eventlet.sleep(self._draw.expovariate(1.0 / pause_s))
            record = self._send_attempt()
            if record.status == 503:
                eventlet.sleep(0.2)

    def _send_attempt(self) -> AttemptRecord:
        path = self._draw.choice(list(PATHS))
        workspace = self._draw.choice(list(KEYS))
        attempt_id = f"{self._draw.getrandbits(64):016x}"
        broken, self._broken = self._broken, None
        if self._connection is None:
            self._router = self._draw.choice(self._routers)
            ip, _, port = self._router.rpartition(":")
            timeout_s = DEADLINE_S + TIMEOUT_MARGIN_S
            self._connection = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
        record = AttemptRecord(
            attempt_id, path, self._router, time.monotonic(), workspace=workspace
        )
        record.reused = self._connection.sock is not None
        if broken is not None:
            _take_up(record, broken)
        self._records.append(record)
        try:
            self._exchange(record)
        except TimeoutError:
            record.timed_out = True
            self._close_connection()
        except (http.client.HTTPException, OSError):
            record.broken = record.status != 0
            self._close_connection()
        is_partial = record.broken or record.timed_out
        if record.path == RESUMABLE_PATH and is_partial and _find_last_event_id(record):
            self._broken = record
        record.ended_s = time.monotonic()
        return record

    def _exchange(self, record: AttemptRecord) -> None:
        assert self._connection is not None
        method = PATHS[record.path]
        body = None if method == "GET" else record.attempt_id.encode()
        self._connection.request(method, record.path, body, self._make_headers(record))
        record.sent_whole = True
        response = self._connection.getresponse()
        record.status = response.status
        record.seal = response.headers.get("Response-Seal", "")
        record.shown_id = response.headers.get("Attempt-Id", "")
        record.retry_after = "Retry-After" in response.headers
        record.server_leaves = "Server-Leaving" in response.headers
        content = self._read_content(record, response)
        record.content_digest = hashlib.sha256(content).hexdigest()
        if response.will_close:
            self._close_connection()

    def _read_content(self, record: AttemptRecord, response: http.client.HTTPResponse) -> bytes:
        if record.path not in STREAMED:
            return response.read()
        content = b""
        last_event_at_s = 0.0
        while piece := response.read1():
            content += piece
            if record.status == 200:
                _record_events(record, content)
            if b"id: " not in piece:
                continue
            now_s = time.monotonic()
            if last_event_at_s:
                record.longest_pause_s = max(record.longest_pause_s, now_s - last_event_at_s)
            last_event_at_s = now_s
        # Reading on to the end makes the connection free for the next request.
        return content + response.read()

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _make_headers(self, record: AttemptRecord) -> dict[str, str]:
        headers = {
            "Host": HOST,
            "Attempt-Id": record.attempt_id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {KEYS[record.workspace]}",
        }
        if record.first_attempt_id:
            headers["Last-Event-Id"] = str(record.last_event_id)
            headers["Resumes"] = record.first_attempt_id
        if record.path in STREAMED:
            unique_tokens = self._draw.randrange(1, 1500)
            session = self._draw.randrange(12)
            headers["Model-Name"] = "m"
            headers["Token-Counts"] = f"{1000 + unique_tokens},{OUTPUT_TOKENS}"
            parts = f"c0:400,{session:x}5e:600,{self._draw.getrandbits(32):x}:{unique_tokens}"
            headers["Prompt-Prefix"] = parts
        return headers


def _take_up(record: AttemptRecord, broken: AttemptRecord) -> None:
    """Make an attempt take up the stream of one that broke off."""
    record.path = broken.path
    record.workspace = broken.workspace
    record.first_attempt_id = broken.first_attempt_id or broken.attempt_id
    record.last_event_id = _find_last_event_id(broken)


def _find_last_event_id(record: AttemptRecord) -> int:
    return record.event_ids[-1] if record.event_ids else record.last_event_id


def _record_events(record: AttemptRecord, content: bytes) -> None:
    """Record the whole events that have arrived so far."""
    found = EVENT_PATTERN.findall(content)
    record.event_ids = [int(number) for number, _ in found]
    record.software_versions = [version.decode() for _, version in found]


def main() -> None:
    """Run all clients of one order and print their attempts."""
    order: dict[str, Any] = json.load(sys.stdin)
    records: list[AttemptRecord] = []
    end_s = time.monotonic() + order["seconds"]
    callers = [
        Caller(order["routers"], f"{order['seed']}/{number}", records)
        for number in range(order["callers"])
    ]
    tasks = [eventlet.spawn(caller.run, end_s, order["pause_s"]) for caller in callers]
    for task in tasks:
        task.wait()
    print(json.dumps([asdict(record) for record in records]))


if __name__ == "__main__":
    main()
