"""What is learned of a run whose answer broke off: whether its backend server ended with it."""

import time

import eventlet

from myrtlehook_core import events
from myrtlehook_router.connection.backends import SendFailure
from myrtlehook_router.connection.server_checks import ServerState
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.relays import Relay

VERDICT_WAIT_S = 0.04
"""Whoever counts the ends under a request has told all routers by then: a message there, one
back, and a turn of each. A request that has ended a server is tried again no sooner; with the
check before it, that is later than runs are taken to have been under way together."""

_log = get_logger("requests")


def note_broken_run(relay: Relay, failure: SendFailure) -> None:
    """Look whether the server of a broken answer still lives, and tell the core if it ended.

    Waits for that. Nothing is concluded from silence, nor of a server that was about to leave.
    """
    if relay.caller_left or failure is not SendFailure.BROKEN:
        return
    services = relay.place.services
    server = services.configuration().backend_servers.get(relay.backend_server)
    if server is None or server.leaving:
        return
    ended_s = time.monotonic()
    state = services.checks.check(server.address)
    fingerprint = relay.place.specification.fingerprint
    services.counters.add(f"backend.broken.{state}")
    _log.info(
        "answer broke off",
        request_id=relay.request.request_id,
        fingerprint=fingerprint.hex(),
        backend_server=relay.backend_server,
        backend_server_state=state,
        ran_ms=round((ended_s - relay.sent_at_s) * 1000.0, 1),
        begun=relay.begun,
    )
    if state is ServerState.ENDED:
        ended = events.ServerEndedInRun(fingerprint, relay.backend_server, relay.sent_at_s, ended_s)
        services.mailbox.post(ended)
        eventlet.sleep(VERDICT_WAIT_S)
