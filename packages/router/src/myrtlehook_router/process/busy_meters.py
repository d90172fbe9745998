"""Measures the busy fraction of a process: the time in which its event loop does not wait."""

from typing import Any

from myrtlehook_router.process import clocks

MEASURE_INTERVAL_S = 0.1
NEWEST_WEIGHT = 0.5
"""Weight of the newest interval in the moving average, which covers about half a second."""


class BusyMeter:
    """Measures one event loop."""

    def __init__(self) -> None:
        self.busy_fraction = 0.0
        """Moving average of the fraction of time in which the loop worked, from 0 to 1."""
        self._waited_s = 0.0
        self._interval_began_s = 0.0

    def watch(self, hub: Any) -> None:
        """Start to measure the event loop of an eventlet hub."""
        poll = hub.do_poll
        self._interval_began_s = clocks.now_s()

        def measured_poll(seconds: float) -> Any:
            before_s = clocks.now_s()
            ready = poll(seconds)
            self.record_wait(before_s, clocks.now_s())
            return ready

        hub.do_poll = measured_poll

    def record_wait(self, before_s: float, after_s: float) -> None:
        """Record a period in which the loop waited for events."""
        self._waited_s += after_s - before_s
        elapsed_s = after_s - self._interval_began_s
        if elapsed_s < MEASURE_INTERVAL_S:
            return
        newest = min(max(1.0 - self._waited_s / elapsed_s, 0.0), 1.0)
        self.busy_fraction += NEWEST_WEIGHT * (newest - self.busy_fraction)
        self._waited_s = 0.0
        self._interval_began_s = after_s
