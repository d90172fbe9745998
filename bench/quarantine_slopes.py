"""Costs of fingerprinting requests and counting server ends, at full table sizes."""

import time
from collections.abc import Callable

from bench.slopes import Slope
from myrtlehook_core import encode_envelope, fingerprint_request
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.membership_messages import News, Probe
from myrtlehook_core.process.messages import Envelope
from myrtlehook_core.process.quarantine import (
    MAX_SUSPECTS,
    Quarantine,
    collect_quarantine_rows,
    count_end,
    quarantine_request,
    record_sound_run,
)
from myrtlehook_core.process.quarantine_messages import QuarantineRow, ServerEndReport

ROUTERS = 1200
BODY_BYTES = 2000
REPEATS = 2000
QUARANTINED = 8


def measure_quarantine_slopes() -> list[Slope]:
    """Measure the cost of each event of the quarantine."""
    routers = [f"10.0.{number >> 8}.{number & 255}:7400" for number in range(ROUTERS)]
    body = b"x" * BODY_BYTES
    quarantine = Quarantine(first_serial=1)
    fingerprint = fingerprint_request("workspace", "POST", "/summary/week", body)
    report = _make_report(fingerprint, "i-724948be74@1796262595649")
    for number in range(MAX_SUSPECTS):
        other_report = _make_report(number.to_bytes(16, "big"))
        count_end(quarantine, other_report, 1.0)
    slopes = [
        _measure_time("fingerprint of 2,000 bytes", lambda: _compute_fingerprint(body)),
        _measure_time(
            "collectors of one request among 1,200", lambda: _rank_collectors(routers, fingerprint)
        ),
        _measure_time("an end counted", lambda: _count_server_end(quarantine, report)),
        _measure_time(
            "a run that ended well", lambda: record_sound_run(quarantine, fingerprint, 1.0)
        ),
    ]
    return [*slopes, *_measure_bytes(report)]


def _measure_bytes(report: ServerEndReport) -> list[Slope]:
    quarantine = Quarantine(first_serial=1_796_262_595_649)
    for number in range(QUARANTINED):
        fingerprint = number.to_bytes(16, "big")
        suspect = count_end(quarantine, _make_report(fingerprint), 1.0)
        assert suspect is not None
        quarantine_request(quarantine, fingerprint, suspect, 1.0)
    rows = collect_quarantine_rows(quarantine, 1.5)
    return [
        Slope("end report on the wire", _measure_report_bytes(report), "bytes"),
        Slope(
            "a held request on a probe",
            (_measure_probe_bytes(rows) - _measure_probe_bytes(())) / QUARANTINED,
            "bytes",
        ),
    ]


def _make_report(fingerprint: bytes, backend_server: str = "i-1") -> ServerEndReport:
    return ServerEndReport(fingerprint, backend_server, 80, 1, "10.0.0.1:7400", 2**40)


def _compute_fingerprint(body: bytes) -> None:
    fingerprint_request("workspace", "POST", "/summary/week", body)


def _rank_collectors(routers: list[str], fingerprint: bytes) -> None:
    rank_routers(f"quarantine/{fingerprint.hex()}", routers, 2)


def _count_server_end(quarantine: Quarantine, report: ServerEndReport) -> None:
    quarantine.suspects.pop(report.fingerprint, None)
    count_end(quarantine, report, 1.0)


def _measure_probe_bytes(rows: tuple[QuarantineRow, ...]) -> int:
    news = News((), (), 5, "0" * 16, quarantine=rows)
    return len(encode_envelope(Envelope("vm-1234", 2**40, (Probe(1, news),))))


def _measure_report_bytes(report: ServerEndReport) -> float:
    return len(encode_envelope(Envelope("vm-1234", 2**40, (report,))))


def _measure_time(name: str, step: Callable[[], None]) -> Slope:
    started_s = time.process_time()
    for _ in range(REPEATS):
        step()
    return Slope(name, (time.process_time() - started_s) / REPEATS * 1000.0, "ms")
