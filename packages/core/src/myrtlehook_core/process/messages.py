"""Messages between routers; each may be lost, duplicated, delayed or reordered.

They are encoded as MessagePack arrays with one tag per type. The codec validates
the types of all fields, so a decoded message is well formed. Service is sent in
whole units, as small integers encode in few bytes; shares are expected to be of the
order of 1 to 100.
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
    StreamPauseReport,
)
from myrtlehook_core.process.ended_server_messages import ServerEndedNotice
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
from myrtlehook_core.process.stream_origin_messages import (
    StreamOriginNotice,
    StreamOriginQuery,
    StreamOriginUnknown,
)
from myrtlehook_core.version.bounds import WireFloat, WireInt, WireText


class BidRow(msgspec.Struct, frozen=True, array_like=True):
    """One workspace's waiting requests at one router."""

    workspace: WireText
    waiting_requests: WireInt
    virtual_service_units: WireInt
    mean_cost_units: WireInt
    goal_left_ms: WireInt | None = None
    """Time until the most urgent of the requests should start; see ``request/goals``. None if the
    sender orders requests by their arrival alone."""
    allowed_regions: tuple[WireText, ...] | None = None
    """Regions in which at least one of the requests may be served; None if one has no limit."""


class Bid(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """All requests that wait at the sender for one pool; replaces the sender's earlier bid."""

    pool: WireText
    sent_at_s: WireFloat
    """By the sender's clock. Grants return it, so that clocks of two routers are never compared."""
    rows: tuple[BidRow, ...]
    excluded_servers: tuple[WireText, ...] = ()
    """Backend servers of the pool that the sender sends no requests to at present."""
    wants_answer: bool = False
    """Whether the owner answers with ``NoFreeSlot`` if it cannot grant all that waits."""


class NoFreeSlot(msgspec.Struct, frozen=True, array_like=True, tag=44):
    """Answers a bid: requests still wait at its sender, and this owner has no slot for them."""

    pool: WireText


class BidUpdate(msgspec.Struct, frozen=True, array_like=True, tag=45):
    """Replaces one row of the sender's bid, after another owner has granted a slot for it."""

    pool: WireText
    sent_at_s: WireFloat
    """By the sender's clock."""
    row: BidRow


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A lease of one slot for one request of a workspace."""

    grant_id: WireInt
    backend_server: WireText
    pool: WireText
    workspace: WireText
    bid_sent_at_s: WireFloat
    floor_units: WireInt
    """Lowest virtual service among workspaces with waiting requests, as known to the owner."""


class Release(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Returns a slot; ``bid_row`` has the workspace's remaining waiting requests."""

    grant_id: WireInt
    backend_server: WireText
    used: bool
    bid_sent_at_s: WireFloat
    bid_row: BidRow
    failed: bool = False
    """The server did not serve the request, or broke off its answer."""


class HoldSummary(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Renews all leases that the sender holds on one backend server."""

    backend_server: WireText
    held_slots: WireInt


class HoldQuery(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks a holder for the list of its slots, when its summary differs from the owner's count."""

    backend_server: WireText


class HoldRow(msgspec.Struct, frozen=True, array_like=True):
    """One held slot."""

    grant_id: WireInt
    workspace: WireText


class HoldList(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """All slots of one backend server that the sender holds."""

    backend_server: WireText
    rows: tuple[HoldRow, ...]


class WaitingState(IntEnum):
    """Whether and how long a workspace has had requests waiting at the reporting router."""

    NOTHING = 0
    RETURNED = 1
    """It was idle until shortly before, so a ledger may raise its total to the floor."""
    STEADY = 2
    """It has waited for longer: a ledger that missed its reports must not raise its total."""


class ReportRow(msgspec.Struct, frozen=True, array_like=True):
    """The cumulative service that one router has given one workspace in one pool."""

    workspace: WireText
    pool: WireText
    row_id: WireInt
    """Identifies the sender's account; an account that was dropped and reopened has a new one."""
    sequence: WireInt
    served_units: WireInt
    waiting_state: WireInt
    """A ``WaitingState``."""
    known_total_units: WireInt
    """The last total that the sender received, for a new ledger to start from; -1 if none."""


class FloorRow(msgspec.Struct, frozen=True, array_like=True):
    """The lowest virtual service among a pool's workspaces with waiting requests."""

    pool: WireText
    floor_units: WireInt


class Report(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A router's service report to a ledger."""

    wants_totals: bool
    floors: tuple[FloorRow, ...]
    rows: tuple[ReportRow, ...]


class TotalRow(msgspec.Struct, frozen=True, array_like=True):
    """A workspace's virtual service across the fleet, and the receiver's part of it."""

    workspace: WireText
    pool: WireText
    total_units: WireInt
    own_row_id: WireInt
    own_row_units: WireInt


class Totals(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A ledger's reply to a report."""

    rows: tuple[TotalRow, ...]


class ConfigurationQuery(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Asks a peer for published documents by digest."""

    digests: tuple[WireText, ...]


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """One published document; the receiver checks its digest."""

    digest: WireText
    text: str


class EarlyCharge(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Announces a grant that the sender has just made to the pool's other owners."""

    pool: WireText
    workspace: WireText
    virtual_service_units: WireFloat


Message = (
    DemandReport
    | ShareLevel
    | AdmissionRequest
    | AdmissionGrant
    | AdmissionRefusal
    | AdmissionProgress
    | AdmissionRelease
    | HeldAdmissions
    | StreamPauseReport
    | Announcement
    | ServersQuery
    | ServersReply
    | ServerEndReport
    | SoundRunReport
    | ServerEndedNotice
    | StreamOriginNotice
    | StreamOriginQuery
    | StreamOriginUnknown
    | EarlyCharge
    | Bid
    | NoFreeSlot
    | BidUpdate
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
    """The messages that one router sends to another in one transmission."""

    sender: WireText
    incarnation: WireInt
    messages: tuple[Message, ...]


class EncodedEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """An envelope of messages that are encoded one by one."""

    sender: WireText
    incarnation: WireInt
    messages: tuple[msgspec.Raw, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)
_RAW_DECODER = msgspec.msgpack.Decoder(EncodedEnvelope)
_MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)


def encode_envelope(envelope: Envelope | EncodedEnvelope) -> bytes:
    """Encode an envelope for sending."""
    return _ENCODER.encode(envelope)


def encode_message(message: Message) -> msgspec.Raw:
    """Encode one message, to be put into an envelope."""
    return msgspec.Raw(_ENCODER.encode(message))


def decode_envelope(content: bytes) -> Envelope:
    """Decode an envelope.

    :raises msgspec.DecodeError: if the bytes are not a valid envelope.
    """
    return _DECODER.decode(content)


def decode_sound_messages(content: bytes) -> tuple[Envelope, tuple[str, ...]]:
    """Decode an envelope of which some messages are malformed, or hold values out of bounds.

    :returns: the envelope with the others, and what is wrong with each one that is left out.
    :raises msgspec.DecodeError: if the bytes are not a valid envelope.
    """
    envelope = _RAW_DECODER.decode(content)
    sound: list[Message] = []
    faults: list[str] = []
    for raw in envelope.messages:
        try:
            sound.append(_MESSAGE_DECODER.decode(raw))
        except (msgspec.MsgspecError, RecursionError) as error:
            faults.append(str(error))
    return Envelope(envelope.sender, envelope.incarnation, tuple(sound)), tuple(faults)
