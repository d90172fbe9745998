"""Messages by which routers find and watch each other; see ``messages`` for the rules."""

import msgspec

from myrtlehook_core.process.quarantine_messages import QuarantineRow
from myrtlehook_core.process.source_messages import ReaderRow
from myrtlehook_core.version.source_orders import NO_ORDER, SourceOrder


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """News of one router."""

    router_id: str
    address: str
    """Empty when it is the id: a row rides on every probe."""
    incarnation: int
    state: int
    availability_zone: str = ""


class LeavingRow(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that said it is leaving, in this incarnation of it."""

    backend_server: str
    incarnation: int


class LeavingNotice(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """Tells a backend server's owner what an answer has told the sender."""

    row: LeavingRow


class News(msgspec.Struct, frozen=True, array_like=True):
    """What rides on probes."""

    members: tuple[MemberRow, ...]
    leaving: tuple[LeavingRow, ...]
    configuration_number: int
    configuration_digest: str
    servers_order: SourceOrder = NO_ORDER
    """Of the source, at which the sender knows the backend servers."""
    readers: tuple[ReaderRow, ...] = ()
    """Routers that read the source."""
    quarantine: tuple[QuarantineRow, ...] = ()
    """Requests that are refused because servers ended under them."""


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks for an acknowledgement."""

    probe_id: int
    news: News


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Says that ``target`` answered."""

    probe_id: int
    target: str
    news: News


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks a helper to probe ``target`` for the sender."""

    probe_id: int
    target: str


class MembersQuery(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A router that has just started asks for the whole member table."""

    sender_row: MemberRow


class MembersReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The whole member table, once."""

    news: News


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """News that cannot wait for the next probe."""

    news: News
