"""Tells a backend server that has ended from one that only broke off an answer.

A broken connection proves nothing: the server may have cut one answer off, or a link was
reset. A server whose process has ended refuses connections; one that lives takes them.
"""

from dataclasses import dataclass
from enum import StrEnum

import eventlet
from eventlet.event import Event

from myrtlehook_router.process import clocks

CHECK_DELAY_S = 0.02
"""A process that ends closes its connections and its listener in any order."""

CHECK_TIMEOUT_S = 0.15
"""The way there and back, between regions as well; the caller's next attempt waits for it."""

KEPT_S = 0.2
"""An end breaks all answers of a server at once; they share one check."""


class ServerState(StrEnum):
    """What a new connection has shown of a server."""

    ENDED = "ended"
    """Nothing listens at its address."""
    LISTENS = "listens"
    SILENT = "silent"
    """No answer: cut off, without power, or too busy to tell."""


@dataclass(slots=True)
class _Check:
    done: Event
    deadline_s: float
    """Until when its result holds."""


class ServerChecks:
    """The checks of one process, by address."""

    def __init__(self) -> None:
        self._checks: dict[str, _Check] = {}

    def check(self, address: str) -> ServerState:
        """Return whether a server has ended; waits for the answer."""
        now_s = clocks.now_s()
        check = self._checks.get(address)
        if check is None or now_s >= check.deadline_s:
            longest_s = CHECK_DELAY_S + CHECK_TIMEOUT_S
            check = _Check(Event(), now_s + longest_s + KEPT_S)
            self._checks[address] = check
            self._drop_old(now_s)
            # A task of its own: whoever asks may be ended meanwhile, and others wait too.
            eventlet.spawn_n(_run, address, check.done)
        state: ServerState = check.done.wait()
        return state

    def _drop_old(self, now_s: float) -> None:
        old = [address for address, check in self._checks.items() if now_s >= check.deadline_s]
        for address in old:
            del self._checks[address]


def _run(address: str, done: Event) -> None:
    eventlet.sleep(CHECK_DELAY_S)
    host, _, port = address.rpartition(":")
    state = ServerState.SILENT
    try:
        with eventlet.Timeout(CHECK_TIMEOUT_S):
            eventlet.connect((host, int(port))).close()
        state = ServerState.LISTENS
    except ConnectionRefusedError:
        state = ServerState.ENDED
    except (OSError, eventlet.Timeout):
        state = ServerState.SILENT
    finally:
        done.send(state)
