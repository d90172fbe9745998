"""Starts processes for tests, and ends all of them with the test run, however that ends."""

import atexit
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

_STARTED: list[subprocess.Popen[bytes]] = []


def start_process(command: Sequence[str | Path], **options: Any) -> subprocess.Popen[bytes]:
    """Start a process that is killed at the latest when this one ends."""
    process: subprocess.Popen[bytes] = subprocess.Popen(command, **options)
    _STARTED.append(process)
    return process


def end_processes_at_exit() -> None:
    """Kill all started processes at this one's end, also when SIGTERM ends it."""
    atexit.register(_kill_all)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))


def _kill_all() -> None:
    for process in _STARTED:
        if process.poll() is None:
            process.kill()
