"""Servers whose entries are missing and that are not needed until they return."""

from collections.abc import Collection, Mapping

from myrtlehook_core.version.configurations import BackendServer

SUFFICIENT_FRACTION = 2.0 / 3.0
"""The part of a pool's slots that is enough to withhold the servers whose entries are missing.

An outage of the source makes most entries lapse at once. A few that are missing afterwards belong
to servers that have left, more likely than not, and the others can do without them for a moment.
"""


def find_withheld_missing(
    servers: Mapping[str, BackendServer],
    missing: Collection[str],
    unusable: Collection[str],
) -> set[str]:
    """Return the servers with a missing entry that others of their pools can stand in for.

    :param missing: servers whose entries are missing and may still return.
    :param unusable: servers that get no requests for other reasons than their entries.
    """
    if not missing:
        return set()
    usable_slots: dict[str, int] = {}
    listed_slots: dict[str, int] = {}
    for name, server in servers.items():
        if server.leaving or name in unusable:
            continue
        usable_slots[server.pool] = usable_slots.get(server.pool, 0) + server.slots
        if name not in missing:
            listed_slots[server.pool] = listed_slots.get(server.pool, 0) + server.slots
    return {
        name
        for name in missing
        if name in servers
        and listed_slots.get(servers[name].pool, 0)
        >= SUFFICIENT_FRACTION * usable_slots.get(servers[name].pool, 0)
    }
