"""A model engine: batches, piecewise reading of prompts, a prompt cache, seals and faults."""

import hashlib
import socket
import time
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import eventlet
from eventlet import patcher
from eventlet.queue import Empty, LightQueue

from emulator.endings import send_begun_head

READER_CHECK_S = 0.02
"""How often an engine looks whether a stream's reader is still there."""

SYSTEM_HEADERS = frozenset({"retention", "pin-duration-ms", "kv-backup", "kv-from", "kv-fetch"})
"""Headers of a request that the system alone may set; callers forge them."""

REFUSED_HEADERS = frozenset({"retention", "kv-from"})
"""Of these, those that name what an engine has to know: a forged one is refused."""

ARRIVALS_KEPT = 3000

_select = patcher.original("select")

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """How fast an engine works."""

    step_ms: float = 5.0
    read_tokens_per_ms: float = 40.0
    chunk_tokens: int = 1024
    event_tokens: int = 3
    slots: int = 16
    queue: int = 64
    memory_tokens: int = 60_000


@dataclass(slots=True)
class EngineFaults:
    """What is wrong with an engine at present; counts fall as they strike."""

    reset_answers: int = 0
    """So many requests run and get no answer."""
    wrong_ids: int = 0
    refusals: int = 0
    hold_after_events: int = 0
    """Streams stand still after so many events until this is 0 again."""
    silent: bool = False
    """Nothing is made for anyone, though requests are taken."""
    leaving: bool = False
    """All answers say that the engine leaves, whatever its entry says."""
    refuse_every: int = 0
    """One in so many requests is refused."""
    retry_after: str = ""
    """Refusals ask to be left alone for this long, in seconds."""


@dataclass(slots=True)
class SharedFaults:
    """What strikes whichever engine comes first."""

    break_after_events: int = 0
    """The next stream breaks off after so many events."""
    ending_body: str = ""
    """A request whose body begins so ends each engine that begins to run it."""
    end_after_ms: float = 40.0
    """How long after that."""
    back_after_s: float = 1.0
    """How long after its end an engine starts again."""
    keeps_id: bool = False
    """It starts again under the id that it had."""


@dataclass(slots=True)
class Run:
    """One request at the engine."""

    attempt_id: str
    unread_tokens: int
    output_tokens: int
    first_event: int
    events: LightQueue = field(default_factory=LightQueue)
    made_tokens: int = 0
    cancelled: bool = False


