"""Counters and latency histograms in the Prometheus text format."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from myrtlehook_router.connection.reading_turns import ReadingTurns
from myrtlehook_router.process import clocks
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.request.request_tallies import Figure, RequestTallies

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Gauges = Callable[[], dict[str, float]]
LabelledGauges = Callable[[], dict[str, dict[str, float]]]
"""Values by gauge and backend server."""


def no_labelled_gauges() -> dict[str, dict[str, float]]:
    """Return no gauges of backend servers."""
    return {}


class Metrics:
    """The registry of one process."""

    def __init__(
        self,
        counters: Counters,
        gauges: Gauges,
        server_gauges: LabelledGauges = no_labelled_gauges,
        tallies: RequestTallies | None = None,
        turns: ReadingTurns | None = None,
    ) -> None:
        """Prepare the registry.

        :param turns: limits the time that scrapes take, however many there are.
        """
        self._turns = turns or ReadingTurns()
        self.registry = CollectorRegistry()
        self.registry.register(_CounterCollector(counters, gauges, server_gauges))
        self.registry.register(_TallyCollector(tallies or RequestTallies()))
        counters.histogram = Histogram(
            "myrtlehook_seconds", "Durations", ["what"], buckets=BUCKETS_S, registry=self.registry
        )

    def answer(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve the metrics on every path; a WSGI application."""
        self._turns.wait()
        began_s = clocks.now_s()
        body = generate_latest(self.registry)
        self._turns.charge(clocks.now_s() - began_s)
        headers = [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]


class _CounterCollector(Collector):
    """Collects the counters and gauges of the process on each scrape."""

    def __init__(self, counters: Counters, gauges: Gauges, server_gauges: LabelledGauges) -> None:
        self._counters = counters
        self._gauges = gauges
        self._server_gauges = server_gauges

    def collect(self) -> Iterator[Metric]:
        family = CounterMetricFamily("myrtlehook_events", "Counted events", labels=["name"])
        for name, count in sorted(self._counters.values.items()):
            family.add_metric([name], count)
        yield family
        for name, value in self._gauges().items():
            yield GaugeMetricFamily(f"myrtlehook_{name}", name, value=value)
        for name, values in self._server_gauges().items():
            gauge = GaugeMetricFamily(f"myrtlehook_{name}", name, labels=["backend_server"])
            for server, value in values.items():
                gauge.add_metric([server], value)
            yield gauge


class _TallyCollector(Collector):
    """Collects what callers got, by workspace and by route."""

    def __init__(self, tallies: RequestTallies) -> None:
        self._tallies = tallies

    def collect(self) -> Iterator[Metric]:
        for dimension, names in self._tallies.totals.names.items():
            family = CounterMetricFamily(
                f"myrtlehook_requests_by_{dimension}",
                f"Requests by {dimension} and what became of them",
                labels=[str(dimension), "outcome"],
            )
            for name, counts in sorted(names.items()):
                for figure in Figure:
                    if counts[figure]:
                        family.add_metric([name, str(figure)], counts[figure])
            yield family
