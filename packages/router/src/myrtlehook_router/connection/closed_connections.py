"""Checks whether the other side has closed a connection, and closes connections by a reset."""

import contextlib
import os
import struct
from typing import Any

from eventlet import hubs, patcher

_select = patcher.original("select")
"""The original module: eventlet's patched one has no ``poll``. A ``poll`` that does not wait does
not block the event loop, and so needs no patching."""

_socket = patcher.original("socket")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CLOSED_EVENTS = _select.POLLRDHUP | _select.POLLHUP | _select.POLLERR
_READABLE_EVENTS = _select.POLLIN | _select.POLLRDHUP | _select.POLLERR


def is_connection_closed(connection: Any) -> bool:
    """Return whether the other side has closed a connection, without waiting and reading."""
    try:
        descriptor = connection.fileno()
        if descriptor < 0:
            return True
        poller = _select.poll()
        poller.register(descriptor, _CLOSED_EVENTS)
        return bool(poller.poll(0))
    except OSError:
        return True


def is_readable(connection: Any) -> bool:
    """Return whether bytes, an end of stream or a client's connection wait on a socket."""
    descriptor = connection.fileno()
    if descriptor < 0:
        return True
    poller = _select.poll()
    poller.register(descriptor, _READABLE_EVENTS)
    return bool(poller.poll(0))


def reset_connection(connection: Any) -> None:
    """Close a connection by a reset, which no client can take for the end of a response.

    It is closed at once, also where files made from its socket are still open.
    """
    raw = getattr(connection, "fd", connection)
    with contextlib.suppress(OSError):
        raw.setsockopt(_socket.SOL_SOCKET, _socket.SO_LINGER, _RESET_ON_CLOSE)
    descriptor = raw.detach()
    if descriptor >= 0:
        hubs.notify_close(descriptor)
        os.close(descriptor)
