"""Steps of the share accounts that the operator's tool computes from logs."""

import json
from datetime import UTC, datetime
from typing import Any

from behave import given, then

from myrtlehook_operator.request.losses import report_losses
from myrtlehook_operator.request.share_accounts import find_worst_shares

BEGINS_S = 1_790_000_000.0
TOKENS = 1_000
ELAPSED_MS = 400.0
FIRST_BYTE_MS = 100.0


def _end_line(at_s: float, workspace: str, reason: str = "") -> str:
    """Return the log line of a request's end; with a reason, the request was refused."""
    ended_at = datetime.fromtimestamp(BEGINS_S + at_s + ELAPSED_MS / 1000.0, UTC)
    content = {
        "event": "request ended",
        "request_id": f"{workspace}-{at_s}",
        "workspace": workspace,
        "prompt_tokens": TOKENS,
        "share_tokens": TOKENS,
        "aim_ms": 600,
        "outcome": "not-run" if reason else "completed",
        "detail": f"refused: {reason}" if reason else "streamed",
        "elapsed_ms": ELAPSED_MS,
        "first_byte_ms": None if reason else FIRST_BYTE_MS,
        "timestamp": ended_at.isoformat(),
        "vm": "edge-1",
    }
    return json.dumps(content)


@given(
    'logs of {seconds:d} s in which "a" is answered and "b" is refused half of what it asks,'
    " for two reasons"
)
def write_logs(context: Any, seconds: int) -> None:
    lines = []
    for second in range(seconds):
        lines += [_end_line(second + part, "a") for part in (0.1, 0.3)]
        lines += [_end_line(second + 0.1, "b")]
        reason = "deadline_unreachable" if second % 2 else "router_overloaded"
        lines += [_end_line(second + 0.2, "b", reason)]
        lines += [_end_line(second + 0.1, "c")]
        lines += [_end_line(second + 0.2, "c", reason)] if second != seconds // 2 else []
    context.report = report_losses([lines])
    context.shares = find_worst_shares(context.report.ends, context.report.begins_s)


@then('the tool\'s worst share is that of "{workspace}", {part:g} of it, with both reasons')
def check_worst(context: Any, workspace: str, part: float) -> None:
    account = context.shares[0]
    assert account.workspace == workspace, context.shares
    assert account.part == part, account
    assert account.asked_tokens == 12 * TOKENS, account
    assert account.received_tokens == 6 * TOKENS, account
    reasons = {"deadline_unreachable": 3 * TOKENS, "router_overloaded": 3 * TOKENS}
    assert account.refused_tokens == reasons, account


@then(
    'the tool reports no share of "{workspace}", which was refused nothing in one of these seconds'
)
def check_calm(context: Any, workspace: str) -> None:
    assert workspace not in {account.workspace for account in context.shares}, context.shares
