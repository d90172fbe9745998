"""The bytes that clients make a router hold: who may hold more, and who gives way.

Bytes are counted before they are read. A part of the budget is reserved for small requests, and no
workspace can hold all of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

SMALL_BYTES = 64 * 1024
"""A holder of at most this many bytes may use the reserve."""

RESERVE_FRACTION = 0.25
"""The part of the budget that only small holders may use."""

WORKSPACE_FRACTION = 0.5
"""The part of the budget that one workspace may hold with large bodies."""

SMALL_WORKSPACE_FRACTION = 0.75
"""The part of the budget that one workspace may hold in all."""

PROGRESS_BYTES = 16 * 1024
"""A client that has moved this many bytes has made progress."""

STALL_S = 0.5
"""A client without progress for this long gives way if others need its bytes."""


@dataclass(slots=True, eq=False)
class Holder:
    """One connection of a client, and what it makes the router hold."""

    workspace: str = ""
    """Empty until its key has been read."""
    held_bytes: int = 0
    waits_for_client: bool = False
    """Whether nothing but its client holds it up."""
    progressed_at_s: float = 0.0
    moved_bytes: int = 0
    """What has been moved since its last progress."""
    gives_way: bool = False


@dataclass(slots=True)
class ByteBudget:
    """The budget of one process."""

    total_bytes: int
    held_bytes: int = 0
    held_by_workspace: dict[str, int] = field(default_factory=dict)
    holders: dict[Holder, None] = field(default_factory=dict)
    """Those that hold bytes, in the order in which they began to."""


def can_ever_hold(budget: ByteBudget, size_bytes: int) -> bool:
    """Return whether a holder could hold so many bytes if there were no other."""
    return size_bytes <= budget.total_bytes


def has_room(budget: ByteBudget, holder: Holder, more_bytes: int) -> bool:
    """Return whether the budget has room for more bytes, whoever's they are."""
    others_bytes = budget.held_bytes - holder.held_bytes
    own_bytes = holder.held_bytes + more_bytes
    if own_bytes <= SMALL_BYTES:
        limit_bytes = budget.total_bytes
    else:
        limit_bytes = int(budget.total_bytes * (1.0 - RESERVE_FRACTION))
    is_alone = others_bytes == 0 and can_ever_hold(budget, own_bytes)
    return is_alone or others_bytes + own_bytes <= limit_bytes


def has_workspace_room(budget: ByteBudget, holder: Holder, more_bytes: int) -> bool:
    """Return whether a holder's workspace may hold more bytes; its only holder always may."""
    own_bytes = holder.held_bytes + more_bytes
    others_bytes = budget.held_by_workspace.get(holder.workspace, 0) - holder.held_bytes
    fraction = SMALL_WORKSPACE_FRACTION if own_bytes <= SMALL_BYTES else WORKSPACE_FRACTION
    return others_bytes <= 0 or others_bytes + own_bytes <= budget.total_bytes * fraction


def may_hold(budget: ByteBudget, holder: Holder, more_bytes: int) -> bool:
    """Return whether a holder may hold more bytes now."""
    return has_room(budget, holder, more_bytes) and has_workspace_room(budget, holder, more_bytes)


def hold(budget: ByteBudget, holder: Holder, more_bytes: int) -> None:
    """Count more bytes of a holder, whether there is room for them or not."""
    budget.holders.setdefault(holder)
    holder.held_bytes += more_bytes
    budget.held_bytes += more_bytes
    held_bytes = budget.held_by_workspace.get(holder.workspace, 0)
    budget.held_by_workspace[holder.workspace] = held_bytes + more_bytes


def release(budget: ByteBudget, holder: Holder, size_bytes: int | None = None) -> None:
    """Count bytes of a holder as given back; all that it holds if no size is given."""
    freed_bytes = holder.held_bytes if size_bytes is None else min(size_bytes, holder.held_bytes)
    holder.held_bytes -= freed_bytes
    budget.held_bytes -= freed_bytes
    left_bytes = budget.held_by_workspace.get(holder.workspace, 0) - freed_bytes
    if left_bytes > 0:
        budget.held_by_workspace[holder.workspace] = left_bytes
    else:
        budget.held_by_workspace.pop(holder.workspace, None)
    if holder.held_bytes == 0:
        budget.holders.pop(holder, None)


def begin_wait_for_client(holder: Holder, now_s: float) -> None:
    """Record that nothing but its client holds a connection up from now on."""
    holder.waits_for_client = True
    holder.progressed_at_s = now_s
    holder.moved_bytes = 0


def record_moved(holder: Holder, size_bytes: int, now_s: float) -> None:
    """Record bytes that a client has sent or taken."""
    holder.moved_bytes += size_bytes
    if holder.moved_bytes >= PROGRESS_BYTES:
        holder.moved_bytes = 0
        holder.progressed_at_s = now_s


def find_stalled(
    holders: Iterable[Holder], now_s: float, stalled_s: float = STALL_S
) -> Holder | None:
    """Return the holder whose client has stalled for longest; None if none has.

    :param stalled_s: how long a client without progress counts as stalled.
    """
    stalled = [
        holder
        for holder in holders
        if holder.waits_for_client
        and not holder.gives_way
        and now_s >= holder.progressed_at_s + stalled_s
    ]
    return min(stalled, key=lambda holder: holder.progressed_at_s, default=None)


def count_leaving_bytes(budget: ByteBudget) -> int:
    """Return the bytes of holders that give way and have not released them yet."""
    return sum(holder.held_bytes for holder in budget.holders if holder.gives_way)
