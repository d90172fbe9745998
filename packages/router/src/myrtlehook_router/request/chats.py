"""Chat completions: one request to a model engine, streamed or whole."""

import hashlib
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Annotated

import msgspec
import urllib3
from pydantic import BaseModel, ConfigDict, Field
from result import Err, Ok, Result

from myrtlehook_core import Outcome, Pool, RefusalReason, RetryReason, Workspace, parse_document
from myrtlehook_router.connection.engines import (
    EngineEvent,
    RunOrder,
    StartFailure,
    start_run,
)
from myrtlehook_router.connection.runs import (
    EngineRun,
    StreamLostError,
    compute_read_timeout_s,
    deliver_events,
    stop_run,
)
from myrtlehook_router.process import clocks
from myrtlehook_router.request.answers import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Answer,
    Refusal,
    encode_error,
    make_failure_answer,
    make_json_answer,
    make_refusal_answer,
)
from myrtlehook_router.request.broken_runs import check_server_after_broken_run
from myrtlehook_router.request.callers import BODY_TIMEOUT_S, CallerRequest, read_request_body
from myrtlehook_router.request.headers import DEFAULT_HEADER_NAMES
from myrtlehook_router.request.placements import (
    Placement,
    close_placement,
    end_placement,
    find_server_address,
    queue_caller_request,
    report_not_started,
    report_service,
    wait_for_slot,
)
from myrtlehook_router.request.server_notices import ServerNotice, report_leaving, report_notice
from myrtlehook_router.request.services import RequestServices

PREFIX_CHARACTERS = 512
"""Prompts that have this many leading characters in common go to the same engine if it is free."""

CHARACTERS_PER_TOKEN = 4
"""Used to estimate the number of input tokens until the engine has counted them."""

SERVICE_REPORT_INTERVAL_S = 0.1
DEFAULT_MAXIMUM_TOKENS = 1024

RETRY_REASONS = {
    StartFailure.NOT_SENT: RetryReason.CONNECT_FAILED,
    StartFailure.REFUSED: RetryReason.SERVER_REFUSED,
    StartFailure.LEAVING: RetryReason.SERVER_LEAVING,
}


class ChatMessage(BaseModel):
    """One message of a conversation; content as a list of parts is not supported."""

    model_config = ConfigDict(extra="ignore")
    role: str = Field(max_length=64)
    content: str


class ChatBody(BaseModel):
    """The body of a request; unknown fields are ignored, as clients of the model API expect."""

    model_config = ConfigDict(extra="ignore")
    model: str
    messages: Annotated[list[ChatMessage], Field(min_length=1)]
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)


@dataclass(slots=True)
class Chat:
    """One chat completion in progress."""

    request_id: str
    body: ChatBody
    pool: Pool
    placement: Placement
    created_at_s: int
    """In seconds since the epoch of Unix, as in the model API."""
    input_tokens: int
    output_tokens: int = 0
    next_service_report_s: float = 0.0


def answer_chat(services: RequestServices, request: CallerRequest, workspace: Workspace) -> Answer:
    """Answer one ``POST /v1/chat/completions``."""
    opened = _open_chat(services, request, workspace)
    if isinstance(opened, Err):
        return _refuse(services, request.request_id, opened.err_value)
    chat = opened.ok_value
    started = _start_run(chat)
    if isinstance(started, Err):
        return started.err_value
    if chat.body.stream:
        return _answer_streamed(chat, started.ok_value)
    return _answer_whole(chat, started.ok_value)


def _open_chat(
    services: RequestServices, request: CallerRequest, workspace: Workspace
) -> Result[Chat, Refusal]:
    deadline_s = clocks.now_s() + BODY_TIMEOUT_S
    content = read_request_body(
        request.environ, services.body_limit_bytes, workspace.name, deadline_s
    )
    if isinstance(content, Err):
        return content
    parsed = _parse_body(content.ok_value)
    if isinstance(parsed, Err):
        return parsed
    body = parsed.ok_value
    configuration = services.configuration()
    pool_name = configuration.model_pools.get(body.model)
    if pool_name is None:
        return Err(Refusal(RefusalReason.UNKNOWN_MODEL, f"no model {body.model[:80]!r} is served"))
    if pool_name not in workspace.pools:
        message = f"this workspace may not use model {body.model!r}"
        return Err(Refusal(RefusalReason.POOL_NOT_ALLOWED, message))
    pool = configuration.pools[pool_name]
    prefix = _compute_prefix_key(workspace, body)
    opened = queue_caller_request(
        services, request, workspace, pool, request.path, content.ok_value, prefix
    )
    if isinstance(opened, Err):
        return opened
    characters = sum(len(message.content) for message in body.messages)
    return Ok(
        Chat(
            request_id=request.request_id,
            body=body,
            pool=pool,
            placement=opened.ok_value,
            created_at_s=int(time.time()),
            input_tokens=characters // CHARACTERS_PER_TOKEN,
        )
    )


