"""Entries that another writer leaves in the store end the routers that read them, again and again.

Exits with 1 if processes of two or more routers ended by themselves three times, with 0 if not,
and with 2 if the case can't run.
"""

import os
import sys
import tempfile
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins.clients import send_request  # noqa: E402
from standins.fleets import STORE_PORT, CannotRunError, Fleet, Router  # noqa: E402
from standins.records import Record  # noqa: E402
from standins.servers import PlainServer  # noqa: E402
from standins.services import HOST, PATH, SERVICE, make_configuration  # noqa: E402
from standins.store import Store  # noqa: E402

CALM_S = 5.0
ENTRIES = 4
ENTRY_INTERVAL_S = 7.0
"""The servers of the other writer start one after the other."""

EXCUSED_S = 1.0
"""Rule Own ends: an end within a second of a disruption, such as a start, isn't counted."""

RESTART_DELAY_S = 1.0
"""The platform starts a process that has ended again after a short delay."""

MAX_ENDS = 3
"""Rule Fault: processes end on their own three times in the day ..."""

MIN_MACHINES = 2
"""... on a tenth of the machines in use, at least two."""

FOREIGN_ENTRY = {
    "Service": "reports",
    "Address": "127.0.0.1:9000",
    "Zone": "hall-a",
    "Version": "v1",
    "SlotCount": 4,
    "State": "ready",
    "ColdRemainingMs": 1.8446744073709552e19,
    "SequenceNumber": 1,
}
"""An entry of another writer, of a service that is not configured. Its remaining time is no
whole number but a float: a program has converted the greatest unsigned number of 64 bits."""


def send_forever(record: Record, router: Router, statuses: list[tuple[float, int]]) -> None:
    """Send requests to one router, a few each second."""
    while True:
        began_s = record.now_s()
        statuses.append((began_s, send_request(record, router.ip, HOST, PATH, 1500)))
        time.sleep(0.2)


def play(folder: Path, record: Record, has_trouble: bool) -> int:
    """Play the case once; returns the exit status."""
    fleet = Fleet(folder, record)
    store = Store(fleet.store_ip, STORE_PORT)
    for number, router in enumerate(fleet.routers[:3]):
        ip = fleet.server_ips[number]
        server = PlainServer(ip, 0, f"i-{number}", SERVICE, router.zone, record)
        store.put(f"servers/{server.instance}", server.make_entry())
    store.put("op/config", make_configuration())
    try:
        fleet.start_all()
        return watch(fleet, store, record, has_trouble)
    finally:
        fleet.stop_all()


def watch(fleet: Fleet, store: Store, record: Record, has_trouble: bool) -> int:
    """Send requests, write the entry, and count the processes that end; returns the status."""
    statuses: list[tuple[float, int]] = []
    for router in fleet.routers:
        arguments = (record, router, statuses)
        threading.Thread(target=send_forever, args=arguments, daemon=True).start()
    time.sleep(CALM_S)
    written_s = record.now_s()
    written = 0
    due_s = written_s
    restarts: dict[str, float] = {}
    while record.now_s() < written_s + ENTRIES * ENTRY_INTERVAL_S:
        time.sleep(0.05)
        if has_trouble and written < ENTRIES and record.now_s() >= due_s:
            written += 1
            due_s += ENTRY_INTERVAL_S
            store.put(f"servers/i-other-{written}", FOREIGN_ENTRY)
            record.add("entry of another writer", number=written, entry=FOREIGN_ENTRY)
        for router in fleet.routers:
            if fleet.note_own_end(router, EXCUSED_S):
                restarts[router.name] = record.now_s() + RESTART_DELAY_S
            elif router.process is None and record.now_s() >= restarts[router.name]:
                fleet.start(router)
    return judge(fleet, record, statuses, written_s)


def judge(fleet: Fleet, record: Record, statuses: list[tuple[float, int]], written_s: float) -> int:
    """Report what was seen; returns the exit status."""
    before = [status for sent_s, status in statuses if sent_s < written_s]
    after = [status for sent_s, status in statuses if sent_s >= written_s]
    if not before or before.count(200) < len(before) // 2:
        raise CannotRunError("the fleet didn't serve before the entry was written")
    ends = {router.name: len(router.own_ends) for router in fleet.routers}
    broken = sum(count >= MAX_ENDS for count in ends.values()) >= MIN_MACHINES
    summary = {
        "own_ends": ends,
        "served_before": f"{before.count(200)} of {len(before)}",
        "served_after": f"{after.count(200)} of {len(after)}",
        "rule": "broken" if broken else "held",
    }
    record.add("result", **summary)
    print(summary)
    return 1 if broken else 0


def main() -> int:
    """Play the case in a temporary folder; returns the exit status."""
    record = Record(CASE / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            return play(Path(folder), record, has_trouble)
        except Exception as error:
            record.add("cannot run", error=repr(error))
            print(f"cannot run: {error!r}", file=sys.stderr)
            return 2


if __name__ == "__main__":
    os_status = main()
    sys.stdout.flush()
    os._exit(os_status)
