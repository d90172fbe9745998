"""Measures how late the event loop runs tasks, by a task that sleeps for fixed intervals."""

from collections.abc import Callable

import eventlet

from myrtlehook_core import Shedding, record_lag
from myrtlehook_router.process import clocks
from myrtlehook_router.process.logs import get_logger

WAKE_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 0.1
"""Applies to an idle router: lags don't last long there, and each wake-up costs time too."""

MAX_IDLE_BUSY_FRACTION = 0.3
"""A router that is busy for less than this fraction of the time counts as idle."""

_log = get_logger("lag")


def watch_lag(shedding: Shedding, get_busy_fraction: Callable[[], float]) -> None:
    """Report each lag to load shedding; the main loop of a task.

    :param get_busy_fraction: returns the fraction of the time in which the event loop works.
    """
    was_shedding = False
    while True:
        is_idle = get_busy_fraction() < MAX_IDLE_BUSY_FRACTION and not was_shedding
        interval_s = IDLE_INTERVAL_S if is_idle else WAKE_INTERVAL_S
        due_s = clocks.now_s() + interval_s
        eventlet.sleep(interval_s)
        now_s = clocks.now_s()
        lag_s = now_s - due_s
        record_lag(shedding, lag_s, now_s)
        if was_shedding != (shedding.refused_fraction > 0.0):
            was_shedding = shedding.refused_fraction > 0.0
            _log.info(
                "shedding" if was_shedding else "shedding ended", lag_ms=round(lag_s * 1000.0, 1)
            )