def _parse_body(content: bytes | bytearray) -> Result[ChatBody, Refusal]:
    try:
        text = content.decode()
    except UnicodeDecodeError:
        return Err(Refusal(RefusalReason.MALFORMED_BODY, "the body is not UTF-8"))
    parsed = parse_document(ChatBody, text, "body")
    if isinstance(parsed, Err):
        message = "; ".join(str(finding) for finding in parsed.err_value)
        return Err(Refusal(RefusalReason.MALFORMED_BODY, message))
    return parsed


def _compute_prefix_key(workspace: Workspace, body: ChatBody) -> str:
    # Workspaces do not trust one another, so they never share a prefix: the key depends on the
    # workspace.
    text = "\n".join(message.content for message in body.messages)[:PREFIX_CHARACTERS]
    if len(text) < PREFIX_CHARACTERS:
        return ""
    return hashlib.blake2b(f"{workspace.name}\n{text}".encode(), digest_size=8).hexdigest()


def _refuse(services: RequestServices, request_id: str, refusal: Refusal) -> Answer:
    services.counters.add(f"refusal.{refusal.reason}")
    return make_refusal_answer(request_id, refusal)


def _start_run(chat: Chat) -> Result[EngineRun, Answer]:
    """Wait for a slot and start the run there; repeat while it is certain that it was not run."""
    placement = chat.placement
    while True:
        slot = wait_for_slot(placement)
        if isinstance(slot, Err):
            close_placement(placement, Outcome.NOT_RUN)
            return Err(_refuse(placement.services, chat.request_id, slot.err_value))
        dispatch = slot.ok_value
        address = find_server_address(placement, dispatch.backend_server)
        if address is None:
            report_not_started(placement, RetryReason.SERVER_LEAVING)
            continue
        deadline_s = placement.specification.deadline_s
        order = _make_order(chat, dispatch.attempt, dispatch.priority_units)
        sent_at_s = clocks.now_s()
        handle_head = _make_head_handler(chat, dispatch.backend_server)
        started = start_run(address, order, compute_read_timeout_s(deadline_s), handle_head)
        if isinstance(started, Err) and started.err_value is StartFailure.LEAVING:
            report_leaving(placement.services, chat.request_id, dispatch.backend_server)
        if isinstance(started, Err) and started.err_value is not StartFailure.UNKNOWN:
            report_not_started(placement, RETRY_REASONS[started.err_value])
            continue
        run = EngineRun(
            address=address,
            request_id=order.request_id,
            deadline_s=deadline_s,
            # Without a response, the engine may still have begun the run. Its stream can then be
            # resumed.
            response=started.ok_value if isinstance(started, Ok) else None,
            add_to_counter=placement.services.counters.add,
            check_engine=partial(
                check_server_after_broken_run, placement, dispatch.backend_server, sent_at_s
            ),
        )
        if run.response is None:
            run.check_engine()
        return Ok(run)


def _make_head_handler(
    chat: Chat, backend_server: str
) -> Callable[[urllib3.BaseHTTPResponse], ServerNotice]:
    """Make the callback that reads the notice in the headers of an engine's response."""
    services = chat.placement.services
    return lambda head: report_notice(
        services, chat.request_id, backend_server, head, DEFAULT_HEADER_NAMES
    )


def _make_order(chat: Chat, attempt: int, priority_units: float) -> RunOrder:
    specification = chat.placement.specification
    remaining_s = max(specification.deadline_s - clocks.now_s(), 0.0)
    return RunOrder(
        request_id=specification.request_id,
        attempt=attempt,
        priority=priority_units,
        remaining_ms=int(remaining_s * 1000),
        model=chat.body.model,
        messages=[message.model_dump() for message in chat.body.messages],
        max_tokens=chat.body.max_tokens or DEFAULT_MAXIMUM_TOKENS,
    )


