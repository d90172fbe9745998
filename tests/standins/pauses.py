"""How long this process stood still: none of its threads ran, and its clients asked for nothing."""

import threading
import time

TICK_S = 0.02


class PauseMeter:
    """Measures the longest time in which a thread of this process did not run when it was due."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._tick_forever, daemon=True)

    def __enter__(self) -> "PauseMeter":
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _tick_forever(self) -> None:
        last_s = time.monotonic()
        while not self._stopped.wait(TICK_S):
            now_s = time.monotonic()
            self.longest_s = max(self.longest_s, now_s - last_s - TICK_S)
            last_s = now_s
