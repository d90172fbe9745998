"""Runs tasks without which the process must not go on."""

import sys
from collections.abc import Callable

import eventlet

from myrtlehook_router.process.logs import get_logger

_log = get_logger("tasks")


def run_or_exit(task: Callable[[], None]) -> None:
    """Run a task that should never end; if it ends or fails, exit the process with status 1."""
    try:
        task()
    except Exception:
        _log.exception("task failed")
    eventlet.hubs.get_hub().schedule_call_global(0, sys.exit, 1)
