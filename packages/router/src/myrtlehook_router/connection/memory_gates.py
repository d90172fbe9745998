"""Lets connections of clients wait until the process may hold their bytes."""

from collections.abc import Callable
from dataclasses import dataclass

from eventlet.event import Event
from eventlet.timeout import Timeout

from myrtlehook_core import ByteBudget, Holder, byte_budgets
from myrtlehook_router.process import clocks
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.logs import get_logger

CHECK_INTERVAL_S = 0.1
"""The interval at which clients that have stalled are looked for while others wait."""

MIN_BUDGET_BYTES = 4 * 1024 * 1024

_log = get_logger("memory")


@dataclass(slots=True, eq=False)
class _Waiter:
    holder: Holder
    more_bytes: int
    granted: Event


class MemoryGate:
    """The budget of one process, and the connections that wait for a part of it."""

    def __init__(self, total_bytes: int, counters: Counters) -> None:
        """Prepare a budget.

        :param total_bytes: what clients may make the process hold, all together.
        """
        self.budget = ByteBudget(max(total_bytes, MIN_BUDGET_BYTES))
        self._counters = counters
        self._waiters: dict[_Waiter, None] = {}
        self._interrupts: dict[Holder, Callable[[], None]] = {}

    def can_ever_hold(self, size_bytes: int) -> bool:
        """Return whether one connection could hold so many bytes if there were no other."""
        return byte_budgets.can_ever_hold(self.budget, size_bytes)

    def try_hold(self, holder: Holder, more_bytes: int) -> bool:
        """Count more bytes of a holder if there is room for them now; returns whether there is."""
        is_small = holder.held_bytes + more_bytes <= byte_budgets.SMALL_BYTES
        if self._waiters and not is_small:
            return False
        if not byte_budgets.may_hold(self.budget, holder, more_bytes):
            return False
        byte_budgets.hold(self.budget, holder, more_bytes)
        return True

    def hold(self, holder: Holder, more_bytes: int, deadline_s: float) -> bool:
        """Count more bytes of a holder, waiting for room until a deadline at the latest.

        :returns: whether there was room.
        """
        if self.try_hold(holder, more_bytes):
            return True
        if not self.can_ever_hold(holder.held_bytes + more_bytes):
            return False
        self._counters.add("memory.waits")
        waiter = _Waiter(holder, more_bytes, Event())
        self._waiters[waiter] = None
        try:
            return self._wait(waiter, deadline_s)
        finally:
            self._waiters.pop(waiter, None)
            self._admit_waiters()

    def hold_at_once(self, holder: Holder, more_bytes: int) -> None:
        """Count bytes that have been read already; clients that have stalled make room for them."""
        byte_budgets.hold(self.budget, holder, more_bytes)
        if self.budget.held_bytes > self.budget.total_bytes:
            self._interrupt_stalled(self.budget.held_bytes - self.budget.total_bytes)

    def release(self, holder: Holder, size_bytes: int | None = None) -> None:
        """Count bytes of a holder as given back; all that it holds if no size is given."""
        if not holder.held_bytes:
            return
        byte_budgets.release(self.budget, holder, size_bytes)
        if self._waiters:
            self._admit_waiters()

    def wait_for_client(self, holder: Holder, interrupt: Callable[[], None]) -> None:
        """Record that nothing but its client holds a connection up.

        :param interrupt: called if the client stalls and others need what the connection holds.
        """
        byte_budgets.begin_wait_for_client(holder, clocks.now_s())
        self._interrupts[holder] = interrupt

    def go_on(self, holder: Holder) -> None:
        """Record that a connection does not wait for its client any more."""
        holder.waits_for_client = False
        self._interrupts.pop(holder, None)

    def _wait(self, waiter: _Waiter, deadline_s: float) -> bool:
        while True:
            remaining_s = deadline_s - clocks.now_s()
            if remaining_s <= 0.0:
                return False
            if waiter is next(iter(self._waiters), None):
                self._interrupt_stalled(waiter.more_bytes)
                self._admit_waiters()
            with Timeout(min(remaining_s, CHECK_INTERVAL_S), False):
                waiter.granted.wait()
            if waiter.granted.ready():
                return True

    def _admit_waiters(self) -> None:
        """Grant waiters what there is room for, the first ones first."""
        is_full = False
        for waiter in list(self._waiters):
            is_small = waiter.holder.held_bytes + waiter.more_bytes <= byte_budgets.SMALL_BYTES
            if is_full and not is_small:
                continue
            if not byte_budgets.has_room(self.budget, waiter.holder, waiter.more_bytes):
                is_full = True
            elif byte_budgets.may_hold(self.budget, waiter.holder, waiter.more_bytes):
                byte_budgets.hold(self.budget, waiter.holder, waiter.more_bytes)
                del self._waiters[waiter]
                waiter.granted.send()

    def _interrupt_stalled(self, needed_bytes: int) -> None:
        """Have clients that have stalled give way, until what they leave covers a need."""
        now_s = clocks.now_s()
        while byte_budgets.count_leaving_bytes(self.budget) < needed_bytes:
            stalled = byte_budgets.find_stalled(self.budget.holders, now_s)
            if stalled is None:
                return
            stalled.gives_way = True
            self._counters.add("memory.gave_way")
            _log.info(
                "stalled client gives way",
                workspace=stalled.workspace or None,
                held_bytes=stalled.held_bytes,
                stalled_ms=round((now_s - stalled.progressed_at_s) * 1000.0),
                budget_bytes=self.budget.total_bytes,
            )
            interrupt = self._interrupts.pop(stalled, None)
            if interrupt is not None:
                interrupt()
