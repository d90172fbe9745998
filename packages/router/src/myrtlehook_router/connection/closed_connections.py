"""Checks whether the other side has closed a connection, without waiting and without reading."""

from typing import Any

from eventlet import patcher

_select = patcher.original("select")
"""The original module: eventlet's patched one has no ``poll``. A ``poll`` that does not wait does
not block the event loop, and so needs no patching."""

_CLOSED_EVENTS = _select.POLLRDHUP | _select.POLLHUP | _select.POLLERR


def is_connection_closed(connection: Any) -> bool:
    """Return whether the other side has closed a connection."""
    try:
        descriptor = connection.fileno()
        if descriptor < 0:
            return True
        poller = _select.poll()
        poller.register(descriptor, _CLOSED_EVENTS)
        return bool(poller.poll(0))
    except OSError:
        return True
