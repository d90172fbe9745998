"""How much of its time a process works: the part in which its event loop does not wait."""

from typing import Any

from myrtlehook_router.process import clocks

INTERVAL_S = 0.1
NEWEST_WEIGHT = 0.5
"""Of the last interval against all earlier ones: half a second is remembered."""


class BusyMeter:
    """Measures one event loop."""

    def __init__(self) -> None:
        self.part = 0.0
        """The part of the time in which the loop has worked lately, from 0 to 1."""
        self._waited_s = 0.0
        self._began_s = 0.0

    def watch(self, hub: Any) -> None:
        """Measure a loop of eventlet's from now on."""
        poll = hub.do_poll
        self._began_s = clocks.now_s()

        def measured_poll(seconds: float) -> Any:
            before_s = clocks.now_s()
            ready = poll(seconds)
            self.note_wait(before_s, clocks.now_s())
            return ready

        hub.do_poll = measured_poll

    def note_wait(self, before_s: float, after_s: float) -> None:
        """Note that the loop had nothing to do for a time."""
        self._waited_s += after_s - before_s
        elapsed_s = after_s - self._began_s
        if elapsed_s < INTERVAL_S:
            return
        newest = min(max(1.0 - self._waited_s / elapsed_s, 0.0), 1.0)
        self.part += NEWEST_WEIGHT * (newest - self.part)
        self._waited_s = 0.0
        self._began_s = after_s
