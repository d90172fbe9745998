"""Costs of admission and share events as their tables grow."""

import random
import time
from collections.abc import Callable

from bench.slopes import REPEATS, Slope
from myrtlehook_core import encode_envelope
from myrtlehook_core.process.accountants import PoolAccount, record_demand_report
from myrtlehook_core.process.admission_messages import (
    AdmissionGrant,
    AdmissionProgress,
    AdmissionRequest,
    DemandReport,
    DemandRow,
    PartRow,
)
from myrtlehook_core.process.engine_forecasts import forecast_waiting
from myrtlehook_core.process.engine_loads import EngineLoad, WaitingAdmission
from myrtlehook_core.process.engine_models import make_model
from myrtlehook_core.process.hashing import rank_routers
from myrtlehook_core.process.messages import Envelope, Message
from myrtlehook_core.process.prompt_caches import PromptCache
from myrtlehook_core.process.shares import Shares, record_asked

WAITING_REQUESTS = (5, 20, 80)
ENGINE_COUNTS = (9, 100, 667)
"""Numbers of engines in one pool: that of today's sites, up to that of 10,000 in 15 pools."""

REPORTER_COUNTS = (8, 100, 1200)
WORKSPACES_PER_ROUTER = 30
PARTS = (PartRow("c0ffee01", 2500), PartRow("5e551001", 3800), PartRow("0a0b0c0d", 2900))


def measure_admission_slopes() -> list[Slope]:
    """Measure the cost of each admission and share event."""
    return [
        *_measure_forecasts(),
        *_measure_ranking(),
        *_measure_accountant(),
        *_measure_ingress_share(),
        *_measure_message_sizes(),
    ]


def _measure_forecasts() -> list[Slope]:
    slopes = []
    for count in WAITING_REQUESTS:
        load = EngineLoad(0.0, PromptCache(232_000), make_model(None))
        for number in range(count):
            load.waiting[f"q{number}"] = _make_waiting(number)
        cost_ms = _time_ms(lambda load=load: forecast_waiting(load, 64, 1.0))  # type: ignore[misc]
        slopes.append(Slope(f"forecast of {count} waiting requests", cost_ms, "ms"))
    return slopes


def _make_waiting(number: int) -> WaitingAdmission:
    return WaitingAdmission(
        request_id=f"q{number}",
        router_id="r",
        workspace="w",
        parts=PARTS,
        prompt_tokens=9200,
        output_tokens=51,
        asked_at_s=0.0,
        aim_deadline_s=0.6 + number / 1000.0,
        deadline_s=6.0,
        priority=1,
        tier=0,
        hop=0,
    )


def _measure_ranking() -> list[Slope]:
    slopes = []
    for count in ENGINE_COUNTS:
        names = [f"i-{number:010x}" for number in range(count)]

        def rank(names: list[str] = names) -> None:
            rank_routers("engine/5e551001", names, len(names))

        slopes.append(Slope(f"ranking {count} engines for a request", _time_ms(rank), "ms"))
    return slopes


def _measure_accountant() -> list[Slope]:
    slopes = []
    draw = random.Random(1)
    for count in REPORTER_COUNTS:
        accounts: dict[str, PoolAccount] = {}
        reports = [
            DemandReport("p", tuple(_demand_row(draw) for _ in range(WORKSPACES_PER_ROUTER)))
            for _ in range(count)
        ]
        for number, report in enumerate(reports):
            record_demand_report(accounts, f"r{number}", report, 1e9, 1.0)

        def record_report(
            accounts: dict[str, PoolAccount] = accounts, report: DemandReport = reports[0]
        ) -> None:
            record_demand_report(accounts, "r0", report, 1e6, 1.0)

        cost_ms = _time_ms(record_report, max(REPEATS // count, 3))
        slopes.append(Slope(f"accountant: one report among {count} routers", cost_ms, "ms"))
    return slopes


def _demand_row(draw: random.Random) -> DemandRow:
    tokens = draw.randrange(100_000)
    return DemandRow(f"workspace-{draw.randrange(17_000)}", tokens, 0, tokens)


def _measure_ingress_share() -> list[Slope]:
    shares = Shares()
    cost_ms = _time_ms(lambda: record_asked(shares, "p", "w", 9000, 1.0))
    return [Slope("tier of a request", cost_ms, "ms")]


def _measure_message_sizes() -> list[Slope]:
    name = "workspace-1234/9c41d07be2a35f68"
    request = AdmissionRequest(
        name, "i-7f3a91c2aa", "workspace-1234", PARTS, 9200, 51, 600, 6000, 1, 0, 0
    )
    messages: dict[str, Message] = {
        "admission request": request,
        "admission grant": AdmissionGrant(name, "i-7f3a91c2aa", 2900),
        "admission progress": AdmissionProgress(name, "i-7f3a91c2aa"),
    }
    return [
        Slope(f"{label} on the wire", len(_encode(message)), "bytes")
        for label, message in messages.items()
    ]


def _encode(message: Message) -> bytes:
    return encode_envelope(Envelope("10.1.0.33:7400", 2**40, (message,)))


def _time_ms(step: Callable[[], object], repeats: int = REPEATS) -> float:
    started_s = time.process_time()
    for _ in range(repeats):
        step()
    return (time.process_time() - started_s) / repeats * 1000.0
