"""Messages between routers: each may be lost, doubled, late or out of order.

They are encoded as MessagePack arrays with a tag a type; the codec validates
the types of all fields, so a decoded message is well formed. Service travels in
whole units, which are short; a share is expected to be of the order of 1 to 100.
"""

from enum import IntEnum

import msgspec

from myrtlehook_core.process.admission_messages import (
    AdmissionGrant,
    AdmissionProgress,
    AdmissionRefusal,
    AdmissionRelease,
    AdmissionRequest,
    DemandReport,
    HeldAdmissions,
    ShareLevel,
)
from myrtlehook_core.process.membership_messages import (
    Ack,
    Announcement,
    IndirectProbe,
    LeavingNotice,
    MembersQuery,
    MembersReply,
    Probe,
)
from myrtlehook_core.process.quarantine_messages import ServerEndReport, SoundRunReport
from myrtlehook_core.process.source_messages import ServersQuery, ServersReply


class BidRow(msgspec.Struct, frozen=True, array_like=True):
    """One workspace's waiting work at one router."""

    workspace: str
    waiting_requests: int
    virtual_service_units: int
    mean_cost_units: int


class Bid(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """All that waits at the sender for one pool; replaces its earlier bid."""

    pool: str
    sent_at_s: float
    """Sender's clock; comes back in a grant, so that no clocks are compared."""
    rows: tuple[BidRow, ...]
    barred_servers: tuple[str, ...] = ()
    """Backend servers of the pool to which the sender sends nothing for now."""


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A lease of one slot for one request of a workspace."""

    grant_id: int
    backend_server: str
    pool: str
    workspace: str
    bid_sent_at_s: float
    floor_units: int
    """Lowest virtual service among the workspaces with work waiting, as the owner sees it."""


class Release(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The slot is free again; ``row`` says what still waits."""

    grant_id: int
    backend_server: str
    used: bool
    bid_sent_at_s: float
    row: BidRow
    failed: bool = False
    """The server did not serve the request, or broke off."""


class HoldSummary(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Renews all leases that the sender holds on one backend server."""

    backend_server: str
    held_slots: int


class HoldQuery(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The owner's count differs; the holder answers with a list."""

    backend_server: str


class HoldRow(msgspec.Struct, frozen=True, array_like=True):
    """One held slot."""

    grant_id: int
    workspace: str


class HoldList(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Every slot of one backend server that the sender holds."""

    backend_server: str
    rows: tuple[HoldRow, ...]


class WaitingState(IntEnum):
    """Whether a workspace has work waiting at the reporting router."""

    NOTHING = 0
    RETURNED = 1
    """It has come back from idle a short while ago, and may be lifted to the floor."""
    STEADY = 2
    """It has waited for longer: a ledger that did not hear of it must not lift it."""


class ReportRow(msgspec.Struct, frozen=True, array_like=True):
    """What one router has served one workspace in one pool, cumulatively."""

    workspace: str
    pool: str
    row_id: int
    sequence: int
    served_units: int
    waiting: int
    """A ``WaitingState``."""
    known_total_units: int
    """The last total that the sender heard, for a ledger that is new; -1 if none."""


class FloorRow(msgspec.Struct, frozen=True, array_like=True):
    """The lowest virtual service among waiting workspaces of a pool."""

    pool: str
    floor_units: int


class Report(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Service reports to a ledger."""

    wants_totals: bool
    floors: tuple[FloorRow, ...]
    rows: tuple[ReportRow, ...]


class TotalRow(msgspec.Struct, frozen=True, array_like=True):
    """A workspace's virtual service across the fleet, with the receiver's part of it."""

    workspace: str
    pool: str
    total_units: int
    own_row_id: int
    own_row_units: int


class Totals(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A ledger's answer to a report."""

    rows: tuple[TotalRow, ...]


class ConfigurationQuery(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Asks a peer for published documents by digest."""

    digests: tuple[str, ...]


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """One published document; the receiver checks its digest."""

    digest: str
    text: str


class EarlyCharge(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """An owner tells the pool's other owners what it has just granted."""

    pool: str
    workspace: str
    virtual_units: float


Message = (
    DemandReport
    | ShareLevel
    | AdmissionRequest
    | AdmissionGrant
    | AdmissionRefusal
    | AdmissionProgress
    | AdmissionRelease
    | HeldAdmissions
    | Announcement
    | ServersQuery
    | ServersReply
    | ServerEndReport
    | SoundRunReport
    | EarlyCharge
    | Bid
    | Grant
    | Release
    | HoldSummary
    | HoldQuery
    | HoldList
    | Report
    | Totals
    | LeavingNotice
    | Probe
    | Ack
    | IndirectProbe
    | MembersQuery
    | MembersReply
    | ConfigurationQuery
    | ConfigurationReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What one router sends another at once."""

    sender: str
    incarnation: int
    messages: tuple[Message, ...]


class EncodedEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """An envelope whose messages are encoded already, and counted one by one."""

    sender: str
    incarnation: int
    messages: tuple[msgspec.Raw, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope | EncodedEnvelope) -> bytes:
    """Return the wire form of an envelope."""
    return _ENCODER.encode(envelope)


def encode_message(message: Message) -> msgspec.Raw:
    """Return the wire form of one message, to be put into an envelope."""
    return msgspec.Raw(_ENCODER.encode(message))


def decode_envelope(content: bytes) -> Envelope:
    """Read an envelope.

    :raises msgspec.DecodeError: when the bytes are no valid envelope.
    """
    return _DECODER.decode(content)
