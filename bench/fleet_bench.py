"""Fleet benchmark: fairness gap, utilisation and control traffic, with baselines.

Runs separate router processes against small stand-ins on loopback. All policies of one call
run with the same load and engines, one after another, so that the ratios between them stay
comparable on a busy machine.
"""

import random
import time
from dataclasses import dataclass, field
from typing import Any

from bench.faults import make_fault
from bench.processes import LoadRun, compute_percentile, read_cpu_s
from standins.fleets import Fleet, WorkspacePlan
from standins.network import get_json

SLOTS = 4
STEP_MS = 5.0
TOKENS_PER_EVENT = 10
TOKENS_PER_S = 1000.0 / STEP_MS
WARM_UP_S = 3.0
SAMPLE_S = 0.1
ALONE_S = 6.0
FLOOD_WORKSPACES = 3
FLOOD_CALLERS = 40
STEADY_CALLERS = 14
LOAD_PROCESSES = 3
CORES = 8
SMALL = "small"
SMALL_TOKENS = 20
WIDE_LIMITS = {"queued_requests": 100_000, "requests_per_s": 1e6, "burst_requests": 1_000_000}
MEAN_TOKENS = (30, 60, 120, 200)
SHARES = (1.0, 2.0)


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """The parameters of a fleet measurement."""

    routers: int
    engines: int
    workspaces: int
    seconds: float
    seed: int
    fault: str = "none"
    fault_at_s: float = 0.0
    fault_for_s: float = 10.0
    refresh_interval_s: float = 0.0
    """0 for the router's default."""


@dataclass(slots=True)
class ServiceSample:
    """Cumulative service at one time."""

    at_s: float
    served_tokens: dict[str, float]
    busy_slot_s: float


@dataclass(slots=True)
class FleetFigures:
    """The figures of one policy."""

    policy: str
    fairness_gap_tokens: float = 0.0
    """Largest difference of service per share between two backlogged workspaces."""
    fairness_gap_s: float = 0.0
    """The same gap in seconds of the pool's whole capacity."""
    mean_gap_tokens: float = 0.0
    gap_after_fault_tokens: float = 0.0
    recovered_s: float | None = None
    """Time from the fault's end until the gap stays within its maximum before the fault."""
    utilisation: float = 0.0
    control_bytes_per_s: float = 0.0
    control_cpu_fraction: float = 0.0
    """Processor time per router of the decision task: all decisions, not only messages."""
    machine_cpu_fraction: float = 0.0
    statuses: dict[str, int] = field(default_factory=dict)
    counters: dict[str, int] = field(default_factory=dict)
    small_alone_first_s: dict[str, float] = field(default_factory=dict)
    small_flood_first_s: dict[str, float] = field(default_factory=dict)
    mean_request_s: float = 0.0
    gaps: list[tuple[float, float]] = field(default_factory=list)
    service: dict[str, list[float]] = field(default_factory=dict)


def measure_policy(options: FleetOptions, policy: str) -> FleetFigures:
    """Start a fleet, put load on it, and measure one policy."""
    plans = _make_plans(options)
    fleet = Fleet([*plans, WorkspacePlan(SMALL, 1.0, WIDE_LIMITS)])
    figures = FleetFigures(policy)
    try:
        _start_fleet(fleet, options, policy)
        _measure_small_alone(fleet, options, figures)
        _measure_flood(fleet, options, plans, figures)
    finally:
        fleet.stop()
    return figures


def _make_plans(options: FleetOptions) -> list[WorkspacePlan]:
    return [
        WorkspacePlan(f"workspace-{index}", SHARES[index % len(SHARES)], WIDE_LIMITS)
        for index in range(options.workspaces)
    ]


def _start_fleet(fleet: Fleet, options: FleetOptions, policy: str) -> None:
    fleet.start_platform()
    for index in range(options.engines):
        fleet.start_engine(f"engine-{index + 1}", SLOTS, STEP_MS, TOKENS_PER_EVENT)
    hooks = {"cut": True, "policy": "local" if policy == "local" else "fleet"}
    changes: dict[str, Any] = {"test_hooks": hooks}
    if options.refresh_interval_s:
        changes["timing"] = {"refresh_interval_s": options.refresh_interval_s}
    fleet.start_routers(1 if policy == "single" else options.routers, **changes)
    fleet.publish()
    fleet.publish_vms()
    fleet.wait_until_ready()


