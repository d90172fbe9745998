"""Tasks that must never end."""

import sys
from collections.abc import Callable

import eventlet

from myrtlehook_router.process.logs import get_logger

_log = get_logger("tasks")


def guard(task: Callable[[], None]) -> None:
    """Run a task; if it ends, the process must not go on without it."""
    try:
        task()
    except Exception:
        _log.exception("task failed")
    eventlet.hubs.get_hub().schedule_call_global(0, sys.exit, 1)
