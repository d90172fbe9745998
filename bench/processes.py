"""Load generator processes, and the resource usage of processes as the kernel reports it."""

import json
import os
import subprocess
import sys
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import Any

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ROOT = Path(__file__).resolve().parent.parent


class LoadRun:
    """A running load generator process."""

    def __init__(self, groups: Sequence[dict[str, Any]], seconds: float, seed: int) -> None:
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        self.process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", "bench.load"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env=environment,
        )
        order = {"groups": list(groups), "seconds": seconds, "seed": seed}
        self._report: dict[str, Any] = {}
        # A separate thread reads, so that a long report does not block the generator.
        self._thread = threading.Thread(target=self._exchange, args=(json.dumps(order).encode(),))
        self._thread.start()

    def wait(self) -> dict[str, Any]:
        """Wait until the process has ended and return its report."""
        self._thread.join()
        return self._report

    def _exchange(self, order: bytes) -> None:
        output, _ = self.process.communicate(order)
        self._report = json.loads(output or b"{}")


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return a process's resident memory, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def compute_percentile(values: Sequence[float], fraction: float) -> float:
    """Return a percentile of values, or 0 if there are none.

    :param fraction: the percentile as a fraction, such as 0.99.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]
