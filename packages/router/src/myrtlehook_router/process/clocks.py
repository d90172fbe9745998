"""The one clock of the process: steady, and counting the time in which the VM was suspended.

Leases, deadlines and beliefs go by it. ``time.monotonic`` stands still while a VM is suspended:
a router that woke would hold what has long expired. Timers of the event loop do stand still;
they only ever wake a task, which then asks this clock.
"""

import time

COUNTS_SUSPENSION = hasattr(time, "CLOCK_BOOTTIME")
"""False where the system has no such clock; then a suspended time is not noticed."""

_CLOCK = time.CLOCK_BOOTTIME if COUNTS_SUSPENSION else time.CLOCK_MONOTONIC


def now_s() -> float:
    """Return the time, in seconds from some moment before the process began."""
    return time.clock_gettime(_CLOCK)
