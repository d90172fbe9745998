"""The objects of the process that the handling of every request uses."""

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlehook_core import Configuration, SendBelief, Shares, Shedding
from myrtlehook_router.connection.server_checks import ServerChecks
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.line_limits import LineLimit
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.request.refusal_sums import RefusalSums
from myrtlehook_router.request.request_tallies import RequestTallies
from myrtlehook_router.request.tickets import TicketRegistry


@dataclass(frozen=True, slots=True)
class RequestServices:
    """Passed to each request's task; the tasks share nothing else."""

    mailbox: Mailbox
    tickets: TicketRegistry
    counters: Counters
    configuration: Callable[[], Configuration]
    is_draining: Callable[[], bool]
    body_limit_bytes: int
    is_refusing: Callable[[], bool] = lambda: False
    """Whether the router is stopping and refuses all new requests."""
    shedding: Shedding = field(default_factory=Shedding)
    shares: Shares = field(default_factory=Shares)
    """The core's own object: requests refused before they reach the core are counted in it too."""
    refusal_sums: RefusalSums = field(default_factory=RefusalSums)
    tallies: RequestTallies = field(default_factory=RequestTallies)
    find_send_belief: Callable[[str], SendBelief | None] = lambda backend_server: None
    """What is believed of a backend server to which a request is sent now, for logs."""
    doubtful_send_lines: LineLimit = field(default_factory=LineLimit)
    answer_end_lines: LineLimit = field(default_factory=LineLimit)
    silence_lines: LineLimit = field(default_factory=LineLimit)
    silent_until_s: dict[str, float] = field(default_factory=dict)
    """Backend servers for whose silence a successor was sought, until they are heard from or, at
    the latest, until this time."""
    server_checks: ServerChecks = field(default_factory=ServerChecks)
    logged_unreadable_servers: set[str] = field(default_factory=set)
    """Backend servers whose unreadable headers have been logged."""
