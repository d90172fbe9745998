"""Benchmark of one router process: latency, streamed events and memory."""

import time
from dataclasses import asdict, dataclass
from typing import Any

from bench.processes import LoadRun, compute_percentile, read_cpu_s, read_resident_mb
from standins.fleets import Fleet, Program, WorkspacePlan
from standins.network import wait_for

LATENCY_S = 8.0
STREAM_S = 5.0
STREAM_STEP_MS = 20.0
STREAM_COUNTS = (10, 20, 40, 80, 120, 160, 240, 320, 480)
LOAD_PROCESSES = 3
WAITING_REQUESTS = 2000
WORKSPACE = "planners"
WIDE_LIMITS = {"queued_requests": 100_000, "requests_per_s": 1e6, "burst_requests": 1_000_000}
"""Limits that no measurement reaches."""


@dataclass(frozen=True, slots=True)
class LatencyFigures:
    """Latency of one-token requests in sequence, direct and routed in the same run."""

    direct_p50_ms: float
    direct_p99_ms: float
    routed_p50_ms: float
    routed_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float


@dataclass(frozen=True, slots=True)
class StreamFigures:
    """Gaps between events of streams, direct from the engines and through one router."""

    streams: int
    events_per_s: float
    direct_gap_p99_ms: float
    routed_gap_p99_ms: float
    router_cpu_fraction: float


@dataclass(frozen=True, slots=True)
class MemoryFigures:
    """Resident memory of one router."""

    rest_mb: float
    per_1000_waiting_mb: float


def measure_router() -> dict[str, Any]:
    """Measure one router and return all figures."""
    latency = _measure_latency()
    streams = _measure_streams()
    memory = _measure_memory()
    return {
        "latency": asdict(latency),
        "streams": [asdict(item) for item in streams],
        "events_per_s_before_p99_doubles": _find_sustained_events_per_s(streams),
        "memory": asdict(memory),
    }


def _start_fleet(engines: int, slots: int, step_ms: float) -> tuple[Fleet, Program]:
    fleet = Fleet([WorkspacePlan(WORKSPACE, 1.0, WIDE_LIMITS)])
    try:
        fleet.start(routers=1, engines=engines, services=0, slots=slots, step_ms=step_ms)
    except BaseException:
        fleet.stop()
        raise
    return fleet, next(iter(fleet.routers.values()))


def _make_group(fleet: Fleet, address: str, direct: bool, **more: Any) -> dict[str, Any]:
    key = fleet.workspaces[WORKSPACE].key
    return {"address": address, "key": key, "direct": direct, "fixed": True, **more}


def _measure_latency() -> LatencyFigures:
    fleet, router = _start_fleet(1, 8, 0.5)
    try:
        engine = next(iter(fleet.engines.values()))
        routed = LoadRun(
            [_make_group(fleet, router.address, False, callers=1, tokens=1)], LATENCY_S, 1
        )
        direct = LoadRun(
            [_make_group(fleet, engine.address, True, callers=1, tokens=1)], LATENCY_S, 2
        )
        routed_s = routed.wait()["elapsed_s"]
        direct_s = direct.wait()["elapsed_s"]
    finally:
        fleet.stop()
    direct_p50_ms = compute_percentile(direct_s, 0.5) * 1000
    direct_p99_ms = compute_percentile(direct_s, 0.99) * 1000
    routed_p50_ms = compute_percentile(routed_s, 0.5) * 1000
    routed_p99_ms = compute_percentile(routed_s, 0.99) * 1000
    return LatencyFigures(
        direct_p50_ms=direct_p50_ms,
        direct_p99_ms=direct_p99_ms,
        routed_p50_ms=routed_p50_ms,
        routed_p99_ms=routed_p99_ms,
        added_p50_ms=routed_p50_ms - direct_p50_ms,
        added_p99_ms=routed_p99_ms - direct_p99_ms,
    )


def _measure_streams() -> list[StreamFigures]:
    figures = []
    fleet, router = _start_fleet(4, 256, STREAM_STEP_MS)
    try:
        engines = [program.address for program in fleet.engines.values()]
        for streams in STREAM_COUNTS:
            figures.append(_measure_stream_count(fleet, router, engines, streams))
            if _has_gap_doubled(figures):
                break
    finally:
        fleet.stop()
    return figures


def _measure_stream_count(
    fleet: Fleet, router: Program, engines: list[str], streams: int
) -> StreamFigures:
    tokens = int(STREAM_S * 1000 / STREAM_STEP_MS)
    direct = _run_streams(fleet, engines, True, streams, tokens)
    started_s, used_s = time.monotonic(), read_cpu_s(router.process.pid)
    routed = _run_streams(fleet, [router.address], False, streams, tokens)
    elapsed_s = time.monotonic() - started_s
    used_s = read_cpu_s(router.process.pid) - used_s
    return StreamFigures(
        streams=streams,
        events_per_s=streams * 1000 / STREAM_STEP_MS,
        direct_gap_p99_ms=compute_percentile(direct, 0.99) * 1000,
        routed_gap_p99_ms=compute_percentile(routed, 0.99) * 1000,
        router_cpu_fraction=used_s / elapsed_s,
    )


def _run_streams(
    fleet: Fleet, addresses: list[str], direct: bool, streams: int, tokens: int
) -> list[float]:
    runs = []
    for index in range(LOAD_PROCESSES):
        caller_count = streams // LOAD_PROCESSES + (1 if index < streams % LOAD_PROCESSES else 0)
        address = addresses[index % len(addresses)]
        group = _make_group(
            fleet, address, direct, callers=caller_count, tokens=tokens, stream=True
        )
        # Each client sends one request: the run ends before a second one would start.
        runs.append(LoadRun([group], STREAM_S * 0.5, index))
    return [gap for run in runs for gap in run.wait()["gaps_s"]]


def _has_gap_doubled(figures: list[StreamFigures]) -> bool:
    return figures[-1].routed_gap_p99_ms > 2 * figures[0].routed_gap_p99_ms


def _find_sustained_events_per_s(figures: list[StreamFigures]) -> float:
    sustained = [
        item for item in figures if item.routed_gap_p99_ms <= 2 * figures[0].routed_gap_p99_ms
    ]
    return max(item.events_per_s for item in sustained)


def _measure_memory() -> MemoryFigures:
    fleet, router = _start_fleet(1, 1, 50.0)
    try:
        rest_mb = read_resident_mb(router.process.pid)
        group = _make_group(fleet, router.address, False, callers=WAITING_REQUESTS, tokens=100)
        load = LoadRun([group], 1.0, 1)
        wait_for(
            lambda: fleet.status(router.name)["queued_requests"] > WAITING_REQUESTS * 0.45,
            "the queue to fill",
            30,
        )
        time.sleep(1.0)
        queued = fleet.status(router.name)["queued_requests"]
        full_mb = read_resident_mb(router.process.pid)
        load.process.kill()
        load.wait()
    finally:
        fleet.stop()
    return MemoryFigures(rest_mb, (full_mb - rest_mb) / queued * 1000)
