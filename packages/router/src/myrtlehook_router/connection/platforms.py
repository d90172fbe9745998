"""The platform's configuration service: read and watched, never written."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

import eventlet
from result import Err

from myrtlehook_core import VmListDocument, events, parse_document
from myrtlehook_router.connection.backends import BackendRequest, read_whole, send_request
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.process.mailboxes import Mailbox

MANIFEST_KEY = "manifest"
VM_LIST_KEY = "vms"
WATCH_WAIT_MS = 20_000
READ_TIMEOUT_S = 5.0
VALUE_LIMIT_BYTES = 1024 * 1024
FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 5.0
REVISION_HEADER = "x-revision"

TextHook = Callable[[str], None]
ListedHook = Callable[[events.VmListRead], None]

_log = get_logger("platform")


@dataclass(frozen=True, slots=True)
class Value:
    """One published value."""

    revision: int
    text: str


class Platform:
    """Reads values by key; any of the service's addresses will do."""

    def __init__(self, addresses: tuple[str, ...], counters: Counters) -> None:
        self._addresses = addresses
        self._counters = counters
        self.cut = False
        """Set by tests to cut this router from the platform."""

    def read_part(self, key: str) -> str | None:
        """Read a configuration part; None when the platform does not give it."""
        value = self._read(key, None)
        return None if value is None else value.text

    def watch_manifest(self, mailbox: Mailbox) -> None:
        """Tell the core of every manifest; the loop of this task."""
        self._watch(MANIFEST_KEY, lambda text: mailbox.post(events.ManifestRead(text)))

    def watch_vm_list(self, mailbox: Mailbox, on_listed: ListedHook) -> None:
        """Tell the core of every VM list; the loop of this task."""

        def take(text: str) -> None:
            event = self._parse_vm_list(text)
            if event is not None:
                on_listed(event)
                mailbox.post(event)

        self._watch(VM_LIST_KEY, take)

    def _watch(self, key: str, take: TextHook) -> None:
        revision: int | None = None
        backoff_s = FIRST_BACKOFF_S
        while True:
            value = self._read(key, revision)
            if value is None:
                # Jitter keeps a fleet from coming back all at once.
                eventlet.sleep(backoff_s * (0.5 + random.random()))
                backoff_s = min(backoff_s * 2, LONGEST_BACKOFF_S)
                continue
            backoff_s = FIRST_BACKOFF_S
            if revision is not None and value.revision < revision:
                self._counters.add("platform.stale")
                eventlet.sleep(backoff_s)
            if value.revision != revision:
                take(value.text)
            revision = value.revision

    def _read(self, key: str, after: int | None) -> Value | None:
        if self.cut:
            return None
        target = f"/v1/values/{quote(key)}"
        timeout_s = READ_TIMEOUT_S
        if after is not None:
            target += f"?after={after}&wait_ms={WATCH_WAIT_MS}"
            timeout_s += WATCH_WAIT_MS / 1000.0
        address = random.choice(self._addresses)
        self._counters.add("platform.reads")
        sent = send_request(BackendRequest("GET", address, target, {}, b"", timeout_s))
        if isinstance(sent, Err):
            self._counters.add(f"platform.{sent.err_value}")
            return None
        response = sent.ok_value
        content = read_whole(response, VALUE_LIMIT_BYTES)
        if isinstance(content, Err) or response.status not in (200, 304):
            self._counters.add(f"platform.status_{response.status}")
            return None
        if response.status == 304 and after is not None:
            return Value(after, "")
        return _decode_value(response.headers.get(REVISION_HEADER), content.ok_value)

    def _parse_vm_list(self, text: str) -> events.VmListRead | None:
        parsed = parse_document(VmListDocument, text, "VM list")
        if isinstance(parsed, Err):
            self._counters.add("platform.vm_list_rejected")
            _log.error("VM list rejected", findings=[str(item) for item in parsed.err_value])
            return None
        return events.VmListRead(parsed.ok_value.vms)


def _decode_value(revision: str | None, content: bytes) -> Value | None:
    try:
        return Value(int(revision or "0"), content.decode())
    except (ValueError, UnicodeDecodeError):
        return None
