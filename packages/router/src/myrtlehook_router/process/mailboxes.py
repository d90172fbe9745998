"""The mailbox through which all tasks send events to the core's task."""

from eventlet.queue import Empty, LightQueue

from myrtlehook_core import Event


class Mailbox:
    """Events in order of arrival; any task may post, one task receives."""

    def __init__(self) -> None:
        self._events: LightQueue = LightQueue()

    def post(self, event: Event) -> None:
        """Queue an event for the core; never blocks."""
        self._events.put_nowait(event)

    def receive(self, wait_s: float) -> Event | None:
        """Return the next event, or None if none arrives within ``wait_s``."""
        try:
            return self._events.get(timeout=wait_s) if wait_s > 0 else self._events.get_nowait()
        except Empty:
            return None
