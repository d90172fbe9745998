"""The message about a backend server that has ended; see ``messages`` for the rules."""

import msgspec


class ServerEndedNotice(msgspec.Struct, frozen=True, array_like=True, tag=49):
    """Tells the owner of a server that the server's process has ended."""

    backend_server: str
    age_ms: int
    """How long before this message it ended."""
