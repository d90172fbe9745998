"""A switch with which the core starts and pauses the tasks that read the source."""

from eventlet.event import Event


class ReadSwitch:
    """Set by the core's task; the tasks that read the source wait for it."""

    def __init__(self, wanted: bool = True) -> None:
        self.wanted = wanted
        self._turned_on = Event()

    def set(self, wanted: bool) -> None:
        """Start or pause reading of the source."""
        if wanted and not self.wanted:
            turned_on, self._turned_on = self._turned_on, Event()
            turned_on.send()
        self.wanted = wanted

    def wait_until_wanted(self) -> None:
        """Wait until the source is to be read."""
        while not self.wanted:
            self._turned_on.wait()
