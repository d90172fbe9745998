"""Tickets: queues by which the task of a request receives the core's decisions on it."""

from dataclasses import dataclass

from eventlet.queue import Empty, LightQueue

from myrtlehook_core import actions


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The client has closed its connection; work on its request stops."""


@dataclass(frozen=True, slots=True)
class SearchCancelled:
    """The slot that the ticket waits for is no longer wanted."""


Decision = actions.Dispatch | actions.Refuse | CallerDisconnected | SearchCancelled


class Ticket:
    """The queue of decisions on one open request, in order of arrival."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self._decisions: LightQueue = LightQueue()

    def add_decision(self, decision: Decision) -> None:
        """Add a decision; called by the core's task, or when the client closes its connection."""
        self._decisions.put_nowait(decision)

    def wait(self, wait_s: float) -> Decision | None:
        """Wait for the next decision; return None if none arrives in time."""
        try:
            return self._decisions.get(timeout=wait_s)
        except Empty:
            return None


class TicketRegistry:
    """All open tickets of this process, by request id."""

    def __init__(self) -> None:
        self._tickets: dict[str, Ticket] = {}

    def open(self, request_id: str) -> Ticket | None:
        """Open a ticket; return None if a request of that id is already open."""
        if request_id in self._tickets:
            return None
        ticket = Ticket(request_id)
        self._tickets[request_id] = ticket
        return ticket

    def close(self, request_id: str) -> None:
        """Close a request's ticket, if there is one."""
        self._tickets.pop(request_id, None)

    def find(self, request_id: str) -> Ticket | None:
        """Return the open ticket of a request, or None."""
        return self._tickets.get(request_id)

    def __len__(self) -> int:
        return len(self._tickets)
