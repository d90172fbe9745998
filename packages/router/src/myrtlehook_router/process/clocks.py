"""The only clock of the process: steady, and including time in which the VM was suspended.

Leases, deadlines and the age of known state are measured with it. ``time.monotonic`` stops while
a VM is suspended, so a resumed router would go by state that has long expired. Timers of the event
loop do stop during a suspension, but they only wake a task, which then reads this clock.
"""

import time

COUNTS_SUSPENSION = hasattr(time, "CLOCK_BOOTTIME")
"""False on systems without such a clock, where a suspension goes unnoticed."""

_CLOCK = time.CLOCK_BOOTTIME if COUNTS_SUSPENSION else time.CLOCK_MONOTONIC


def now_s() -> float:
    """Return the time, in seconds since an arbitrary moment before the process started."""
    return time.clock_gettime(_CLOCK)
