"""Event counters and durations, kept in the process for operators and sent to statsd."""

from collections import Counter
from typing import TYPE_CHECKING

from prometheus_client import Histogram

from myrtlehook_core import Listener

if TYPE_CHECKING:
    import statsd

STATSD_PREFIX = "myrtlehook"


class Counters:
    """Counts by dotted name, such as ``refusal.queue_full``."""

    def __init__(self, address: Listener | None) -> None:
        self.values: Counter[str] = Counter()
        self.histogram: Histogram | None = None
        """Durations by name; None unless the process serves Prometheus metrics."""
        self._client = None if address is None else _make_client(address)

    def add(self, name: str, count: int = 1) -> None:
        """Increase a counter."""
        self.values[name] += count
        if self._client is not None:
            self._client.incr(name, count)

    def time(self, name: str, elapsed_s: float) -> None:
        """Record a duration."""
        if self.histogram is not None:
            self.histogram.labels(name).observe(elapsed_s)
        if self._client is not None:
            self._client.timing(name, elapsed_s * 1000.0)


def _make_client(address: Listener) -> "statsd.StatsClient":
    # Imported only where it is used: a start waits for its imports.
    from statsd import StatsClient

    return StatsClient(address.address, address.port, prefix=STATSD_PREFIX)
