"""A stand-in of the platform's metadata store: range reads, watches and revisions."""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.listeners import QuietServer

MAX_PAGE_ITEMS = 500


class Store:
    """All items, with the history from which watches are answered."""

    def __init__(self, ip: str, port: int) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 0
        self._changed = threading.Condition()
        self.address = f"{ip}:{port}"
        self._server = QuietServer((ip, port), _make_handler(self))
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key: str, content: Any) -> None:
        """Write an item; a text is stored as it is, anything else as JSON."""
        text = content if isinstance(content, str) else json.dumps(content)
        with self._changed:
            self._revision += 1
            item = {
                "PrivateKey": key,
                "Value": base64.b64encode(text.encode()).decode(),
                "Revision": self._revision,
                "made": self._items.get(key, {}).get("made", self._revision),
                "lease": 0,
            }
            self._items[key] = item
            self._history.append(item)
            self._changed.notify_all()

    def drop(self, key: str) -> None:
        """Remove an item."""
        with self._changed:
            if self._items.pop(key, None) is None:
                return
            self._revision += 1
            self._history.append({"PrivateKey": key, "Revision": self._revision, "gone": True})
            self._changed.notify_all()

    def read_range(self, prefix: str, after: str) -> dict[str, Any]:
        """Answer a range read."""
        with self._changed:
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            entries = [self._items[key] for key in keys[:MAX_PAGE_ITEMS]]
            return {"Entries": entries, "more": len(keys) > MAX_PAGE_ITEMS, "at": self._revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any]:
        """Answer a watch as soon as there is a change."""
        deadline_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                found = [
                    item
                    for item in self._history
                    if item["Revision"] > after and item["PrivateKey"].startswith(prefix)
                ]
                left_s = deadline_s - time.monotonic()
                if found or left_s <= 0:
                    return {"events": found, "at": self._revision}
                self._changed.wait(left_s)


def _make_handler(store: Store) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        """One connection to the store."""

        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_GET(self) -> None:
            """Answer a call."""
            parts = urlsplit(self.path)
            query = {name: values[0] for name, values in parse_qs(parts.query, True).items()}
            prefix = query.get("PathPrefix", "")
            if parts.path == "/v1/kv-range":
                self._answer(store.read_range(prefix, query.get("After", "")))
            elif parts.path == "/v1/kv-watch":
                wait_s = int(query.get("WaitMs", "0")) / 1000.0
                self._answer(store.watch(prefix, int(query["After"]), wait_s))
            else:
                self.send_error(404)

        def _answer(self, content: dict[str, Any]) -> None:
            body = json.dumps(content).encode()
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.send_header("Store-Era", "1")
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format: str, *arguments: Any) -> None:
            """Log nothing."""

    return Handler
