"""Logs and counts how responses of backend servers ended."""

from myrtlehook_router.connection.answer_ends import AnswerEnd, EndSign
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.line_limits import LineLimit, may_log
from myrtlehook_router.process.logs import get_logger

_log = get_logger("requests", is_kept=True)


def describe_answer_end(end: AnswerEnd | None) -> dict[str, object]:
    """Return the log fields of a response's end; none without one."""
    if end is None:
        return {}
    return {"framing": end.framing, "end_sign": end.sign, "end_proof": end.proof}


def report_answer_end(
    limit: LineLimit,
    counters: Counters,
    request_id: str,
    backend_server: str,
    end: AnswerEnd,
    now_s: float,
) -> None:
    """Count how a response ended; log it if its framing does not mark that end.

    Such lines survive overloads.
    """
    counters.add(f"answer_end.{end.framing or 'no_head'}.{end.sign}.{end.proof}")
    if end.sign in (EndSign.FRAMING, EndSign.ABORTED):
        return
    if not may_log(limit, now_s):
        return
    _log.info(
        "answer end",
        request_id=request_id,
        backend_server=backend_server,
        **describe_answer_end(end),
        open_beside=end.open_beside,
        ended_beside=end.ended_beside,
    )
