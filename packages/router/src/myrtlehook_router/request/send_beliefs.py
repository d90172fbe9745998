"""Logs what was believed of a backend server when a request was sent to it."""

from myrtlehook_core import SendBelief, ServerState
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.line_limits import LineLimit, may_log
from myrtlehook_router.process.logs import get_logger

DOUBTFUL_SOURCE_AGE_S = 2.0
"""A belief is doubtful once the source has not answered any router for this long."""

_log = get_logger("requests", is_kept=True)


def describe_send_belief(belief: SendBelief | None, sent_at_s: float) -> dict[str, object]:
    """Return the log fields of a belief on which a request was sent; none without a belief."""
    if belief is None:
        return {}
    return {
        "server_state": belief.server.state,
        "server_learned_by": belief.server.learned_by,
        "server_source": belief.server.source,
        "server_age_ms": round((sent_at_s - belief.server.since_s) * 1000.0),
        "source_age_ms": _round_ms(belief.source_age_s),
    }


def report_doubtful_send(
    limit: LineLimit,
    counters: Counters,
    request_id: str,
    backend_server: str,
    belief: SendBelief,
    now_s: float,
) -> None:
    """Count and log a request sent to a server that may have left; such lines survive overloads."""
    if not _is_doubtful(belief):
        return
    counters.add(f"backend.doubtful_sends.{belief.server.state}")
    if not may_log(limit, now_s):
        return
    until_s = belief.server.until_s
    _log.info(
        "request sent in doubt",
        request_id=request_id,
        backend_server=backend_server,
        gone_in_s=None if until_s is None else round(until_s - now_s, 3),
        **describe_send_belief(belief, now_s),
    )


def _is_doubtful(belief: SendBelief) -> bool:
    is_listed = belief.server.state is ServerState.LISTED
    return not is_listed or belief.source_age_s > DOUBTFUL_SOURCE_AGE_S


def _round_ms(duration_s: float) -> int | None:
    """Return milliseconds; None for a source that has never answered."""
    return None if duration_s == float("inf") else round(duration_s * 1000.0)
