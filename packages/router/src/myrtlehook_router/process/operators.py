"""The operators' endpoints, on an address that clients can't reach."""

import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from typing import Any

import msgspec

from myrtlehook_core import describe_router
from myrtlehook_router.connection.platforms import PlatformClient
from myrtlehook_router.process import clocks
from myrtlehook_router.process.core_tasks import CoreTask
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.peers import PeerSockets
from myrtlehook_router.request.answers import JSON_TYPE, format_status_line
from myrtlehook_router.request.request_tallies import RequestTallies, describe_tallies

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CutOrder(msgspec.Struct, frozen=True):
    """The links that a failure test cuts; an empty order restores all of them."""

    peers: list[str] = []
    platform: bool = False


@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """A status and the content of a JSON response."""

    status: int
    content: object


@dataclass(frozen=True, slots=True)
class OperatorServices:
    """Dependencies of the endpoints."""

    core_task: CoreTask
    counters: Counters
    peers: PeerSockets
    platform: PlatformClient
    is_ready: Callable[[], bool]
    tallies: RequestTallies
    cut_allowed: bool


def make_operator_application(
    services: OperatorServices,
) -> Callable[[dict[str, Any], StartResponse], Iterable[bytes]]:
    """Make the WSGI application for operators and the load balancer."""

    def application(environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        answer = _answer(services, environ)
        body = msgspec.json.encode(answer.content)
        headers = [("Content-Type", JSON_TYPE), ("Content-Length", str(len(body)))]
        start_response(format_status_line(answer.status), headers)
        return [body]

    return application


def _answer(services: OperatorServices, environ: dict[str, Any]) -> OperatorAnswer:
    path = environ.get("PATH_INFO", "/")
    if path == "/healthz":
        ready = services.is_ready()
        return OperatorAnswer(200 if ready else 503, {"ready": ready})
    if path == "/status":
        return OperatorAnswer(200, _describe_status(services))
    if path == "/metrics":
        return OperatorAnswer(200, _describe_metrics(services))
    if path == "/test/cut" and environ["REQUEST_METHOD"] == "POST" and services.cut_allowed:
        return _apply_cut(services, environ["wsgi.input"].read())
    return OperatorAnswer(404, {"error": f"nothing at {path}"})


def _describe_status(services: OperatorServices) -> dict[str, object]:
    status = asdict(describe_router(services.core_task.core))
    return status | {"requests": describe_tallies(services.tallies, clocks.now_s())}


def _describe_metrics(services: OperatorServices) -> dict[str, object]:
    return {
        "counters": dict(services.counters.values),
        "core_cpu_s": services.core_task.cpu_s,
        "process_cpu_s": time.process_time(),
        "monotonic_s": clocks.now_s(),
    }


def _apply_cut(services: OperatorServices, content: bytes) -> OperatorAnswer:
    try:
        order = msgspec.json.decode(content, type=CutOrder)
    except msgspec.DecodeError as error:
        return OperatorAnswer(400, {"error": str(error)})
    services.peers.cut_peers = frozenset(order.peers)
    services.platform.cut = order.platform
    return OperatorAnswer(200, {"cut": order.peers})
