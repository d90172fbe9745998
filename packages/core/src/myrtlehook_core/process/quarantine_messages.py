"""What routers tell each other of requests that end servers; see ``messages`` for the rules."""

import msgspec


class ServerEndReport(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Tells a collector that a backend server ended while it ran this request."""

    fingerprint: bytes
    backend_server: str
    began_age_ms: int
    """How long before this message the request was sent there; no clocks are compared."""
    ended_age_ms: int
    """How long before this message its answer broke off."""


class SoundRunReport(msgspec.Struct, frozen=True, array_like=True, tag=29):
    """Tells a collector that this request has been answered whole, so that it ends no server."""

    fingerprint: bytes


class QuarantineRow(msgspec.Struct, frozen=True, array_like=True):
    """What is believed of one request; rides on probes."""

    fingerprint: bytes
    serial: int
    """A greater one replaces a lesser one."""
    ends: int
    """How often servers ended; 0 when the quarantine was lifted."""
    left_ms: int
    """How long the request is still refused."""
    since_ms: int
    """How long ago the first of these servers ended."""
