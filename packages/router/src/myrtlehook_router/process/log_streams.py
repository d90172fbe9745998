"""A log stream that never blocks: lines that its reader is too slow for are dropped and counted."""

import os
from collections import deque

import eventlet
from eventlet.event import Event

FLUSH_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.02
"""Delay after a partial write; a pipe holds about 160 lines."""

MAX_QUEUED_LINES = 4000
MAX_KEPT_LINES = 1000
"""Number of lines that may be queued beyond that by loggers whose lines are kept."""

MAX_LINES_PER_FLUSH = 500
"""Limits the output to 5,000 lines per second."""

REPORT_INTERVAL_S = 1.0


class KeptStream:
    """A view of a bounded stream whose lines are kept while others are dropped."""

    def __init__(self, stream: "BoundedStream") -> None:
        self.write = stream.write_kept
        self.flush = stream.flush


class BoundedStream:
    """Queues whole lines, which a separate task writes to a descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._unwritten = b""
        self.dropped_lines = 0
        self._reported_lines = 0
        self._line_queued = Event()
        """Sent when a line is queued; replaced when the task wakes up for it."""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Queue one line, or drop and count it if the queue is full."""
        self._queue(text, MAX_QUEUED_LINES)

    def write_kept(self, text: str) -> None:
        """Queue one line that must not be lost in an overload."""
        self._queue(text, MAX_QUEUED_LINES + MAX_KEPT_LINES)

    def _queue(self, text: str, max_lines: int) -> None:
        if len(self._lines) >= max_lines:
            self.dropped_lines += 1
            return
        self._lines.append(text)
        if not self._line_queued.ready():
            self._line_queued.send()

    def flush(self) -> None:
        """Do nothing: the task of this stream writes the lines."""

    def pop_unreported_drops(self) -> int:
        """Return the number of dropped lines that the log has not reported yet, and reset it.

        Returns 0 while the queue is full, when a line that reports them would be dropped too.
        """
        if len(self._lines) >= MAX_QUEUED_LINES:
            return 0
        unreported = self.dropped_lines - self._reported_lines
        self._reported_lines = self.dropped_lines
        return unreported

    def write_forever(self) -> None:
        """Write queued lines at intervals; the main loop of a task."""
        while True:
            if not self._lines and not self._unwritten:
                self._line_queued.wait()
                self._line_queued = Event()
            eventlet.sleep(RETRY_INTERVAL_S if self._unwritten else FLUSH_INTERVAL_S)
            self.write_queued()

    def write_queued(self) -> None:
        """Write one batch of queued lines, as far as the descriptor accepts it now."""
        content = self._unwritten
        if not content:
            count = min(MAX_LINES_PER_FLUSH, len(self._lines))
            content = "".join(self._lines.popleft() for _ in range(count)).encode()
        if not content:
            return
        try:
            written = os.write(self._descriptor, content)
        except BlockingIOError:
            written = 0
        except OSError:
            # The log's reader is gone, and there is no other place to report it: discard the lines.
            written = len(content)
        self._unwritten = content[written:]
