"""Costs of server notices, leaving and back-off, at full table sizes."""

import time
from collections.abc import Callable

from bench.slopes import Slope
from myrtlehook_core import (
    BackendServer,
    Configuration,
    ConfigurationVersion,
    encode_envelope,
)
from myrtlehook_core.process.backoffs import Backoffs, find_pool_backoff_s, record_backoff
from myrtlehook_core.process.leaving_servers import (
    LeavingServers,
    forget_removed_servers,
    make_leaving_row,
    mark_leaving,
    record_leaving,
)
from myrtlehook_core.process.membership_messages import LeavingNotice, News, Probe
from myrtlehook_core.process.messages import Bid, Envelope, Message
from myrtlehook_router.request.headers import HeaderNames
from myrtlehook_router.request.server_notices import read_notice

SERVERS = 10_000
POOLS = 15
LEAVING = 100
"""Servers that leave at the same time: a rolling release of one in a hundred."""

BACKED_OFF = 20
REPEATS = 200
NAME = "i-724948be74@1796262595649"
HEAD = (
    ("Content-Type", "text/event-stream"),
    ("Attempt-Id", "9c41d07be2a35f68"),
    ("Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
    ("Transfer-Encoding", "chunked"),
    ("Date", "Thu, 03 Dec 2026 05:00:00 GMT"),
)


def measure_notice_slopes() -> list[Slope]:
    """Measure the cost of each event about server notices."""
    names = HeaderNames()
    servers = [_make_server(number) for number in range(SERVERS)]
    configuration = Configuration(
        ConfigurationVersion(1, ""), backend_servers={server.name: server for server in servers}
    )
    leaving = LeavingServers()
    for server in servers[:LEAVING]:
        record_leaving(leaving, make_leaving_row(leaving, server.name), 1)
    backoffs: Backoffs = {}
    for server in servers[: BACKED_OFF * POOLS : POOLS]:
        record_backoff(backoffs, server.name, server.pool, 3.0)
    barred = tuple(backoffs)
    no_backoffs: Backoffs = {}
    return [
        _measure_time("an answer's head read", lambda: _discard(read_notice(200, HEAD, names))),
        _measure_time(
            "100 of 10,000 marked", lambda: _discard(mark_leaving(configuration, leaving))
        ),
        _measure_time(
            "the sweep over 100 that leave", lambda: _sweep_leaving(leaving, configuration)
        ),
        _measure_time("a request, no backoff", lambda: _find_backoff(no_backoffs, configuration)),
        _measure_time("a request, 20 backoffs", lambda: _find_backoff(backoffs, configuration)),
        Slope(
            "a notice to an owner",
            _measure_bytes(LeavingNotice(make_leaving_row(leaving, NAME))),
            "bytes",
        ),
        Slope("a leaving server on a probe", _measure_probe_rows_bytes(leaving, 10) / 10, "bytes"),
        Slope("a server named in a bid", _measure_barred_bytes(barred) / BACKED_OFF, "bytes"),
    ]


def _make_server(number: int) -> BackendServer:
    name = f"i-{number:010x}@1796262595649"
    return BackendServer(name, f"pool-{number % POOLS}", "10.0.1.9:80", "z", 64, False, False)


def _discard(value: object) -> None:
    """Discard a value."""


def _sweep_leaving(leaving: LeavingServers, configuration: Configuration) -> None:
    forget_removed_servers(leaving, configuration.backend_servers, 1.0)


def _find_backoff(backoffs: Backoffs, configuration: Configuration) -> None:
    find_pool_backoff_s(backoffs, configuration, "pool-0", 1.0)


def _measure_probe_rows_bytes(leaving: LeavingServers, count: int) -> int:
    rows = tuple(make_leaving_row(leaving, NAME) for _ in range(count))
    with_rows, without_rows = (
        Probe(1, News((), leaving_rows, 5, "0" * 16)) for leaving_rows in (rows, ())
    )
    return _measure_bytes(with_rows) - _measure_bytes(without_rows)


def _measure_barred_bytes(barred: tuple[str, ...]) -> int:
    return _measure_bytes(Bid("pool-0", 1e5, (), barred)) - _measure_bytes(Bid("pool-0", 1e5, ()))


def _measure_bytes(message: Message) -> int:
    return len(encode_envelope(Envelope("vm-1234", 2**40, (message,))))


def _measure_time(name: str, step: Callable[[], None]) -> Slope:
    started_s = time.process_time()
    for _ in range(REPEATS):
        step()
    return Slope(name, (time.process_time() - started_s) / REPEATS * 1000.0, "ms")
