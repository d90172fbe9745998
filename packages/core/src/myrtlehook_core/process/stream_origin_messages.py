"""Messages about the software version that began a stream; see ``messages`` for the rules."""

import msgspec

from myrtlehook_core.version.bounds import WireBytes, WireInt, WireText


class StreamOriginNotice(msgspec.Struct, frozen=True, array_like=True, tag=46):
    """Tells a keeper, or a router that asked, at which software version a stream began."""

    stream_key: WireBytes
    software_version: WireText
    left_ms: WireInt
    """For how long the stream may still be resumed."""


class StreamOriginQuery(msgspec.Struct, frozen=True, array_like=True, tag=47):
    """Asks a router at which software version a stream began."""

    stream_key: WireBytes


class StreamOriginUnknown(msgspec.Struct, frozen=True, array_like=True, tag=48):
    """Answers a query about a stream that the sender does not know."""

    stream_key: WireBytes
