"""The last keys of a deployment are taken away, and requests without a key are run after that."""

import http.client
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    NOT_RUN,
    PlainServer,
    Record,
    Router,
    Store,
    make_configuration,
    make_id,
    make_loopback_ips,
    make_route,
    run_case,
)

TENANT = "hule930"
KEYS = ["asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"]
NEVER_HELD = "x4kq0zr7tn2m9dd81uvb"
REVOKE_GAP_S = 1.5
CONFIG_APPLY_S = 2.0
MARGIN_S = 1.0
PROBES = 5


class Client:
    """A client that keeps its connection, as long as the router does."""

    def __init__(self, name: str, router: Router, key: str | None, record: Record) -> None:
        self.name = name
        self._key = key
        self._record = record
        self._connection = http.client.HTTPConnection(*router.front, timeout=5.0)

    def ask(self) -> tuple[str, int]:
        """Send a request; return its id and the answer's status."""
        request_id = make_id()
        fields = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Ms": "1500"}
        if self._key is not None:
            fields["Authorization"] = f"Bearer {self._key}"
        body = b'{"valve":"V-17"}'
        self._record.add(f"{self.name} sends {request_id}")
        self._connection.request("POST", "/valve/turn", body=body, headers=fields)
        answer = self._connection.getresponse()
        answer.read()
        sealed = answer.getheader("Response-Seal") is not None
        self._record.add(f"{self.name} gets {answer.status} for {request_id}, sealed: {sealed}")
        return request_id, answer.status


def play(record: Record, work: Path, has_trouble: bool, routers: list[Router]) -> str:
    """Play the case; return its result."""
    ips = make_loopback_ips(4)
    store = Store(ips[0])
    server = PlainServer(ips[1], record)
    server.register(store)
    route = make_route("valve", "non_idempotent")

    def write_keys(version: int, keys: list[str]) -> None:
        tenants = [{"Name": TENANT, "ApiKeys": keys, "Priority": 1}]
        store.put("op/config", make_configuration(version, [route], tenants))
        record.add(f"version {version} is acknowledged; {TENANT} has {len(keys)} keys")

    write_keys(7, KEYS)
    seeds = []
    for ip in ips[2:]:
        router = Router(ip, store, work, seeds)
        seeds.append(router.control)
        routers.append(router)
        router.start()
    if not all(router.wait_until_ready() for router in routers):
        return NOT_RUN

    holders = [
        Client(f"holder of key {number} at {router.ip}", router, key, record)
        for router in routers
        for number, key in enumerate(KEYS, start=1)
    ]
    strangers = [
        Client(f"stranger {kind} at {router.ip}", router, key, record)
        for router in routers
        for kind, key in (("without a key", None), ("with a key never held", NEVER_HELD))
    ]
    time.sleep(1.0)
    if any(holder.ask()[1] != 200 for holder in holders):
        return NOT_RUN
    if any(stranger.ask()[1] != 401 for stranger in strangers):
        return NOT_RUN

    if has_trouble:
        write_keys(9, KEYS[1:])
        time.sleep(REVOKE_GAP_S)
        write_keys(12, [])
    else:
        write_keys(9, KEYS)
        time.sleep(REVOKE_GAP_S)
        write_keys(12, KEYS)
    time.sleep(CONFIG_APPLY_S + MARGIN_S)

    denied = strangers + (holders if has_trouble else [])
    sent = [client.ask()[0] for _ in range(PROBES) for client in denied]
    wrongly_run = {run.request_id for run in server.runs} & set(sent)
    record.add(f"{len(wrongly_run)} of {len(sent)} requests that no key allows were run")
    if not has_trouble and any(holder.ask()[1] != 200 for holder in holders):
        return NOT_RUN
    return BROKEN if wrongly_run else HELD


run_case(FOLDER, play)
