"""The order of updates from the source."""

import msgspec

from myrtlehook_core.version.bounds import WireInt


class SourceOrder(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Position of an update from the source; the greater one is the later.

    A source that is restored from a backup continues with the backup's revision, and so
    issues some revisions a second time. It then increments its era, and any revision of a
    later era supersedes all revisions of an earlier one.
    """

    era: WireInt = 0
    """0 if the source does not report it."""
    revision: WireInt = 0


NO_ORDER = SourceOrder()
"""The order of a router that has learned nothing from the source yet."""
