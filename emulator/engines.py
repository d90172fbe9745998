"""A model engine: batched steps, chunked prompt reading, a prompt cache, seals and faults."""

import hashlib
import socket
import struct
import time
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import eventlet
from eventlet import patcher
from eventlet.queue import Empty, LightQueue

from emulator.endings import send_answer_head
from emulator.standstills import wait_while

DISCONNECT_CHECK_INTERVAL_S = 0.02
"""How often an engine checks whether the client of a stream has disconnected."""

SYSTEM_HEADERS = frozenset({"retention", "pin-duration-ms", "kv-backup", "kv-from", "kv-fetch"})
"""Request headers that only the system may set. Clients may try to forge them."""

REFUSED_HEADERS = frozenset({"retention", "kv-from"})
"""System headers that name state which the engine must have; it refuses a forged one."""

MAX_ARRIVALS = 3000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_select = patcher.original("select")

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """An engine's speed and capacity."""

    step_ms: float = 5.0
    read_tokens_per_ms: float = 40.0
    chunk_tokens: int = 1024
    event_tokens: int = 3
    slots: int = 16
    max_waiting: int = 64
    cache_tokens: int = 60_000


@dataclass(slots=True)
class EngineFaults:
    """Faults that an engine shows at present. Each count falls by one when its fault occurs."""

    reset_answers: int = 0
    """The number of requests to run without sending an answer."""
    wrong_ids: int = 0
    refusals: int = 0
    hold_after_events: int = 0
    """Streams stall after this number of events, until it is set back to 0."""
    silent: bool = False
    """Whether requests are accepted but no output is generated."""
    leaving: bool = False
    """Whether all answers say that the engine leaves, whatever state its store entry shows."""
    refuse_every: int = 0
    """Refuses one request in every N; 0 refuses none."""
    retry_after: str = ""
    """The ``Retry-After`` value of refusals, in seconds; empty to send none."""
    framing: str = "chunks"
    """How answers are framed: ``chunks``, ``padded`` (their sizes have leading zeros) or ``none``
    (answers end with their connection)."""
    slowness: float = 1.0
    """How many times longer than usual a step takes. Each step that reads delays the events of all
    streams, so their pauses grow with what is read and with this."""
    still: bool = False
    """Whether the server stands still: it neither reads nor writes, and no answer goes on."""


@dataclass(slots=True)
class SharedFaults:
    """Faults that apply to whichever engine meets their condition."""

    break_after_events: int = 0
    """The next stream breaks off after this number of events; 0 breaks none."""
    unframed: bool = False
    """Whether answers come with neither a length nor chunks and end with their connection."""
    cut_after_events: int = 0
    """The next unframed stream ends inside the event after this number of events; 0 for none."""
    ending_body: str = ""
    """A request whose body begins with this text ends each engine that begins to run it."""
    ending_part: str = ""
    """A request whose prompt has this part, not as its last one, ends each engine that begins to
    run it."""
    end_after_ms: float = 40.0
    """Time from the beginning of such a run to the engine's end."""
    back_after_s: float = 1.0
    """Time from an engine's end until it starts again."""
    keeps_id: bool = False
    """Whether an engine starts again under the same id."""
    next_software_version: str = ""
    """The software version with which engines start again; their former one if empty."""
    entry_delay_ms: float = 0.0
    """How long after an engine's start its entry tells of it."""
    states_start: bool = True
    """Whether entries state when their engine started."""


@dataclass(slots=True)
class Run:
    """One request that an engine runs."""

    attempt_id: str
    unread_tokens: int
    output_tokens: int
    first_event: int
    events: LightQueue = field(default_factory=LightQueue)
    generated_tokens: int = 0
    cancelled: bool = False


