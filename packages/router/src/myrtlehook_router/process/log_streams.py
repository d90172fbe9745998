"""A log stream that never blocks: what its reader does not take in time is dropped and counted."""

import os
from collections import deque

import eventlet
from eventlet.event import Event

FLUSH_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.02
"""After a write that the descriptor did not take whole: a pipe holds some 160 lines."""

QUEUED_LINES = 4000
LINES_A_FLUSH = 500
"""Bounds the volume to 5,000 lines a second."""

TELL_INTERVAL_S = 1.0


class BoundedStream:
    """Queues whole lines, and writes them to a descriptor from a task of its own."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._rest = b""
        self.dropped_lines = 0
        self._told_lines = 0
        self._written = Event()
        """Sent when a line was queued since the task last slept for want of any."""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Queue one line, or count it as dropped when too much waits."""
        if len(self._lines) >= QUEUED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(text)
        if not self._written.ready():
            self._written.send()

    def flush(self) -> None:
        """Do nothing: the stream's own task writes."""

    def take_untold(self) -> int:
        """Return how many lines were dropped that the log has not told of yet.

        While the queue is full there are none: a line about them would be dropped as well.
        """
        if len(self._lines) >= QUEUED_LINES:
            return 0
        untold = self.dropped_lines - self._told_lines
        self._told_lines = self.dropped_lines
        return untold

    def write_forever(self) -> None:
        """Write what is queued, at intervals; the loop of this task."""
        while True:
            if not self._lines and not self._rest:
                self._written.wait()
                self._written = Event()
            eventlet.sleep(RETRY_INTERVAL_S if self._rest else FLUSH_INTERVAL_S)
            self.write_queued()

    def write_queued(self) -> None:
        """Write what the descriptor takes now."""
        content = self._rest
        if not content:
            count = min(LINES_A_FLUSH, len(self._lines))
            content = "".join(self._lines.popleft() for _ in range(count)).encode()
        if not content:
            return
        try:
            written = os.write(self._descriptor, content)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; there is nobody to tell.
            written = len(content)
        self._rest = content[written:]
