"""The WSGI application for clients: authenticates each request and calls its path's handler."""

from collections.abc import Callable, Iterable
from typing import Any

from result import Err

from myrtlehook_core import PoolKind, RefusalReason, Workspace
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.answers import (
    Answer,
    Refusal,
    format_status_line,
    make_failure_answer,
    make_json_answer,
    make_refusal_answer,
)
from myrtlehook_router.request.callers import CallerRequest, parse_request
from myrtlehook_router.request.calls import SERVICE_PREFIX, answer_call
from myrtlehook_router.request.chats import answer_chat
from myrtlehook_router.request.services import RequestServices
from myrtlehook_router.version.keys import authenticate

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"

MIN_WRITE_CHUNK_KEY = "eventlet.minimum_write_chunk_size"
"""The key in the WSGI environment of the size up to which the server buffers small writes.

It is set to 0, so that each event of a stream is written at once."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Handler = Callable[[RequestServices, CallerRequest, Workspace], Answer]

_log = get_logger("callers")


def make_application(services: RequestServices) -> Callable[..., Iterable[bytes]]:
    """Make the WSGI application."""

    def application(environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        environ[MIN_WRITE_CHUNK_KEY] = 0
        answer = _answer(services, environ)
        headers = answer.headers
        if isinstance(answer.body, list):
            length = sum(len(piece) for piece in answer.body)
            headers = [*headers, ("Content-Length", str(length))]
        if services.is_draining():
            headers = [*headers, ("Connection", "close")]
        start_response(format_status_line(answer.status), headers)
        return answer.body

    return application


def _answer(services: RequestServices, environ: dict[str, Any]) -> Answer:
    parsed = parse_request(environ)
    if isinstance(parsed, Err):
        return _refuse(services, "", parsed.err_value)
    request = parsed.ok_value
    try:
        return _dispatch_request(services, request)
    except Exception:
        # A fault in one request must not stop the router.
        services.counters.add("request.fault")
        _log.exception("request fault", request_id=request.request_id)
        return make_failure_answer(
            request.request_id, 502, "router_fault", "the router met a fault of its own"
        )


def _dispatch_request(services: RequestServices, request: CallerRequest) -> Answer:
    configuration = services.configuration()
    if configuration.version.number == 0:
        refusal = Refusal(RefusalReason.NOT_CONFIGURED, "this router knows no configuration yet")
        return _refuse(services, request.request_id, refusal)
    if services.is_draining():
        refusal = Refusal(RefusalReason.DRAINING, "this router is stopping; ask another")
        return _refuse(services, request.request_id, refusal)
    workspace = authenticate(configuration, request.authorization)
    if workspace is None:
        refusal = Refusal(RefusalReason.UNAUTHENTICATED, "no workspace has this API key")
        return _refuse(services, request.request_id, refusal)
    handler = _find_handler(request)
    if handler is None:
        refusal = Refusal(RefusalReason.UNKNOWN_PATH, f"nothing at {request.path[:80]!r}")
        return _refuse(services, request.request_id, refusal)
    return handler(services, request, workspace)


def _find_handler(request: CallerRequest) -> Handler | None:
    if request.path == CHAT_PATH and request.method == "POST":
        return answer_chat
    if request.path == MODELS_PATH and request.method == "GET":
        return _answer_models
    if request.path.startswith(SERVICE_PREFIX):
        return answer_call
    return None


def _answer_models(
    services: RequestServices, request: CallerRequest, workspace: Workspace
) -> Answer:
    configuration = services.configuration()
    models = [
        {"id": model, "object": "model", "owned_by": pool}
        for model, pool in sorted(configuration.model_pools.items())
        if pool in workspace.pools and configuration.pools[pool].kind is PoolKind.MODEL
    ]
    return make_json_answer(request.request_id, {"object": "list", "data": models})


def _refuse(services: RequestServices, request_id: str, refusal: Refusal) -> Answer:
    services.counters.add(f"refusal.{refusal.reason}")
    return make_refusal_answer(request_id, refusal)