class Engine:
    """One engine: its queue, its prompt cache and its step loop."""

    def __init__(self, identifier: str, speed: EngineSpeed, shared: SharedFaults) -> None:
        self.identifier = identifier
        self.software_version = "v1"
        self.shared = shared
        self.speed = speed
        self.faults = EngineFaults()
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.runs: Counter[str] = Counter()
        """How often each attempt was begun, by attempt id."""
        self.cancelled: Counter[str] = Counter()
        self.arrivals = Arrivals()
        self.seen_headers: dict[str, dict[str, str]] = {}
        self.system_headers: list[tuple[str, str]] = []
        """Headers received that only the system may set, with their values."""
        self.read_tokens = 0
        self.end: Callable[[], None] = lambda: None
        """Ends the engine's process."""

    def discard_state(self) -> None:
        """Discard the state that a process loses when it ends."""
        for run in (*self.waiting, *self.running):
            run.cancelled = True
        self.waiting.clear()
        self.running.clear()
        self.cache.clear()
        self.faults.still = False
        # After a restart the engine may have another id, and no request has reached it yet.
        self.arrivals = Arrivals()

    def step_forever(self) -> None:
        """Run engine steps in an endless loop."""
        while True:
            spent_ms = self.speed.step_ms + self._read_prompts() / self.speed.read_tokens_per_ms
            spent_ms *= self.faults.slowness
            eventlet.sleep(spent_ms / 1000.0 if self.running else 0.001)
            wait_while(self.is_still)
            for run in list(self.running):
                self._generate_token(run)

    def is_still(self) -> bool:
        """Return whether the engine stands still at present."""
        return self.faults.still

    def answer(self, environ: dict[str, Any], start_response: StartResponse) -> Any:
        """Serve one request; a WSGI application."""
        attempt_id = environ.get("HTTP_ATTEMPT_ID", "")
        self.arrivals.record(attempt_id)
        refusal = self._find_refusal(environ, attempt_id)
        if refusal is not None:
            environ["wsgi.input"].read()
            headers = [("Content-Length", "0"), ("Attempt-Id", attempt_id)]
            notice = make_notice_headers(self.faults.leaving, self.faults.retry_after, refusal)
            start_response(refusal, [*headers, ("Not-Executed", "1"), *notice])
            return []
        body = environ["wsgi.input"].read()
        self.runs[attempt_id] += 1
        self.seen_headers[attempt_id] = {
            name.title(): value for name, value in environ["headers_raw"]
        }
        if self.faults.reset_answers > 0:
            self.faults.reset_answers -= 1
            break_connection(environ)
        run = self._enqueue_run(environ, attempt_id)
        if self._ends_engines(environ, body):
            self._end_during_run(environ, attempt_id)
        shown_id = attempt_id
        if self.faults.wrong_ids > 0:
            self.faults.wrong_ids -= 1
            shown_id = "someone-else"
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Attempt-Id", shown_id),
            ("Response-Seal", self.make_seal(attempt_id)),
            ("X-Body-Digest", hashlib.sha256(body).hexdigest()),
        ]
        headers += make_notice_headers(self.faults.leaving)
        if self.faults.leaving:
            headers.append(("Connection", "close"))
        connection = environ["wsgi.input"].get_socket()
        stream = Stream(self, run, connection)
        framing = "none" if self.shared.unframed else self.faults.framing
        if framing != "chunks":
            send_raw_answer(connection, headers, stream, framing)
        start_response("200 OK", headers)
        return stream

    def _ends_engines(self, environ: dict[str, Any], body: bytes) -> bool:
        """Return whether a request ends each engine that runs it."""
        ending = self.shared.ending_body.encode()
        if ending and body.startswith(ending):
            return True
        parts = environ.get("HTTP_PROMPT_PREFIX", "").split(",")[:-1]
        return self.shared.ending_part in [part.partition(":")[0] for part in parts]

    def _end_during_run(self, environ: dict[str, Any], attempt_id: str) -> None:
        """End the engine's process just after sending the head of this run's answer."""
        send_answer_head(environ["wsgi.input"].get_socket(), attempt_id, self.make_seal(attempt_id))
        eventlet.sleep(self.shared.end_after_ms / 1000.0)
        # In a separate task, because this one ends with the engine.
        eventlet.spawn_n(self.end)
        eventlet.sleep(self.shared.end_after_ms / 1000.0)
        raise ConnectionResetError("the engine has ended")

    def make_seal(self, attempt_id: str) -> str:
        """Return the seal of this engine's answer to an attempt."""
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
        if should_refuse(self.faults.refuse_every, self.arrivals):
            return "503 Service Unavailable"
        if len(self.waiting) >= self.speed.max_waiting:
            return "503 Service Unavailable"
        return None

    def _enqueue_run(self, environ: dict[str, Any], attempt_id: str) -> Run:
        prompt, _, max_output = environ.get("HTTP_TOKEN_COUNTS", "1,3").partition(",")
        first_event = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
        cached = self._use_cache(environ.get("HTTP_PROMPT_PREFIX", ""))
        run = Run(attempt_id, max(int(prompt) - cached, 1), int(max_output), first_event)
        # What was generated before is read again with the prompt, not generated again.
        run.generated_tokens = min(
            (first_event - 1) * self.speed.event_tokens, run.output_tokens - 1
        )
        self.waiting.append(run)
        return run

    def _use_cache(self, text: str) -> int:
        cached, contiguous = 0, True
        for item in filter(None, text.split(",")):
            part_id, _, tokens = item.partition(":")
            contiguous = contiguous and part_id in self.cache
            cached += int(tokens) if contiguous else 0
            self.cache.pop(part_id, None)
            self.cache[part_id] = int(tokens)
        while sum(self.cache.values()) > self.speed.cache_tokens:
            self.cache.popitem(last=False)
        return cached

    def _read_prompts(self) -> int:
        """Read the next chunk of the running prompts, oldest first; returns the tokens read."""
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

    def _generate_token(self, run: Run) -> None:
        if run.cancelled:
            self.running.remove(run)
            return
        if run.unread_tokens > 0 or self.faults.silent or self._is_held(run):
            return
        run.generated_tokens += 1
        if (
            run.generated_tokens % self.speed.event_tokens == 0
            or run.generated_tokens >= run.output_tokens
        ):
            number = -(-run.generated_tokens // self.speed.event_tokens)
            if number >= run.first_event:
                run.events.put(number)
        if run.generated_tokens >= run.output_tokens:
            run.events.put(0)
            self.running.remove(run)

    def _is_held(self, run: Run) -> bool:
        limit = self.faults.hold_after_events * self.speed.event_tokens
        return 0 < limit <= run.generated_tokens


class Arrivals:
    """The latest requests that reached a server, run or refused, with monotonic arrival times."""

    def __init__(self) -> None:
        self.seen: deque[tuple[str, float]] = deque(maxlen=MAX_ARRIVALS)
        self.count = 0

    def record(self, attempt_id: str) -> None:
        """Record one request once its head has been read."""
        self.seen.append((attempt_id, time.monotonic()))
        self.count += 1


def should_refuse(refuse_every: int, arrivals: Arrivals) -> bool:
    """Return whether the latest arrival is one in every ``refuse_every`` that is refused."""
    return refuse_every > 0 and arrivals.count % refuse_every == 0


def make_notice_headers(
    leaving: bool, retry_after: str = "", status: str = ""
) -> list[tuple[str, str]]:
    """Return the headers in which a server announces that it leaves or asks for back-off."""
    headers = [("Server-Leaving", "1")] if leaving else []
    if retry_after and status.startswith("503"):
        headers.append(("Retry-After", retry_after))
    return headers


def find_system_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    """Return the system headers of a request, in any case and with ``-`` or ``_``."""
    normalized = [(name.lower().replace("_", "-"), value) for name, value in environ["headers_raw"]]
    return [(name, value) for name, value in normalized if name in SYSTEM_HEADERS]


def is_disconnected(connection: Any) -> bool:
    """Return whether the peer has closed the connection."""
    poller = _select.poll()
    poller.register(connection.fileno(), _select.POLLRDHUP | _select.POLLHUP | _select.POLLERR)
    return bool(poller.poll(0))


def break_connection(environ: dict[str, Any]) -> None:
    """Close a client's connection without an answer."""
    environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
    raise ConnectionResetError("connection closed without an answer")


def send_raw_answer(
    connection: Any, headers: list[tuple[str, str]], stream: "Stream", framing: str
) -> None:
    """Send an answer that is framed as given, and end its connection.

    It ends by a reset if the stream breaks off.
    """
    head = "".join(f"{name}: {value}\r\n" for name, value in headers)
    coding = "Transfer-Encoding: chunked\r\n" if framing == "padded" else ""
    connection.sendall(f"HTTP/1.1 200 OK\r\n{head}{coding}Connection: close\r\n\r\n".encode())
    try:
        while (cut := stream.read_cut_event()) is None:
            event = next(stream, None)
            if event is None:
                break
            connection.sendall(_frame_event(event, framing))
    except ConnectionResetError:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.fd.close()
        raise
    connection.sendall(cut or (b"0\r\n\r\n" if framing == "padded" else b""))
    stream.close()
    connection.shutdown(socket.SHUT_RDWR)
    raise ConnectionResetError("the answer ends with its connection")


def _frame_event(event: bytes, framing: str) -> bytes:
    return b"%08x\r\n%s\r\n" % (len(event), event) if framing == "padded" else event


class Stream:
    """The events of one run. Closing the stream early cancels the run."""

    def __init__(self, engine: Engine, run: Run, connection: Any) -> None:
        self._engine = engine
        self._run = run
        self._connection = connection
        self._sent = 0

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        faults = self._engine.shared
        wait_while(self._engine.is_still)
        if 0 < faults.break_after_events <= self._sent:
            faults.break_after_events = 0
            raise ConnectionResetError("stream broken off by an injected fault")
        number = self._wait_for_event()
        if number == 0:
            raise StopIteration
        self._sent += 1
        version = self._engine.software_version.encode()
        return b"id: %d\ndata: event %d of %s\n\n" % (number, number, version)

    def read_cut_event(self) -> bytes | None:
        """Return the first half of the next event if the stream is to end there, else None."""
        faults = self._engine.shared
        if not 0 < faults.cut_after_events <= self._sent:
            return None
        faults.cut_after_events = 0
        event = next(self)
        return event[: len(event) // 2]

    def _wait_for_event(self) -> int:
        """Return the next event's number; raises if the client disconnects meanwhile."""
        while True:
            try:
                number: int = self._run.events.get(timeout=DISCONNECT_CHECK_INTERVAL_S)
                return number
            except Empty:
                wait_while(self._engine.is_still)
                if is_disconnected(self._connection):
                    raise ConnectionResetError("client closed the connection") from None

    def close(self) -> None:
        """Cancel the run if the stream closes before all output was generated."""
        if self._run.generated_tokens < self._run.output_tokens:
            self._run.cancelled = True
            self._engine.cancelled[self._run.attempt_id] += 1
