"""Steps of the entrance for callers, without processes."""

import itertools
import socket
from typing import Any

import eventlet
from behave import then, when

from myrtlehook_router.connection.ingress_listeners import IngressListener
from myrtlehook_router.connection.listeners import BACKLOG, PacedListener
from myrtlehook_router.connection.passing import Accepted

WAIT_S = 10.0
"""Far more than loopback takes."""

CLOCK_STEP_S = 1.0 / 1024.0
"""What each look at the clock takes, so that the outcome is the same on any machine."""


class TakingPasser:
    """Takes each connection, as while neighbours have time."""

    def __init__(self) -> None:
        self.taken: list[Accepted] = []

    def pass_on(self, accepted: Accepted, give_back: Any) -> bool:
        """Take a connection."""
        self.taken.append(accepted)
        return True


@when(
    "{count:d} callers have connected before a router accepts the first one,"
    " and neighbours take all"
)
def connect_in_burst(context: Any, count: int) -> None:
    listener = eventlet.listen(("127.0.0.1", 0), backlog=BACKLOG)
    callers = [socket.create_connection(listener.getsockname()) for _ in range(count)]
    passer = TakingPasser()
    clock = itertools.count(0.0, CLOCK_STEP_S)
    paced = PacedListener(listener, lambda: next(clock))
    entrance: Any = IngressListener(paced, passer, lambda: True, lambda: True)  # type: ignore[arg-type]
    context.accepted_by_turn = [0]

    def take_turns() -> None:
        while len(passer.taken) < count:
            context.accepted_by_turn.append(len(passer.taken))
            eventlet.sleep(0)
        context.accepted_by_turn.append(len(passer.taken))

    accepting = eventlet.spawn(entrance.accept_forever)
    with eventlet.Timeout(WAIT_S):
        eventlet.spawn(take_turns).wait()
    accepting.kill()
    for connection in [*callers, *(accepted[0] for accepted in passer.taken), listener]:
        connection.close()


@then("between two turns of another task at most {most:d} of them are accepted")
def check_turns(context: Any, most: int) -> None:
    steps = [after - before for before, after in itertools.pairwise(context.accepted_by_turn)]
    assert max(steps) <= most, f"accepted between two turns: {steps}, at most {most} wanted"
