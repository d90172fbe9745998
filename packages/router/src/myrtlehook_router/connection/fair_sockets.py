"""Sockets whose peers cannot hold up the process by sending without end."""

from typing import Any

import eventlet
from eventlet.greenio import GreenSocket

from myrtlehook_router.process import clocks

MAX_READ_BURST_S = 0.005
"""After this long of reading bytes that have arrived already, other tasks get to run."""


class FairSocket(GreenSocket):
    """A socket that lets other tasks run at times while its peer sends faster than it reads.

    eventlet's own sockets do so only where they wait for bytes.
    """

    _burst_began_s: float | None = None
    """Since when bytes have been read without a wait; None after a wait."""

    def _recv_loop(self, recv_method: Any, empty_value: Any, *arguments: Any) -> Any:
        now_s = clocks.now_s()
        if self._burst_began_s is None:
            self._burst_began_s = now_s
        elif now_s >= self._burst_began_s + MAX_READ_BURST_S:
            eventlet.sleep(0)
            self._burst_began_s = clocks.now_s()
        return super()._recv_loop(recv_method, empty_value, *arguments)

    def _read_trampoline(self) -> None:
        self._burst_began_s = None
        super()._read_trampoline()


def make_fair(connection: Any) -> None:
    """Make an open socket a fair one, unless it is of a special class already."""
    if type(connection) is GreenSocket:
        connection.__class__ = FairSocket
