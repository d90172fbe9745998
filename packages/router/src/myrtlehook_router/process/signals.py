"""Lets a task wait for a signal of the operating system."""

import eventlet
from eventlet import hubs
from eventlet.event import Event


class Signal:
    """An event that a signal handler sets and one task waits for."""

    def __init__(self) -> None:
        self._event = Event()

    def set(self) -> None:
        """Wake the waiting task; safe in a signal handler, which may interrupt any task."""
        hubs.get_hub().schedule_call_global(0, self._send)

    def wait(self, wait_s: float | None) -> None:
        """Wait until the signal is set, at most for ``wait_s``; None waits without limit."""
        with eventlet.Timeout(wait_s, False):
            self._event.wait()

    def clear(self) -> None:
        """Reset, so that ``wait`` waits for the next signal."""
        self._event = Event()

    def _send(self) -> None:
        if not self._event.ready():
            self._event.send()
