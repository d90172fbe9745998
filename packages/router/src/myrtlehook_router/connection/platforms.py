"""Read-only client of the platform's configuration service."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

import eventlet
from result import Err

from myrtlehook_core import VmListDocument, events, parse_document
from myrtlehook_router.connection.backends import BackendRequest, read_response_body, send_request
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.process.mailboxes import Mailbox

MANIFEST_KEY = "manifest"
VM_LIST_KEY = "vms"
WATCH_WAIT_MS = 20_000
READ_TIMEOUT_S = 5.0
MAX_VALUE_BYTES = 1024 * 1024
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
REVISION_HEADER = "x-revision"

TextCallback = Callable[[str], None]
VmListCallback = Callable[[events.VmListRead], None]

_log = get_logger("platform")


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """A value that the platform has published, and its revision."""

    revision: int
    text: str


class PlatformClient:
    """Reads and watches values by key, each time at a random one of the service's addresses."""

    def __init__(self, addresses: tuple[str, ...], counters: Counters) -> None:
        self._addresses = addresses
        self._counters = counters
        self.cut = False
        """Set by tests to cut this router off from the platform."""

    def read_part(self, key: str) -> str | None:
        """Read a configuration part; returns None if it cannot be read."""
        value = self._read(key, None)
        return None if value is None else value.text

    def watch_manifest(self, mailbox: Mailbox) -> None:
        """Post every manifest to the core; the main loop of a task."""
        self._watch(MANIFEST_KEY, lambda text: mailbox.post(events.ManifestRead(text)))

    def watch_vm_list(self, mailbox: Mailbox, on_vm_list: VmListCallback) -> None:
        """Post every valid VM list to the core; the main loop of a task."""

        def handle_text(text: str) -> None:
            event = self._parse_vm_list(text)
            if event is not None:
                on_vm_list(event)
                mailbox.post(event)

        self._watch(VM_LIST_KEY, handle_text)

    def _watch(self, key: str, on_text: TextCallback) -> None:
        revision: int | None = None
        backoff_s = INITIAL_BACKOFF_S
        while True:
            value = self._read(key, revision)
            if value is None:
                # Jitter keeps the routers of a fleet from retrying all at once.
                eventlet.sleep(backoff_s * (0.5 + random.random()))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            backoff_s = INITIAL_BACKOFF_S
            if revision is not None and value.revision < revision:
                self._counters.add("platform.stale")
                eventlet.sleep(backoff_s)
            if value.revision != revision:
                on_text(value.text)
            revision = value.revision

    def _read(self, key: str, after_revision: int | None) -> PublishedValue | None:
        if self.cut:
            return None
        target = f"/v1/values/{quote(key)}"
        timeout_s = READ_TIMEOUT_S
        if after_revision is not None:
            target += f"?after={after_revision}&wait_ms={WATCH_WAIT_MS}"
            timeout_s += WATCH_WAIT_MS / 1000.0
        address = random.choice(self._addresses)
        self._counters.add("platform.reads")
        sent = send_request(BackendRequest("GET", address, target, {}, b"", timeout_s))
        if isinstance(sent, Err):
            self._counters.add(f"platform.{sent.err_value}")
            return None
        response = sent.ok_value
        content = read_response_body(response, MAX_VALUE_BYTES)
        if isinstance(content, Err) or response.status not in (200, 304):
            self._counters.add(f"platform.status_{response.status}")
            return None
        if response.status == 304 and after_revision is not None:
            return PublishedValue(after_revision, "")
        return _decode_value(response.headers.get(REVISION_HEADER), content.ok_value)

    def _parse_vm_list(self, text: str) -> events.VmListRead | None:
        parsed = parse_document(VmListDocument, text, "VM list")
        if isinstance(parsed, Err):
            self._counters.add("platform.vm_list_rejected")
            _log.error("VM list rejected", findings=[str(item) for item in parsed.err_value])
            return None
        return events.VmListRead(parsed.ok_value.vms)


def _decode_value(revision: str | None, content: bytes) -> PublishedValue | None:
    try:
        return PublishedValue(int(revision or "0"), content.decode())
    except (ValueError, UnicodeDecodeError):
        return None
