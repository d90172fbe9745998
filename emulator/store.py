"""The platform's key-value store: revisions, range reads, watches and injected faults."""

import base64
import json
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet.event import Event

MAX_HISTORY_ITEMS = 1000
MAX_PAGE_ITEMS = 50
MAX_PAGE_BYTES = 1_000_000
FOREIGN_ITEM = "foreign item"
"""The field of a change in the history that holds an item which another program has written."""


StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(slots=True)
class StoreFaults:
    """Faults that the store shows at present."""

    status: int = 0
    """The status of every answer, such as 503 or 429; 0 for regular answers."""
    silent: bool = False
    nonsense: bool = False
    """Whether answers are JSON that does not follow the store's documented format."""
    slow_ms: float = 0.0
    text: str = ""
    """The body of every answer; empty for regular answers."""
    fields: dict[str, Any] = field(default_factory=dict)
    """Fields of every answer that differ from the regular ones."""


@dataclass(slots=True)
class Store:
    """All items, and the history from which watches are answered."""

    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    history: deque[dict[str, Any]] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY_ITEMS))
    compacted_revision: int = 0
    revision: int = 0
    changed: Event = field(default_factory=Event)
    faults: StoreFaults = field(default_factory=StoreFaults)
    foreign_items: list[Any] = field(default_factory=list)
    """Items as another program has written them: any JSON, also without key or revision."""
    foreign_keys: set[str] = field(default_factory=set)
    """Keys that another program has written, also such that are gone."""
    calls: Counter[str] = field(default_factory=Counter)
    era: int = 1
    """Incremented each time the store is restored from a copy."""
    saved_copy: tuple[dict[str, dict[str, Any]], int] = field(default_factory=lambda: ({}, 0))
    """The items of the saved copy, and its revision."""

    def save_copy(self) -> None:
        """Save a copy of the present items and revision."""
        self.saved_copy = (dict(self.items), self.revision)

    def restore_copy(self) -> dict[str, dict[str, Any]]:
        """Restore the saved copy; returns the items from before the restoration.

        Writes since the copy are lost, their revisions are assigned again, and the history
        ends at the copy's revision.
        """
        before = dict(self.items)
        items, self.revision = self.saved_copy
        self.items = dict(items)
        kept = [item for item in self.history if item["Revision"] <= self.revision]
        self.history.clear()
        self.history.extend(kept)
        self.era += 1
        self._wake_watches()
        return before

    def put(self, key: str, text: str) -> None:
        """Write an item."""
        self.revision += 1
        made = self.items.get(key, {}).get("made", self.revision)
        item = {
            "PrivateKey": key,
            "Value": base64.b64encode(text.encode()).decode(),
            "Revision": self.revision,
            "made": made,
            "lease": 0,
        }
        self.items[key] = item
        self._record_change(item)

    def put_foreign_item(self, item: Any) -> None:
        """Write an item as another program may have written it.

        One without a key that can be sorted among others stands on the first page.
        """
        self.revision += 1
        self.foreign_items.append(item)
        if _has_sound_key(item):
            self.items[item["PrivateKey"]] = item
            self.foreign_keys.add(item["PrivateKey"])
        self._record_change({"PrivateKey": "", "Revision": self.revision, FOREIGN_ITEM: item})

    def drop_foreign_items(self) -> None:
        """Remove the items that another program has written."""
        items, self.foreign_items = self.foreign_items, []
        for item in items:
            if isinstance(item, dict) and "PrivateKey" in item:
                self.revision += 1
                gone = {"PrivateKey": item["PrivateKey"], "Revision": self.revision, "gone": True}
                if _has_sound_key(item):
                    self.items.pop(item["PrivateKey"], None)
                self._record_change(
                    {"PrivateKey": "", "Revision": self.revision, FOREIGN_ITEM: gone}
                )

    def drop(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record_change({"PrivateKey": key, "Revision": self.revision, "gone": True})

    def compact_history(self) -> None:
        """Discard the history, so that watches from earlier revisions are answered with 410."""
        self.history.clear()
        self.compacted_revision = self.revision
        self._wake_watches()

    def answer(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        """Serve one call; a WSGI application."""
        fields = parse_qs(environ["QUERY_STRING"], keep_blank_values=True)
        query = {name: values[0] for name, values in fields.items()}
        name = environ["PATH_INFO"].rpartition("/")[2]
        self.calls[name] += 1
        if self.faults.silent:
            eventlet.sleep(60.0)
        eventlet.sleep(self.faults.slow_ms / 1000.0)
        if self.faults.status:
            start_response(f"{self.faults.status} Fault", [("Content-Length", "0")])
            return []
        answers = {"kv-range": self._read_range, "kv-watch": self._watch, "kv-key": self._read_key}
        status, content = answers[name](query)
        if self.faults.nonsense:
            content = {"events": 7, "Entries": [{"Value": "?"}], "at": "soon"}
        if status.startswith("200"):
            content = {**content, **self.faults.fields}
        body = (self.faults.text or json.dumps(content)).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Store-Era", str(self.era)),
        ]
        start_response(status, headers)
        return [body]

    def _read_range(self, query: dict[str, str]) -> tuple[str, dict[str, Any]]:
        prefix, after = query["PathPrefix"], query.get("After", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        entries = [self.items[key] for key in self._take_page(keys)]
        more = len(keys) > len(entries)
        if not after:
            entries = [item for item in self.foreign_items if not _has_sound_key(item)] + entries
        return "200 OK", {"Entries": entries, "more": more, "at": self.revision}

    def _take_page(self, keys: list[str]) -> list[str]:
        """Return the first keys, one at least, whose items fit into one page."""
        page_bytes = 0
        for number, key in enumerate(keys[:MAX_PAGE_ITEMS]):
            page_bytes += len(str(self.items[key].get("Value", "")))
            if number and page_bytes > MAX_PAGE_BYTES:
                return keys[:number]
        return keys[:MAX_PAGE_ITEMS]

    def _read_key(self, query: dict[str, str]) -> tuple[str, dict[str, Any]]:
        item = self.items.get(query["PrivateKey"])
        if item is None:
            return "404 Not Found", {"at": self.revision}
        return "200 OK", {**item, "at": self.revision}

    def _watch(self, query: dict[str, str]) -> tuple[str, dict[str, Any]]:
        after, prefix = int(query["After"]), query["PathPrefix"]
        timeout = eventlet.Timeout(int(query.get("WaitMs", "0")) / 1000.0, False)
        with timeout:
            while True:
                if not self.compacted_revision <= after <= self.revision:
                    return "410 Gone", {"at": self.revision}
                found = self._find_changes_since(prefix, after)
                if found:
                    return "200 OK", {"events": found, "at": self.revision}
                self.changed.wait()
        return "200 OK", {"events": [], "at": self.revision}

    def _find_changes_since(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            item.get(FOREIGN_ITEM, item)
            for item in self.history
            if item["Revision"] > after and item["PrivateKey"].startswith(prefix)
        ]

    def _record_change(self, item: dict[str, Any]) -> None:
        self.history.append(item)
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self.changed = self.changed, Event()
        changed.send()


def _has_sound_key(item: Any) -> bool:
    """Return whether an item has a key of printable characters."""
    key = item.get("PrivateKey") if isinstance(item, dict) else None
    return isinstance(key, str) and key.isprintable()
