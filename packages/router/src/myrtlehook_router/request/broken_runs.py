"""Checks, after a response broke off, whether its backend server has ended during the run."""

import eventlet

from myrtlehook_core import events
from myrtlehook_router.connection.server_checks import ServerState
from myrtlehook_router.process import clocks
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.placements import Placement

QUARANTINE_DECISION_WAIT_S = 0.04
"""How long a request waits before it is tried again after its server ended during the run. By then
the collectors, which count such ends, have sent all routers their decision whether to quarantine
the request: that requires a message to them, one back, and one turn of each router's event loop.
Together with the server check before it, the wait is longer than the core's
``CONCURRENT_WINDOW_S``, so that the next run does not count as under way at the same time as the
one that broke off."""

_log = get_logger("requests")


def check_server_after_broken_run(
    placement: Placement, backend_server: str, sent_at_s: float
) -> None:
    """Check whether the server of a broken response has ended, and report that to the core.

    Waits for the check and, after an end, until the collectors' decision can have arrived. Only a
    server that refuses connections is reported: silence proves nothing, and a server that was
    about to leave is not checked.

    :param sent_at_s: when the request was sent to that server.
    """
    services = placement.services
    server = services.configuration().backend_servers.get(backend_server)
    if server is None or server.leaving:
        return
    ended_s = clocks.now_s()
    state = services.server_checks.check(server.address)
    specification = placement.specification
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
        eventlet.sleep(QUARANTINE_DECISION_WAIT_S)
