"""Stand-in for the platform's configuration service, whose values are read and watched.

Tests publish by ``PUT /test/values/KEY`` and set its faults by ``POST /test/mode``:
``down``, ``stale_at`` (a revision), ``slow_ms``, ``reads_per_s``.
"""

import argparse
import time
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet.event import Event

from standins.programs import Body, read_json, reply, serve

MAX_WAIT_S = 30.0


class Platform:
    """All revisions of all values, and the faults in force."""

    def __init__(self) -> None:
        self.revision = 0
        self.history: dict[str, list[tuple[int, bytes]]] = {}
        self.mode: dict[str, Any] = {}
        self.changed = Event()
        self.reads = 0
        self.window_s = 0.0
        self.window_reads = 0

    def publish(self, key: str, content: bytes) -> int:
        """Publish a value and wake the watchers."""
        self.revision += 1
        self.history.setdefault(key, []).append((self.revision, content))
        self._wake_watchers()
        return self.revision

    def set_mode(self, mode: dict[str, Any]) -> None:
        """Set the faults in force."""
        self.mode = mode
        self._wake_watchers()

    def find(self, key: str) -> tuple[int, bytes] | None:
        """Return a value with its revision, an old one while the service is set to be stale."""
        limit = self.mode.get("stale_at") or self.revision
        seen = [item for item in self.history.get(key, []) if item[0] <= limit]
        return seen[-1] if seen else None

    def count_read(self) -> bool:
        """Count a read, and return whether it exceeds the allowed reads per second."""
        self.reads += 1
        now_s = time.monotonic()
        if now_s - self.window_s >= 1.0:
            self.window_s, self.window_reads = now_s, 0
        self.window_reads += 1
        return self.window_reads > self.mode.get("reads_per_s", 2000)

    def watch(self, key: str, after: int, wait_s: float) -> tuple[int, bytes] | None:
        """Wait until a value has another revision than the one that the reader has."""
        deadline_s = time.monotonic() + min(wait_s, MAX_WAIT_S)
        while True:
            value = self.find(key)
            if value is not None and value[0] != after:
                return value
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return value
            changed = self.changed
            with eventlet.Timeout(remaining_s, False):
                changed.wait()

    def _wake_watchers(self) -> None:
        changed, self.changed = self.changed, Event()
        changed.send()


def make_application(platform: Platform) -> Any:
    """Make the WSGI application."""

    def application(environ: dict[str, Any], start_response: Any) -> Body:
        path = environ["PATH_INFO"]
        if path.startswith("/test/values/"):
            content = environ["wsgi.input"].read()
            revision = platform.publish(path.removeprefix("/test/values/"), content)
            return reply(start_response, 200, {"revision": revision}, [])
        if path == "/test/mode":
            platform.set_mode(read_json(environ))
            return reply(start_response, 200, {}, [])
        if path == "/test/reads":
            return reply(start_response, 200, {"reads": platform.reads}, [])
        return _answer_read(platform, environ, start_response)

    return application


def _answer_read(platform: Platform, environ: dict[str, Any], start_response: Any) -> Body:
    if platform.mode.get("down"):
        return reply(start_response, 503, {"error": "down"}, [])
    if platform.count_read():
        return reply(start_response, 429, {"error": "too many reads"}, [])
    eventlet.sleep(platform.mode.get("slow_ms", 2) / 1000.0)
    key = environ["PATH_INFO"].removeprefix("/v1/values/")
    query = parse_qs(environ.get("QUERY_STRING", ""))
    after = int(query.get("after", ["-1"])[0])
    wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000.0
    value = platform.watch(key, after, wait_s) if after >= 0 else platform.find(key)
    if platform.mode.get("down"):
        return reply(start_response, 503, {"error": "down"}, [])
    if value is None:
        return reply(start_response, 404, {"error": "no such value"}, [])
    headers = [("X-Revision", str(value[0]))]
    if value[0] == after:
        return reply(start_response, 304, b"", headers)
    return reply(start_response, 200, value[1], headers)


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    serve(make_application(Platform()), parser.parse_args().port)


if __name__ == "__main__":
    main()
