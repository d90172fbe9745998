"""The order of the source's news."""

import msgspec


class SourceOrder(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Which of two pieces of news of the source is the later one.

    A source that comes back from a copy counts its revisions on from there, and gives some out
    again: its era rises by one then, and any revision of a later era is news to all that is
    known of an earlier one.
    """

    era: int = 0
    """0 where the source does not tell it."""
    revision: int = 0


NO_ORDER = SourceOrder()
"""Nothing is known of the source."""
