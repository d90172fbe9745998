"""Limits the part of the event loop's time that goes into the reading of large requests.

Large requests wait for their turn. Turns come one after the other, and after each one the loop
belongs to others for as long as it has lasted.
"""

from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore

from myrtlehook_router.process import clocks

TIME_FACTOR = 2.0
"""The time that passes for each second of reading, the reading included."""

MAX_BURST_S = 0.004
"""Reading may run ahead of its part of the time by this much."""


class ReadingTurns:
    """The reading time of one process."""

    def __init__(self, clock: Callable[[], float] = clocks.now_s) -> None:
        self._clock = clock
        self._free_at_s = 0.0
        self._turn = Semaphore(1)

    def charge(self, spent_s: float) -> None:
        """Count time that was spent on reading."""
        self._free_at_s = max(self._free_at_s, self._clock()) + TIME_FACTOR * spent_s

    def wait(self) -> None:
        """Wait for a turn, behind those that wait already."""
        if self._turn.locked() or self._is_ahead():
            with self._turn:
                while self._is_ahead():
                    eventlet.sleep(self._free_at_s - self._clock())

    def _is_ahead(self) -> bool:
        return self._free_at_s > self._clock() + MAX_BURST_S
