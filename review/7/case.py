"""One answer too many makes a router take back a request that its server runs."""

import random
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
    make_answer,
    make_configuration,
    make_id,
    make_loopback_ips,
    make_request,
    make_route,
    run_case,
)

KEY = "asnmgkcuyj8pjbvk9m68"
DEADLINE_S = 1.5
CLIENTS = 16
PAUSE_S = 0.1
SPELLS = 10
SPELL_S = 5.0
"""The site's entry lasts for_s = 5.0; it may come more than once."""

CALM_S = 2.0
PLAY_S = SPELLS * (SPELL_S + CALM_S)
FULL_PART = 0.1
"""Part of the requests that find a server full, as others send it work too."""

EXTRA_PART = 0.03
"""Part of the answers that a faulty server sends once more, late."""

PROMISES = ("408", "421", "429", "503")


@dataclass
class FullServer(PlainServer):
    """A server that is full now and then, and may send answers twice."""

    is_faulty: bool = False
    extras: list[str] = field(default_factory=list)

    def _handle(self, sock: object) -> None:
        reader = Reader(sock)  # type: ignore[arg-type]
        extra = b""
        while True:
            head = reader.read_head()
            body = reader.read_body(head)
            request_id = head.get("Attempt-Id") or ""
            if extra:
                # In the place where the next answer is due.
                reader.sock.sendall(extra)
                self.record.add(f"server {self.identifier} sends its last answer once more")
            answer = self._decline_or_answer(head, body)
            reader.sock.sendall(answer)
            extra = b""
            if self.is_faulty and random.random() < EXTRA_PART:
                extra = answer
                self.extras.append(request_id)

    def _decline_or_answer(self, head: Head, body: bytes) -> bytes:
        request_id = head.get("Attempt-Id") or ""
        if random.random() >= FULL_PART:
            return self._answer(head, body)
        self.record.add(f"server {self.identifier} is full, and does not run {request_id}")
        fields = [("Attempt-Id", request_id), ("Not-Executed", "1")]
        return make_answer("503 Service Unavailable", fields, b"")


def ask_forever(
    name: str, router: Router, record: Record, end_s: float, statuses: dict[str, str]
) -> None:
    """Send requests one after the other on a kept connection."""
    reader: Reader | None = None
    while time.monotonic() < end_s:
        request_id = make_id()
        fields = [
            ("Attempt-Id", request_id),
            ("Deadline-Ms", str(round(DEADLINE_S * 1000))),
            ("Authorization", f"Bearer {KEY}"),
        ]
        try:
            if reader is None:
                reader = connect(router.front, DEADLINE_S)
            reader.sock.settimeout(DEADLINE_S)
            reader.sock.sendall(make_request("POST", "/valve/17", fields, b'{"turn":1}'))
            head = reader.read_head()
            reader.read_body(head)
            statuses[request_id] = head.first.split(" ")[1]
            if (head.get("Connection") or "").lower() == "close":
                reader.sock.close()
                reader = None
        except (OSError, ClosedError) as error:
            statuses[request_id] = type(error).__name__
            if reader is not None:
                reader.sock.close()
            reader = None
        record.add(f"{name}: {request_id} ended with {statuses[request_id]}")
        time.sleep(PAUSE_S)


def play(record: Record, work: Path, has_trouble: bool, routers: list[Router]) -> str:
    """Play the case; return its result."""
    ips = make_loopback_ips(4)
    store = Store(ips[0])
    servers = [FullServer(ip, record, is_faulty=False) for ip in ips[1:3]]
    for server in servers:
        server.register(store)
    route = make_route("valve", "non_idempotent", MaxAttempts=2)
    tenants = [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}]
    store.put("op/config", make_configuration(7, [route], tenants))
    router = Router(ips[3], store, work)
    routers.append(router)
    router.start()
    if not router.wait_until_ready():
        return NOT_RUN
    time.sleep(1.0)

    statuses: dict[str, str] = {}
    end_s = time.monotonic() + PLAY_S
    threads = [
        threading.Thread(
            target=ask_forever, args=(f"client {number}", router, record, end_s, statuses)
        )
        for number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for _ in range(SPELLS):
        time.sleep(CALM_S)
        servers[0].is_faulty = has_trouble
        record.add(f"server {servers[0].identifier} sends answers twice: {has_trouble}")
        time.sleep(SPELL_S)
        servers[0].is_faulty = False
    for thread in threads:
        thread.join()
    time.sleep(DEADLINE_S)

    runs: dict[str, int] = {}
    for run in (run for server in servers for run in server.runs):
        runs[run.request_id] = runs.get(run.request_id, 0) + 1
    broken = [one for one, status in statuses.items() if status in PROMISES and one in runs]
    for request_id in broken:
        record.add(f"{request_id} was answered with {statuses[request_id]}, and has been run")
    twice = [one for one, count in runs.items() if count > 1]
    promised = sum(status in PROMISES for status in statuses.values())
    record.add(
        f"of {len(statuses)} requests that may not be repeated, {promised} were refused, of which "
        f"{len(broken)} had been run; {len(twice)} were run twice; "
        f"{len(servers[0].extras)} answers were sent twice"
    )
    return BROKEN if broken or twice else HELD


run_case(FOLDER, play)
