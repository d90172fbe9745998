"""A model engine as a process of its own: its streams have no length, and end with the connection.

Arguments: the IP address and port to listen on, its id, and the file to which it adds a line for
each request that it runs.
"""

import sys
import time
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.listeners import QuietServer  # noqa: E402
from standins.streams import EVENT_INTERVAL_S, EVENTS  # noqa: E402

READING_S = 0.03


def make_handler(instance: str, runs: Path) -> type[BaseHTTPRequestHandler]:
    """Make the class of the engine's connections."""

    class Handler(BaseHTTPRequestHandler):
        """One connection to the engine."""

        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_POST(self) -> None:
            """Run a request, from the event after the last one that its client has."""
            self.rfile.read(int(self.headers.get("Content-Length", "0")))
            first = int(self.headers.get("Last-Event-Id", "0")) + 1
            attempt = self.headers.get("Attempt-Id", "")
            with runs.open("a", encoding="utf-8") as file:
                file.write(f"{time.time():.3f} {instance} {attempt} {first}\n")
            time.sleep(READING_S)
            self.send_response(200)
            self.send_header("Attempt-Id", attempt)
            self.send_header("Response-Seal", f"seal-{instance}")
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Connection", "close")
            self.end_headers()
            for number in range(first, EVENTS + 1):
                self.wfile.write(f"id: {number}\ndata: {self.path} token\n\n".encode())
                time.sleep(EVENT_INTERVAL_S)

        def log_message(self, format: str, *arguments: Any) -> None:
            """Log nothing."""

    return Handler


def main() -> None:
    """Serve until the process is killed."""
    ip, port, instance, runs = sys.argv[1:5]
    QuietServer((ip, int(port)), make_handler(instance, Path(runs))).serve_forever()


if __name__ == "__main__":
    main()
