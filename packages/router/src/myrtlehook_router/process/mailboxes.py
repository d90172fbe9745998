"""The mailbox by which every task tells the core's task what happened."""

from eventlet.queue import Empty, LightQueue

from myrtlehook_core import Event


class Mailbox:
    """Events in order of arrival; any task may post, one task takes."""

    def __init__(self) -> None:
        self._events: LightQueue = LightQueue()

    def post(self, event: Event) -> None:
        """Leave an event for the core; never blocks."""
        self._events.put_nowait(event)

    def take(self, wait_s: float) -> Event | None:
        """Take the next event, or None when there is none in time."""
        try:
            return self._events.get(timeout=wait_s) if wait_s > 0 else self._events.get_nowait()
        except Empty:
            return None
