"""A stand-in of a model engine: it streams a few events, and may come back cold after a crash."""

import socket
import threading
import time
from http.server import BaseHTTPRequestHandler
from typing import Any

from standins.listeners import QuietServer
from standins.records import Record

EVENTS = 3
EVENT_INTERVAL_S = 0.02
READING_S = 0.03


class ModelEngine:
    """An engine of one service."""

    def __init__(
        self, ip: str, port: int, instance: str, service: str, zone: str, record: Record
    ) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.address = f"{ip}:{port}"
        self.record = record
        self.arrivals_s: list[float] = []
        """When each request has arrived."""
        self.cold_until_s = 0.0
        self._endpoint = (ip, port)
        self._connections: set[socket.socket] = set()
        self._sequence = 0
        self._server: QuietServer | None = None

    def start(self, cold_s: float = 0.0) -> None:
        """Listen for requests; a cold engine says in its entry how long it stays so."""
        self.cold_until_s = self.record.now_s() + cold_s
        self._server = QuietServer(self._endpoint, _make_handler(self, self._connections))
        threading.Thread(target=self._server.serve_forever, args=(0.01,), daemon=True).start()
        self.record.add("engine starts", engine=self.instance, cold_s=cold_s)

    def crash(self) -> None:
        """End without a word: nothing listens any more, and all connections are closed."""
        assert self._server is not None
        self._server.socket.close()
        self._server.shutdown()
        for connection in list(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        self.record.add("engine crashes", engine=self.instance)

    def make_entry(self) -> dict[str, Any]:
        """Return the engine's entry in the store."""
        self._sequence += 1
        left_s = max(self.cold_until_s - self.record.now_s(), 0.0)
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "SlotCount": 64,
            "State": "ready",
            "ColdRemainingMs": round(left_s * 1000.0),
            "Stage": "prefill_decode",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "SequenceNumber": self._sequence,
        }


def _make_handler(
    engine: ModelEngine, connections: set[socket.socket]
) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        """One connection to the engine."""

        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def setup(self) -> None:
            """Note the connection, which a crash ends."""
            super().setup()
            connections.add(self.connection)

        def finish(self) -> None:
            """Forget the connection."""
            connections.discard(self.connection)
            super().finish()

        def do_POST(self) -> None:
            """Run a request."""
            self.rfile.read(int(self.headers.get("Content-Length", "0")))
            attempt = self.headers.get("Attempt-Id", "")
            engine.arrivals_s.append(engine.record.now_s())
            engine.record.add("run", engine=engine.instance, attempt=attempt)
            time.sleep(READING_S)
            self.send_response(200)
            self.send_header("Attempt-Id", attempt)
            self.send_header("Response-Seal", f"seal-{engine.instance}")
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for number in range(1, EVENTS + 1):
                self._write_chunk(f"id: {number}\ndata: token\n\n".encode())
                time.sleep(EVENT_INTERVAL_S)
            self.wfile.write(b"0\r\n\r\n")

        def _write_chunk(self, piece: bytes) -> None:
            self.wfile.write(b"%x\r\n%b\r\n" % (len(piece), piece))

        def log_message(self, format: str, *arguments: Any) -> None:
            """Log nothing."""

    return Handler
