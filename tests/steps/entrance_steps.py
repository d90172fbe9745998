"""Steps of the listener that accepts callers' connections, without processes."""

import itertools
import socket
from typing import Any

import eventlet
from behave import then, when

from myrtlehook_router.connection.ingress_listeners import IngressListener
from myrtlehook_router.connection.listeners import BACKLOG, PacedListener
from myrtlehook_router.connection.passing import Accepted
from myrtlehook_router.process.counters import Counters

WAIT_S = 10.0
"""Far longer than a connection over loopback takes."""

CLOCK_STEP_S = 1.0 / 1024.0
"""Each reading of the clock advances it by this much: the outcome is the same on any machine."""


class AcceptingPasser:
    """Accepts every connection, as neighbours with processor time to spare do."""

    def __init__(self) -> None:
        self.accepted_connections: list[Accepted] = []

    def pass_on(self, accepted: Accepted, serve_here: Any) -> bool:
        """Accept a connection."""
        self.accepted_connections.append(accepted)
        return True


@when(
    "{count:d} callers have connected before a router accepts the first one,"
    " and neighbours accept all"
)
def connect_in_burst(context: Any, count: int) -> None:
    listener = eventlet.listen(("127.0.0.1", 0), backlog=BACKLOG)
    callers = [socket.create_connection(listener.getsockname()) for _ in range(count)]
    passer = AcceptingPasser()
    clock = itertools.count(0.0, CLOCK_STEP_S)
    paced = PacedListener(listener, lambda: next(clock))
    ingress_listener: Any = IngressListener(
        paced,  # type: ignore[arg-type]
        passer,
        lambda: True,
        lambda: True,
        Counters(None),
    )
    context.accepted_at_turns = [0]

    def record_turns() -> None:
        while len(passer.accepted_connections) < count:
            context.accepted_at_turns.append(len(passer.accepted_connections))
            eventlet.sleep(0)
        context.accepted_at_turns.append(len(passer.accepted_connections))

    accepting = eventlet.spawn(ingress_listener.accept_forever)
    with eventlet.Timeout(WAIT_S):
        eventlet.spawn(record_turns).wait()
    accepting.kill()
    for connection in [
        *callers,
        *(accepted[0] for accepted in passer.accepted_connections),
        listener,
    ]:
        connection.close()


@then("between two turns of another task at most {most:d} of them are accepted")
def check_turns(context: Any, most: int) -> None:
    accepted_counts = [
        after - before for before, after in itertools.pairwise(context.accepted_at_turns)
    ]
    assert max(accepted_counts) <= most, (
        f"accepted between two turns: {accepted_counts}, at most {most} wanted"
    )
