"""Consistent hashing: finds the routers that keep a key without weighing all of them.

Each router has several points on a ring of hashes. A key is kept by the routers whose points
follow its own hash, so that a router that joins or departs moves only the keys next to its points.
Rendezvous hashing weighs every router for each key, which is too slow for keys of single requests.
"""

from bisect import bisect
from collections.abc import Collection
from dataclasses import dataclass

import xxhash

POINTS_PER_ROUTER = 16
"""Enough for an even division of keys among a few routers."""


@dataclass(frozen=True, slots=True)
class HashRing:
    """The points of a set of routers, by hash."""

    routers: tuple[str, ...] = ()
    hashes: tuple[int, ...] = ()
    """In ascending order."""
    owners: tuple[str, ...] = ()
    """For each hash, the router whose point it is."""


def build_ring(routers: Collection[str]) -> HashRing:
    """Build the ring of a set of routers."""
    points = sorted(
        (xxhash.xxh3_64_intdigest(f"{router}|{number}".encode()), router)
        for router in routers
        for number in range(POINTS_PER_ROUTER)
    )
    return HashRing(
        tuple(routers),
        tuple(point for point, _ in points),
        tuple(router for _, router in points),
    )


def find_keepers(ring: HashRing, key: bytes, count: int, excluded: str = "") -> tuple[str, ...]:
    """Return up to ``count`` different routers that follow a key on the ring, the nearest first.

    :param excluded: a router that is passed over.
    """
    start = bisect(ring.hashes, xxhash.xxh3_64_intdigest(key))
    found: dict[str, None] = {}
    for offset in range(len(ring.owners)):
        if len(found) >= count:
            break
        owner = ring.owners[(start + offset) % len(ring.owners)]
        if owner != excluded:
            found[owner] = None
    return tuple(found)
