"""What a router believes of each discovered backend server, from whom, and since when.

Kept for logs and metrics only: decisions read the configuration. Each change is reported once, so
that an investigation can tell which requests were sent on which belief.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from myrtlehook_core.process.actions import (
    ServerBeliefChanged,
    ServerBeliefsOmitted,
    ServerLeavingReported,
)

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore
    from myrtlehook_core.version.discovery import Discovery

MAX_REPORTED_CHANGES = 50
"""The most changed beliefs that one event reports one by one; the rest are only counted."""


class ServerState(StrEnum):
    """What is believed of a server."""

    LISTED = "listed"
    MISSING = "missing"
    """Its entry is missing, and may still return."""
    LEAVING = "leaving"
    GONE = "gone"


class LearnedBy(StrEnum):
    """The way by which a belief was learned."""

    ENTRY = "entry"
    """This router has read the source."""
    PEER = "peer"
    ANSWER = "answer"
    """The server announced it in an answer."""
    DEADLINE = "deadline"
    """Its entry has not returned in time."""


@dataclass(frozen=True, slots=True)
class ServerBelief:
    """What is believed of one server."""

    state: ServerState
    learned_by: LearnedBy
    source: str
    """The platform, the router that reported it, or the request whose answer said so."""
    since_s: float
    """When this router learned it."""
    until_s: float | None = None
    """When a server whose entry is missing counts as gone."""


@dataclass(frozen=True, slots=True)
class SendBelief:
    """What was believed of a server when a request was sent to it."""

    server: ServerBelief
    source_age_s: float
    """How long ago the source was known to be reachable for any router."""


@dataclass(slots=True)
class ServerBeliefs:
    """The beliefs of a router, by server."""

    beliefs: dict[str, ServerBelief] = field(default_factory=dict)
    leaving_revision: int = 0
    """The revision of the leaving servers that ``beliefs`` reflects."""


def update_beliefs(core: "RouterCore", learned_by: LearnedBy, source: str, now_s: float) -> None:
    """Compare all servers with what was believed of them, and report what has changed."""
    beliefs = core.server_beliefs.beliefs
    discovery = core.discovery
    leaving = core.leaving_servers.servers.keys()
    reported = 0
    for name in list(beliefs.keys() | discovery.known.keys()):
        before = beliefs.get(name)
        state = _find_state(discovery, leaving, name)
        until_s = discovery.lapsed_deadlines_s.get(name)
        if before is not None and (before.state, before.until_s) == (state, until_s):
            continue
        belief = ServerBelief(state, learned_by, source, now_s, until_s)
        if state is ServerState.GONE:
            del beliefs[name]
        else:
            beliefs[name] = belief
        if before is None and state is ServerState.LISTED:
            # Servers that are new are named by the report of the changed list.
            continue
        reported += 1
        if reported <= MAX_REPORTED_CHANGES:
            _report(core, name, before, belief)
    if reported > MAX_REPORTED_CHANGES:
        core.actions.add(ServerBeliefsOmitted(reported - MAX_REPORTED_CHANGES))


def update_leaving_beliefs(core: "RouterCore", now_s: float) -> None:
    """Record servers that are leaving, as answers or other routers have just reported."""
    beliefs = core.server_beliefs
    if beliefs.leaving_revision == core.leaving_servers.revision:
        return
    beliefs.leaving_revision = core.leaving_servers.revision
    for action in list(core.actions.actions):
        if isinstance(action, ServerLeavingReported):
            _record_leaving(core, action, now_s)


def find_send_belief(core: "RouterCore", name: str, now_s: float) -> SendBelief | None:
    """Return what is believed of a server to which a request is sent now.

    None for servers that the configuration itself lists.
    """
    belief = core.server_beliefs.beliefs.get(name)
    if belief is None:
        return None
    return SendBelief(belief, now_s - core.source_outages.proven_at_s)


def _record_leaving(core: "RouterCore", report: ServerLeavingReported, now_s: float) -> None:
    name = report.backend_server
    before = core.server_beliefs.beliefs.get(name)
    if before is None or before.state is ServerState.LEAVING:
        return
    by_answer = bool(report.request_id)
    belief = ServerBelief(
        state=ServerState.LEAVING,
        learned_by=LearnedBy.ANSWER if by_answer else LearnedBy.PEER,
        source=report.request_id or report.source,
        since_s=now_s,
        until_s=before.until_s,
    )
    core.server_beliefs.beliefs[name] = belief
    _report(core, name, before, belief)


def _find_state(discovery: "Discovery", leaving: Collection[str], name: str) -> ServerState:
    server = discovery.known.get(name)
    if server is None:
        return ServerState.GONE
    if server.leaving or name in leaving:
        return ServerState.LEAVING
    return ServerState.MISSING if name in discovery.lapsed_deadlines_s else ServerState.LISTED


def _report(
    core: "RouterCore", name: str, before: ServerBelief | None, belief: ServerBelief
) -> None:
    core.actions.add(
        ServerBeliefChanged(
            backend_server=name,
            state_before="" if before is None else before.state,
            state=belief.state,
            learned_by=belief.learned_by,
            source=belief.source,
            until_s=belief.until_s,
            order=core.discovery.source_order,
        )
    )
