"""The HTTP protocol of the model engines.

To support engines with another protocol, replace this module with one that has the
same functions.
"""

from collections.abc import Callable, Iterator
from enum import StrEnum

import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from myrtlehook_core import actions, bounds, events
from myrtlehook_router.connection.backends import BackendRequest, read_response_body, send_request
from myrtlehook_router.connection.send_failures import SendFailure

LOAD_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
EVENT_PREFIX = b"data: "
JSON_HEADERS = {"Content-Type": "application/json"}


class EngineEvent(msgspec.Struct, frozen=True):
    """One event of a run's stream."""

    request_id: str
    offset: bounds.WireInt
    text: str = ""
    tokens: bounds.Count = 1
    """The number of output tokens in the text."""
    finish: str = ""
    """Why the run ended; empty on every event but the last."""
    input_tokens: bounds.Count = 0
    output_tokens: bounds.Count = 0


class RunOrder(msgspec.Struct, frozen=True):
    """The request body that starts a run on an engine."""

    request_id: str
    attempt: int
    priority: float
    remaining_ms: int
    model: str
    messages: list[dict[str, str]]
    max_tokens: int


class LoadReport(msgspec.Struct, frozen=True):
    """A backend server's own report of its load."""

    running: bounds.WireInt
    incarnation: bounds.WireInt
    leaving: bool = False
    fence: bounds.WireInt = 0
    role: bounds.WireText = ""
    model: bounds.WireText = ""
    model_version: bounds.WireText = ""


class StartFailure(StrEnum):
    """Why the stream of a run could not be opened."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    """The engine reported that it did not start the run."""
    LEAVING = "leaving"
    UNKNOWN = "unknown"


class StreamBrokenError(Exception):
    """The connection of a stream broke before its last event."""


_EVENT_DECODER = msgspec.json.Decoder(EngineEvent)
_LOAD_DECODER = msgspec.json.Decoder(LoadReport)


def start_run(
    address: str,
    order: RunOrder,
    read_timeout_s: float,
    on_response_head: Callable[[urllib3.BaseHTTPResponse], object],
) -> Result[urllib3.BaseHTTPResponse, StartFailure]:
    """Ask an engine to run a request.

    :param on_response_head: called with every response once its head has arrived.
    """
    request = BackendRequest(
        method="POST",
        address=address,
        target="/v1/runs",
        headers=JSON_HEADERS,
        body=msgspec.json.encode(order),
        read_timeout_s=read_timeout_s,
    )
    sent = send_request(request)
    if isinstance(sent, Err):
        not_sent = sent.err_value is SendFailure.NOT_SENT
        return Err(StartFailure.NOT_SENT if not_sent else StartFailure.UNKNOWN)
    response = sent.ok_value
    on_response_head(response)
    if response.status == 200:
        return Ok(response)
    return Err(_read_start_failure(response))


def resume_run(
    address: str, request_id: str, next_offset: int, read_timeout_s: float
) -> urllib3.BaseHTTPResponse | None:
    """Request a run's stream again from an offset; returns None if it is not available."""
    target = f"/v1/runs/{request_id}?from={next_offset}"
    sent = send_request(BackendRequest("GET", address, target, {}, b"", read_timeout_s))
    if isinstance(sent, Err):
        return None
    if sent.ok_value.status == 200:
        return sent.ok_value
    read_response_body(sent.ok_value, MAX_BODY_BYTES)
    return None


def cancel_run(address: str, request_id: str) -> None:
    """Cancel a run that no client waits for any more."""
    target = f"/v1/runs/{request_id}"
    sent = send_request(BackendRequest("DELETE", address, target, {}, b"", CANCEL_TIMEOUT_S))
    if isinstance(sent, Ok):
        read_response_body(sent.ok_value, MAX_BODY_BYTES)


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[EngineEvent]:
    """Yield a stream's events as they arrive; the caller stops at the last event.

    :raises StreamBrokenError: if the stream fails, ends or holds an unreadable event before that.
    """
    pending = b""
    while True:
        try:
            chunk = response.read1(READ_BYTES)
        except (HTTPError, OSError, ValueError) as error:
            raise StreamBrokenError(str(error)) from error
        if not chunk:
            raise StreamBrokenError("the stream ended before its last event")
        lines = (pending + chunk).split(b"\n")
        pending = lines.pop()
        for line in lines:
            if line.startswith(EVENT_PREFIX):
                yield _decode_event(line)


def fetch_load(backend_server: str, address: str) -> events.LoadReported | None:
    """Fetch a backend server's load report; returns None if that fails."""
    request = BackendRequest("GET", address, "/load", {}, b"", LOAD_TIMEOUT_S)
    sent = send_request(request)
    if isinstance(sent, Err):
        return None
    content = read_response_body(sent.ok_value, MAX_BODY_BYTES)
    if isinstance(content, Err) or sent.ok_value.status != 200:
        return None
    try:
        report = _LOAD_DECODER.decode(content.ok_value)
    except msgspec.DecodeError:
        return None
    return events.LoadReported(
        backend_server=backend_server,
        incarnation=report.incarnation,
        running_requests=report.running,
        leaving=report.leaving,
        applied_fence=report.fence,
        role=report.role,
        model=report.model,
        model_version=report.model_version,
    )


def send_order(action: actions.SendOrder) -> str:
    """Send a fenced order; returns ``applied``, ``refused``, ``newer`` or ``unreachable``.

    If the server does not check fences itself, its load report is fetched first, and an order
    whose fence is not above the reported one is not sent.
    """
    if not action.server_checks_fence:
        load = fetch_load(action.backend_server, action.address)
        if load is None:
            return "unreachable"
        if load.applied_fence >= action.fence:
            return "newer"
    body = {
        "fence": action.fence,
        "role": action.order.role,
        "model": action.order.model,
        "model_version": action.order.model_version,
    }
    request = BackendRequest(
        "POST", action.address, "/orders", JSON_HEADERS, msgspec.json.encode(body), ORDER_TIMEOUT_S
    )
    sent = send_request(request)
    if isinstance(sent, Err):
        return "unreachable"
    read_response_body(sent.ok_value, MAX_BODY_BYTES)
    return "applied" if sent.ok_value.status == 200 else "refused"


def _decode_event(line: bytes) -> EngineEvent:
    try:
        return _EVENT_DECODER.decode(line[len(EVENT_PREFIX) :])
    except msgspec.DecodeError as error:
        raise StreamBrokenError(f"unreadable event: {error}") from error


def _read_start_failure(response: urllib3.BaseHTTPResponse) -> StartFailure:
    content = read_response_body(response, MAX_BODY_BYTES)
    if isinstance(content, Err):
        return StartFailure.UNKNOWN
    try:
        refusal = msgspec.json.decode(content.ok_value, type=dict[str, object])
    except msgspec.DecodeError:
        return StartFailure.UNKNOWN
    if refusal.get("started") is not False:
        return StartFailure.UNKNOWN
    return StartFailure.LEAVING if refusal.get("reason") == "leaving" else StartFailure.REFUSED
