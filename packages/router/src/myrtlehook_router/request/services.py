"""What the handling of every request needs from the process."""

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core import Configuration, Shares, Shedding
from myrtlehook_router.connection.server_checks import ServerChecks
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.request.refusal_sums import RefusalSums
from myrtlehook_router.request.tickets import TicketBook


@dataclass(frozen=True, slots=True)
class RequestServices:
    """Handed to each request's task; the tasks share nothing else."""

    mailbox: Mailbox
    tickets: TicketBook
    counters: Counters
    configuration: Callable[[], Configuration]
    is_draining: Callable[[], bool]
    body_limit_bytes: int
    is_refusing: Callable[[], bool] = lambda: False
    """Whether the router is stopping and takes no request any more."""
    shedding: Shedding = field(default_factory=Shedding)
    shares: Shares = field(default_factory=Shares)
    """The core's own: what is turned away before the core hears of it counts there."""
    refusal_sums: RefusalSums = field(default_factory=RefusalSums)
    checks: ServerChecks = field(default_factory=ServerChecks)
    unreadable_notices: set[str] = field(default_factory=set)
    """Backend servers of whose unreadable headers the log has told."""