def _answer_whole(chat: Chat, run: EngineRun) -> Answer:
    texts: list[str] = []
    finish = "stop"
    try:
        for event in deliver_events(run):
            _record_event(chat, event)
            texts.append(event.text)
            finish = event.finish or finish
    except StreamLostError:
        _end_chat(chat, Outcome.UNKNOWN)
        message = "the engine broke off and the answer could not be resumed"
        return make_failure_answer(chat.request_id, 502, "engine_lost", message)
    _end_chat(chat, Outcome.COMPLETED)
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": "".join(texts)},
        "finish_reason": finish,
    }
    return make_json_answer(
        chat.request_id, _make_completion(chat, "chat.completion", choice, True)
    )


def _answer_streamed(chat: Chat, run: EngineRun) -> Answer:
    headers = [
        ("Content-Type", "text/event-stream"),
        ("Cache-Control", "no-store"),
        (REQUEST_ID_HEADER, chat.request_id),
        # The outcome is not known yet: it is in the last event of the stream.
        (OUTCOME_HEADER, "in-stream"),
    ]
    return Answer(200, ChatStream(chat, run), headers)


class ChatStream:
    """The body of a streamed response; ``close`` cancels the run if the client has disconnected."""

    def __init__(self, chat: Chat, run: EngineRun) -> None:
        self._chat = chat
        self._run = run
        self._chunks = _generate_chunks(chat, run)

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._chunks)

    def close(self) -> None:
        """Free the slot in every case; the WSGI server calls this at the end of the response."""
        if not self._chat.placement.closed:
            self._chat.placement.services.counters.add("stream.caller_gone")
            stop_run(self._run)
            _end_chat(self._chat, Outcome.UNKNOWN)


def _generate_chunks(chat: Chat, run: EngineRun) -> Iterator[bytes]:
    try:
        for event in deliver_events(run):
            _record_event(chat, event)
            if event.finish:
                _end_chat(chat, Outcome.COMPLETED)
                yield _make_last_chunk(chat, event)
            elif event.text:
                yield _make_chunk(chat, event)
    except StreamLostError:
        _end_chat(chat, Outcome.UNKNOWN)
        message = "the engine broke off and the stream could not be resumed"
        error = encode_error("engine_lost", message, chat.request_id, Outcome.UNKNOWN)
        yield b"event: error\ndata: " + error + b"\n\n"
        return
    yield b"data: [DONE]\n\n"


def _make_chunk(chat: Chat, event: EngineEvent) -> bytes:
    choice = {"index": 0, "delta": {"content": event.text}, "finish_reason": None}
    return _encode_chunk(_make_completion(chat, "chat.completion.chunk", choice, False))


def _make_last_chunk(chat: Chat, event: EngineEvent) -> bytes:
    delta = {"content": event.text} if event.text else {}
    choice = {"index": 0, "delta": delta, "finish_reason": event.finish}
    return _encode_chunk(_make_completion(chat, "chat.completion.chunk", choice, True))


def _encode_chunk(content: dict[str, object]) -> bytes:
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


def _make_completion(
    chat: Chat, kind: str, choice: dict[str, object], last: bool
) -> dict[str, object]:
    content: dict[str, object] = {
        "id": chat.request_id,
        "object": kind,
        "created": chat.created_at_s,
        "model": chat.body.model,
        "choices": [choice],
    }
    if last:
        content["usage"] = {
            "prompt_tokens": chat.input_tokens,
            "completion_tokens": chat.output_tokens,
            "total_tokens": chat.input_tokens + chat.output_tokens,
        }
        content["outcome"] = str(Outcome.COMPLETED)
    return content


def _record_event(chat: Chat, event: EngineEvent) -> None:
    if event.finish:
        chat.input_tokens = event.input_tokens or chat.input_tokens
        chat.output_tokens = event.output_tokens or chat.output_tokens
        return
    chat.output_tokens += event.tokens
    now_s = clocks.now_s()
    if now_s >= chat.next_service_report_s:
        chat.next_service_report_s = now_s + SERVICE_REPORT_INTERVAL_S
        report_service(chat.placement, _compute_cost_units(chat))


def _compute_cost_units(chat: Chat) -> float:
    pool = chat.pool
    input_units = chat.input_tokens * pool.input_token_weight
    return input_units + chat.output_tokens * pool.output_token_weight


def _end_chat(chat: Chat, outcome: Outcome) -> None:
    end_placement(chat.placement, _compute_cost_units(chat), outcome)
