"""Messages about requests that end backend servers; see ``messages`` for the rules."""

import msgspec

from myrtlehook_core.version.bounds import WireBytes, WireInt, WireText


class ServerEndReport(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Reports to a collector that a backend server ended while it ran this request, or one whose
    prompt has this part: ``fingerprint`` is that of the request or the key of the part.

    Each router that holds the report sends it to routers that become collectors later.
    """

    fingerprint: WireBytes
    backend_server: WireText
    began_age_ms: WireInt
    """How long before this message the request was sent to the server. An age, so that no clocks
    are compared."""
    ended_age_ms: WireInt
    """How long before this message the answer broke off."""
    reporter: WireText
    """The router that saw the end."""
    serial: WireInt
    """With the reporter, identifies the end; see ``ServerEnd.serial``."""
    is_weak: bool = False
    """Whether it proves less than others; see ``ServerEnd.is_weak``."""
    request_digest: WireBytes = b""
    """Beginning of the request's fingerprint, where the end is reported for a part."""


class SoundRunReport(msgspec.Struct, frozen=True, array_like=True, tag=29):
    """Reports to a collector that this request has completed, so that it is not harmful."""

    fingerprint: WireBytes


class QuarantineRow(msgspec.Struct, frozen=True, array_like=True):
    """The quarantine state of one request; probes carry it."""

    fingerprint: WireBytes
    serial: WireInt
    """A row with a greater serial replaces one with a lesser serial."""
    ends: WireInt
    """How many server ends were counted; 0 if the quarantine was lifted."""
    left_ms: WireInt
    """For how long the request is still refused."""
    since_ms: WireInt
    """How long ago the first of these servers ended."""
