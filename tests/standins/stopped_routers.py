"""Clients that open new connections to a router until it is gone, and what became of each."""

import http.client
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from standins.attempts import make_headers, new_id
from standins.nodes import Node

TIMEOUT_S = 8.0
PATH = "/setpoint/a"
REFUSED_PAUSE_S = 0.01


@dataclass(slots=True)
class ConnectionLoad:
    """Clients that send one request on each connection, as fast as they are answered."""

    node: Node
    clients: int
    outcomes: Counter[str] = field(default_factory=Counter)
    """How connections ended: by an answer's status, ``refused`` or ``unanswered``."""
    _ended: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start the clients."""
        for _ in range(self.clients):
            thread = threading.Thread(target=self._run, daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Let the clients end after their present request."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while not self._ended.is_set():
            outcome = self._send()
            self.outcomes[outcome] += 1
            if outcome == "refused":
                time.sleep(REFUSED_PAUSE_S)

    def _send(self) -> str:
        """Send one request on a new connection; returns what became of it."""
        connection = http.client.HTTPConnection(
            self.node.ip, self.node.front_port, timeout=TIMEOUT_S
        )
        try:
            connection.connect()
        except OSError:
            return "refused"
        try:
            connection.request("GET", PATH, headers=make_headers(new_id(), "planners"))
            response = connection.getresponse()
            response.read()
            return str(response.status)
        except (OSError, http.client.HTTPException):
            return "unanswered"
        finally:
            connection.close()