class Engine:
    """One engine's state and its step loop."""

    def __init__(self, identifier: str, speed: EngineSpeed, shared: SharedFaults) -> None:
        self.identifier = identifier
        self.shared = shared
        self.speed = speed
        self.faults = EngineFaults()
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.runs: Counter[str] = Counter()
        """How often each attempt was begun."""
        self.cancelled: Counter[str] = Counter()
        self.arrivals = Arrivals()
        self.seen_headers: dict[str, dict[str, str]] = {}
        self.system_headers: list[tuple[str, str]] = []
        """Headers that the system alone may set, as they came, with their values."""
        self.read_tokens = 0
        self.end: Callable[[], None] = lambda: None
        """Ends the engine's process."""

    def forget(self) -> None:
        """Drop what a process loses that ends."""
        for run in (*self.waiting, *self.running):
            run.cancelled = True
        self.waiting.clear()
        self.running.clear()
        self.cache.clear()
        # Its next start may have another id, and has been sent nothing yet.
        self.arrivals = Arrivals()

    def step_forever(self) -> None:
        """Run one step after another."""
        while True:
            spent_ms = self.speed.step_ms + self._read() / self.speed.read_tokens_per_ms
            eventlet.sleep(spent_ms / 1000.0 if self.running else 0.001)
            for run in list(self.running):
                self._make(run)

    def answer(self, environ: dict[str, Any], start_response: StartResponse) -> Any:
        """Serve one request; a WSGI application."""
        attempt_id = environ.get("HTTP_ATTEMPT_ID", "")
        self.arrivals.note(attempt_id)
        refusal = self._find_refusal(environ, attempt_id)
        if refusal is not None:
            environ["wsgi.input"].read()
            headers = [("Content-Length", "0"), ("Attempt-Id", attempt_id)]
            told = tell_of_server(self.faults.leaving, self.faults.retry_after, refusal)
            start_response(refusal, [*headers, ("Not-Executed", "1"), *told])
            return []
        body = environ["wsgi.input"].read()
        self.runs[attempt_id] += 1
        self.seen_headers[attempt_id] = {
            name.title(): value for name, value in environ["headers_raw"]
        }
        if self.faults.reset_answers > 0:
            self.faults.reset_answers -= 1
            break_connection(environ)
        run = self._start(environ, attempt_id)
        ending = self.shared.ending_body.encode()
        if ending and body.startswith(ending):
            self._end_with(environ, attempt_id)
        shown_id = attempt_id
        if self.faults.wrong_ids > 0:
            self.faults.wrong_ids -= 1
            shown_id = "someone-else"
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Attempt-Id", shown_id),
            ("Response-Seal", self.seal(attempt_id)),
            ("X-Body-Digest", hashlib.sha256(body).hexdigest()),
        ]
        headers += tell_of_server(self.faults.leaving)
        if self.faults.leaving:
            headers.append(("Connection", "close"))
        start_response("200 OK", headers)
        return Stream(self, run, environ["wsgi.input"].get_socket())

    def _end_with(self, environ: dict[str, Any], attempt_id: str) -> None:
        """End as this run begins; its caller has got the answer's head."""
        send_begun_head(environ["wsgi.input"].get_socket(), attempt_id, self.seal(attempt_id))
        eventlet.sleep(self.shared.end_after_ms / 1000.0)
        # In a task of its own, since this one ends with the engine.
        eventlet.spawn_n(self.end)
        eventlet.sleep(self.shared.end_after_ms / 1000.0)
        raise ConnectionResetError("the engine has ended")

    def seal(self, attempt_id: str) -> str:
        """Return the seal of an answer of this engine."""
        return hashlib.sha256(f"{self.identifier}/{attempt_id}".encode()).hexdigest()[:16]

    def _find_refusal(self, environ: dict[str, Any], attempt_id: str) -> str | None:
        expected = environ.get("HTTP_EXPECTED_INSTANCE")
        if expected and expected != self.identifier:
            return "421 Misdirected Request"
        if not attempt_id:
            return "400 Bad Request"
        forged = find_system_headers(environ)
        self.system_headers += forged
        if REFUSED_HEADERS.intersection(name for name, _ in forged):
            return "503 Service Unavailable"
        if self.faults.refusals > 0:
            self.faults.refusals -= 1
            return "503 Service Unavailable"
        if is_refused(self.faults.refuse_every, self.arrivals):
            return "503 Service Unavailable"
        if len(self.waiting) >= self.speed.queue:
            return "503 Service Unavailable"
        return None

    def _start(self, environ: dict[str, Any], attempt_id: str) -> Run:
        prompt, _, most = environ.get("HTTP_TOKEN_COUNTS", "1,3").partition(",")
        first_event = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
        kept = self._use_cache(environ.get("HTTP_PROMPT_PREFIX", ""))
        run = Run(attempt_id, max(int(prompt) - kept, 1), int(most), first_event)
        self.waiting.append(run)
        return run

    def _use_cache(self, text: str) -> int:
        kept, unbroken = 0, True
        for item in filter(None, text.split(",")):
            part_id, _, tokens = item.partition(":")
            unbroken = unbroken and part_id in self.cache
            kept += int(tokens) if unbroken else 0
            self.cache.pop(part_id, None)
            self.cache[part_id] = int(tokens)
        while sum(self.cache.values()) > self.speed.memory_tokens:
            self.cache.popitem(last=False)
        return kept

    def _read(self) -> int:
        """Read a piece of the prompts that wait, oldest first; returns its tokens."""
        while self.waiting and len(self.running) < self.speed.slots:
            self.running.append(self.waiting.pop(0))
        left = self.speed.chunk_tokens
        for run in self.running:
            piece = min(run.unread_tokens, left)
            run.unread_tokens -= piece
            left -= piece
        read = self.speed.chunk_tokens - left
        self.read_tokens += read
        return read

    def _make(self, run: Run) -> None:
        if run.cancelled:
            self.running.remove(run)
            return
        if run.unread_tokens > 0 or self.faults.silent or self._stands_still(run):
            return
        run.made_tokens += 1
        if run.made_tokens % self.speed.event_tokens == 0 or run.made_tokens >= run.output_tokens:
            number = -(-run.made_tokens // self.speed.event_tokens)
            if number >= run.first_event:
                run.events.put(number)
        if run.made_tokens >= run.output_tokens:
            run.events.put(0)
            self.running.remove(run)

    def _stands_still(self, run: Run) -> bool:
        limit = self.faults.hold_after_events * self.speed.event_tokens
        return 0 < limit <= run.made_tokens


class Arrivals:
    """What reached a server, run or not: attempts with the steady clock's time."""

    def __init__(self) -> None:
        self.seen: deque[tuple[str, float]] = deque(maxlen=ARRIVALS_KEPT)
        self.count = 0

    def note(self, attempt_id: str) -> None:
        """Note one request, as its head has been read."""
        self.seen.append((attempt_id, time.monotonic()))
        self.count += 1


def is_refused(refuse_every: int, arrivals: Arrivals) -> bool:
    """Tell whether the last request to arrive is one of those that are turned away."""
    return refuse_every > 0 and arrivals.count % refuse_every == 0


def tell_of_server(leaving: bool, retry_after: str = "", status: str = "") -> list[tuple[str, str]]:
    """Return the headers by which a server tells of itself in an answer."""
    told = [("Server-Leaving", "1")] if leaving else []
    if retry_after and status.startswith("503"):
        told.append(("Retry-After", retry_after))
    return told


def find_system_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    """Return a request's headers that only the system may set, however they are spelled."""
    plain = [(name.lower().replace("_", "-"), value) for name, value in environ["headers_raw"]]
    return [(name, value) for name, value in plain if name in SYSTEM_HEADERS]


def has_left(connection: Any) -> bool:
    """Tell whether the other side has closed its connection."""
    poller = _select.poll()
    poller.register(connection.fileno(), _select.POLLRDHUP | _select.POLLHUP | _select.POLLERR)
    return bool(poller.poll(0))


def break_connection(environ: dict[str, Any]) -> None:
    """Close a caller's connection without an answer."""
    environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
    raise ConnectionResetError("the answer is lost")


class Stream:
    """The events of one run; closing it cancels the run."""

    def __init__(self, engine: Engine, run: Run, connection: Any) -> None:
        self._engine = engine
        self._run = run
        self._connection = connection
        self._sent = 0

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        faults = self._engine.shared
        if 0 < faults.break_after_events <= self._sent:
            faults.break_after_events = 0
            raise ConnectionResetError("the stream breaks off")
        number = self._wait_for_event()
        if number == 0:
            raise StopIteration
        self._sent += 1
        return b"id: %d\ndata: event %d\n\n" % (number, number)

    def _wait_for_event(self) -> int:
        """Return the next event's number, unless the reader leaves meanwhile."""
        while True:
            try:
                number: int = self._run.events.get(timeout=READER_CHECK_S)
                return number
            except Empty:
                if has_left(self._connection):
                    raise ConnectionResetError("the reader has left") from None

    def close(self) -> None:
        """End the run if its reader has gone."""
        if self._run.made_tokens < self._run.output_tokens:
            self._run.cancelled = True
            self._engine.cancelled[self._run.attempt_id] += 1
