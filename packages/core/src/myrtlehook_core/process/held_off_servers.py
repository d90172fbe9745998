"""Hold-offs of servers that a restored source lists although they had been removed.

Only routers that knew of the removal can tell such a server from others, so they tell the rest. A
router that starts within the hold-off is told of all of them at once.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from myrtlehook_core.process.actions import ServerHeldOff
from myrtlehook_core.process.members import compute_news_sends
from myrtlehook_core.process.source_messages import HeldOffRow
from myrtlehook_core.version.discovery import hold_off_server

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore

MAX_ROWS = 16
"""The greatest number of servers that one message carries."""


@dataclass(slots=True)
class HoldoffNews:
    """On how many more messages each hold-off is sent, by server."""

    sends_left: dict[str, int] = field(default_factory=dict)


def announce_new_holdoffs(core: "RouterCore", source: str) -> None:
    """Report hold-offs that are new to this router, and send them on as news."""
    deadlines_s = core.discovery.holdoff_deadlines_s
    sends_left = core.holdoff_news.sends_left
    for name in sends_left.keys() - deadlines_s.keys():
        del sends_left[name]
    for name in sorted(deadlines_s.keys() - sends_left.keys()):
        sends_left[name] = compute_news_sends(core.table)
        core.actions.add(ServerHeldOff(name, deadlines_s[name], source))


def collect_holdoff_rows(
    core: "RouterCore", is_complete: bool, now_s: float
) -> tuple[HeldOffRow, ...]:
    """Return the hold-offs to send with one message.

    :param is_complete: whether to return all of them, for a starting router.
    """
    rows: list[HeldOffRow] = []
    sends_left = core.holdoff_news.sends_left
    for name, deadline_s in core.discovery.holdoff_deadlines_s.items():
        if not is_complete and (not sends_left.get(name) or len(rows) >= MAX_ROWS):
            continue
        if not is_complete:
            sends_left[name] -= 1
        rows.append(HeldOffRow(name, max(round((deadline_s - now_s) * 1000.0), 0)))
    return tuple(rows)


def apply_holdoff_rows(
    core: "RouterCore", sender: str, rows: tuple[HeldOffRow, ...], now_s: float
) -> None:
    """Hold off servers that another router has reported."""
    for row in rows:
        hold_off_server(core.discovery, row.name, row.left_ms / 1000.0, now_s)
    if rows:
        announce_new_holdoffs(core, sender)
