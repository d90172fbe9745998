"""The record of a case: what was sent, answered and run, in order of time."""

import json
import threading
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes one line for each observation; any thread may add one."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the record began."""
        return time.monotonic() - self._began_s

    def add(self, what: str, **details: Any) -> None:
        """Add one observation."""
        fields = " ".join(f"{name}={json.dumps(value)}" for name, value in details.items())
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {what} {fields}\n")
            self._file.flush()
