"""Whether the tasks that read the source are to go on, as the core decides."""

from eventlet.event import Event


class ReadSwitch:
    """Set by the core's task; the tasks that read the source wait on it."""

    def __init__(self, wanted: bool = True) -> None:
        self.wanted = wanted
        self._turned_on = Event()

    def set(self, wanted: bool) -> None:
        """Let the source be read, or not."""
        if wanted and not self.wanted:
            turned_on, self._turned_on = self._turned_on, Event()
            turned_on.send()
        self.wanted = wanted

    def wait_until_wanted(self) -> None:
        """Return once the source is to be read."""
        while not self.wanted:
            self._turned_on.wait()
