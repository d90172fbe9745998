"""A log stream that never blocks: what its reader does not take in time is dropped and counted."""

import os
from collections import deque

import eventlet

FLUSH_INTERVAL_S = 0.1
QUEUED_LINES = 4000
LINES_A_FLUSH = 500
"""Bounds the volume to 5,000 lines a second."""


class BoundedStream:
    """Queues whole lines, and writes them to a descriptor from a task of its own."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._rest = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Queue text, or count it as dropped when too much waits."""
        if len(self._lines) >= QUEUED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(text)

    def flush(self) -> None:
        """Do nothing: the stream's own task writes."""

    def write_forever(self) -> None:
        """Write what is queued, at intervals; the loop of this task."""
        while True:
            eventlet.sleep(FLUSH_INTERVAL_S)
            self.write_queued()

    def write_queued(self) -> None:
        """Write what the descriptor takes now."""
        taken = [self._lines.popleft() for _ in range(min(LINES_A_FLUSH, len(self._lines)))]
        content = self._rest + "".join(taken).encode()
        if not content:
            return
        try:
            written = os.write(self._descriptor, content)
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(content)
        self._rest = content[written:]
