"""A stand-in of an engine of a plain service: it runs each request for a fixed time."""

import threading
import time
from http.server import BaseHTTPRequestHandler
from typing import Any

from standins.listeners import QuietServer
from standins.records import Record


class PlainServer:
    """An engine that answers requests with its seal, and declines those for another instance."""

    def __init__(
        self, ip: str, port: int, instance: str, service: str, zone: str, record: Record
    ) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = 0.02
        self._server = QuietServer((ip, port), _make_handler(self))
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def make_entry(self) -> dict[str, Any]:
        """Return the engine's entry in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "SlotCount": 6,
            "State": "ready",
            "ColdRemainingMs": 0,
            "SequenceNumber": 1,
        }


def _make_handler(server: PlainServer) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        """One connection to the engine."""

        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_GET(self) -> None:
            """Run a request."""
            self._run()

        def do_POST(self) -> None:
            """Run a request."""
            self._run()

        def _run(self) -> None:
            self.rfile.read(int(self.headers.get("Content-Length", "0")))
            attempt = self.headers.get("Attempt-Id", "")
            expected = self.headers.get("Expected-Instance", server.instance)
            if expected != server.instance:
                self._answer(421, attempt, b"another instance", declined=True)
                return
            server.record.add("run", server=server.instance, attempt=attempt, path=self.path)
            time.sleep(server.work_s)
            self._answer(200, attempt, b"done by " + server.instance.encode())

        def _answer(self, status: int, attempt: str, body: bytes, declined: bool = False) -> None:
            self.send_response(status)
            self.send_header("Attempt-Id", attempt)
            if declined:
                self.send_header("Not-Executed", "1")
                self.send_header("Instance-Id", server.instance)
            else:
                self.send_header("Response-Seal", f"seal-{server.instance}")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format: str, *arguments: Any) -> None:
            """Log nothing."""

    return Handler
