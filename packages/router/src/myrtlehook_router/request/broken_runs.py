"""Checks, after a response broke off, whether its backend server has ended during the run."""

import eventlet

from myrtlehook_core import RequestSpecification, SuspectPart, events, make_part_key
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
_belief_log = get_logger("requests", is_kept=True)
"""For lines that tell what was under way when a server ended."""


def check_server_after_broken_run(
    placement: Placement,
    backend_server: str,
    sent_at_s: float,
    software_version: str = "",
    shown_sound: bool = False,
) -> None:
    """Check whether the server of a broken response has ended, and report that to the core.

    Waits for the check and, after an end, until the collectors' decision can have arrived. Only a
    server that refuses connections is reported: silence proves nothing, and a server that was
    about to leave is not checked.

    :param sent_at_s: when the request was sent to that server.
    :param software_version: of that server.
    :param shown_sound: whether the server had written on the prompt for long enough that no part of
        it can have ended the server.
    """
    services = placement.services
    server = services.configuration().backend_servers.get(backend_server)
    if server is None or server.leaving:
        return
    ended_s = clocks.now_s()
    state = services.server_checks.check(server.address)
    specification = placement.specification
    services.counters.add(f"backend.broken.{state}")
    suspect_parts = () if shown_sound else _list_suspect_parts(specification, software_version)
    log = _belief_log if state is ServerState.ENDED else _log
    log.info(
        "answer broke off",
        request_id=specification.request_id,
        fingerprint=specification.fingerprint.hex(),
        suspect_parts=_describe_parts(specification, suspect_parts),
        backend_server=backend_server,
        backend_server_state=state,
        ran_ms=round((ended_s - sent_at_s) * 1000.0, 1),
    )
    if state is ServerState.ENDED:
        fingerprint = specification.fingerprint
        services.mailbox.post(
            events.ServerEndedInRun(
                fingerprint, backend_server, sent_at_s, ended_s, suspect_parts, shown_sound
            )
        )
        eventlet.sleep(QUARANTINE_DECISION_WAIT_S)


def _list_suspect_parts(
    specification: RequestSpecification, software_version: str
) -> tuple[SuspectPart, ...]:
    """Return the parts of a prompt that may have ended a server of this software version."""
    return tuple(
        SuspectPart(make_part_key(part_digest, software_version), is_first=number == 0)
        for number, part_digest in enumerate(specification.part_digests)
    )


def _describe_parts(
    specification: RequestSpecification, suspect_parts: tuple[SuspectPart, ...]
) -> dict[str, str]:
    """Return the keys of suspect parts by their ids, for the log."""
    parts = specification.prompt_parts[:-1]
    if len(parts) > len(suspect_parts):
        # Of a long prompt, the first part and the last ones are looked at.
        parts = (*parts[:1], *parts[len(parts) + 1 - len(suspect_parts) :])
    return {
        part.part_id: suspect.key.hex() for part, suspect in zip(parts, suspect_parts, strict=False)
    }