def _measure_small_alone(fleet: Fleet, options: FleetOptions, figures: FleetFigures) -> None:
    report = LoadRun([_make_small_group(fleet)], ALONE_S, options.seed).wait()
    figures.small_alone_first_s = _summarize_latencies(report["first_s"])


def _measure_flood(
    fleet: Fleet, options: FleetOptions, plans: list[WorkspacePlan], figures: FleetFigures
) -> None:
    seconds = WARM_UP_S + options.seconds
    groups = _make_groups(fleet, options, plans)
    runs = [
        LoadRun(groups[index::LOAD_PROCESSES], seconds + 1.0, options.seed + index)
        for index in range(LOAD_PROCESSES)
    ]
    small = LoadRun([_make_small_group(fleet)], seconds, options.seed)
    fault = make_fault(options.fault, fleet, options.fault_at_s + WARM_UP_S, options.fault_for_s)
    time.sleep(WARM_UP_S)
    before = _read_usage(fleet)
    samples = _collect_samples(fleet, options.seconds)
    after = _read_usage(fleet)
    fault.join()
    reports = [run.wait() for run in runs]
    figures.small_flood_first_s = _summarize_latencies(small.wait()["first_s"])
    elapsed = [value for report in reports for value in report["elapsed_s"]]
    figures.mean_request_s = sum(MEAN_TOKENS) / len(MEAN_TOKENS) / TOKENS_PER_S
    for report in reports:
        for status, count in report["statuses"].items():
            figures.statuses[status] = figures.statuses.get(status, 0) + count
    figures.statuses["answers_per_s"] = round(len(elapsed) / seconds)
    _fill_service(options, plans, samples, figures)
    _fill_usage(before, after, figures)


def _make_groups(
    fleet: Fleet, options: FleetOptions, plans: list[WorkspacePlan]
) -> list[dict[str, Any]]:
    """Make load groups that spread workspaces unevenly: over one router, several, or all."""
    draw = random.Random(options.seed)
    addresses = [program.address for program in fleet.routers.values()]
    groups = []
    for index, plan in enumerate(plans):
        callers = FLOOD_CALLERS if index < FLOOD_WORKSPACES else STEADY_CALLERS
        place_count = max(1, round(options.routers * (0.125, 0.25, 0.5, 1.0)[index % 4]))
        places = draw.sample(range(options.routers), place_count)
        for place, count in _distribute_callers(callers, places).items():
            groups.append(
                {
                    "address": addresses[place % len(addresses)],
                    "key": plan.key,
                    "callers": count,
                    "tokens": MEAN_TOKENS[index % len(MEAN_TOKENS)],
                }
            )
    return groups


def _distribute_callers(callers: int, places: list[int]) -> dict[int, int]:
    counts = dict.fromkeys(places, 0)
    for index in range(callers):
        counts[places[index % len(places)]] += 1
    return {place: count for place, count in counts.items() if count}


def _make_small_group(fleet: Fleet) -> dict[str, Any]:
    address = next(iter(fleet.routers.values())).address
    return {
        "address": address,
        "key": fleet.workspaces[SMALL].key,
        "callers": 1,
        "tokens": SMALL_TOKENS,
        "fixed": True,
        "stream": True,
        "pause_s": 0.1,
    }


def _collect_samples(fleet: Fleet, seconds: float) -> list[ServiceSample]:
    samples = []
    started_s = time.monotonic()
    next_s = started_s
    while time.monotonic() - started_s < seconds:
        samples.append(_take_sample(fleet))
        next_s += SAMPLE_S
        time.sleep(max(next_s - time.monotonic(), 0.0))
    samples.append(_take_sample(fleet))
    return samples


def _take_sample(fleet: Fleet) -> ServiceSample:
    sample = ServiceSample(time.monotonic(), {}, 0.0)
    for program in fleet.engines.values():
        content = get_json(program.address, "/test/service")
        sample.busy_slot_s += content["busy_slot_s"]
        for workspace, tokens in content["served_tokens"].items():
            sample.served_tokens[workspace] = sample.served_tokens.get(workspace, 0.0) + tokens
    return sample


