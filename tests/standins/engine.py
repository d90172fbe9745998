"""Stand-in for a model engine: steps, slots, priorities, resumable streams, a run ledger.

The answer to a prompt repeats the prompt's first word with a number, so that a
test sees which request an answer belongs to. Tests set faults by ``POST /test/faults``:
``refuse`` and ``die_before_answer`` (number of runs), ``break_after`` (events, once),
``hold_after`` (tokens, until cleared), ``duplicate``, ``foreign`` and ``lose_runs``
(switches), ``leaving``, ``refuses_leaving`` (refuses runs as leaving, but does not report it),
``load_lag_ms``.
"""

import argparse
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet.event import Event

from standins.programs import Body, break_connection, read_json, reply, serve

ORPHAN_TIMEOUT_S = 3.0
"""A run is cancelled after its stream has had no reader for this time."""


@dataclass(slots=True)
class Run:
    """One run of a request, with the events that it has produced."""

    request_id: str
    priority: float
    word: str
    input_tokens: int
    max_tokens: int
    events: list[bytes] = field(default_factory=list)
    tokens: int = 0
    finished: bool = False
    cancelled: bool = False
    readers: int = 0
    unread_since_s: float = 0.0
    changed: Event = field(default_factory=Event)


class Engine:
    """The engine's slots, runs, counters and faults."""

    def __init__(self, slots: int, step_ms: float, tokens_per_event: int) -> None:
        self.slots = slots
        self.step_s = step_ms * tokens_per_event / 1000.0
        self.tokens_per_event = tokens_per_event
        self.incarnation = int(time.time() * 1000)
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.runs: dict[str, Run] = {}
        self.started: dict[str, int] = {}
        self.start_requests = 0
        """How many requests to start a run were received, refused ones included."""
        self.busy_slot_s = 0.0
        self.tokens_out = 0
        self.served_tokens: dict[str, int] = {}
        self.faults: dict[str, Any] = {}
        self.order: dict[str, Any] = {"fence": 0, "role": "", "model": "", "model_version": ""}
        self.load: dict[str, Any] = {}

    def accept(self, order: dict[str, Any]) -> Run:
        """Queue a new run, and count its start in the run ledger."""
        content = order["messages"][-1]["content"]
        words = content.split() or ["-"]
        run = Run(
            request_id=order["request_id"],
            priority=order["priority"],
            word=words[0],
            input_tokens=max(1, len(content) // 4),
            max_tokens=order["max_tokens"],
            unread_since_s=time.monotonic(),
        )
        self.started[run.request_id] = self.started.get(run.request_id, 0) + 1
        self.runs[run.request_id] = run
        self.waiting.append(run)
        return run

    def step_forever(self) -> None:
        """Admit waiting runs and advance the running ones, once per step."""
        next_s = time.monotonic()
        while True:
            self._admit()
            started_s = time.monotonic()
            next_s = max(next_s + self.step_s, started_s)
            eventlet.sleep(max(next_s - started_s, 0.0))
            self.busy_slot_s += len(self.running) * (time.monotonic() - started_s)
            for run in list(self.running):
                self._step(run)

    def report_load_forever(self) -> None:
        """Update the load report at intervals, so that it lags behind the real load."""
        while True:
            self.load = {
                "running": len(self.running) + len(self.waiting),
                "incarnation": self.incarnation,
                "leaving": bool(self.faults.get("leaving") or self.faults.get("leaving_report")),
                **self.order,
            }
            eventlet.sleep(self.faults.get("load_lag_ms", 100) / 1000.0)

    def _admit(self) -> None:
        self.waiting.sort(key=lambda run: run.priority)
        while self.waiting and len(self.running) < self.slots:
            self.running.append(self.waiting.pop(0))

    def _step(self, run: Run) -> None:
        unread = run.readers == 0 and time.monotonic() - run.unread_since_s > ORPHAN_TIMEOUT_S
        if run.cancelled or unread:
            run.finished = True
            self.running.remove(run)
            self._wake_readers(run)
            return
        if run.tokens >= self.faults.get("hold_after", run.max_tokens):
            return
        count = min(self.tokens_per_event, run.max_tokens - run.tokens)
        text = "".join(f"{run.word}:{run.tokens + index} " for index in range(count))
        run.tokens += count
        self.tokens_out += count
        workspace = run.request_id.partition("/")[0]
        self.served_tokens[workspace] = self.served_tokens.get(workspace, 0) + count
        self._emit(run, {"text": text, "tokens": count})
        if run.tokens >= run.max_tokens:
            usage = {"input_tokens": run.input_tokens, "output_tokens": run.tokens}
            self._emit(run, {"finish": "stop", **usage})
            run.finished = True
            self.running.remove(run)
        self._wake_readers(run)

    def _emit(self, run: Run, content: dict[str, Any]) -> None:
        event = {"request_id": run.request_id, "offset": len(run.events), **content}
        run.events.append(b"data: " + json.dumps(event).encode() + b"\n\n")

    def _wake_readers(self, run: Run) -> None:
        changed, run.changed = run.changed, Event()
        changed.send()


class Stream:
    """A reader of a run's events."""

    def __init__(self, engine: Engine, run: Run, offset: int) -> None:
        self.engine = engine
        self.run = run
        self.offset = offset
        self.sent = 0
        self.pending: list[bytes] = []
        run.readers += 1

    def __iter__(self) -> "Stream":
        return self

    def __next__(self) -> bytes:
        if self.pending:
            return self.pending.pop()
        run = self.run
        while self.offset >= len(run.events):
            if run.finished:
                raise StopIteration
            run.changed.wait()
        self._break_if_requested()
        event = run.events[self.offset]
        self.offset += 1
        self.sent += 1
        faults = self.engine.faults
        if faults.get("duplicate"):
            self.pending.append(event)
        if faults.get("foreign") and self.sent == 2:
            faults["foreign"] = False
            self.pending.append(event)
            return event.replace(run.request_id.encode(), b"other/request")
        return event

    def close(self) -> None:
        """Record that this reader has gone, and since when the run may be without one."""
        self.run.readers -= 1
        self.run.unread_since_s = time.monotonic()

    def _break_if_requested(self) -> None:
        faults = self.engine.faults
        if "break_after" in faults and self.sent >= faults["break_after"]:
            del faults["break_after"]
            if faults.get("lose_runs"):
                self.engine.runs.pop(self.run.request_id, None)
                self.run.cancelled = True
            raise ConnectionError("connection broken as a test requested")


def make_application(engine: Engine) -> Any:
    """Make the WSGI application."""

    def application(environ: dict[str, Any], start_response: Any) -> Body:
        environ["eventlet.minimum_write_chunk_size"] = 0
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/v1/runs" and method == "POST":
            return _start_run(engine, environ, start_response)
        if path.startswith("/v1/runs/"):
            return _serve_existing_run(engine, environ, start_response)
        if path == "/load":
            return reply(start_response, 200, engine.load, [])
        if path == "/orders":
            return _receive_order(engine, read_json(environ), start_response)
        if path == "/test/faults":
            engine.faults = read_json(environ)
            return reply(start_response, 200, {}, [])
        if path == "/test/service":
            service = {
                "served_tokens": engine.served_tokens,
                "busy_slot_s": engine.busy_slot_s,
                "cpu_s": time.process_time(),
                "monotonic_s": time.monotonic(),
            }
            return reply(start_response, 200, service, [])
        if path == "/test/ledger":
            ledger = {
                "started": engine.started,
                "asked": engine.start_requests,
                "tokens_out": engine.tokens_out,
                "running": len(engine.running) + len(engine.waiting),
                "order": engine.order,
            }
            return reply(start_response, 200, ledger, [])
        return reply(start_response, 404, {"error": "no such path"}, [])

    return application


def _start_run(engine: Engine, environ: dict[str, Any], start_response: Any) -> Body:
    order = read_json(environ)
    engine.start_requests += 1
    if engine.faults.get("leaving") or engine.faults.get("refuses_leaving"):
        return reply(start_response, 503, {"started": False, "reason": "leaving"}, [])
    if engine.faults.get("refuse", 0) > 0:
        engine.faults["refuse"] -= 1
        return reply(start_response, 503, {"started": False, "reason": "full"}, [])
    if order["request_id"] in engine.runs and not engine.runs[order["request_id"]].finished:
        return reply(start_response, 409, {"started": True, "reason": "duplicate"}, [])
    run = engine.accept(order)
    if engine.faults.get("die_before_answer", 0) > 0:
        engine.faults["die_before_answer"] -= 1
        break_connection(environ)
    return _stream_run(engine, run, 0, start_response)


def _serve_existing_run(engine: Engine, environ: dict[str, Any], start_response: Any) -> Body:
    run = engine.runs.get(environ["PATH_INFO"].removeprefix("/v1/runs/"))
    if run is None:
        return reply(start_response, 404, {"error": "no such run"}, [])
    if environ["REQUEST_METHOD"] == "DELETE":
        run.cancelled = True
        return reply(start_response, 200, {}, [])
    query = parse_qs(environ.get("QUERY_STRING", ""))
    return _stream_run(engine, run, int(query.get("from", ["0"])[0]), start_response)


def _stream_run(engine: Engine, run: Run, offset: int, start_response: Any) -> Body:
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    return Stream(engine, run, offset)


def _receive_order(engine: Engine, order: dict[str, Any], start_response: Any) -> Body:
    if engine.faults.get("checks_orders") and order["fence"] < engine.order["fence"]:
        return reply(start_response, 409, {"error": "old fence"}, [])
    engine.order = order
    return reply(start_response, 200, {}, [])


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--step-ms", type=float, default=5.0)
    parser.add_argument("--tokens-per-event", type=int, default=1)
    arguments = parser.parse_args()
    engine = Engine(arguments.slots, arguments.step_ms, arguments.tokens_per_event)
    eventlet.spawn(engine.step_forever)
    eventlet.spawn(engine.report_load_forever)
    serve(make_application(engine), arguments.port)


if __name__ == "__main__":
    main()
