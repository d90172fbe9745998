"""A client: sends chat completions and service calls, and returns what it received."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import urllib3

from standins.fleets import MODEL


@dataclass(slots=True)
class Result:
    """What a client received in answer to one request."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    text: str = ""
    body: Any = None
    outcome: str = ""
    pieces: int = 0
    done: bool = False
    error: Any = None
    broken: bool = False
    first_piece_s: float = 0.0
    elapsed_s: float = 0.0


class Caller:
    """Sends requests to routers with one workspace's API key."""

    def __init__(self, key: str) -> None:
        self._key = key
        self.on_first_piece: Callable[[], None] | None = None
        """Called by the reading thread when the first piece of a stream has arrived."""
        self._http = urllib3.PoolManager(maxsize=128, retries=False)

    def headers(self, extra: dict[str, str] | None = None) -> dict[str, str]:
        """Return a request's headers, with the API key."""
        return {"Authorization": f"Bearer {self._key}", **(extra or {})}

    def chat(
        self,
        address: str,
        prompt: str,
        tokens: int = 8,
        stream: bool = False,
        headers: dict[str, str] | None = None,
        model: str = MODEL,
    ) -> Result:
        """Request a chat completion."""
        content = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        body = json.dumps(content).encode()
        return self.send(address, "POST", "/v1/chat/completions", body, headers, stream)

    def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        stream: bool = False,
    ) -> Result:
        """Send any request."""
        result = Result()
        started_s = time.monotonic()
        try:
            response = self._http.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=self.headers(headers),
                preload_content=False,
                timeout=120.0,
            )
            result.status = response.status
            result.headers = {name.lower(): value for name, value in response.headers.items()}
            if stream and response.status == 200:
                _read_stream(response, result, started_s, self.on_first_piece)
            else:
                _read_whole(response, result)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            result.broken = True
            result.error = repr(error)
        result.elapsed_s = time.monotonic() - started_s
        return result


def _read_whole(response: urllib3.BaseHTTPResponse, result: Result) -> None:
    content = response.read()
    response.release_conn()
    result.outcome = result.headers.get("x-outcome", "")
    try:
        result.body = json.loads(content)
    except ValueError:
        result.body = content
        return
    if not isinstance(result.body, dict):
        return
    result.error = result.body.get("error")
    if result.status == 200 and "choices" in result.body:
        result.text = result.body["choices"][0]["message"]["content"]


def _read_stream(
    response: urllib3.BaseHTTPResponse,
    result: Result,
    started_s: float,
    on_first_piece: Callable[[], None] | None,
) -> None:
    pending = b""
    while chunk := response.read1(65536):
        lines = (pending + chunk).split(b"\n")
        pending = lines.pop()
        for line in lines:
            _parse_line(line, result, started_s)
        if result.pieces and on_first_piece is not None:
            on_first_piece()
            on_first_piece = None
    response.release_conn()


def _parse_line(line: bytes, result: Result, started_s: float) -> None:
    if not line.startswith(b"data: "):
        return
    content = line.removeprefix(b"data: ")
    if content == b"[DONE]":
        result.done = True
        return
    event = json.loads(content)
    if "error" in event:
        result.error = event["error"]
        result.outcome = event["error"]["outcome"]
        return
    if result.pieces == 0:
        result.first_piece_s = time.monotonic() - started_s
    result.pieces += 1
    result.outcome = event.get("outcome", result.outcome)
    result.text += event["choices"][0]["delta"].get("content", "")
