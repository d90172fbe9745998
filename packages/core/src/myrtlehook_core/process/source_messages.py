"""What routers tell each other of the source; see ``messages`` for the rules.

The source publishes configurations and backend servers. Few routers read it, and the
others hear from them.
"""

import msgspec

from myrtlehook_core.version.source_orders import SourceOrder


class ReaderRow(msgspec.Struct, frozen=True, array_like=True):
    """How long ago a router said that the source answers it."""

    router_id: str
    age_ms: int
    """Before this message was sent, so that no clocks are compared."""


class ServerRow(msgspec.Struct, frozen=True, array_like=True):
    """One backend server as discovery has it."""

    name: str
    pool: str
    address: str
    availability_zone: str
    slots: int
    checks_orders: bool
    leaving: bool
    instance: str
    lapsed: bool
    """Its entry was missing after an outage of the source, and may still come back."""
    cold_ms: int = 0


class ServersQuery(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Asks a peer for what changed among the backend servers."""

    known_order: SourceOrder
    """Of the source, as the sender has it."""


class ServersReply(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """What changed among the backend servers after the order that was asked for."""

    order: SourceOrder
    whole: bool
    """``rows`` are all servers; those that are not among them are gone."""
    rows: tuple[ServerRow, ...]
    gone: tuple[str, ...]
    evacuated_zones: tuple[str, ...] = ()
    """All of them, whatever was asked for."""
