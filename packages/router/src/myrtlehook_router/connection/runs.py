"""One run on an engine: its stream, resumed when it breaks, each event delivered once."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import eventlet
import urllib3

from myrtlehook_core import EventVerdict, StreamPosition, judge_event
from myrtlehook_router.connection.engines import (
    EngineEvent,
    StreamBrokenError,
    cancel_run,
    read_events,
    resume_run,
)
from myrtlehook_router.process import clocks

RESUME_DELAYS_S = (0.0, 0.05, 0.2, 0.5, 1.0, 1.0)
"""Waits before each try to resume; then the stream is lost."""

EVENT_TIMEOUT_S = 30.0
"""Longest silence on a stream before it is resumed."""


class StreamLostError(Exception):
    """A stream broke and could not be resumed."""


@dataclass(slots=True)
class EngineRun:
    """A started run."""

    address: str
    request_id: str
    deadline_s: float
    response: urllib3.BaseHTTPResponse | None
    count: Callable[[str], None]
    note_broken: Callable[[], None]
    """Looks whether the engine has ended, after a stream has broken."""
    position: StreamPosition = field(init=False)

    def __post_init__(self) -> None:
        self.position = StreamPosition(self.request_id)


def deliver_events(run: EngineRun) -> Iterator[EngineEvent]:
    """Yield every event of a run once and in order, the last one included.

    :raises StreamLostError: when the engine can't go on with the stream.
    """
    while not run.position.finished:
        if run.response is None:
            run.response = _resume(run)
        try:
            yield from _deliver_connected(run, run.response)
        except StreamBrokenError:
            run.count("stream.broken")
            run.note_broken()
            run.response.close()
            run.response = None


def stop_run(run: EngineRun) -> None:
    """Cancel a run that nobody waits for, and free its connection."""
    if run.response is not None:
        run.response.close()
        run.response = None
    if not run.position.finished:
        cancel_run(run.address, run.request_id)


def read_timeout_s(deadline_s: float) -> float:
    """Return how long to wait for the next event."""
    return max(min(deadline_s - clocks.now_s(), EVENT_TIMEOUT_S), 0.001)


def _deliver_connected(run: EngineRun, response: urllib3.BaseHTTPResponse) -> Iterator[EngineEvent]:
    for event in read_events(response):
        verdict = judge_event(run.position, event.request_id, event.offset)
        if verdict is EventVerdict.DELIVER:
            if event.finish:
                run.position.finished = True
                _release(run, response)
                yield event
                return
            yield event
            continue
        run.count(f"stream.{verdict.value}")
        if verdict is not EventVerdict.DUPLICATE:
            raise StreamBrokenError(verdict.value)


def _release(run: EngineRun, response: urllib3.BaseHTTPResponse) -> None:
    """Give the connection back to its pool once the body has ended."""
    run.response = None
    try:
        rest = response.read()
    except (urllib3.exceptions.HTTPError, OSError):
        rest = b"broken"
    if rest.strip():
        response.close()
    else:
        response.release_conn()


def _resume(run: EngineRun) -> urllib3.BaseHTTPResponse:
    for delay_s in RESUME_DELAYS_S:
        eventlet.sleep(delay_s)
        if clocks.now_s() >= run.deadline_s:
            break
        wait_s = read_timeout_s(run.deadline_s)
        response = resume_run(run.address, run.request_id, run.position.next_offset, wait_s)
        if response is not None:
            run.count("stream.resumed")
            return response
    run.count("stream.lost")
    raise StreamLostError(
        f"run {run.request_id} could not be resumed at {run.position.next_offset}"
    )
