"""Listening sockets of the stand-ins."""

import socket
from http.server import ThreadingHTTPServer
from typing import Any


class QuietServer(ThreadingHTTPServer):
    """An HTTP server that says nothing of connections that end early."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Say nothing."""


def is_free(ip: str, port: int) -> bool:
    """Return whether a port can be listened on."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
