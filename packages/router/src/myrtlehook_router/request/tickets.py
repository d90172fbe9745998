"""A ticket: how the task of one request waits for the core's decision on it."""

from dataclasses import dataclass

from eventlet.queue import Empty, LightQueue

from myrtlehook_core import actions


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller has closed its connection; nothing is to be done for it any more."""


Decision = actions.Dispatch | actions.Refuse | CallerLeft


class Ticket:
    """The decisions on one request, in order."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self._decisions: LightQueue = LightQueue()

    def decide(self, decision: Decision) -> None:
        """Hand over a decision; called by the core's task or the caller's watch."""
        self._decisions.put_nowait(decision)

    def wait(self, wait_s: float) -> Decision | None:
        """Wait for the next decision; None when there is none in time."""
        try:
            return self._decisions.get(timeout=wait_s)
        except Empty:
            return None


class TicketBook:
    """All open tickets of this process by request id."""

    def __init__(self) -> None:
        self._tickets: dict[str, Ticket] = {}

    def open(self, request_id: str) -> Ticket | None:
        """Open a ticket; None when a request of that id is already open."""
        if request_id in self._tickets:
            return None
        ticket = Ticket(request_id)
        self._tickets[request_id] = ticket
        return ticket

    def close(self, request_id: str) -> None:
        """Close a ticket."""
        self._tickets.pop(request_id, None)

    def find(self, request_id: str) -> Ticket | None:
        """Return the open ticket of a request."""
        return self._tickets.get(request_id)

    def __len__(self) -> int:
        return len(self._tickets)
