"""Messages of membership and failure detection; see ``messages`` for the rules."""

import msgspec

from myrtlehook_core.process.quarantine_messages import QuarantineRow
from myrtlehook_core.process.source_messages import HeldOffRow, ReaderRow, SourceProof
from myrtlehook_core.version.bounds import WireInt, WireText
from myrtlehook_core.version.source_orders import NO_ORDER, SourceOrder


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """The state of one router, as the sender knows it."""

    router_id: WireText
    address: WireText
    """Empty when it equals the id, to save bytes: every probe carries rows."""
    incarnation: WireInt
    state: WireInt
    availability_zone: WireText = ""
    capacity: WireInt = 0
    """Processor time of its VM in quarters of a core; 0 if not known."""


class LeavingRow(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that has announced, in this incarnation, that it is leaving."""

    backend_server: WireText
    incarnation: WireInt


class LeavingNotice(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """Reports to a backend server's owner that the server announced in an answer that it leaves."""

    row: LeavingRow


class News(msgspec.Struct, frozen=True, array_like=True):
    """State that routers spread by gossip: it is carried by probes and their acknowledgements."""

    members: tuple[MemberRow, ...]
    leaving: tuple[LeavingRow, ...]
    configuration_number: WireInt
    configuration_digest: WireText
    servers_order: SourceOrder = NO_ORDER
    """The source's order up to which the sender knows the backend servers."""
    readers: tuple[ReaderRow, ...] = ()
    """Routers that read the configuration source."""
    quarantine: tuple[QuarantineRow, ...] = ()
    """Requests that are quarantined because servers ended while running them, or just released."""
    proof: SourceProof | None = None
    """The latest proof that the configuration source was reachable."""
    held_off: tuple[HeldOffRow, ...] = ()
    """Servers that get no requests for a time, since a restored source lists them again."""


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks the receiver for an acknowledgement."""

    probe_id: WireInt
    news: News


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Acknowledges a probe, or passes on to its requester that ``target`` acknowledged one."""

    probe_id: WireInt
    target: WireText
    news: News


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks the receiver to probe ``target`` for the sender."""

    probe_id: WireInt
    target: WireText


class MembersQuery(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Asks for the whole member table; sent by a router that has just started."""

    sender_row: MemberRow


class MembersReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Answers a ``MembersQuery`` with the whole member table."""

    news: News


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Carries news at once that must not wait for the next probe."""

    news: News
