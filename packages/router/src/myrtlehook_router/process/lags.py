"""How late the process's loop is, measured by a task that wakes at fixed times."""

from collections.abc import Callable

import eventlet

from myrtlehook_core import Shedding, note_lag
from myrtlehook_router.process import clocks
from myrtlehook_router.process.logs import get_logger

WAKE_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 0.1
"""While little is done, nothing can be late for long, and each waking costs as well."""

IDLE_PART = 0.3
"""Of its processor time; below it a router does little."""

_log = get_logger("lag")


def watch_lag(shedding: Shedding, busy_part: Callable[[], float]) -> None:
    """Tell of each lag; the loop of this task.

    :param busy_part: returns the part of its processor time that this router uses.
    """
    shed = False
    while True:
        is_idle = busy_part() < IDLE_PART and not shed
        interval_s = IDLE_INTERVAL_S if is_idle else WAKE_INTERVAL_S
        wanted_s = clocks.now_s() + interval_s
        eventlet.sleep(interval_s)
        now_s = clocks.now_s()
        lag_s = now_s - wanted_s
        note_lag(shedding, lag_s, now_s)
        if shed != (shedding.refused_fraction > 0.0):
            shed = shedding.refused_fraction > 0.0
            _log.info("shedding" if shed else "shedding ended", lag_ms=round(lag_s * 1000.0, 1))
