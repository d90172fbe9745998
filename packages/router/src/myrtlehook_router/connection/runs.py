"""One run on an engine: its stream is resumed when it breaks, and each event delivered once."""

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
"""The delay before each attempt to resume a stream; after the last one the stream is lost."""

EVENT_TIMEOUT_S = 30.0
"""The longest silence on a stream before it is resumed."""


class StreamLostError(Exception):
    """A stream broke and could not be resumed."""


@dataclass(slots=True)
class EngineRun:
    """A started run."""

    address: str
    request_id: str
    deadline_s: float
    response: urllib3.BaseHTTPResponse | None
    add_to_counter: Callable[[str], None]
    check_engine: Callable[[], None]
    """Checks whether the engine has ended; called after its stream has broken."""
    position: StreamPosition = field(init=False)

    def __post_init__(self) -> None:
        self.position = StreamPosition(self.request_id)


def deliver_events(run: EngineRun) -> Iterator[EngineEvent]:
    """Yield every event of a run once and in order, including the last one.

    :raises StreamLostError: if the stream breaks and cannot be resumed.
    """
    while not run.position.finished:
        if run.response is None:
            run.response = _resume_stream(run)
        try:
            yield from _deliver_from_response(run, run.response)
        except StreamBrokenError:
            run.add_to_counter("stream.broken")
            run.check_engine()
            run.response.close()
            run.response = None


def stop_run(run: EngineRun) -> None:
    """Close the connection of a run that nobody waits for, and cancel the run if unfinished."""
    if run.response is not None:
        run.response.close()
        run.response = None
    if not run.position.finished:
        cancel_run(run.address, run.request_id)


def compute_read_timeout_s(deadline_s: float) -> float:
    """Return how long to wait for the next event."""
    return max(min(deadline_s - clocks.now_s(), EVENT_TIMEOUT_S), 0.001)


def _deliver_from_response(
    run: EngineRun, response: urllib3.BaseHTTPResponse
) -> Iterator[EngineEvent]:
    for event in read_events(response):
        verdict = judge_event(run.position, event.request_id, event.offset)
        if verdict is EventVerdict.DELIVER:
            if event.finish:
                run.position.finished = True
                _release_connection(run, response)
                yield event
                return
            yield event
            continue
        run.add_to_counter(f"stream.{verdict.value}")
        if verdict is not EventVerdict.DUPLICATE:
            raise StreamBrokenError(verdict.value)


def _release_connection(run: EngineRun, response: urllib3.BaseHTTPResponse) -> None:
    """Return the connection to its pool once the body has ended."""
    run.response = None
    try:
        remainder = response.read()
    except (urllib3.exceptions.HTTPError, OSError):
        remainder = b"broken"
    if remainder.strip():
        response.close()
    else:
        response.release_conn()


def _resume_stream(run: EngineRun) -> urllib3.BaseHTTPResponse:
    for delay_s in RESUME_DELAYS_S:
        eventlet.sleep(delay_s)
        if clocks.now_s() >= run.deadline_s:
            break
        timeout_s = compute_read_timeout_s(run.deadline_s)
        response = resume_run(run.address, run.request_id, run.position.next_offset, timeout_s)
        if response is not None:
            run.add_to_counter("stream.resumed")
            return response
    run.add_to_counter("stream.lost")
    raise StreamLostError(
        f"run {run.request_id} could not be resumed at {run.position.next_offset}"
    )
