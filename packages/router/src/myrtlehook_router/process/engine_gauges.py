"""Gauges of the model engines that a router owns, served on its metrics address."""

from collections.abc import Callable, Iterable

from myrtlehook_core import EngineFigures
from myrtlehook_router.process import clocks

GAUGES: dict[str, Callable[[EngineFigures], float]] = {
    "engine_rate_tokens_per_s": lambda item: item.estimate.rate_tokens_per_s,
    "engine_delay_s": lambda item: item.estimate.delay_ms / 1000.0,
    "engine_samples": lambda item: item.estimate.samples,
    "engine_estimate_age_s": lambda item: item.estimate.age_ms / 1000.0,
    "engine_window_tokens": lambda item: item.window_tokens,
    "engine_backlog_tokens": lambda item: item.backlog_tokens,
    "engine_waiting_requests": lambda item: item.waiting_requests,
    "engine_running_requests": lambda item: item.granted_requests,
    "engine_forecast_error_s": lambda item: item.forecast_error_s,
    "engine_recent_pauses": lambda item: item.recent_pauses,
    "engine_reading_event_s": lambda item: item.estimate.reading_event_ms / 1000.0,
    "engine_idle_event_s": lambda item: item.estimate.idle_event_ms / 1000.0,
    "engine_reading_fraction": lambda item: item.reading_fraction,
    "engine_late_streams": lambda item: item.late_streams,
    "engine_cold_left_s": lambda item: max(item.cold_until_s - clocks.now_s(), 0.0),
}
"""Reads the value of each gauge that docs/operators/metrics.md lists."""


def list_engine_gauges(engines: Iterable[EngineFigures]) -> dict[str, dict[str, float]]:
    """Return the values by gauge and by the name of the engine."""
    figures = list(engines)
    return {
        name: {item.backend_server: read(item) for item in figures} for name, read in GAUGES.items()
    }
