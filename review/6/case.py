"""A server spoils a few of its answers, and each of these stops a router for seconds."""

import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    ClosedError,
    Head,
    PlainServer,
    Reader,
    Record,
    Router,
    Store,
    connect,
    make_configuration,
    make_id,
    make_loopback_ips,
    make_request,
    make_route,
    run_case,
)

KEY = "asnmgkcuyj8pjbvk9m68"
TIMEOUT_S = 0.8
SLACK_S = 0.5
DEADLINE_S = 1.5
CLIENTS_PER_ROUTER = 12
PAUSE_S = 0.15
PLAY_S = 12.0
SPOIL_FROM_S = 3.0
SPOIL_FOR_S = 5.0
SPOILED_EACH = 50
"""One answer in so many is spoiled: x = 0.02."""

SPOILED_BYTES = 60_000
MIN_OUTLASTING = 8


@dataclass
class SpoilingServer(PlainServer):
    """A server that spoils some of its answers for a time: part of a head turns into blanks."""

    answers: int = 0
    spoils_until_s: float = 0.0
    spoiled: list[str] = field(default_factory=list)

    def _answer(self, head: Head, body: bytes) -> bytes:
        answer = super()._answer(head, body)
        if time.monotonic() >= self.spoils_until_s:
            return answer
        self.answers += 1
        if self.answers % SPOILED_EACH:
            return answer
        request_id = head.get("Attempt-Id") or ""
        self.spoiled.append(request_id)
        self.record.add(f"server {self.identifier} spoils its answer to {request_id}")
        blanks = b" " * SPOILED_BYTES
        return answer.replace(b"\r\n", b"\r\nServed-By: field" + blanks + b"ops\r\n", 1)


@dataclass
class Tally:
    """How long the requests at one router lasted."""

    sent: int = 0
    answered_in_time: int = 0
    outlasting: int = 0
    """Requests without an answer at their route's timeout."""
    lacking: int = 0
    """Those of them that had none half a second later either."""


def ask_forever(
    name: str, router: Router, tally: Tally, record: Record, end_s: float, lock: threading.Lock
) -> None:
    """Send requests one after the other; each waits for its answer until its deadline."""
    reader: Reader | None = None
    while time.monotonic() < end_s:
        request_id = make_id()
        fields = [
            ("Attempt-Id", request_id),
            ("Deadline-Ms", str(round(DEADLINE_S * 1000))),
            ("Authorization", f"Bearer {KEY}"),
        ]
        sent_at_s = time.monotonic()
        first = ""
        try:
            if reader is None:
                reader = connect(router.front, DEADLINE_S)
            reader.sock.settimeout(DEADLINE_S)
            reader.sock.sendall(make_request("GET", "/setpoint/17", fields))
            head = reader.read_head()
            reader.read_body(head)
            first = head.first
            if (head.get("Connection") or "").lower() == "close":
                reader.sock.close()
                reader = None
        except (OSError, ClosedError) as error:
            first = f"no answer, {type(error).__name__}"
            if reader is not None:
                reader.sock.close()
            reader = None
        lasted_s = time.monotonic() - sent_at_s
        record.add(f"{name}: {request_id} ended after {lasted_s:.3f} s: {first}")
        with lock:
            tally.sent += 1
            tally.answered_in_time += lasted_s < TIMEOUT_S
            tally.outlasting += lasted_s >= TIMEOUT_S
            tally.lacking += lasted_s >= TIMEOUT_S + SLACK_S
        time.sleep(PAUSE_S)


def play(record: Record, work: Path, has_trouble: bool, routers: list[Router]) -> str:
    """Play the case; return its result."""
    ips = make_loopback_ips(5)
    store = Store(ips[0])
    servers = [SpoilingServer(ip, record) for ip in ips[1:3]]
    for server in servers:
        server.register(store)
    route = make_route("setpoint", "idempotent")
    tenants = [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}]
    store.put("op/config", make_configuration(7, [route], tenants))
    seeds: list[str] = []
    for ip in ips[3:]:
        router = Router(ip, store, work, seeds)
        seeds.append(router.control)
        routers.append(router)
        router.start()
    if not all(router.wait_until_ready() for router in routers):
        return NOT_RUN
    time.sleep(1.0)

    lock = threading.Lock()
    began_s = time.monotonic()
    tallies = {router.ip: Tally() for router in routers}
    threads = [
        threading.Thread(
            target=ask_forever,
            args=(
                f"client {number} at {router.ip}",
                router,
                tallies[router.ip],
                record,
                began_s + PLAY_S,
                lock,
            ),
        )
        for router in routers
        for number in range(CLIENTS_PER_ROUTER)
    ]
    for thread in threads:
        thread.start()
    time.sleep(SPOIL_FROM_S)
    if has_trouble:
        record.add(f"server {servers[0].identifier} begins to spoil one answer in {SPOILED_EACH}")
        servers[0].spoils_until_s = time.monotonic() + SPOIL_FOR_S
    for thread in threads:
        thread.join()

    outlasting = sum(tally.outlasting for tally in tallies.values())
    lacking = sum(tally.lacking for tally in tallies.values())
    for ip, tally in tallies.items():
        record.add(f"at {ip}: {tally}")
    record.add(
        f"{len(servers[0].spoiled)} answers were spoiled; of {outlasting} requests that outlasted "
        f"TimeoutMs, {lacking} had no answer {SLACK_S} s later"
    )
    is_broken = lacking >= MIN_OUTLASTING and 2 * lacking > outlasting
    return BROKEN if is_broken else HELD


run_case(FOLDER, play)
