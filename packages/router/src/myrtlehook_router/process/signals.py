"""Lets a task sleep until the operating system has signalled the process."""

import eventlet
from eventlet import hubs
from eventlet.event import Event


class Signal:
    """Set by a signal's handler, waited for by one task."""

    def __init__(self) -> None:
        self._event = Event()

    def set(self) -> None:
        """Wake the task that waits; safe in a signal's handler, which may run in any task."""
        hubs.get_hub().schedule_call_global(0, self._send)

    def wait(self, wait_s: float | None) -> None:
        """Wait until the signal is set, or for so long at the most."""
        with eventlet.Timeout(wait_s, False):
            self._event.wait()

    def clear(self) -> None:
        """Wait for the next signal from now on."""
        self._event = Event()

    def _send(self) -> None:
        if not self._event.ready():
            self._event.send()
