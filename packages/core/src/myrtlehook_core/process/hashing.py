"""Rendezvous hashing: who owns what, agreed on without a message."""

from collections.abc import Sequence

import xxhash


def rank_routers(key: str, routers: Sequence[str], count: int) -> tuple[str, ...]:
    """Return the ``count`` routers with the highest hash for ``key``, highest first."""
    if count == 1:
        return (max(routers, key=lambda router: _weight(key, router)),) if routers else ()
    ranked = sorted(routers, key=lambda router: _weight(key, router), reverse=True)
    return tuple(ranked[:count])


def _weight(key: str, router: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}|{router}".encode()), router
