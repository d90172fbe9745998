"""Sockets of servers that stand still: for a time, a server neither reads nor writes."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.greenio import GreenSocket

BACKLOG = 50
CHECK_INTERVAL_S = 0.005


def never() -> bool:
    """Return that a server does not stand still."""
    return False


def wait_while(is_still: Callable[[], bool]) -> None:
    """Wait until a server goes on."""
    while is_still():
        eventlet.sleep(CHECK_INTERVAL_S)


class StandingSocket(GreenSocket):
    """A server's socket. The system still accepts connections while the server stands still."""

    is_still: Callable[[], bool] = staticmethod(never)

    def accept(self) -> tuple[Any, Any]:
        """Accept a connection, which stands still together with its listener."""
        connection, address = super().accept()
        connection.is_still = self.is_still
        return connection, address

    def recv(self, *arguments: Any) -> bytes:
        """Read; what arrives while the server stands still is seen once it goes on."""
        content: bytes = super().recv(*arguments)
        wait_while(self.is_still)
        return content

    def recv_into(self, *arguments: Any) -> int:
        """Read into a buffer; see :meth:`recv`."""
        count: int = super().recv_into(*arguments)
        wait_while(self.is_still)
        return count

    def send(self, *arguments: Any) -> int:
        """Write once the server goes on."""
        wait_while(self.is_still)
        count: int = super().send(*arguments)
        return count


def listen(ip: str, port: int, is_still: Callable[[], bool]) -> StandingSocket:
    """Listen on an address; port 0 lets the operating system choose."""
    listener = StandingSocket(socket.AF_INET)
    listener.is_still = is_still
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    listener.listen(BACKLOG)
    return listener