def _fill_service(
    options: FleetOptions,
    plans: list[WorkspacePlan],
    samples: list[ServiceSample],
    figures: FleetFigures,
) -> None:
    first, last = samples[0], samples[-1]
    shares = {plan.name: plan.share for plan in plans}
    for sample in samples:
        served = {
            name: (sample.served_tokens.get(name, 0.0) - first.served_tokens.get(name, 0.0)) / share
            for name, share in shares.items()
        }
        gap = max(served.values()) - min(served.values())
        figures.gaps.append((round(sample.at_s - first.at_s, 2), round(gap, 1)))
        for name, value in served.items():
            figures.service.setdefault(name, []).append(round(value, 1))
    capacity = options.engines * SLOTS
    gaps = [gap for _, gap in figures.gaps]
    figures.fairness_gap_tokens = max(gaps)
    figures.fairness_gap_s = max(gaps) / (capacity * TOKENS_PER_S)
    figures.mean_gap_tokens = sum(gaps) / len(gaps)
    figures.utilisation = (last.busy_slot_s - first.busy_slot_s) / (
        (last.at_s - first.at_s) * capacity
    )
    _fill_recovery(options, figures)


def _fill_recovery(options: FleetOptions, figures: FleetFigures) -> None:
    if options.fault == "none":
        return
    healed_s = options.fault_at_s + options.fault_for_s
    bound = max(gap for at_s, gap in figures.gaps if at_s < options.fault_at_s)
    figures.gap_after_fault_tokens = max(
        (gap for at_s, gap in figures.gaps if at_s >= options.fault_at_s), default=0.0
    )
    after = [(at_s, gap) for at_s, gap in figures.gaps if at_s >= healed_s]
    figures.recovered_s = find_recovery_s(after, healed_s, bound)


def find_recovery_s(gaps: list[tuple[float, float]], healed_s: float, bound: float) -> float | None:
    """Return how long after the fault's end the gap was last above its bound.

    :returns: seconds, or None if the last measured gap is still above the bound.
    """
    if not gaps or gaps[-1][1] > bound:
        return None
    over = [at_s for at_s, gap in gaps if gap > bound]
    return max(over) - healed_s if over else 0.0


@dataclass(slots=True)
class ResourceUsage:
    """Cumulative processor time and counters at one time."""

    at_s: float
    machine_cpu_s: float
    core_cpu_s: dict[str, float]
    counters: dict[str, dict[str, int]]


def _read_usage(fleet: Fleet) -> ResourceUsage:
    programs = [*fleet.routers.values(), *fleet.engines.values()]
    alive = [item for item in programs if item.process.poll() is None]
    usage = ResourceUsage(
        time.monotonic(), sum(read_cpu_s(item.process.pid) for item in alive), {}, {}
    )
    for name, program in fleet.routers.items():
        if program.process.poll() is None:
            metrics = get_json(program.operators_address, "/metrics")
            usage.core_cpu_s[name] = metrics["core_cpu_s"]
            usage.counters[name] = metrics["counters"]
    return usage


def _fill_usage(before: ResourceUsage, after: ResourceUsage, figures: FleetFigures) -> None:
    elapsed_s = after.at_s - before.at_s
    names = before.core_cpu_s.keys() & after.core_cpu_s.keys()
    used_s = sum(after.core_cpu_s[name] - before.core_cpu_s[name] for name in names)
    figures.control_cpu_fraction = used_s / elapsed_s / max(len(names), 1)
    figures.machine_cpu_fraction = (after.machine_cpu_s - before.machine_cpu_s) / elapsed_s / CORES
    for name in names:
        for counter, value in after.counters[name].items():
            increase = value - before.counters[name].get(counter, 0)
            if increase:
                figures.counters[counter] = figures.counters.get(counter, 0) + increase
    sent = figures.counters.get("control.sent_bytes", 0)
    figures.control_bytes_per_s = sent / elapsed_s / max(len(names), 1)


def _summarize_latencies(values: list[float]) -> dict[str, float]:
    return {
        "p50": compute_percentile(values, 0.5),
        "p95": compute_percentile(values, 0.95),
        "p99": compute_percentile(values, 0.99),
        "count": len(values),
    }
