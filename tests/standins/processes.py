"""Processes that tests start: all of them end with the test run, however that ends."""

import atexit
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

_STARTED: list[subprocess.Popen[bytes]] = []


def start_process(command: Sequence[str | Path], **options: Any) -> subprocess.Popen[bytes]:
    """Start a process that ends at the latest when this one does."""
    process: subprocess.Popen[bytes] = subprocess.Popen(command, **options)
    _STARTED.append(process)
    return process


def end_processes_at_exit() -> None:
    """See to it that no started process is left behind, also when this one is told to end."""
    atexit.register(_end_all)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))


def _end_all() -> None:
    for process in _STARTED:
        if process.poll() is None:
            process.kill()
