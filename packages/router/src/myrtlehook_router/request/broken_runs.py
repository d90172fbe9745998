"""What is learned of a run whose answer broke off: whether its backend server ended with it."""

import eventlet

from myrtlehook_core import events
from myrtlehook_router.connection.server_checks import ServerState
from myrtlehook_router.process import clocks
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.placements import Placement

VERDICT_WAIT_S = 0.04
"""Whoever counts the ends under a request has told all routers by then: a message there, one
back, and a turn of each. A request that has ended a server is tried again no sooner; with the
check before it, that is later than runs are taken to have been under way together."""

_log = get_logger("requests")


def note_broken_run(place: Placement, backend_server: str, sent_at_s: float) -> None:
    """Look whether the server of a broken answer still lives, and tell the core if it ended.

    Waits for that. Nothing is concluded from silence, nor of a server that was about to leave.

    :param sent_at_s: when the request was sent to that server.
    """
    services = place.services
    server = services.configuration().backend_servers.get(backend_server)
    if server is None or server.leaving:
        return
    ended_s = clocks.now_s()
    state = services.checks.check(server.address)
    specification = place.specification
    services.counters.add(f"backend.broken.{state}")
    _log.info(
        "answer broke off",
        request_id=specification.request_id,
        fingerprint=specification.fingerprint.hex(),
        backend_server=backend_server,
        backend_server_state=state,
        ran_ms=round((ended_s - sent_at_s) * 1000.0, 1),
    )
    if state is ServerState.ENDED:
        fingerprint = specification.fingerprint
        services.mailbox.post(
            events.ServerEndedInRun(fingerprint, backend_server, sent_at_s, ended_s)
        )
        eventlet.sleep(VERDICT_WAIT_S)
