"""The message about a backend server that has ended; see ``messages`` for the rules."""

import msgspec

from myrtlehook_core.version.bounds import WireInt, WireText


class ServerEndedNotice(msgspec.Struct, frozen=True, array_like=True, tag=49):
    """Tells the owner of a server that the server's process has ended."""

    backend_server: WireText
    age_ms: WireInt
    """How long before this message it ended."""
