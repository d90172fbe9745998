"""What is learned of a run whose answer broke off: whether its backend server ended with it."""

import time

from myrtlehook_router.connection.backends import SendFailure
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.request.relays import Relay

_log = get_logger("requests")


def note_broken_run(relay: Relay, failure: SendFailure) -> None:
    """Look whether the server of a broken answer still lives; waits for a moment.

    Nothing is concluded from silence, nor of a server that was about to leave.
    """
    if relay.caller_left or failure is not SendFailure.BROKEN:
        return
    services = relay.place.services
    server = services.configuration().backend_servers.get(relay.backend_server)
    if server is None or server.leaving:
        return
    ran_s = time.monotonic() - relay.sent_at_s
    state = services.checks.check(server.address)
    services.counters.add(f"backend.broken.{state}")
    _log.info(
        "answer broke off",
        request_id=relay.request.request_id,
        fingerprint=relay.place.specification.fingerprint.hex(),
        backend_server=relay.backend_server,
        backend_server_state=state,
        ran_ms=round(ran_s * 1000.0, 1),
        begun=relay.begun,
    )
