"""Messages about the configuration source; see ``messages`` for the rules.

The source publishes configurations and backend servers. A few routers read it, and the
others learn from them what it publishes.
"""

import msgspec

from myrtlehook_core.version.bounds import WireAddress, WireInt, WireText
from myrtlehook_core.version.source_orders import SourceOrder


class ReaderRow(msgspec.Struct, frozen=True, array_like=True):
    """A router that reads the source, and how long ago it reported that the source answers it."""

    router_id: WireText
    age_ms: WireInt
    """How long before this message that report was. An age, so that no clocks are compared."""


class SourceProof(msgspec.Struct, frozen=True, array_like=True):
    """Proof that the source was reachable, as one router reports it to another."""

    number: WireInt
    """Identifies the proof; not to be compared with the receiver's clock."""
    age_ms: WireInt


class ServerRow(msgspec.Struct, frozen=True, array_like=True):
    """One backend server as discovery knows it."""

    name: WireText
    pool: WireText
    address: WireAddress
    availability_zone: WireText
    slots: WireInt
    checks_orders: bool
    leaving: bool
    instance: WireText
    lapsed: bool
    """Whether its entry was missing after an outage of the source and may still come back."""
    cold_ms: WireInt = 0
    software_version: WireText = ""
    gone_in_ms: WireInt = -1
    """How much of its time to return is left if its entry is missing; -1 if not stated."""


class HeldOffRow(msgspec.Struct, frozen=True, array_like=True):
    """A server that gets no requests for a time, since a restored source lists it again."""

    name: WireText
    left_ms: WireInt


class ServersQuery(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Asks a peer for the changes of backend servers since ``known_order``."""

    known_order: SourceOrder
    """The source's order up to which the sender knows the backend servers."""


class ServersReply(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Answers a ``ServersQuery`` with the changes of backend servers after its order."""

    order: SourceOrder
    whole: bool
    """Whether ``rows`` lists all servers, so that any server not among them is gone."""
    rows: tuple[ServerRow, ...]
    gone: tuple[WireText, ...]
    evacuated_zones: tuple[WireText, ...] = ()
    """All evacuated zones, whatever order was asked for."""
