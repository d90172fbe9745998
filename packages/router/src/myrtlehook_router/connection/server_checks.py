"""Distinguishes a backend server whose process has ended from one that only cut off a response.

A broken connection proves nothing: the server may have cut off one response, or a link was
reset. A server whose process has ended refuses new connections; a live one accepts them.
"""

from dataclasses import dataclass
from enum import StrEnum

import eventlet
from eventlet.event import Event

from myrtlehook_router.process import clocks

CHECK_DELAY_S = 0.02
"""The delay before a check; an ending process closes connections and listener in any order."""

CHECK_TIMEOUT_S = 0.15
"""Covers a round trip between regions; short, as the client's next attempt waits for the check."""

RESULT_LIFETIME_S = 0.2
"""How long a result is reused, because an end breaks all responses of a server at once."""


class ServerState(StrEnum):
    """The state of a server as found by a new connection to it."""

    ENDED = "ended"
    """Nothing listens at its address."""
    LISTENS = "listens"
    SILENT = "silent"
    """No answer: unreachable, powered off, or too busy to answer."""


@dataclass(slots=True)
class _Check:
    done: Event
    deadline_s: float
    """When its result expires."""


class ServerChecks:
    """The checks of one process, by address."""

    def __init__(self) -> None:
        self._checks: dict[str, _Check] = {}

    def check(self, address: str) -> ServerState:
        """Wait for a check of whether a server has ended; returns the state found."""
        now_s = clocks.now_s()
        check = self._checks.get(address)
        if check is None or now_s >= check.deadline_s:
            max_check_s = CHECK_DELAY_S + CHECK_TIMEOUT_S
            check = _Check(Event(), now_s + max_check_s + RESULT_LIFETIME_S)
            self._checks[address] = check
            self._drop_expired(now_s)
            # A separate task, because the calling one may be killed while others wait too.
            eventlet.spawn_n(_run_check, address, check.done)
        state: ServerState = check.done.wait()
        return state

    def _drop_expired(self, now_s: float) -> None:
        expired = [address for address, check in self._checks.items() if now_s >= check.deadline_s]
        for address in expired:
            del self._checks[address]


def _run_check(address: str, done: Event) -> None:
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
